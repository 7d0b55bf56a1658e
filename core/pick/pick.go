package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/discovery"
	"sassafrasward/core/sortedmap"
)

const (
	// downFirst and downMost bound how long a target that failed is left alone.
	downFirst = 500 * time.Millisecond
	downMost  = 4 * time.Second
	// learn is the weight of a new measurement, and forget the time after which it counts
	// half, so that a target is tried again within some ten seconds.
	learn  = 0.35
	forget = 2 * time.Second
	// tokenCost and byteCost are what reading a shared token again, and moving a byte of
	// inputs between zones, count as load. A load of one is a usual prompt; the ratio is that
	// of the users' prices.
	tokenCost = 1e-3
	byteCost  = 0.35e-6
	// sideCost is what a target that is meant for prompts of the other length adds.
	sideCost = 1.0
	// sharedLeast is from how many shared tokens on a request has a home.
	sharedLeast = 500
	// longPrompt is from how many tokens on a prompt delays others noticeably: about a tenth
	// of a second of reading.
	longPrompt = 4096
	// longPart is the part of the targets that is meant for long prompts, and longLeast the
	// number of targets from which on they are kept apart.
	longPart  = 0.6
	longLeast = 4
	// homePart is the part of the targets that hold the first part of a prompt, which many
	// requests share. Fewer ones would read it less often, but meet too many requests.
	homePart = 0.6
	// paceMost bounds one measurement of the pace of a target.
	paceMost = 20
	// poolStep is by which ratio one sample moves the pace of a pool down. A dozen slow answers,
	// two seconds of load on one host, double it.
	poolStep = 0.02
	// paceLeast and poolMost bound the pace of a pool.
	paceLeast = 0.5
	poolMost  = 4.0
	// downCost puts targets that are down behind all others.
	downCost = 1e6
)

// Hint is what the choice of a target may use of a request.
type Request struct {
	// First and Last identify the first and the last part of the prompt that the request
	// shares with others, Shared has the tokens of all shared parts.
	FirstPrefix, LastPrefix uint64
	SharedTokens            int
	// Prompt has the tokens of the whole prompt; zero if it is not a prompt.
	PromptTokens int
	// Zone is where the request's inputs are, of which Bytes would be moved to a target in
	// another one; empty for anywhere.
	InputZone  string
	InputBytes int64
	// Load is the work of the request in units of a usual one.
	Load float64
	// Avoid lists targets that the request was sent to before.
	Exclude []string
	// At is uniform in [0, 1) and breaks ties.
	TieBreak float64
}

// state is a target with what this host knows of it.
type state struct {
	target discovery.Target
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
	targets *sortedmap.Map[string, *state]
	// pace is what three of four requests stay below, as ratio to the expected duration.
	pace float64
}

// New returns a chooser without targets.
func New() *Chooser { return &Chooser{targets: sortedmap.New[string, *state](), pace: 1} }

// SetTargets replaces the targets that may be chosen.
func (c *Chooser) SetTargets(targets []discovery.Target) {
	next := sortedmap.New[string, *state]()
	for _, t := range targets {
		st, ok := c.targets.Get(t.ID)
		if !ok || st.target.StartID != t.StartID {
			st = &state{pace: 1}
		}
		st.target = t
		next.Put(t.ID, st)
	}
	c.targets = next
}

// Choose returns the target with the least expected cost and counts the request as in
// flight there. It reports false if there is none that may be used.
func (c *Chooser) Choose(now time.Duration, h Request) (t discovery.Target, ok bool) {
	long := c.long(h)
	home := c.home(now, h, long)
	var best *state
	least := math.Inf(1)
	for _, st := range c.targets.All() {
		if st.target.Leaving || slices.Contains(h.Exclude, st.target.ID) {
			continue
		}
		cost := c.cost(now, st, h)
		if h.PromptTokens > 0 && long != nil && long[st.target.ID] != (h.PromptTokens >= longPrompt) {
			cost += sideCost
		}
		if home != "" && home != st.target.ID {
			cost += float64(h.SharedTokens) * tokenCost
		}
		if cost < least {
			best, least = st, cost
		}
	}
	if best == nil {
		return discovery.Target{}, false
	}
	best.load += max(h.Load, minimumLoad)
	return best.target, true
}

// Home returns the target whose cache is meant to hold the shared parts of a request.
func (c *Chooser) AffinityTarget(now time.Duration, h Request) (t discovery.Target, ok bool) {
	st, ok := c.targets.Get(c.home(now, h, c.long(h)))
	if !ok {
		return discovery.Target{}, false
	}
	return st.target, true
}

// minimumLoad keeps each request in flight visible.
const minimumLoad = 0.1

