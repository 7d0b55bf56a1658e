package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/core/suspect"
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

// warmUp runs 20 calls, so that the scheduler has measured the given service time.
func warmUp(s *schedule.Scheduler, now, service time.Duration) time.Duration {
	for i := range 20 {
		id := schedule.ID(1_000_000 + i)
		s.Offer(now, newCall(id, now+time.Hour))
		now += service
		s.Finish(now, schedule.NewResult(id, schedule.Completed))
	}
	return now
}

// TestAdmission guards against calls that are refused though they can meet their deadline,
// and against calls that are queued or run though they cannot.
func TestAdmission(t *testing.T) {
	for _, test := range []struct {
		name           string
		offered        int
		deadline       time.Duration
		downstreamTime time.Duration
		verdict        schedule.Verdict
		reason         reason.Reason
	}{
		{"idle", 0, time.Second, 0, schedule.Started, reason.None},
		{"idle, no time for the service", 0, 50 * ms, 0, schedule.Refused, reason.PredictedLate},
		{"idle, no time for later stages", 0, time.Second, 950 * ms, schedule.Refused, reason.PredictedLate},
		{"queue, enough time", 8, time.Second, 0, schedule.Queued, reason.None},
		{"queue, too little time", 8, 220 * ms, 0, schedule.Refused, reason.PredictedLate},
		{"long queue", 60, time.Minute, 0, schedule.Refused, reason.PredictedLate},
		{"deadline passed", 0, -1, 0, schedule.Refused, reason.DeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(2, 2, schedule.NewPolicy(schedule.WithAdaptiveLimits(false)))
			now := warmUp(s, 0, 100*ms)
			for i := range test.offered {
				s.Offer(now, newCall(schedule.ID(i+1), now+test.deadline-1))
			}
			d := s.Offer(now, newCall(100, now+test.deadline, schedule.WithDownstreamTime(test.downstreamTime)))
			is.Equal(d.Verdict(), test.verdict)
			is.Equal(d.Reason(), test.reason)
		})
	}
}

// TestAttemptTimeout guards against an unresponsive connection that uses up the deadline, and
// against a slow call that is given up though a retry would have too little time.
func TestAttemptTimeout(t *testing.T) {
	for _, test := range []struct {
		name        string
		measured    bool
		left        time.Duration
		least, most time.Duration
	}{
		{"nothing measured", false, 4 * time.Second, 3 * time.Second, 3 * time.Second},
		{"much time", true, time.Minute, 552 * ms, 648 * ms},
		{"time for one retry", true, 500 * ms, 350 * ms, 400 * ms},
		{"no time for a retry", true, 300 * ms, 300 * ms, 300 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newScheduler(2, 2, schedule.NewPolicy()), time.Duration(0)
			if test.measured {
				now = warmUp(s, 0, 100*ms)
			}
			got := s.AttemptTimeout(now, newCall(1, now+test.left))
			is.True(got >= test.least && got <= test.most)
		})
	}
}

// TestTrialCall guards against a pool that refuses all work forever after a slow period,
// because no new measurement corrects the estimate.
func TestTrialCall(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, 2, schedule.NewPolicy())
	now := warmUp(s, 0, time.Minute)
	is.Equal(s.Offer(now, newCall(1, now+time.Second)).Reason(), reason.PredictedLate)
	now += 2 * time.Second
	is.Equal(s.Offer(now, newCall(2, now+time.Second)).Verdict(), schedule.Started)
	is.Equal(s.Offer(now, newCall(3, now+time.Second)).Reason(), reason.PredictedLate)
}

// TestCrashSuspects guards against a third crash caused by one request, and against two
// suspects on one target, where a crash would not show which of them caused it.
func TestCrashSuspects(t *testing.T) {
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
	is.Equal(s.Offer(2, newCall(13, time.Hour)).Verdict(), schedule.Started) // not a suspect
	s.Finish(3, schedule.NewResult(10, schedule.Crashed))
	is.Equal(s.Offer(4, newCall(14, time.Hour, schedule.WithFingerprint(1))).Reason(), reason.CrashSuspect)
	s.Finish(4, schedule.NewResult(11, schedule.Completed))
	is.Equal(s.Offer(4, newCall(15, time.Hour, schedule.WithFingerprint(2))).Verdict(), schedule.Started)
}

// TestQueuedCrashSuspects guards against a call that crashes another target because the evidence
// against it came while it was queued or deferred.
func TestQueuedCrashSuspects(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, 1, schedule.NewPolicy(schedule.WithSlowDetection(false)))
	for i := range schedule.ID(2) {
		is.Equal(s.Offer(0, newCall(i, time.Hour)).Verdict(), schedule.Started)
	}
	is.Equal(s.Offer(0, newCall(2, time.Hour, schedule.WithFingerprint(1))).Verdict(), schedule.Queued)
	is.Equal(s.Offer(0, newCall(3, time.Hour)).Verdict(), schedule.Queued)
	s.Suspects().Merge(1, suspect.NewCrashRecord(1, "other", suspect.RefuseThreshold, 0))
	actions := s.Finish(2, schedule.NewResult(0, schedule.Completed))
	is.Equal(len(actions.Refusals()), 1)
	is.Equal(actions.Refusals()[0].ID(), schedule.ID(2))
	is.Equal(actions.Refusals()[0].Reason(), reason.CrashSuspect)
	is.Equal(len(actions.Starts()), 1)
	is.Equal(actions.Starts()[0].ID(), schedule.ID(3))
}

