package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasward/core/reason"
	"sassafrasward/core/table"
)

const defaultQueue = 1_000 // calls

// Scheduler schedules the calls of one pool on one host. It is not safe for concurrent
// use.
type Scheduler struct {
	random  *rand.Rand
	policy  Policy
	targets *table.Table[string, *state]
	queue   []Call
	running map[ID]running
}

// state is a target with what this host knows of it.
type state struct {
	target Target
	// inflight is the number of entries of running on this target.
	inflight int
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithPolicy sets the policy to start with.
func WithPolicy(p Policy) Option { return func(s *Scheduler) { s.policy = p } }

// New returns a scheduler without targets.
func New(random *rand.Rand, options ...Option) *Scheduler {
	s := &Scheduler{
		random: random, policy: NewPolicy(),
		targets: table.New[string, *state](), running: make(map[ID]running),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetPolicy replaces the knobs; queued calls stay queued.
func (s *Scheduler) SetPolicy(p Policy) { s.policy = p }

// Retry asks to repeat a call on another target. Unlike Offer it draws on the retry
// budget of the pool and refuses with Budget when that is spent.
func (s *Scheduler) Retry(now time.Duration, c Call) Decision { return s.Offer(now, c) }

// SetTargets replaces the targets of the pool. Calls in flight on removed targets go on.
func (s *Scheduler) SetTargets(_ time.Duration, targets []Target) {
	next := table.New[string, *state]()
	for _, t := range targets {
		st, ok := s.targets.Get(t.name)
		if !ok {
			st = &state{}
		}
		st.target = t
		next.Put(t.name, st)
	}
	s.targets = next
}

// Offer asks to run a call now or later.
func (s *Scheduler) Offer(now time.Duration, c Call) Decision {
	if now >= c.deadline {
		return Decision{verdict: Refused, reason: reason.Deadline}
	}
	if !s.live() {
		return Decision{verdict: Refused, reason: reason.Empty}
	}
	if target, ok := s.pick(c); ok {
		s.start(now, c, target)
		return Decision{verdict: Started, target: target}
	}
	if len(s.queue) >= s.policy.queue {
		return Decision{verdict: Refused, reason: reason.Overload}
	}
	s.queue = append(s.queue, c)
	return Decision{verdict: Queued}
}

// Finish reports the end of a call and returns the calls that start in its place.
func (s *Scheduler) Finish(now time.Duration, r Result) Step {
	run, ok := s.running[r.id]
	if !ok {
		return Step{}
	}
	delete(s.running, r.id)
	if st, ok := s.targets.Get(run.target); ok {
		st.inflight--
	}
	return Step{starts: s.drain(now)}
}

// Cancel removes a queued call and reports whether it was queued.
func (s *Scheduler) Cancel(_ time.Duration, id ID) bool {
	n := len(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(c Call) bool { return c.id == id })
	return len(s.queue) < n
}

// Tick drops calls that can no longer make their deadline and starts what fits.
func (s *Scheduler) Tick(now time.Duration) Step {
	var step Step
	s.queue = slices.DeleteFunc(s.queue, func(c Call) bool {
		if now < c.deadline {
			return false
		}
		step.refusals = append(step.refusals, Refusal{id: c.id, reason: reason.Deadline})
		return true
	})
	step.starts = s.drain(now)
	return step
}

// Waiting returns the number of queued calls.
func (s *Scheduler) Waiting() int { return len(s.queue) }

// Inflight returns the number of calls that run on the target.
func (s *Scheduler) Inflight(target string) int {
	if st, ok := s.targets.Get(target); ok {
		return st.inflight
	}
	return 0
}

func (s *Scheduler) drain(now time.Duration) (starts []Start) {
	for len(s.queue) > 0 {
		target, ok := s.pick(s.queue[0])
		if !ok {
			return starts
		}
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.start(now, c, target)
		starts = append(starts, Start{id: c.id, target: target})
	}
	return starts
}

func (s *Scheduler) start(now time.Duration, c Call, target string) {
	st, _ := s.targets.Get(target)
	st.inflight++
	s.running[c.id] = running{call: c, target: target, since: now}
}

func (s *Scheduler) live() bool {
	for _, st := range s.targets.All() {
		if !st.target.leaving {
			return true
		}
	}
	return false
}

// pick returns the target with the least load that has room; targets that the call
// avoids come last.
func (s *Scheduler) pick(c Call) (target string, ok bool) {
	best := 0.0
	for name, st := range s.targets.All() {
		if st.target.leaving || st.inflight >= st.target.slots {
			continue
		}
		load := float64(st.inflight)/float64(st.target.slots) + s.random.Float64()/1000
		if slices.Contains(c.avoid, name) {
			load++
		}
		if !ok || load < best {
			best, target, ok = load, name, true
		}
	}
	return target, ok
}
