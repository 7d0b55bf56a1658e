package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
)

func newScheduler(targets, slots int, p schedule.Policy) *schedule.Scheduler {
	s := schedule.New(rand.New(rand.NewPCG(1, 2)), schedule.WithPolicy(p))
	s.SetTargets(0, pool(targets, slots))
	return s
}

func pool(targets, slots int) (list []schedule.Target) {
	for i := range targets {
		list = append(list, schedule.NewTarget(fmt.Sprintf("t%d", i), "a", slots, false))
	}
	return list
}

func newCall(id schedule.ID, deadline time.Duration, options ...schedule.CallOption) schedule.Call {
	return schedule.NewCall(id, "w", deadline, append([]schedule.CallOption{schedule.WithIdempotent(true)}, options...)...)
}

// train lets the scheduler measure calls of the given service time.
func train(s *schedule.Scheduler, now, service time.Duration) time.Duration {
	for i := range 20 {
		id := schedule.ID(1_000_000 + i)
		s.Offer(now, newCall(id, now+time.Hour))
		now += service
		s.Finish(now, schedule.NewResult(id, schedule.Completed))
	}
	return now
}

// TestAdmit guards against calls that are refused though they have time, or that wait or
// run though they have none.
func TestAdmit(t *testing.T) {
	for _, test := range []struct {
		name     string
		busy     int
		deadline time.Duration
		after    time.Duration
		verdict  schedule.Verdict
		reason   reason.Reason
	}{
		{"idle", 0, time.Second, 0, schedule.Started, reason.None},
		{"idle, no time for the service", 0, 50 * ms, 0, schedule.Refused, reason.PredictedLate},
		{"idle, no time for later stages", 0, time.Second, 950 * ms, schedule.Refused, reason.PredictedLate},
		{"queue, enough time", 8, time.Second, 0, schedule.Queued, reason.None},
		{"queue, too little time", 8, 220 * ms, 0, schedule.Refused, reason.PredictedLate},
		{"long queue", 60, time.Minute, 0, schedule.Refused, reason.PredictedLate},
		{"past", 0, -1, 0, schedule.Refused, reason.DeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(2, 2, schedule.NewPolicy(schedule.WithAdaptiveLimits(false)))
			now := train(s, 0, 100*ms)
			for i := range test.busy {
				s.Offer(now, newCall(schedule.ID(i+1), now+test.deadline-1))
			}
			d := s.Offer(now, newCall(100, now+test.deadline, schedule.WithDownstreamTime(test.after)))
			is.Equal(d.Verdict(), test.verdict)
			is.Equal(d.Reason(), test.reason)
		})
	}
}

// TestAttemptTimeout guards against a silent connection that uses up the deadline, and against a
// slow call that is given up though a repeat has no better chance.
func TestAttemptTimeout(t *testing.T) {
	for _, test := range []struct {
		name        string
		trained     bool
		left        time.Duration
		least, most time.Duration
	}{
		{"nothing measured", false, 4 * time.Second, 3 * time.Second, 3 * time.Second},
		{"much time", true, time.Minute, 552 * ms, 648 * ms},
		{"time for one repeat", true, 500 * ms, 350 * ms, 400 * ms},
		{"no time for a repeat", true, 300 * ms, 300 * ms, 300 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newScheduler(2, 2, schedule.NewPolicy()), time.Duration(0)
			if test.trained {
				now = train(s, 0, 100*ms)
			}
			got := s.AttemptTimeout(now, newCall(1, now+test.left))
			is.True(got >= test.least && got <= test.most)
		})
	}
}

// TestTrial guards against a pool that refuses all work for good after a slow spell.
func TestTrial(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, 2, schedule.NewPolicy())
	now := train(s, 0, time.Minute)
	is.Equal(s.Offer(now, newCall(1, now+time.Second)).Reason(), reason.PredictedLate)
	now += 2 * time.Second
	is.Equal(s.Offer(now, newCall(2, now+time.Second)).Verdict(), schedule.Started)
	is.Equal(s.Offer(now, newCall(3, now+time.Second)).Reason(), reason.PredictedLate)
}