// cost is the expected cost of a request at a target, as load.
func (c *Chooser) cost(now time.Duration, st *state, h Request) float64 {
	cost := (1 + st.load) * st.paceAt(now) * (1 + 8*st.failingAt(now))
	if h.InputZone != "" && h.InputZone != st.target.Zone {
		cost += float64(h.InputBytes) * byteCost
	}
	if now < st.down {
		cost += downCost
	}
	tie := xxhash.Sum64String(st.target.ID) ^ uint64(h.TieBreak*(1<<53))*spreadFactor
	return cost + float64(tie>>40)/(1<<24)*0.2
}

// spreadFactor spreads the bits of a hash.
const spreadFactor = 0x9e3779b97f4a7c15

// long returns which targets are meant for long prompts; nil if there are too few to keep
// them apart or the request is no prompt.
func (c *Chooser) long(h Request) (long map[string]bool) {
	if h.PromptTokens == 0 || c.targets.Len() < longLeast {
		return nil
	}
	ranked := c.ranked(1, c.targets.Keys())
	long = make(map[string]bool)
	for _, id := range ranked[:int(math.Ceil(longPart*float64(len(ranked))))] {
		long[id] = true
	}
	return long
}

// ranked orders targets by rendezvous hashing, the same way on all hosts.
func (c *Chooser) ranked(key uint64, ids []string) []string {
	place := func(id string) uint64 {
		x := (xxhash.Sum64String(id) ^ key) * spreadFactor
		return (x ^ x>>29) * spreadFactor
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(place(a), place(b)) })
	return ids
}

// home returns the target whose cache is meant to hold the shared parts of a request: of the
// few that hold its first part, the first by rendezvous hashing of the last one. All hosts
// that know the same targets choose the same.
func (c *Chooser) home(now time.Duration, h Request, long map[string]bool) (id string) {
	if h.SharedTokens < sharedLeast {
		return ""
	}
	var up []string
	for id, st := range c.targets.All() {
		if !st.target.Leaving && now >= st.down && (long == nil || long[id] == (h.PromptTokens >= longPrompt)) {
			up = append(up, id)
		}
	}
	if len(up) == 0 {
		return ""
	}
	up = c.ranked(h.FirstPrefix, up)
	return c.ranked(h.LastPrefix, up[:int(math.Ceil(homePart*float64(len(up))))])[0]
}

func (st *state) paceAt(now time.Duration) float64 {
	return 1 + (st.pace-1)*math.Exp2(-float64(now-st.paced)/float64(forget))
}

func (st *state) failingAt(now time.Duration) float64 {
	return st.failing * math.Exp2(-float64(now-st.failed)/float64(forget))
}

// Result is how a request at a target ended.
type Result struct {
	Target string
	// Load is the load that was counted by Choose.
	Load float64
	// Failed holds if the target failed, Silent if it could not be reached or did not
	// answer.
	Failed, NoResponse bool
	// Pace is the ratio of the measured duration to the expected one; zero if unknown.
	Slowdown float64
}

// Finish takes the end of a request.
func (c *Chooser) Finish(now time.Duration, r Result) {
	st, ok := c.targets.Get(r.Target)
	if !ok {
		return
	}
	st.load = max(st.load-max(r.Load, minimumLoad), 0)
	sample := 0.0
	if r.Failed || r.NoResponse {
		sample = 1
	}
	st.failing, st.failed = st.failingAt(now)+learn*(sample-st.failingAt(now)), now
	if r.Slowdown > 0 {
		c.learnPool(r.Slowdown)
		st.pace, st.paced = st.paceAt(now)+learn*(min(r.Slowdown, paceMost)-st.paceAt(now)), now
	}
	if r.NoResponse {
		st.down = now + min(downFirst<<min(st.failures, 8), downMost)
		st.failures++
	} else if !r.Failed {
		st.failures, st.down = 0, 0
	}
}

// learnPool learns the pace of the pool. Steps up are three times those down, so that it
// settles where three of four samples are below it.
func (c *Chooser) learnPool(pace float64) {
	step := poolStep
	if pace > c.pace {
		step = 3 * poolStep
	}
	if pace < c.pace {
		step = -step
	}
	c.pace = min(max(c.pace*(1+step), paceLeast), poolMost)
}

// Pace returns what three of four requests to the pool stay below, as a ratio of the measured
// duration to the expected one.
func (c *Chooser) SlowdownP75() float64 { return c.pace }

// Live returns the number of targets that are neither leaving nor down.
func (c *Chooser) Available(now time.Duration) (n int) {
	for _, st := range c.targets.All() {
		if !st.target.Leaving && now >= st.down {
			n++
		}
	}
	return n
}
