package capacity_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/capacity"
)

// processes returns the identities of n processes.
func processes(n int) (list []uint64) {
	for i := range n {
		list = append(list, capacity.ProcessOf("i", int64(i)))
	}
	return list
}

// fleet has the tables of hosts that learn of all facts of each other a second late.
type fleet struct {
	now    time.Duration
	random *rand.Rand
	tables []*capacity.Table
	// inTransit has the facts that were published in the last second.
	inTransit []capacity.Fact
	published int
	// reaches tells whether a host gets a fact.
	reaches func(host int, f capacity.Fact) bool
}

func newFleet(hosts, targets int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), reaches: func(int, capacity.Fact) bool { return true }}
	for i := range hosts {
		t := capacity.New(uint64(i))
		t.Retain(processes(targets))
		f.tables = append(f.tables, t)
	}
	return f
}

// run serves 390 requests a second for a time. ratio returns the time ratio at a target that a host measures.
func (f *fleet) run(d time.Duration, targets int, ratio func(host, target int) float64) {
	list := processes(targets)
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for range 39 {
			host, target := f.random.IntN(len(f.tables)), f.random.IntN(targets)
			f.tables[host].Observe(f.now, list[target], capacity.Class(9190, true), ratio(host, target)*math.Exp(f.random.NormFloat64()*0.4))
		}
		if f.now%time.Second == 0 {
			f.deliver()
		}
		for _, t := range f.tables {
			facts := t.TakeFacts(f.now, len(f.tables))
			f.published += len(facts)
			f.inTransit = append(f.inTransit, facts...)
		}
	}
}

func (f *fleet) deliver() {
	for i, t := range f.tables {
		for _, fact := range f.inTransit {
			if f.reaches(i, fact) {
				fact.Age = time.Second
				t.Merge(f.now, fact)
			}
		}
	}
	f.inTransit = nil
}

// meanSpeed returns the mean over the hosts of the lasting time ratio of a target.
func (f *fleet) meanSpeed(target int) (log float64) {
	for _, t := range f.tables {
		log += t.Speed(processes(target + 1)[target]) / float64(len(f.tables))
	}
	return log
}

// TestLastingSpeeds guards against hosts that don't learn the speed of targets although all of them together
// could tell, and against more facts than FleetFactRate. Load: 67 hosts, 140 targets of which one in ten
// takes 1.7 and one in ten 0.7 times as long, 390 requests a second with a spread of 40%; a fifth of the
// facts is lost.
func TestLastingSpeeds(t *testing.T) {
	is := is.New(t)
	f := newFleet(67, 140)
	f.reaches = func(int, capacity.Fact) bool { return f.random.IntN(5) > 0 }
	f.run(2*time.Minute, 140, func(_, target int) float64 {
		return map[int]float64{0: 1.7, 1: 0.7}[target%10] + map[bool]float64{true: 1}[target%10 > 1]
	})
	slow, fast, average := 0.0, 0.0, 0.0
	for i := range 14 {
		slow, fast, average = slow+f.meanSpeed(10*i)/14, fast+f.meanSpeed(10*i+1)/14, average+f.meanSpeed(10*i+5)/14
	}
	t.Logf("slow %.2f of %.2f, fast %.2f of %.2f, average %.2f; %.1f facts a second", slow, math.Log2(1.7), fast, math.Log2(0.7), average, float64(f.published)/120)
	is.True(slow-average > 0.6*math.Log2(1.7))
	is.True(fast-average < 0.6*math.Log2(0.7))
	is.True(float64(f.published)/120 <= capacity.FleetFactRate*1.1)
}

// TestPresentSlowness guards against a slow spell of 6 s that other hosts don't hear of, that counts as
// lasting, or that is held against the target after its end. Load as above, one target 5 times slower.
func TestPresentSlowness(t *testing.T) {
	is := is.New(t)
	f := newFleet(67, 140)
	f.run(30*time.Second, 140, func(int, int) float64 { return 1 })
	before := f.meanSpeed(7)
	f.run(6*time.Second, 140, func(_, target int) float64 {
		if target == 7 {
			return 5
		}
		return 1
	})
	know := 0
	for _, table := range f.tables {
		if table.Slowdown(f.now, processes(8)[7]) > 0.5 {
			know++
		}
	}
	t.Logf("%d of 67 hosts know; lasting ratio from %.2f to %.2f", know, before, f.meanSpeed(7))
	is.True(know > 67*3/4)
	f.run(8*time.Second, 140, func(int, int) float64 { return 1 })
	for _, table := range f.tables {
		is.True(table.Slowdown(f.now, processes(8)[7]) < 0.75)
	}
	f.run(60*time.Second, 140, func(int, int) float64 { return 1 })
	is.True(f.meanSpeed(7) < before+0.35)
}

// TestWrongHost guards against a host that is slow itself and makes the others avoid targets, and against
// all targets slowed at once, of which none may be avoided. Load as above.
func TestWrongHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(67, 140)
	f.run(30*time.Second, 140, func(int, int) float64 { return 1 })
	f.run(20*time.Second, 140, func(host, _ int) float64 { return map[bool]float64{true: 6, false: 1}[host == 3] })
	for i := range 140 {
		is.True(math.Abs(f.meanSpeed(i)) < 0.7)
	}
	f.run(20*time.Second, 140, func(int, int) float64 { return 4 })
	slow := 0
	for _, p := range processes(140) {
		if f.tables[0].Slowdown(f.now, p) > 1 {
			slow++
		}
	}
	is.True(slow < 14)
}

// TestBoundedSteps guards against one sample or one fact that decides alone what a host believes, against an
// older fact that replaces a newer one, and against an estimate that outlives the process.
func TestBoundedSteps(t *testing.T) {
	is := is.New(t)
	list := processes(2)
	table := capacity.New(1)
	table.Retain(list)
	for range 50 {
		table.Observe(0, list[1], 0, 1)
	}
	table.Observe(0, list[0], 0, 1e9)
	is.True(table.Speed(list[0]) <= 0.25 && table.Slowdown(0, list[0]) <= 2)
	is.True(table.Merge(0, capacity.Fact{Process: list[1], Version: 2, Speed: 1 << 20, Slowdown: 1 << 20, Demand: 1 << 20}))
	is.True(table.Speed(list[1]) <= 0.6 && table.Slowdown(0, list[1]) <= 2.1 && table.Demand(0, list[1]) <= 2)
	speed := table.Speed(list[1])
	table.Merge(0, capacity.Fact{Process: list[1], Version: 1, Speed: -8})
	is.Equal(table.Speed(list[1]), speed)
	is.True(!table.Merge(0, capacity.Fact{Process: 1, Version: 1}))
	table.Retain(processes(1))
	table.Retain(list)
	is.Equal(table.Speed(list[1]), 0.0)
}

// TestDemand guards against hosts that don't learn that a prompt is popular. Load: 67 hosts, 140 targets;
// one request in 40 is meant for one target, 3.5 times the mean.
func TestDemand(t *testing.T) {
	is := is.New(t)
	f := newFleet(67, 140)
	popular := processes(1)[0]
	for range 60 {
		for _, table := range f.tables {
			for range 6 {
				table.Count(f.now, 2.3)
				if f.random.IntN(40) == 0 {
					table.Offer(f.now, popular, 2.3)
				}
			}
		}
		f.run(time.Second, 140, func(int, int) float64 { return 1 })
	}
	mean := 0.0
	for _, table := range f.tables {
		mean += table.Demand(f.now, popular) / 67
	}
	t.Logf("demand %.2f of 3.5", mean)
	is.True(mean > 2.4 && mean < 4.6)
}
