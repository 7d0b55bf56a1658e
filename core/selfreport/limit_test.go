package selfreport_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/core/selfreport"
)

// fleet drives the tables of several hosts that send requests to one target in virtual time.
type fleet struct {
	random *rand.Rand
	target discovery.Target
	names  []string
	tables map[string]*selfreport.Table
	// down has the hosts that are stopped, delay is how long records take from host to host.
	down  map[string]bool
	delay time.Duration
	// limit is what the target states now; negative for none.
	limit float64
	// pending has the records on their way, arrivals the times of all requests.
	pending  []delivery
	arrivals []time.Duration
	senders  selfreport.Senders
}

type delivery struct {
	at     time.Duration
	to     string
	record selfreport.Record
}

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), target: target("t", 1), tables: make(map[string]*selfreport.Table),
		down: make(map[string]bool), delay: 50 * time.Millisecond, limit: -1,
	}
	for i := range hosts {
		f.names = append(f.names, fmt.Sprintf("h%d", i))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// start starts a host, which knows nothing.
func (f *fleet) start(name string) {
	f.tables[name] = selfreport.New(name)
	delete(f.down, name)
	f.shareNames()
}

// stop stops a host.
func (f *fleet) stop(name string) {
	f.down[name] = true
	f.shareNames()
}

// shareNames tells all hosts which ones there are.
func (f *fleet) shareNames() {
	var names []string
	for _, name := range f.names {
		if !f.down[name] && f.tables[name] != nil {
			names = append(names, name)
		}
	}
	for _, table := range f.tables {
		table.SetHosts(names)
	}
}

// try offers a request at a host, which sends it if it may.
func (f *fleet) try(now time.Duration, host string) {
	table := f.tables[host]
	if f.down[host] || table.Wait(now, f.target, f.senders) > 0 {
		return
	}
	table.Take(now, f.target, f.senders)
	f.arrivals = append(f.arrivals, now)
	table.Observe(now, f.target, selfreport.Statement{Limited: f.limit >= 0, Limit: max(f.limit, 0)})
	for _, record := range table.TakeRecords() {
		for _, to := range f.names {
			f.pending = append(f.pending, delivery{at: now + f.delay, to: to, record: record})
		}
	}
}

// run offers requests at random hosts at a rate per second until a time.
func (f *fleet) run(from, to time.Duration, rate float64) {
	for now := from; now < to; now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		for len(f.pending) > 0 && f.pending[0].at <= now {
			d := f.pending[0]
			f.pending = f.pending[1:]
			f.tables[d.to].Merge(now, f.target, d.record)
		}
		f.try(now, f.names[f.random.IntN(len(f.names))])
	}
}

// mostIn returns the largest number of requests in any interval of a length between two times.
func (f *fleet) mostIn(from, to, length time.Duration) (most int) {
	first := 0
	for i, at := range f.arrivals {
		for first < i && (at-f.arrivals[first] > length || f.arrivals[first] < from) {
			first++
		}
		if at >= from && at < to {
			most = max(most, i-first+1)
		}
	}
	return most
}

// contactTime is how long after the first statement the limit binds all hosts. limitWindow is the time
// over which requests are counted.
const (
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
)

func allowed(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// TestFleetKeepsLimit guards against more requests than a target takes from all hosts together, however
// many there are, and against hosts that leave a part of its limit unused.
func TestFleetKeepsLimit(t *testing.T) {
	for _, hosts := range []int{1, 2, 6, 67, 295} {
		for _, limit := range []float64{0, 0.3, 1.2, 3.8, 25, 200} {
			t.Run(fmt.Sprintf("%d hosts, %v/s", hosts, limit), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(uint64(hosts), hosts)
				demand := 20*limit + 5*float64(hosts) + 5
				f.run(0, 5*time.Second, demand)
				f.limit = limit
				f.run(5*time.Second, 40*time.Second, demand)
				before := len(f.arrivals)
				// After a while without requests, all hosts may send.
				f.run(60*time.Second, 75*time.Second, demand)
				most := f.mostIn(5*time.Second+contactTime, 75*time.Second, limitWindow)
				used := float64(len(f.arrivals)-before) / 15
				t.Logf("most %d of %d, used %.2f/s", most, allowed(limit), used)
				is.True(most <= allowed(limit))
				is.True(used >= 0.75*limit-0.1)
				f.limit = -1
				f.run(80*time.Second, 90*time.Second, demand)
				is.True(f.mostIn(88*time.Second, 90*time.Second, time.Second) > int(0.5*demand)) // the limit ended
			})
		}
	}
}

// TestLimitWhileHostsChange guards against limits that are exceeded while hosts stop and start, one
// after the other, and while the limit itself changes. Requests of a host that has just restarted are
// not counted by the rule; they are here.
func TestLimitWhileHostsChange(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 2))
			f := newFleet(seed, 3+random.IntN(12))
			limit := 0.5 + 6*random.Float64()
			f.limit = limit
			f.run(0, 4*time.Second, 60)
			now := 4 * time.Second
			for range 12 {
				name := f.names[random.IntN(len(f.names))]
				f.stop(name)
				f.run(now, now+1500*time.Millisecond, 60)
				f.start(name)
				f.limit = limit * (0.8 + 0.2*random.Float64())
				f.run(now+1500*time.Millisecond, now+5*time.Second, 60)
				now += 5 * time.Second
			}
			is.True(f.mostIn(contactTime, now, limitWindow) <= allowed(limit))
		})
	}
}

// TestSoleSender guards against hosts that exceed a limit together while they take over the dispatching
// of a pool from each other.
func TestSoleSender(t *testing.T) {
	for _, limit := range []float64{0.5, 2, 10, 60} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 3)
			f.senders, f.limit = selfreport.OneHost, limit
			now := time.Duration(0)
			for turn := range 20 {
				for end := now + 1300*time.Millisecond; now < end; now += 2 * time.Millisecond {
					f.try(now, f.names[turn%2])
				}
			}
			is.True(f.mostIn(contactTime, now, limitWindow) <= allowed(limit))
		})
	}
}
