package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
)

// grant tells a waiting call its target or why it is refused.
type grant struct {
	target string
	reason reason.Reason
}

// Gate is the scheduler of one pool with the goroutines that wait for it.
type Gate struct {
	clock func() time.Duration

	mutex     sync.Mutex
	scheduler *schedule.Scheduler
	// waiters has one entry for each queued call.
	waiters map[schedule.ID]chan grant
}

// New returns a gate without targets. The clock returns the time since process start.
func New(clock func() time.Duration, random *rand.Rand, options ...schedule.Option) *Gate {
	return &Gate{
		clock: clock, scheduler: schedule.New(random, options...),
		waiters: make(map[schedule.ID]chan grant),
	}
}

// Do runs f on the scheduler under the mutex, with the current time, and wakes the calls
// of the step that it returns.
func (g *Gate) Do(f func(now time.Duration, s *schedule.Scheduler) schedule.Step) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.wake(f(g.clock(), g.scheduler))
}

// Acquire waits for a target for the call. A reason other than None says why there is
// none. The caller reports the end of the call with Finish.
func (g *Gate) Acquire(ctx context.Context, c schedule.Call) (target string, why reason.Reason) {
	g.mutex.Lock()
	d := g.scheduler.Offer(g.clock(), c)
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
func (g *Gate) abandon(id schedule.ID, waiter chan grant) (target string, why reason.Reason) {
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
	return "", reason.Deadline
}

// Finish reports the end of a call.
func (g *Gate) Finish(r schedule.Result) {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Step { return s.Finish(now, r) })
}

// Tick runs the periodic decisions.
func (g *Gate) Tick() {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Step { return s.Tick(now) })
}

// SetPolicy replaces the knobs of the scheduler.
func (g *Gate) SetPolicy(p schedule.Policy) {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Step {
		s.SetPolicy(p)
		return s.Tick(now)
	})
}

// SetTargets replaces the targets of the pool.
func (g *Gate) SetTargets(targets []schedule.Target) {
	g.Do(func(now time.Duration, s *schedule.Scheduler) schedule.Step {
		s.SetTargets(now, targets)
		return s.Tick(now)
	})
}

// Snapshot returns the present state of the scheduler.
func (g *Gate) Snapshot() schedule.Snapshot {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.Snapshot()
}

func (g *Gate) wake(step schedule.Step) {
	for _, start := range step.Starts() {
		g.give(start.ID(), grant{target: start.Target()})
	}
	for _, refusal := range step.Refusals() {
		g.give(refusal.ID(), grant{reason: refusal.Reason()})
	}
}

func (g *Gate) give(id schedule.ID, won grant) {
	if waiter, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		waiter <- won
	}
}
