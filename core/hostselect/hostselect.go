package hostselect

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// Bound is the length of an answer. Callers keep it for seconds, so it has to hold
	// more than one host; a longer one would only be more to read.
	MaxHosts = 6
	// elsewhere is how many places of an answer are for hosts of other availability
	// zones, if there are any, so that a caller survives the loss of its zone.
	elsewhere = 2
)

// Candidate is a host that serves: neither dead nor draining nor leaving.
type Candidate struct {
	Host    string
	Address string
	Zone    string
	// Level is the load as the binary logarithm of the number of running requests.
	LoadLevel uint32
	// Suspected hosts did not answer lately; they come after all others.
	Suspected bool
}

// Choose returns the hosts for a caller in a zone, the best one first: hosts of the zone,
// then others, each part in a random order that favours hosts with little load. The host
// named first leads the answer if it is a candidate.
func Choose(random *rand.Rand, zone, first string, candidates []Candidate) []Candidate {
	list := slices.Clone(candidates)
	keys := make(map[string]float64, len(list))
	for _, c := range list {
		keys[c.Host] = key(random, c)
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(
			before(a.Host == first, b.Host == first), before(!a.Suspected, !b.Suspected),
			before(a.Zone == zone, b.Zone == zone), cmp.Compare(keys[a.Host], keys[b.Host]))
	})
	return shorten(list, zone)
}

// key orders hosts at random, each next one with a probability in proportion to its
// weight: the exponential variates of the weights, smallest first. The weight halves
// with each level, as the load doubles.
func key(random *rand.Rand, c Candidate) float64 {
	return random.ExpFloat64() * math.Exp2(float64(c.LoadLevel))
}

// shorten cuts the list to the bound and keeps places for hosts of other zones.
func shorten(list []Candidate, zone string) []Candidate {
	if len(list) <= MaxHosts {
		return list
	}
	near := 0
	var chosen, rest []Candidate
	for _, c := range list {
		if c.Zone == zone && near == MaxHosts-elsewhere {
			rest = append(rest, c)
			continue
		}
		if c.Zone == zone {
			near++
		}
		chosen = append(chosen, c)
	}
	chosen = append(chosen, rest...)
	return chosen[:MaxHosts]
}

// before orders true before false.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
