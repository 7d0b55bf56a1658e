package member

import (
	"cmp"
	"slices"
)

// degree is the number of neighbours of a host. Eight random neighbours connect 370
// hosts within four hops.
const degree = 8

// Neighbours returns the neighbours of a host in the stable random regular graph over
// the given hosts, in order. The graph is a union of rings; each orders the hosts by a
// hash of its own. A host that comes or goes changes the edges at its places in the rings
// only, and hosts that know the same members agree on the edges.
func Neighbours(self string, hosts []string) (neighbours []string) {
	others := slices.Clone(hosts)
	slices.Sort(others)
	others = slices.DeleteFunc(slices.Compact(others), func(n string) bool { return n == self })
	if len(others) <= degree {
		return others
	}
	for ring := range uint64(degree / 2) {
		after, before := adjacent(self, others, ring)
		neighbours = append(neighbours, after, before)
	}
	slices.Sort(neighbours)
	return slices.Compact(neighbours)
}

// adjacent returns the hosts next to self on a ring: those with the least and the
// greatest distance from it, counted one way round.
func adjacent(self string, others []string, ring uint64) (after, before string) {
	origin := hash(self, ring)
	distance := func(n string) uint64 { return hash(n, ring) - origin }
	least, greatest := ^uint64(0), uint64(0)
	for _, n := range others {
		d := distance(n)
		if d <= least {
			least, after = d, n
		}
		if d >= greatest {
			greatest, before = d, n
		}
	}
	return after, before
}

// first returns the first n hosts by rendezvous hashing.
func first(n int, hosts []string) []string {
	ranked := rank(watchSeed, hosts)
	return ranked[:min(n, len(ranked))]
}

// Rank orders hosts by rendezvous hashing for a key. All hosts that know the same hosts
// compute the same order, and the loss of one host moves no other.
func Rank(key string, hosts []string) []string { return rank(hash(key), hosts) }

func rank(seed uint64, hosts []string) []string {
	type place struct {
		host string
		hash uint64
	}
	places := make([]place, 0, len(hosts))
	for _, h := range hosts {
		places = append(places, place{host: h, hash: hash(h, seed)})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	ranked := make([]string, 0, len(places))
	for _, p := range places {
		ranked = append(ranked, p.host)
	}
	return slices.Compact(ranked)
}

// watchSeed separates the ranks of watchers from the places in the rings.
const watchSeed = 1 << 32
