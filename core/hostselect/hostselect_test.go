package hostselect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/hostselect"
)

func candidates(zone string, n int) (list []hostselect.Candidate) {
	for i := range n {
		list = append(list, hostselect.Candidate{Host: fmt.Sprintf("%s%d", zone, i), Zone: zone})
	}
	return list
}

// TestChoose guards against answers that are too long, contain no host of another zone, or do
// not start with a host of the caller's zone or the requested first host.
func TestChoose(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	both := append(candidates("a", 8), candidates("b", 8)...)
	for name, c := range map[string]struct {
		zone, first   string
		list          []hostselect.Candidate
		inZone, total int
	}{
		"two zones":             {"a", "", both, 4, 6},
		"one zone":              {"a", "", candidates("a", 8), 6, 6},
		"few hosts":             {"a", "", candidates("a", 2), 2, 2},
		"none in the zone":      {"c", "", both, 0, 6},
		"few in the zone":       {"a", "", append(candidates("a", 1), candidates("b", 8)...), 1, 6},
		"first in the zone":     {"a", "a3", both, 4, 6},
		"first in another zone": {"a", "b3", both, 4, 6},
		"no host":               {"a", "", nil, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			chosen := hostselect.Choose(random, c.zone, c.first, c.list)
			is.Equal(len(chosen), c.total)
			seen := make(map[string]bool)
			inZone := 0
			for i, h := range chosen {
				is.True(!seen[h.Host])
				seen[h.Host] = true
				if h.Zone == c.zone {
					inZone++
					is.True(inZone >= i || c.first != "") // sorted before hosts of other zones
				}
			}
			is.Equal(inZone, c.inZone)
			is.True(c.first == "" || chosen[0].Host == c.first)
		})
	}
}

// TestLoadDistribution guards against callers that all use one host, or a loaded host as often as
// an idle one, and against a suspected host before others.
func TestLoadDistribution(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	list := candidates("a", 4)
	list[0].LoadLevel, list[1].Suspected = 3, true
	first := make(map[string]int)
	for range 10_000 {
		first[hostselect.Choose(random, "a", "", list)[0].Host]++
	}
	is.Equal(first["a1"], 0)
	is.True(first["a0"] > 300 && first["a0"] < 900) // 1 in 17 with weights 1/8, 1, 1
	is.True(first["a2"] > 4300 && first["a3"] > 4300)
}
