package poolsched_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/poolsched"
)

// newGate returns a gate with one target of one slot and a clock that stands still.
func newGate() *poolsched.Scheduler {
	g := poolsched.New(func() time.Duration { return 0 }, rand.New(rand.NewPCG(1, 2)), schedule.WithPolicy(schedule.Baseline()))
	g.SetTargets([]schedule.Target{schedule.NewTarget("t1", "a", 1, false)})
	return g
}

func call(id schedule.ID) schedule.Call { return schedule.NewCall(id, "thun", time.Hour) }

func inflight(g *poolsched.Scheduler) int { return g.Snapshot().Targets()[0].Inflight() }

// waitQueued waits until the given number of calls is queued.
func waitQueued(g *poolsched.Scheduler, calls int) {
	for g.Snapshot().Queued() != calls {
		time.Sleep(time.Millisecond)
	}
}

// TestGrant guards against a queued call that is not woken when a slot gets free.
func TestAcquireQueued(t *testing.T) {
	is := is.New(t)
	g := newGate()
	target, why := g.Acquire(context.Background(), call(1))
	is.Equal(target, "t1")
	is.Equal(why, reason.None)
	got := make(chan string)
	go func() {
		target, _ := g.Acquire(context.Background(), call(2))
		got <- target
	}()
	waitQueued(g, 1)
	g.Finish(schedule.NewResult(1, schedule.Completed))
	is.Equal(<-got, "t1")
	is.Equal(inflight(g), 1)
}

// TestCancel guards against a cancelled call that stays queued and later takes a slot that
// nobody uses.
func TestCancel(t *testing.T) {
	is := is.New(t)
	g := newGate()
	_, _ = g.Acquire(context.Background(), call(1))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan reason.Reason)
	go func() {
		_, why := g.Acquire(ctx, call(2))
		ended <- why
	}()
	waitQueued(g, 1)
	cancel()
	is.Equal(<-ended, reason.DeadlineExceeded)
	is.Equal(g.Snapshot().Queued(), 0)
	g.Finish(schedule.NewResult(1, schedule.Completed))
	is.Equal(inflight(g), 0)
}

// TestRace guards against a slot that is lost when a grant races with the end of the wait:
// whichever comes first, the slot is free afterwards or belongs to a call that was told so.
func TestGrantCancelRace(t *testing.T) {
	is := is.New(t)
	g := newGate()
	granted, cancelled := 0, 0
	for i := range 2_000 {
		first, second := schedule.ID(2*i+1), schedule.ID(2*i+2)
		is.Equal(inflight(g), 0) // the slot of the round before is free
		target, _ := g.Acquire(context.Background(), call(first))
		is.Equal(target, "t1")
		ctx, cancel := context.WithCancel(context.Background())
		var both sync.WaitGroup
		var won string
		both.Go(func() { won, _ = g.Acquire(ctx, call(second)) })
		waitQueued(g, 1)
		start := make(chan struct{})
		both.Go(func() {
			<-start
			cancel()
		})
		both.Go(func() {
			<-start
			g.Finish(schedule.NewResult(first, schedule.Completed))
		})
		close(start)
		both.Wait()
		if won == "" {
			cancelled++
			continue
		}
		granted++
		is.Equal(won, "t1")
		g.Finish(schedule.NewResult(second, schedule.Completed))
	}
	is.Equal(inflight(g), 0)
	is.Equal(g.Snapshot().Queued(), 0)
	t.Logf("%d granted, %d cancelled", granted, cancelled)
}

// TestRefused guards against a waiter that is not told that its call will not run.
func TestRefused(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	var mutex sync.Mutex
	clock := func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		return now
	}
	g := poolsched.New(clock, rand.New(rand.NewPCG(1, 2)), schedule.WithPolicy(schedule.Baseline()))
	_, why := g.Acquire(context.Background(), call(1))
	is.Equal(why, reason.NoTargets)
	g.SetTargets([]schedule.Target{schedule.NewTarget("t1", "a", 1, false)})
	_, _ = g.Acquire(context.Background(), call(2))
	ended := make(chan reason.Reason)
	go func() {
		_, why := g.Acquire(context.Background(), call(3))
		ended <- why
	}()
	waitQueued(g, 1)
	mutex.Lock()
	now = time.Hour
	mutex.Unlock()
	g.Tick()
	is.True(<-ended != reason.None)
}