// TestPrefixThatCrashesTargets guards against calls that crash target after target, because all have a
// prompt prefix that does so and differ in their input, and against refusing other calls with them.
func TestPrefixThatCrashesTargets(t *testing.T) {
	is := is.New(t)
	var records []suspect.PartRecord
	parts := suspect.NewParts(func(r suspect.PartRecord) { records = append(records, r) })
	s := schedule.New(rand.New(rand.NewPCG(1, 2)), schedule.WithPolicy(schedule.NewPolicy(schedule.WithSlowDetection(false))), schedule.WithParts("a", parts))
	s.SetTargets(0, pool(2, 8))
	call := func(id schedule.ID, prefix uint64) schedule.Call {
		return newCall(id, time.Hour, schedule.WithPrefix(prefix), schedule.WithFingerprint(uint64(100+id)))
	}
	now := time.Duration(0)
	for i := range schedule.ID(3) {
		now += time.Second
		is.Equal(s.Offer(now, call(i, 7)).Verdict(), schedule.Started)
		s.Offer(now, call(10+i, 8))
		s.Finish(now, schedule.NewResult(i, schedule.Crashed))
		s.Finish(now, schedule.NewResult(10+i, schedule.Crashed, schedule.WithProgress(suspect.Underway))) // was there as well
	}
	is.Equal(s.Offer(now, call(20, 7)).Reason(), reason.CrashSuspect)
	is.Equal(s.Offer(now, call(21, 8)).Verdict(), schedule.Started)
	other := newScheduler(2, 8, schedule.NewPolicy())
	for i, r := range records {
		other.Parts().Merge(now, time.Duration(len(records)-i)*time.Second, r)
	}
	is.Equal(other.Offer(now, call(22, 7)).Reason(), reason.CrashSuspect)
}

// TestDeferredCrashSuspects guards against the same for a call that no free slot accepted.
func TestDeferredCrashSuspects(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 2, schedule.NewPolicy(schedule.WithSlowDetection(false)))
	for i := range uint64(2) {
		s.Suspects().Merge(0, suspect.NewCrashRecord(1+i, "other", 1, 0)) // both are isolated
	}
	is.Equal(s.Offer(0, newCall(1, time.Hour, schedule.WithFingerprint(1))).Verdict(), schedule.Started)
	is.Equal(s.Offer(0, newCall(2, time.Hour, schedule.WithFingerprint(2))).Verdict(), schedule.Queued)
	s.Suspects().Merge(1, suspect.NewCrashRecord(2, "other", suspect.RefuseThreshold, 0))
	actions := s.Finish(2, schedule.NewResult(1, schedule.Completed))
	is.Equal(len(actions.Starts()), 0)
	is.Equal(len(actions.Refusals()), 1)
	is.Equal(actions.Refusals()[0].Reason(), reason.CrashSuspect)
}

// TestRetryBudget guards against retries beyond their budget.
func TestRetryBudget(t *testing.T) {
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
	is.Equal(allowed, 10)         // the burst, as no original work paid into the budget
	is.Equal(s.Inflight("t0"), 0) // the target to avoid
}

// TestHedge guards against a losing run that keeps its slot, and against a hedged command,
// which would run twice.
func TestHedge(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		s := newScheduler(2, 8, schedule.NewPolicy())
		now := warmUp(s, 0, 100*ms)
		s.Offer(now, newCall(1, now+time.Minute, schedule.WithIdempotent(idempotent)))
		starts := s.Tick(now + 300*ms).Starts()
		if !idempotent {
			is.Equal(len(starts), 0)
			continue
		}
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Hedge(), schedule.ID(1))
		actions := s.Finish(now+400*ms, schedule.NewResult(starts[0].ID(), schedule.Completed))
		is.Equal(actions.Cancels(), []schedule.ID{1})
		s.Finish(now+401*ms, schedule.NewResult(1, schedule.Cancelled))
		is.Equal(s.Inflight("t0")+s.Inflight("t1"), 0)
	}
}

// TestPolicyAndTargetChanges guards against calls that are lost, end twice or never end when
// policies and targets change while calls are queued, hedged and cancelled.
func TestPolicyAndTargetChanges(t *testing.T) {
	is := is.New(t)
	policies := []schedule.Policy{
		schedule.NewPolicy(), schedule.Baseline(), schedule.NewPolicy(schedule.WithFairQueueing(false)),
		schedule.NewPolicy(schedule.WithLongWorkLimit(false, 100)), schedule.NewPolicy(schedule.WithBudgets(0, 0)),
	}
	m := newSimulation(5, 1, 10, 8, policies[0])
	m.addWorkload(workload{workspace: "a", service: 50 * ms, deadline: time.Second, sigma: 1, rate: constant(2 * capacity)})
	m.addWorkload(workload{workspace: "b", service: time.Second, deadline: time.Minute, long: true, sigma: 1, rate: constant(20)})
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
	m.stopArrivals = true
	m.run(2 * time.Minute)
	for _, c := range m.offeredCalls {
		is.True(c.refused != (c.endedAt > 0)) // either refused or answered
	}
	is.Equal(m.hosts[0].QueueLen(), 0)
	for _, s := range m.targets {
		is.Equal(m.hosts[0].Inflight(s.name), 0)
		is.Equal(len(s.busy), 0)
	}
}
