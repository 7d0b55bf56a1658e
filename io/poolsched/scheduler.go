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

	mutex     sync.Mutex
	scheduler *schedule.Scheduler
	// waiters has one entry for each queued call.
	waiters map[schedule.ID]chan grant
	// runners has the calls in flight that can be hedged and cancelled.
	runners map[schedule.ID]CallHandler
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
		clock: clock, scheduler: schedule.New(random, options...),
		waiters: make(map[schedule.ID]chan grant), runners: make(map[schedule.ID]CallHandler),
	}
}

// Do runs f on the scheduler under the mutex, with the current time, and wakes the calls
// of the step that it returns.
func (g *Scheduler) Do(f func(now time.Duration, s *schedule.Scheduler) schedule.Actions) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.wake(f(g.clock(), g.scheduler))
}

// Acquire waits for a target for the call. A reason other than None says why there is
// none. The caller reports the end of the call with Finish.
func (g *Scheduler) Acquire(ctx context.Context, c schedule.Call) (target string, why reason.Reason) {
	return g.acquire(ctx, c, (*schedule.Scheduler).Offer)
}

// Retry waits like Acquire, for one more attempt of a call. It draws on the retry budget.
func (g *Scheduler) Retry(ctx context.Context, c schedule.Call) (target string, why reason.Reason) {
	return g.acquire(ctx, c, (*schedule.Scheduler).Retry)
}

func (g *Scheduler) acquire(ctx context.Context, c schedule.Call, ask func(*schedule.Scheduler, time.Duration, schedule.Call) schedule.Decision) (target string, why reason.Reason) {
	g.mutex.Lock()
	d := ask(g.scheduler, g.clock(), c)
	if d.Verdict() != schedule.Queued {
		g.mutex.Unlock()
		return d.Target(), d.Reason()
	}
	waiter := make(chan grant, 1)
	g.waiters[c.ID()] = waiter
	g.mutex.Unlock()

	select {
	case won := <-waiter:
		return won.target, won.reason
	case <-ctx.Done():
		return g.abandon(c.ID(), waiter)
	}
}

// abandon withdraws a call whose caller no longer waits. A grant that was given in the
// meantime is handed back, so that its slot is not lost.
func (g *Scheduler) abandon(id schedule.ID, waiter chan grant) (target string, why reason.Reason) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case won := <-waiter:
		if won.reason == reason.None {
			g.wake(g.scheduler.Finish(g.clock(), schedule.NewResult(id, schedule.Cancelled)))
		}
	default:
		delete(g.waiters, id)
		g.scheduler.Cancel(g.clock(), id)
	}
	return "", reason.DeadlineExceeded
}

// Watch makes a call in flight known by its owner until Finish. It reports false if the
// call is no longer in flight.
func (g *Scheduler) Register(id schedule.ID, r CallHandler) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.scheduler.Running(id) {
		return false
	}
	g.runners[id] = r
	return true
}

// Finish reports the end of a call.
func (g *Scheduler) Finish(r schedule.Result) {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Actions {
		delete(g.runners, r.ID())
		return s.Finish(now, r)
	})
}

// Expect returns the time that the pool is expected to need for a call.
func (g *Scheduler) ExpectedTime(c schedule.Call) (d time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.ExpectedTime(g.clock(), c)
}

// AttemptTimeout returns how long an attempt of a call may take before it is given up.
func (g *Scheduler) AttemptTimeout(c schedule.Call) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.AttemptTimeout(g.clock(), c)
}

// Learn takes a fact of another host about a crash suspect.
func (g *Scheduler) MergeCrash(f suspect.CrashRecord) {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Actions {
		s.Suspects().Merge(now, f)
		return schedule.Actions{}
	})
}

// SetShares replaces the weights of the workspaces.
func (g *Scheduler) SetShares(shares map[string]int) {
	g.Do(func(_ time.Duration, s *schedule.Scheduler) schedule.Actions {
		s.SetShares(shares)
		return schedule.Actions{}
	})
}

// Tick runs the periodic decisions.
func (g *Scheduler) Tick() {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Actions { return s.Tick(now) })
}

// SetPolicy replaces the knobs of the scheduler.
func (g *Scheduler) SetPolicy(p schedule.Policy) {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Actions {
		s.SetPolicy(p)
		return s.Tick(now)
	})
}

// SetTargets replaces the targets of the pool.
func (g *Scheduler) SetTargets(targets []schedule.Target) {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Actions {
		s.SetTargets(now, targets)
		return s.Tick(now)
	})
}

// Snapshot returns the present state of the scheduler.
func (g *Scheduler) Snapshot() schedule.Snapshot {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.Snapshot()
}

func (g *Scheduler) wake(step schedule.Actions) {
	for _, start := range step.Starts() {
		if start.Hedge() == 0 {
			g.give(start.ID(), grant{target: start.Target()})
		} else if r, ok := g.runners[start.Hedge()]; ok {
			r.Hedge(start.ID(), start.Target())
		} else {
			g.discard(start.ID())
		}
	}
	for _, id := range step.Cancels() {
		if r, ok := g.runners[id]; ok {
			r.Cancel()
		} else {
			g.discard(id)
		}
	}
	for _, refusal := range step.Refusals() {
		g.give(refusal.ID(), grant{reason: refusal.Reason()})
	}
}

// discard hands back the slot of a call that nobody serves.
func (g *Scheduler) discard(id schedule.ID) {
	g.wake(g.scheduler.Finish(g.clock(), schedule.NewResult(id, schedule.Cancelled)))
}

func (g *Scheduler) give(id schedule.ID, won grant) {
	if waiter, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		waiter <- won
	}
}
