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

// newScheduler returns a scheduler with one target of one slot and a clock that stands still.
func newScheduler() *poolsched.Scheduler {
	s := poolsched.New(func() time.Duration { return 0 }, rand.New(rand.NewPCG(1, 2)), schedule.WithPolicy(schedule.Baseline()))
	s.SetTargets([]schedule.Target{schedule.NewTarget("t1", "a", 1, false)})
	return s
}

func call(id schedule.ID) schedule.Call { return schedule.NewCall(id, "thun", time.Hour) }

func inflight(s *poolsched.Scheduler) int { return s.Snapshot().Targets()[0].Inflight() }

// waitQueued waits until the given number of calls is queued.
func waitQueued(s *poolsched.Scheduler, calls int) {
	for s.Snapshot().Queued() != calls {
		time.Sleep(time.Millisecond)
	}
}

// TestAcquireQueued guards against a queued call that is not woken when a slot is released.
func TestAcquireQueued(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	target, why := s.Acquire(context.Background(), call(1))
	is.Equal(target, "t1")
	is.Equal(why, reason.None)
	got := make(chan string)
	go func() {
		target, _ := s.Acquire(context.Background(), call(2))
		got <- target
	}()
	waitQueued(s, 1)
	s.Finish(schedule.NewResult(1, schedule.Completed))
	is.Equal(<-got, "t1")
	is.Equal(inflight(s), 1)
}

// TestCancel guards against a cancelled call that stays queued and later occupies a slot without
// running.
func TestCancel(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	_, _ = s.Acquire(context.Background(), call(1))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan reason.Reason)
	go func() {
		_, why := s.Acquire(ctx, call(2))
		ended <- why
	}()
	waitQueued(s, 1)
	cancel()
	is.Equal(<-ended, reason.DeadlineExceeded)
	is.Equal(s.Snapshot().Queued(), 0)
	s.Finish(schedule.NewResult(1, schedule.Completed))
	is.Equal(inflight(s), 0)
}

// TestGrantCancelRace guards against a slot leak when a grant races with the cancellation of the
// waiting call: whichever comes first, the slot ends up free or held by the call that got it.
func TestGrantCancelRace(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	granted, cancelled := 0, 0
	for i := range 2_000 {
		first, second := schedule.ID(2*i+1), schedule.ID(2*i+2)
		is.Equal(inflight(s), 0) // the previous iteration released its slot
		target, _ := s.Acquire(context.Background(), call(first))
		is.Equal(target, "t1")
		ctx, cancel := context.WithCancel(context.Background())
		var both sync.WaitGroup
		var won string
		both.Go(func() { won, _ = s.Acquire(ctx, call(second)) })
		waitQueued(s, 1)
		start := make(chan struct{})
		both.Go(func() {
			<-start
			cancel()
		})
		both.Go(func() {
			<-start
			s.Finish(schedule.NewResult(first, schedule.Completed))
		})
		close(start)
		both.Wait()
		if won == "" {
			cancelled++
			continue
		}
		granted++
		is.Equal(won, "t1")
		s.Finish(schedule.NewResult(second, schedule.Completed))
	}
	is.Equal(inflight(s), 0)
	is.Equal(s.Snapshot().Queued(), 0)
	t.Logf("%d granted, %d cancelled", granted, cancelled)
}

// TestRefused guards against a waiting call that is not woken when it is refused.
func TestRefused(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	var mutex sync.Mutex
	clock := func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		return now
	}
	s := poolsched.New(clock, rand.New(rand.NewPCG(1, 2)), schedule.WithPolicy(schedule.Baseline()))
	_, why := s.Acquire(context.Background(), call(1))
	is.Equal(why, reason.NoTargets)
	s.SetTargets([]schedule.Target{schedule.NewTarget("t1", "a", 1, false)})
	_, _ = s.Acquire(context.Background(), call(2))
	ended := make(chan reason.Reason)
	go func() {
		_, why := s.Acquire(context.Background(), call(3))
		ended <- why
	}()
	waitQueued(s, 1)
	mutex.Lock()
	now = time.Hour
	mutex.Unlock()
	s.Tick()
	is.True(<-ended != reason.None)
}
