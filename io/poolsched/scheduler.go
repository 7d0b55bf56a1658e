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

// waitResult is the decision on a queued call: its target, or the reason for its refusal.
type waitResult struct {
	target string
	reason reason.Reason
}

// Scheduler schedules the calls of one pool and lets goroutines wait for its decisions. It is safe
// for concurrent use.
type Scheduler struct {
	clock func() time.Duration

	mutex sync.Mutex
	core  *schedule.Scheduler
	// waiters has the channel of each queued call.
	waiters map[schedule.ID]chan waitResult
	// handlers has the handlers of the calls in flight that can be hedged and cancelled.
	handlers map[schedule.ID]CallHandler
}

// CallHandler controls a call in flight. Its methods are called with the mutex of the Scheduler
// held and must not block or call the Scheduler.
type CallHandler interface {
	// Hedge starts a second call with the given ID on the target. Its end is reported with
	// Finish.
	Hedge(id schedule.ID, target string)
	// Cancel ends the call, because the other call of the hedged pair has completed first.
	Cancel()
}

// New returns a Scheduler without targets. The clock returns the time since process start.
func New(clock func() time.Duration, random *rand.Rand, options ...schedule.Option) *Scheduler {
	return &Scheduler{
		clock: clock, core: schedule.New(random, options...),
		waiters: make(map[schedule.ID]chan waitResult), handlers: make(map[schedule.ID]CallHandler),
	}
}

// Do runs f on the underlying scheduler with the mutex held and applies the actions that it
// returns.
func (s *Scheduler) Do(f func(now time.Duration, core *schedule.Scheduler) schedule.Actions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(f(s.clock(), s.core))
}

// Acquire waits until the call gets a target. A reason other than None says why it gets none.
// The caller of Acquire reports the end of the call with Finish.
func (s *Scheduler) Acquire(ctx context.Context, c schedule.Call) (target string, why reason.Reason) {
	return s.acquire(ctx, c, (*schedule.Scheduler).Offer)
}

// Retry is like Acquire, for a further attempt of a call. It draws on the retry budget.
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
	waiter := make(chan waitResult, 1)
	s.waiters[c.ID()] = waiter
	s.mutex.Unlock()

	select {
	case result := <-waiter:
		return result.target, result.reason
	case <-ctx.Done():
		return s.abandon(c.ID(), waiter)
	}
}

// abandon removes a call whose caller no longer waits. If a target was granted in the meantime,
// its slot is released.
func (s *Scheduler) abandon(id schedule.ID, waiter chan waitResult) (target string, why reason.Reason) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case result := <-waiter:
		if result.reason == reason.None {
			s.apply(s.core.Finish(s.clock(), schedule.NewResult(id, schedule.Cancelled)))
		}
	default:
		delete(s.waiters, id)
		s.core.Cancel(s.clock(), id)
	}
	return "", reason.DeadlineExceeded
}

// Register sets the handler of a call in flight until Finish. It returns false if the call is no
// longer in flight.
func (s *Scheduler) Register(id schedule.ID, h CallHandler) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.core.Running(id) {
		return false
	}
	s.handlers[id] = h
	return true
}

// Finish reports the result of a call.
func (s *Scheduler) Finish(r schedule.Result) {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions {
		delete(s.handlers, r.ID())
		return core.Finish(now, r)
	})
}

// ExpectedTime returns the time that the pool is expected to need for a call.
func (s *Scheduler) ExpectedTime(c schedule.Call) (d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.ExpectedTime(s.clock(), c)
}

// AttemptTimeout returns how long an attempt of a call may take before it is abandoned.
func (s *Scheduler) AttemptTimeout(c schedule.Call) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.AttemptTimeout(s.clock(), c)
}

// MergeCrash merges the crash record of another host.
func (s *Scheduler) MergeCrash(record suspect.CrashRecord) {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions {
		core.Suspects().Merge(now, record)
		return schedule.Actions{}
	})
}

// MergePart merges the record that another host made some time (age) ago of a crash by a part of
// prompts.
func (s *Scheduler) MergePart(age time.Duration, record suspect.PartRecord) {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions {
		core.Parts().Merge(now, age, record)
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

// Tick makes the periodic decisions.
func (s *Scheduler) Tick() {
	s.Do(func(now time.Duration, core *schedule.Scheduler) schedule.Actions { return core.Tick(now) })
}

// SetPolicy replaces the scheduling policy.
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

// Snapshot returns the current state of the scheduler.
func (s *Scheduler) Snapshot() schedule.Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Snapshot()
}

func (s *Scheduler) apply(actions schedule.Actions) {
	for _, start := range actions.Starts() {
		if start.Hedge() == 0 {
			s.deliver(start.ID(), waitResult{target: start.Target()})
		} else if h, ok := s.handlers[start.Hedge()]; ok {
			h.Hedge(start.ID(), start.Target())
		} else {
			s.release(start.ID())
		}
	}
	for _, id := range actions.Cancels() {
		if h, ok := s.handlers[id]; ok {
			h.Cancel()
		} else {
			s.release(id)
		}
	}
	for _, refusal := range actions.Refusals() {
		s.deliver(refusal.ID(), waitResult{reason: refusal.Reason()})
	}
}

// release frees the slot of a call that no handler runs.
func (s *Scheduler) release(id schedule.ID) {
	s.apply(s.core.Finish(s.clock(), schedule.NewResult(id, schedule.Cancelled)))
}

func (s *Scheduler) deliver(id schedule.ID, result waitResult) {
	if waiter, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		waiter <- result
	}
}
