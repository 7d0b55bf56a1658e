package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/balance"
)

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestPickLeastLoaded guards against uneven load, and against finding no target though one
// is available.
func TestPickLeastLoaded(t *testing.T) {
	is := is.New(t)
	random, loads := source(), make([]int, 50)
	for range 5_000 {
		i, ok := balance.PickLeastLoaded(random, len(loads), 3, func(i int) (float64, bool) { return float64(loads[i]), true })
		is.True(ok)
		loads[i]++
	}
	is.True(slices.Max(loads)-slices.Min(loads) <= 10) // one random choice gives about 50
	for range 100 {
		i, ok := balance.PickLeastLoaded(random, 50, 3, func(i int) (float64, bool) { return 0, i == 17 })
		is.True(ok && i == 17)
	}
	_, ok := balance.PickLeastLoaded(random, 50, 3, func(int) (float64, bool) { return 0, false })
	is.True(!ok)
}

// TestSubset guards against a subset that changes completely when one target is removed, or
// that has no targets left when a zone fails.
func TestSubset(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("%c%02d", 'a'+i%4, i))
	}
	near := func(name string) bool { return name[0] == 'a' }
	subset := balance.Subset(names, 7, 16, near)
	is.Equal(len(subset), 16)
	is.Equal(len(slices.DeleteFunc(slices.Clone(subset), near)), 4)
	without := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == subset[0] })
	kept := 0
	for _, name := range balance.Subset(without, 7, 16, near) {
		if slices.Contains(subset, name) {
			kept++
		}
	}
	is.Equal(kept, 15)
	is.Equal(len(balance.Subset(names[:8], 7, 16, near)), 8)
}

// TestSlowDetector guards against a slow target that is used for more than a few calls, and
// against a healthy target that is avoided because of one outlier.
func TestSlowDetector(t *testing.T) {
	for _, test := range []struct {
		name   string
		ratios []float64
		slow   bool
	}{
		{"usual", []float64{1, 1, 1, 1}, false},
		{"one outlier", []float64{1, 1, 50, 1}, false},
		{"slowed ten times", []float64{1, 10, 10}, true},
		{"slow from the start", []float64{10, 10, 10}, true},
		{"slowed a little", []float64{1, 1.5, 1.5, 1.5, 1.5, 1.5}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d balance.SlowDetector
			for _, ratio := range test.ratios {
				d.Observe(0, ratio, false)
			}
			is.Equal(d.Slow(), test.slow)
		})
	}
}

// TestProbeInterval guards against a probe per call, which would send all work to a slow
// target, and against no probes, which would never use a recovered target again.
func TestProbeInterval(t *testing.T) {
	is := is.New(t)
	var d balance.SlowDetector
	d.Fail(0, false)
	is.True(d.Slow())
	probes, now := 0, time.Duration(0)
	for ; now < time.Minute; now += 10 * time.Millisecond {
		if d.ProbeDue(now) {
			probes++
			d.StartProbe()
			is.True(!d.ProbeDue(now)) // one at a time
			d.Observe(now, 10, true)
		}
	}
	is.True(probes >= 14 && probes <= 20) // intervals double up to 4 s
	now += 4 * time.Second
	is.True(d.ProbeDue(now))
	d.StartProbe()
	d.Observe(now, 1, true)
	is.True(!d.Slow())
	d.Observe(now, 10, false)
	is.True(d.Slow()) // one slow call after a recovery is enough
}

// holders returns the targets that are assumed to have the prefix cached.
func holders(x *balance.PrefixIndex, now time.Duration, prefix uint64) (names []string) {
	x.Each(now, prefix, func(name string) bool {
		names = append(names, name)
		return true
	})
	return names
}

// TestPrefixIndex guards against stale entries after evictions and lost events, and against
// the loss of all entries when an event is late.
func TestPrefixIndex(t *testing.T) {
	is := is.New(t)
	x := balance.NewPrefixIndex()
	x.Record(0, 1, "a")
	x.Record(0, 1, "b")
	is.Equal(holders(x, 0, 1), []string{"b", "a"}) // the most recent first
	x.ApplyEvents(time.Second, "a", 10, []uint64{2, 3}, nil)
	x.ApplyEvents(time.Second, "a", 11, nil, []uint64{2})
	x.ApplyEvents(time.Second, "a", 9, nil, []uint64{3}) // late
	is.Equal(len(holders(x, time.Second, 2)), 0)
	is.Equal(holders(x, time.Second, 3), []string{"a"})
	x.ApplyEvents(2*time.Second, "a", 20, []uint64{4}, nil) // 8 events lost
	is.Equal(holders(x, 3*time.Second, 3), []string{"a"})
	is.Equal(len(holders(x, 13*time.Second, 3)), 0) // not confirmed since the gap
	is.Equal(holders(x, 13*time.Second, 4), []string{"a"})
	for i := range uint64(20_000) {
		x.Record(time.Minute, 100+i, "a")
	}
	is.Equal(len(holders(x, time.Minute, 1)), 0) // bounded
}
