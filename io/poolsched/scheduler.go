package poolsched

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/core/suspect"
)

// grant tells a waiting call its target or why it is refused.
type grant struct {
	target string
	reason reason.Reason
}

// Gate is the scheduler of one pool with the goroutines that wait for it.
type Scheduler struct {
	clock func() time.Duration

	mutex sync.Mutex
	core  *schedule.Scheduler
	// waiters has one entry for each queued call.
	waiters map[schedule.ID]chan grant
	// runners has the calls in flight that can be hedged and cancelled.
	handlers map[schedule.ID]CallHandler
}

// Run is a call in flight as its owner serves it. Its functions are called under the mutex
// of the gate and must not block or call the gate.
type CallHandler interface {
	// Hedge starts a second call on the target. Its end is reported with Finish.
	Hedge(id schedule.ID, target string)
	// Cancel ends the call, because the other call of the pair has won.
	Cancel()
}

// New returns a gate without targets. The clock returns the time since process start.
func New(clock func() time.Duration, random *rand.Rand, options ...schedule.Option) *Scheduler {
	return &Scheduler{
		clock: clock, core: schedule.New(random, options...),
		waiters: make(map[schedule.ID]chan grant), handlers: make(map[schedule.ID]CallHandler),
	}
}

// Do runs f on the scheduler under the mutex, with the current time, and wakes the calls
// of the step that it returns.
func (s *Scheduler) Do(f func(now time.Duration, core *schedule.Scheduler) schedule.Actions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(f(s.clock(), s.core))
}

// Acquire waits for a target for the call. A reason other than None says why there is
// none. The caller reports the end of the call with Finish.
func (s *Scheduler) Acquire(ctx context.Context, c schedule.Call) (target string, why reason.Reason) {
	return s.acquire(ctx, c, (*schedule.Scheduler).Offer)
}

// Retry waits like Acquire, for one more attempt of a call. It draws on the retry budget.
func (s *Scheduler) Retry(ctx context.Context, c schedule.Call) (target string, why reason.Reason) {
	return s.acquire(ctx, c, (*schedule.Scheduler).Retry)
}

func (s *Scheduler) acquire(ctx context.Context, c schedule.Call, submit func(*schedule.Scheduler, time.Duration, schedule.Call) schedule.Decision) (target string, why reason.Reason) {
	s.mutex.Lock()
	d := submit(s.core, s.clock(), c)
	if d.Verdict() != schedule.Queued {
		s.mutex.Unlock()
		return d.Target(), d.Reason()
	}
	waiter := make(chan grant, 1)
	s.waiters[c.ID()] = waiter
	s.mutex.Unlock()

	select {
	case granted := <-waiter:
		return granted.target, granted.reason
	case <-ctx.Done():
		return s.abandon(c.ID(), waiter)
	}
}

// abandon withdraws a call whose caller no longer waits. A grant that was given in the
// meantime is handed back, so that its slot is not lost.
func (s *Scheduler) abandon(id schedule.ID, waiter chan grant) (target string, why reason.Reason) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case granted := <-waiter:
		if granted.reason == reason.None {
			s.apply(s.core.Finish(s.clock(), schedule.NewResult(id, schedule.Cancelled)))
		}
	default:
		delete(s.waiters, id)
		s.core.Cancel(s.clock(), id)
	}
	return "", reason.DeadlineExceeded
}

// Watch makes a call in flight known by its owner until Finish. It reports false if the
// call is no longer in flight.
func (s *Scheduler) Register(id schedule.ID, r CallHandler) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.core.Running(id) {
		return false
	}
	s.handlers[id] = r
	return true
}

// Finish reports the end of a call.
func (s *Scheduler) Finish(r schedule.Result) {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions {
		delete(s.handlers, r.ID())
		return core.Finish(now, r)
	})
}

// Expect returns the time that the pool is expected to need for a call.
func (s *Scheduler) ExpectedTime(c schedule.Call) (d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.ExpectedTime(s.clock(), c)
}

// AttemptTimeout returns how long an attempt of a call may take before it is given up.
func (s *Scheduler) AttemptTimeout(c schedule.Call) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.AttemptTimeout(s.clock(), c)
}

// Learn takes a fact of another host about a crash suspect.
func (s *Scheduler) MergeCrash(f suspect.CrashRecord) {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions {
		core.Suspects().Merge(now, f)
		return schedule.Actions{}
	})
}

// SetShares replaces the weights of the workspaces.
func (s *Scheduler) SetShares(shares map[string]int) {
	s.Do(func(_ time.Duration, core *schedule.Scheduler) schedule.Actions {
		core.SetShares(shares)
		return schedule.Actions{}
	})
}

// Tick runs the periodic decisions.
func (s *Scheduler) Tick() {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions { return core.Tick(now) })
}

// SetPolicy replaces the knobs of the scheduler.
func (s *Scheduler) SetPolicy(p schedule.Policy) {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions {
		core.SetPolicy(p)
		return core.Tick(now)
	})
}

// SetTargets replaces the targets of the pool.
func (s *Scheduler) SetTargets(targets []schedule.Target) {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions {
		core.SetTargets(now, targets)
		return core.Tick(now)
	})
}

// Snapshot returns the present state of the scheduler.
func (s *Scheduler) Snapshot() schedule.Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Snapshot()
}

func (s *Scheduler) apply(actions schedule.Actions) {
	for _, start := range actions.Starts() {
		if start.Hedge() == 0 {
			s.deliver(start.ID(), grant{target: start.Target()})
		} else if r, ok := s.handlers[start.Hedge()]; ok {
			r.Hedge(start.ID(), start.Target())
		} else {
			s.release(start.ID())
		}
	}
	for _, id := range actions.Cancels() {
		if r, ok := s.handlers[id]; ok {
			r.Cancel()
		} else {
			s.release(id)
		}
	}
	for _, refusal := range actions.Refusals() {
		s.deliver(refusal.ID(), grant{reason: refusal.Reason()})
	}
}

// discard hands back the slot of a call that nobody serves.
func (s *Scheduler) release(id schedule.ID) {
	s.apply(s.core.Finish(s.clock(), schedule.NewResult(id, schedule.Cancelled)))
}

func (s *Scheduler) deliver(id schedule.ID, result grant) {
	if waiter, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		waiter <- result
	}
}
