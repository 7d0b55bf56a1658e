package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/schedule"
)

// These tests check the objectives of the design page on a pool of 10 targets with 8 slots
// each and calls of 50 ms, which has a capacity of 1600 calls/s. Six hosts share it without
// communication. Each objective must also be missed without its mechanism; otherwise the
// run would not show that the mechanism works.

const (
	hosts    = 6
	capacity = 1600 // calls/s
)

// variant is a policy, and whether it is expected to meet the objective.
type variant struct {
	name           string
	policy         schedule.Policy
	meetsObjective bool
}

func variants(without schedule.PolicyOption) []variant {
	return []variant{
		{"all mechanisms", schedule.NewPolicy(), true},
		{"without the mechanism", schedule.NewPolicy(without), false},
		{"baseline", schedule.Baseline(), false},
	}
}

func shortWorkload(rate func(time.Duration) float64) workload {
	return workload{workspace: "w", service: 50 * ms, deadline: 3 * time.Second, sigma: 0.5, rate: rate}
}

// TestOverloadPeak guards against slots that are idle or run calls that miss their deadline
// at 3 times capacity, and against an overload that continues after the peak.
func TestOverloadPeak(t *testing.T) {
	const from, to = 2 * time.Second, 8 * time.Second
	without := func(p *schedule.Policy) {
		schedule.WithAdmission(false)(p)
		schedule.WithAdaptiveLimits(false)(p)
		schedule.WithQueueBound(1 << 30)(p)
	}
	for _, v := range variants(without) {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			m := newSimulation(1, hosts, 10, 8, v.policy)
			m.addWorkload(shortWorkload(func(now time.Duration) float64 {
				if now >= from && now < to {
					return 3 * capacity
				}
				return capacity / 2
			}))
			m.run(to + 7*time.Second)
			goodput := m.answerRate(from, to) / capacity
			after := attainment(m.callsOffered("w", to+2*time.Second, to+4*time.Second))
			t.Logf("goodput in the peak %.3f of capacity, attainment 2 s after it %.4f", goodput, after)
			is.Equal(goodput >= 0.95 && after >= 0.999, v.meetsObjective)
		})
	}
}

// TestSlowTargets guards against a tail latency that follows the slowest targets, and against
// hedges and retries that add more than 5% load.
func TestSlowTargets(t *testing.T) {
	const from, to = 2 * time.Second, 17 * time.Second
	without := func(p *schedule.Policy) {
		schedule.WithSlowDetection(false)(p)
		schedule.WithBudgets(10, 0)(p)
	}
	for _, v := range variants(without) {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var tails [2]time.Duration
			added := 0.0
			for i, factor := range []float64{1, 10} {
				m := newSimulation(2, hosts, 10, 8, v.policy)
				for _, s := range m.targets[:2] {
					s.slowdown = func(now time.Duration) float64 {
						if now < from {
							return 1
						}
						return factor
					}
				}
				m.addWorkload(shortWorkload(constant(capacity / 2)))
				m.run(to + 5*time.Second)
				tails[i] = p99(m.callsOffered("w", from, to))
				added = float64(m.attempts)/float64(len(m.offeredCalls)) - 1
			}
			t.Logf("p99 %v, with slow targets %v, added load %.4f", tails[0], tails[1], added)
			is.Equal(2*tails[1] <= 3*tails[0] && added <= 0.05, v.meetsObjective)
		})
	}
}

// TestLongWork guards against short work that waits behind long work, and against starvation
// of long work.
func TestLongWork(t *testing.T) {
	const to = 40 * time.Second
	for _, v := range variants(schedule.WithLongWorkLimit(false, 100)) {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var tails [2]time.Duration
			longAttainment := 0.0
			for i, rate := range []float64{0, 8} {
				m := newSimulation(3, hosts, 10, 8, v.policy)
				m.addWorkload(shortWorkload(constant(capacity / 2)))
				m.addWorkload(workload{workspace: "long", service: 5 * time.Second, deadline: 5 * time.Minute, long: true, sigma: 0.5, rate: func(now time.Duration) float64 {
					if now > to {
						return 0
					}
					return rate
				}})
				m.run(to)
				tails[i] = p99(m.callsOffered("w", 10*time.Second, to))
				m.run(3 * to)
				m.stopArrivals = true
				m.run(to + 5*time.Minute)
				longAttainment = attainment(m.callsOffered("long", 0, to))
			}
			t.Logf("p99 of short work %v, with long work %v, long work done %.4f", tails[0], tails[1], longAttainment)
			is.Equal(10*tails[1] <= 13*tails[0] && longAttainment == 1, v.meetsObjective)
		})
	}
}

// TestShareIsolation guards against a workspace that makes others miss their deadlines by
// sending ten times its share.
func TestShareIsolation(t *testing.T) {
	for _, v := range variants(schedule.WithFairQueueing(false)) {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var others [2]float64
			for i, factor := range []float64{1, 10} {
				m := newSimulation(4, hosts, 10, 8, v.policy)
				for _, w := range []string{"a", "b", "c", "d"} {
					m.addWorkload(workload{workspace: w, service: 50 * ms, deadline: time.Second, sigma: 0.5, rate: constant(0.15 * capacity)})
				}
				m.addWorkload(workload{workspace: "e", service: 50 * ms, deadline: time.Second, sigma: 0.5, rate: constant(0.2 * capacity * factor)})
				m.run(10 * time.Second)
				for _, w := range []string{"a", "b", "c", "d"} {
					others[i] += attainment(m.callsOffered(w, time.Second, 8*time.Second)) / 4
				}
			}
			t.Logf("attainment of the other workspaces %.4f, with one at 10 times its rate %.4f", others[0], others[1])
			is.Equal(others[1] > others[0]-0.02, v.meetsObjective)
		})
	}
}
