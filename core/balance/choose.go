package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the candidate with the least score among tries random ones of 0 to n-1.
// A candidate for which score reports false is not available; if none of the random ones
// is, all are tried.
func PickLeastLoaded(random *rand.Rand, n, tries int, score func(i int) (float64, bool)) (best int, ok bool) {
	if n == 0 {
		return 0, false
	}
	least := 0.0
	take := func(i int) {
		if v, free := score(i); free && (!ok || v < least) {
			best, least, ok = i, v, true
		}
	}
	start := random.IntN(n)
	if n > tries {
		for range tries {
			take(random.IntN(n))
		}
		if ok {
			return best, true
		}
	}
	for i := range n {
		take((start + i) % n)
	}
	return best, ok
}

// nearPart is the part of a subset that is reserved for near names at most, as a divisor
// of the rest: a quarter of the subset stays in other zones for the failure of a zone.
const nearPart = 4

// Subset returns at most size of the names: those that rank first for the seed, near ones
// before others. A name that joins or leaves changes at most one other member.
func Subset(names []string, seed uint64, size int, near func(name string) bool) []string {
	if len(names) <= size {
		return slices.Clone(names)
	}
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(Rank(seed, a), Rank(seed, b)) })
	nearest, far := make([]string, 0, len(names)), make([]string, 0, len(names))
	for _, name := range ranked {
		if near(name) {
			nearest = append(nearest, name)
		} else {
			far = append(far, name)
		}
	}
	reserve := min(size/nearPart, len(far))
	take := min(size-reserve, len(nearest))
	subset := append(nearest[:take:take], far[:min(size-take, len(far))]...)
	slices.Sort(subset)
	return subset
}

// Rank orders names for a seed, as rendezvous hashing does.
func Rank(seed uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ seed
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
