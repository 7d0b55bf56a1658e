package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PickLeastLoaded returns the index with the least score among tries random indexes below n,
// or among all if n is at most tries. An index for which score reports false is not available;
// if none of the random ones is available, all n are considered.
func PickLeastLoaded(random *rand.Rand, n, tries int, score func(i int) (float64, bool)) (best int, ok bool) {
	if n == 0 {
		return 0, false
	}
	bestScore := 0.0
	consider := func(i int) {
		if v, free := score(i); free && (!ok || v < bestScore) {
			best, bestScore, ok = i, v, true
		}
	}
	start := random.IntN(n)
	if n > tries {
		for range tries {
			consider(random.IntN(n))
		}
		if ok {
			return best, true
		}
	}
	for i := range n {
		consider((start + i) % n)
	}
	return best, ok
}

// otherZoneDivisor: 1/otherZoneDivisor of a subset is reserved for names that are not near,
// so that a host keeps targets in other zones when its own zone fails.
const otherZoneDivisor = 4

// Subset returns at most size of the names, in sorted order: those that rank first for the
// seed, near ones before others. Adding or removing a name changes at most one other member
// of the subset.
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
	reserve := min(size/otherZoneDivisor, len(far))
	take := min(size-reserve, len(nearest))
	subset := append(nearest[:take:take], far[:min(size-take, len(far))]...)
	slices.Sort(subset)
	return subset
}

// Rank returns the rank of a name for a seed, as in rendezvous hashing. The least rank comes
// first.
func Rank(seed uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ seed
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