// TestSuspect guards against a third crash by one request, and against two suspects on
// one target, which would hide the culprit.
func TestSuspect(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, 8, schedule.NewPolicy(schedule.WithSlowDetection(false)))
	for i := range schedule.ID(3) {
		is.Equal(s.Offer(0, newCall(i, time.Hour, schedule.WithFingerprint(uint64(i+1)))).Verdict(), schedule.Started)
		s.Finish(1, schedule.NewResult(i, schedule.Crashed))
	}
	targets := make(map[string]bool)
	for i := range schedule.ID(2) {
		targets[s.Offer(2, newCall(10+i, time.Hour, schedule.WithFingerprint(uint64(i+1)))).Target()] = true
	}
	is.Equal(len(targets), 2)
	is.Equal(s.Offer(2, newCall(12, time.Hour, schedule.WithFingerprint(3))).Verdict(), schedule.Queued)
	is.Equal(s.Offer(2, newCall(13, time.Hour)).Verdict(), schedule.Started) // others go on
	s.Finish(3, schedule.NewResult(10, schedule.Crashed))
	is.Equal(s.Offer(4, newCall(14, time.Hour, schedule.WithFingerprint(1))).Reason(), reason.CrashSuspect)
	s.Finish(4, schedule.NewResult(11, schedule.Completed))
	is.Equal(s.Offer(4, newCall(15, time.Hour, schedule.WithFingerprint(2))).Verdict(), schedule.Started)
}

// TestRetry guards against retries beyond their budget.
func TestRetry(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, 100, schedule.NewPolicy(schedule.WithBudgets(0, 0)))
	is.Equal(s.Retry(0, newCall(1, time.Hour)).Reason(), reason.RetryBudgetSpent)
	s.SetPolicy(schedule.NewPolicy(schedule.WithBudgets(10, 0)))
	allowed := 0
	for i := range schedule.ID(100) {
		if s.Retry(0, newCall(i+1, time.Hour, schedule.WithAvoid("t0"))).Verdict() == schedule.Started {
			allowed++
		}
	}
	is.Equal(allowed, 10)         // the burst, as no work was offered
	is.Equal(s.Inflight("t0"), 0) // the first attempt's target
}

// TestHedge guards against a loser that keeps its slot and a command that runs twice.
func TestHedge(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		s := newScheduler(2, 8, schedule.NewPolicy())
		now := train(s, 0, 100*ms)
		s.Offer(now, newCall(1, now+time.Minute, schedule.WithIdempotent(idempotent)))
		starts := s.Tick(now + 300*ms).Starts()
		if !idempotent {
			is.Equal(len(starts), 0)
			continue
		}
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Hedge(), schedule.ID(1))
		step := s.Finish(now+400*ms, schedule.NewResult(starts[0].ID(), schedule.Completed))
		is.Equal(step.Cancels(), []schedule.ID{1})
		s.Finish(now+401*ms, schedule.NewResult(1, schedule.Cancelled))
		is.Equal(s.Inflight("t0")+s.Inflight("t1"), 0)
	}
}

// TestSwitch guards against calls that are lost, run twice or stuck when presets and
// targets change while calls are queued, hedged and cancelled.
func TestSwitch(t *testing.T) {
	is := is.New(t)
	policies := []schedule.Policy{
		schedule.NewPolicy(), schedule.Baseline(), schedule.NewPolicy(schedule.WithFairQueueing(false)),
		schedule.NewPolicy(schedule.WithLongWorkLimit(false, 100)), schedule.NewPolicy(schedule.WithBudgets(0, 0)),
	}
	m := newModel(5, 1, 10, 8, policies[0])
	m.add(load{workspace: "a", service: 50 * ms, deadline: time.Second, spread: 1, rate: constant(2 * capacity)})
	m.add(load{workspace: "b", service: time.Second, deadline: time.Minute, long: true, spread: 1, rate: constant(20)})
	for i := range 100 {
		m.run(time.Duration(i+1) * 100 * ms)
		m.hosts[0].SetPolicy(policies[i%len(policies)])
		all := make([]schedule.Target, 0, len(m.targets))
		for j, s := range m.targets {
			if (i+j)%7 > 0 {
				all = append(all, schedule.NewTarget(s.name, "a", s.slots, (i+j)%5 == 0))
			}
		}
		m.hosts[0].SetTargets(m.now, all)
	}
	m.stop = true
	m.run(2 * time.Minute)
	for _, c := range m.done {
		is.True(c.refused != (c.end > 0)) // each call has one end
	}
	is.Equal(m.hosts[0].QueueLen(), 0)
	for _, s := range m.targets {
		is.Equal(m.hosts[0].Inflight(s.name), 0)
		is.Equal(len(s.busy), 0)
	}
}
