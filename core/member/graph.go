package member

import (
	"cmp"
	"slices"
)

// degree is the number of neighbours of a host. With eight random neighbours, 370 hosts are
// connected within four hops.
const degree = 8

// Neighbours returns the sorted neighbours of a host in a stable random regular graph over the
// given hosts. The graph is a union of rings, each of which orders the hosts by its own hash. A
// joining or leaving host changes only the edges next to it on each ring, and hosts that know
// the same members agree on the edges.
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

// adjacent returns the hosts next to self on a ring: those at the smallest and the greatest
// clockwise distance from it.
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

// firstRanked returns the first n hosts by rendezvous hashing.
func firstRanked(n int, hosts []string) []string {
	ranked := rank(watcherSeed, hosts)
	return ranked[:min(n, len(ranked))]
}

// Rank orders hosts by rendezvous hashing for a key. The order depends only on the key and the
// set of hosts, and the loss of one host does not reorder the others.
func Rank(key string, hosts []string) []string { return rank(hash(key), hosts) }

// rankedHost is a host with its hash for a key.
type rankedHost struct {
	host string
	hash uint64
}

// First returns the first n hosts of Rank.
func First(key string, n int, hosts []string) (first []string) {
	seed := hash(key)
	var best []rankedHost
	for _, h := range hosts {
		r := rankedHost{host: h, hash: hash(h, seed)}
		i, found := slices.BinarySearchFunc(best, r, compareRanked)
		if found || i >= n {
			continue
		}
		best = slices.Insert(best, i, r)
		best = best[:min(n, len(best))]
	}
	for _, r := range best {
		first = append(first, r.host)
	}
	return first
}

func compareRanked(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
}

func rank(seed uint64, hosts []string) []string {
	byHash := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		byHash = append(byHash, rankedHost{host: h, hash: hash(h, seed)})
	}
	slices.SortFunc(byHash, compareRanked)
	ranked := make([]string, 0, len(byHash))
	for _, p := range byHash {
		ranked = append(ranked, p.host)
	}
	return slices.Compact(ranked)
}

// watcherSeed makes the ranking of watchers independent of the positions on the rings.
const watcherSeed = 1 << 32
