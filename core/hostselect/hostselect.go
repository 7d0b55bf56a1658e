package hostselect

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// MaxHosts is the maximum number of hosts in an answer. Callers cache the answer for seconds,
	// so it must contain more than one host; a longer answer has no further benefit.
	MaxHosts = 6
	// otherZoneHosts is how many hosts of an answer are from other availability zones, if there
	// are any, so that a caller survives the loss of its zone.
	otherZoneHosts = 2
)

// Candidate is a serving host: neither dead nor draining nor leaving.
type Candidate struct {
	Host    string
	Address string
	Zone    string
	// LoadLevel is the load level as in core/member: the bit length of the number of running
	// requests.
	LoadLevel uint32
	// Suspected hosts did not answer recently. They come after all others.
	Suspected bool
}

// Choose returns the hosts for a caller in a zone, the best one first: hosts of the zone, then
// others, each part in a random order weighted towards hosts with little load. The host named by
// first comes first if it is a candidate.
func Choose(random *rand.Rand, zone, first string, candidates []Candidate) []Candidate {
	list := slices.Clone(candidates)
	keys := make(map[string]float64, len(list))
	for _, c := range list {
		keys[c.Host] = randomKey(random, c)
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(
			trueFirst(a.Host == first, b.Host == first), trueFirst(!a.Suspected, !b.Suspected),
			trueFirst(a.Zone == zone, b.Zone == zone), cmp.Compare(keys[a.Host], keys[b.Host]))
	})
	return truncate(list, zone)
}

// randomKey returns a sort key for a weighted random order: an exponential variate whose rate is
// the weight of the host. The weight halves with each load level, as the load doubles.
func randomKey(random *rand.Rand, c Candidate) float64 {
	return random.ExpFloat64() * math.Exp2(float64(c.LoadLevel))
}

// truncate cuts the list to MaxHosts. It reserves otherZoneHosts places for hosts of other zones,
// as far as there are any.
func truncate(list []Candidate, zone string) []Candidate {
	if len(list) <= MaxHosts {
		return list
	}
	inZone := 0
	var chosen, rest []Candidate
	for _, c := range list {
		if c.Zone == zone && inZone == MaxHosts-otherZoneHosts {
			rest = append(rest, c)
			continue
		}
		if c.Zone == zone {
			inZone++
		}
		chosen = append(chosen, c)
	}
	chosen = append(chosen, rest...)
	return chosen[:MaxHosts]
}

// trueFirst compares two values so that true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
