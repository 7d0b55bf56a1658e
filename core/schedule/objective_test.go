package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/schedule"
)

// The objectives of the design page, on a pool of 10 targets with 8 slots each and calls
// of 50 ms: it can do 1600 calls/s. Six hosts share it without a word to each other. Each
// objective must also be missed without its mechanism, or the run would show nothing.

const (
	hosts    = 6
	capacity = 1600 // calls/s
)

// variant is a policy with the result that is expected of it.
type variant struct {
	name   string
	policy schedule.Policy
	meets  bool
}

func variants(without schedule.PolicyOption) []variant {
	return []variant{
		{"all mechanisms", schedule.NewPolicy(), true},
		{"without it", schedule.NewPolicy(without), false},
		{"baseline", schedule.Baseline(), false},
	}
}

func short(rate func(time.Duration) float64) load {
	return load{workspace: "w", service: 50 * ms, deadline: 3 * time.Second, spread: 0.5, rate: rate}
}

// TestPeak guards against slots that run doomed work or stand idle at 3 times capacity,
// and against an overload that outlasts its cause.
func TestPeak(t *testing.T) {
	const from, to = 2 * time.Second, 8 * time.Second
	without := func(p *schedule.Policy) {
		schedule.WithAdmission(false)(p)
		schedule.WithAdaptiveLimits(false)(p)
		schedule.WithQueueBound(1 << 30)(p)
	}
	for _, v := range variants(without) {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(1, hosts, 10, 8, v.policy)
			m.add(short(func(now time.Duration) float64 {
				if now >= from && now < to {
					return 3 * capacity
				}
				return capacity / 2
			}))
			m.run(to + 7*time.Second)
			part := m.answered(from, to) / capacity
			after := attainment(m.offered("w", to+2*time.Second, to+4*time.Second))
			t.Logf("peak %.3f of capacity, attainment 2 s after it %.4f", part, after)
			is.Equal(part >= 0.95 && after >= 0.999, v.meets)
		})
	}
}

// TestSlow guards against a tail that follows the slowest targets, and against hedges and
// retries that add more than 5% load.
func TestSlow(t *testing.T) {
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
				m := newModel(2, hosts, 10, 8, v.policy)
				for _, s := range m.targets[:2] {
					s.factor = func(now time.Duration) float64 {
						if now < from {
							return 1
						}
						return factor
					}
				}
				m.add(short(constant(capacity / 2)))
				m.run(to + 5*time.Second)
				tails[i] = p99(m.offered("w", from, to))
				added = float64(m.attempts)/float64(len(m.done)) - 1
			}
			t.Logf("p99 %v, with slow targets %v, added load %.4f", tails[0], tails[1], added)
			is.Equal(2*tails[1] <= 3*tails[0] && added <= 0.05, v.meets)
		})
	}
}

// TestLong guards against short work that waits behind long work, and against long work
// that never gets its turn.
func TestLong(t *testing.T) {
	const to = 40 * time.Second
	for _, v := range variants(schedule.WithLongWorkLimit(false, 100)) {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var tails [2]time.Duration
			arrived := 0.0
			for i, rate := range []float64{0, 8} {
				m := newModel(3, hosts, 10, 8, v.policy)
				m.add(short(constant(capacity / 2)))
				m.add(load{workspace: "long", service: 5 * time.Second, deadline: 5 * time.Minute, long: true, spread: 0.5, rate: func(now time.Duration) float64 {
					if now > to {
						return 0
					}
					return rate
				}})
				m.run(to)
				tails[i] = p99(m.offered("w", 10*time.Second, to))
				m.run(3 * to)
				m.stop = true
				m.run(to + 5*time.Minute)
				arrived = attainment(m.offered("long", 0, to))
			}
			t.Logf("p99 of short work %v, with long work %v, long work done %.4f", tails[0], tails[1], arrived)
			is.Equal(10*tails[1] <= 13*tails[0] && arrived == 1, v.meets)
		})
	}
}

// TestShare guards against a workspace that takes the time of others by sending ten times
// its share.
func TestShare(t *testing.T) {
	for _, v := range variants(schedule.WithFairQueueing(false)) {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var others [2]float64
			for i, factor := range []float64{1, 10} {
				m := newModel(4, hosts, 10, 8, v.policy)
				for _, w := range []string{"a", "b", "c", "d"} {
					m.add(load{workspace: w, service: 50 * ms, deadline: time.Second, spread: 0.5, rate: constant(0.15 * capacity)})
				}
				m.add(load{workspace: "e", service: 50 * ms, deadline: time.Second, spread: 0.5, rate: constant(0.2 * capacity * factor)})
				m.run(10 * time.Second)
				for _, w := range []string{"a", "b", "c", "d"} {
					others[i] += attainment(m.offered(w, time.Second, 8*time.Second)) / 4
				}
			}
			t.Logf("attainment of the others %.4f, with the tenfold one %.4f", others[0], others[1])
			is.Equal(others[1] > others[0]-0.02, v.meets)
		})
	}
}
