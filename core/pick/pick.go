package pick

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/roster"
	"sassafrasward/core/table"
)

const (
	// downFirst and downMost bound how long a target that failed is left alone.
	downFirst = 500 * time.Millisecond
	downMost  = 4 * time.Second
	// learn is the weight of a new measurement, and forget the time after which it counts
	// half.
	learn  = 0.35
	forget = 5 * time.Second
	// spread is how many requests more than the mean a target may have and still be chosen
	// for its cached prefixes.
	spread = 2
	// zoneCost and prefixCost are what a target in another zone or without the prefix adds
	// to its load, in requests.
	zoneCost   = 2.0
	prefixCost = 1.5
)

// Hint is what the choice of a target may use of a request.
type Hint struct {
	// Prefix identifies the part of the prompt that the request shares with others; zero
	// for none.
	Prefix uint64
	// Zone is where the request's inputs are; empty for anywhere.
	Zone string
	// Load is the work of the request in units of a usual one.
	Load float64
	// Avoid lists targets that the request was sent to before.
	Avoid []string
	// At is uniform in [0, 1) and breaks ties.
	At float64
}

// state is a target with what this host knows of it.
type state struct {
	target roster.Target
	// load is the sum of the loads of the requests in flight.
	load float64
	// pace is the measured ratio of durations to those of the pool; paced is when it was
	// last measured.
	pace  float64
	paced time.Duration
	// failing is the recent share of failed requests.
	failing float64
	failed  time.Duration
	// down is until when the target is left alone; failures counts failures in a row.
	down     time.Duration
	failures int
}

// Chooser chooses among the targets of one pool. It is not safe for concurrent use.
type Chooser struct {
	targets *table.Table[string, *state]
}

// New returns a chooser without targets.
func New() *Chooser { return &Chooser{targets: table.New[string, *state]()} }

// SetTargets replaces the targets that may be chosen.
func (c *Chooser) SetTargets(targets []roster.Target) {
	next := table.New[string, *state]()
	for _, t := range targets {
		st, ok := c.targets.Get(t.ID)
		if !ok || st.target.Born != t.Born {
			st = &state{pace: 1}
		}
		st.target = t
		next.Put(t.ID, st)
	}
	c.targets = next
}

// Choose returns the target with the least expected cost and counts the request as in
// flight there. It reports false if there is none that may be used.
func (c *Chooser) Choose(now time.Duration, h Hint) (t roster.Target, ok bool) {
	home := c.home(now, h.Prefix)
	var best *state
	least := math.Inf(1)
	for _, st := range c.targets.All() {
		if st.target.Leaving || contains(h.Avoid, st.target.ID) {
			continue
		}
		cost := c.cost(now, st, h, home)
		if cost < least {
			best, least = st, cost
		}
	}
	if best == nil {
		return roster.Target{}, false
	}
	best.load += max(h.Load, minimumLoad)
	return best.target, true
}

// minimumLoad keeps each request in flight visible.
const minimumLoad = 0.1

// cost is the expected cost of a request at a target, in requests.
func (c *Chooser) cost(now time.Duration, st *state, h Hint, home string) float64 {
	cost := (1 + st.load) * st.paceAt(now) * (1 + 8*st.failingAt(now))
	if h.Zone != "" && h.Zone != st.target.Zone {
		cost += zoneCost
	}
	if home != "" && home != st.target.ID {
		cost += prefixCost
	}
	if now < st.down {
		cost += 1e6 // used only if every target is down
	}
	tie := xxhash.Sum64String(st.target.ID) ^ uint64(h.At*(1<<53))*0x9e3779b97f4a7c15
	return cost + float64(tie>>40)/(1<<24)*0.2
}

// home returns the target whose cache is meant to hold a prefix: the first by rendezvous
// hashing that is up and not much busier than the mean.
func (c *Chooser) home(now time.Duration, prefix uint64) (id string) {
	if prefix == 0 {
		return ""
	}
	total, n := 0.0, 0
	for _, st := range c.targets.All() {
		if !st.target.Leaving && now >= st.down {
			total += st.load
			n++
		}
	}
	if n == 0 {
		return ""
	}
	most := uint64(0)
	for _, st := range c.targets.All() {
		if st.target.Leaving || now < st.down || st.load > total/float64(n)+spread {
			continue
		}
		if hash := (xxhash.Sum64String(st.target.ID) ^ prefix) * 0x9e3779b97f4a7c15; hash >= most {
			most, id = hash, st.target.ID
		}
	}
	return id
}

func (st *state) paceAt(now time.Duration) float64 {
	return 1 + (st.pace-1)/(1+float64(now-st.paced)/float64(forget))
}

func (st *state) failingAt(now time.Duration) float64 {
	return st.failing / (1 + float64(now-st.failed)/float64(forget))
}

// Result is how a request at a target ended.
type Result struct {
	Target string
	// Load is the load that was counted by Choose.
	Load float64
	// Failed holds if the target failed, Silent if it could not be reached or did not
	// answer.
	Failed, Silent bool
	// Pace is the ratio of the measured duration to the expected one; zero if unknown.
	Pace float64
}

// Finish takes the end of a request.
func (c *Chooser) Finish(now time.Duration, r Result) {
	st, ok := c.targets.Get(r.Target)
	if !ok {
		return
	}
	st.load = max(st.load-max(r.Load, minimumLoad), 0)
	sample := 0.0
	if r.Failed || r.Silent {
		sample = 1
	}
	st.failing, st.failed = st.failingAt(now)+learn*(sample-st.failingAt(now)), now
	if r.Pace > 0 {
		st.pace, st.paced = st.paceAt(now)+learn*(r.Pace-st.paceAt(now)), now
	}
	if r.Silent {
		st.down = now + min(downFirst<<min(st.failures, 8), downMost)
		st.failures++
	} else if !r.Failed {
		st.failures, st.down = 0, 0
	}
}

// Live returns the number of targets that are neither leaving nor down.
func (c *Chooser) Live(now time.Duration) (n int) {
	for _, st := range c.targets.All() {
		if !st.target.Leaving && now >= st.down {
			n++
		}
	}
	return n
}

func contains(list []string, id string) bool {
	for _, l := range list {
		if l == id {
			return true
		}
	}
	return false
}
