package schedule

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/budget"
)

const (
	// checkInterval is the minimum time between two checks of the calls in flight.
	checkInterval = 10 * time.Millisecond
	// overdueFactor is the age of a call, in multiples of the p95, from which it counts as a
	// slow sample with the ratio overdueRatio before it ends. Two of them mark a target as
	// slow.
	overdueFactor = 1.5
	overdueRatio  = 4
	// hedgeFactor is the age, in multiples of the p95, from which a call is hedged. At the p95
	// itself, the usual variance would use up the budget.
	hedgeFactor = 1.25
	// slowdownWeight is the EWMA weight of the newest ratio in poolSlowdown. maxSlowdownRatio
	// caps one ratio, so that slow targets move the average little.
	slowdownWeight   = 1.0 / 16
	maxSlowdownRatio = 3
	// minLateAge is the age below which no call counts as late. It covers pauses of the
	// processes.
	minLateAge = 20 * time.Millisecond
	// slowHedgeFactor is the age, in multiples of the median, from which a call on a target
	// marked as slow is hedged.
	slowHedgeFactor = 1.5
	// slowProbeFactor is the age, in typical times, from which a probe has shown that its
	// target is still slow.
	slowProbeFactor = 2
	// hedgeBit is set in the IDs that the scheduler gives to hedges and probe copies.
	hedgeBit ID = 1 << 63
)

// run is a call in flight. Runs form a linked list in start order.
type run struct {
	entry      *entry
	state      *targetState
	id         ID
	startedAt  time.Duration
	prev, next *run
	// counterpart is the other run of a hedged or copied call while both are in flight.
	counterpart *run
	// hedge is true for the later of the two runs, hedged for the earlier one.
	hedge, hedged bool
	// winner is the counterpart if it answered first; nil otherwise.
	winner *run
	// probe is true for a run that probes a slow target. lostRace is true for a probe that
	// continues after its counterpart answered.
	probe, lostRace bool
	// countedSlow is true once the run has counted as a slow sample.
	countedSlow bool
	// isolated is true if the call was an isolated crash suspect when it started.
	isolated bool
}

func (s *Scheduler) startRun(now time.Duration, e *entry, st *targetState, probe bool) {
	s.addRun(&run{entry: e, state: st, id: e.call.id, startedAt: now, probe: probe, isolated: s.isIsolated(now, e)})
	if probe {
		st.detector.StartProbe()
	}
	if !e.retry {
		units := s.inAverageCalls(e.meanTime)
		s.retryBudget.Deposit(units)
		s.hedgeBudget.Deposit(units)
		s.probeBudget.Deposit(units)
	}
	if e.call.prefix != 0 && s.policy.prefixAffinity {
		s.prefixes.Record(now, e.call.prefix, st.target.name)
	}
}

func (s *Scheduler) addRun(r *run) {
	r.state.inflight++
	if r.entry.longClass {
		r.state.longInflight++
		s.longInflight++
	}
	if r.isolated {
		r.state.isolatedInflight++
	}
	s.running[r.id] = r
	r.prev = s.newest
	if s.newest != nil {
		s.newest.next = r
	} else {
		s.oldest = r
	}
	s.newest = r
}

func (s *Scheduler) removeRun(r *run) {
	r.state.inflight--
	if r.entry.longClass {
		r.state.longInflight--
		s.longInflight--
	}
	if r.isolated {
		r.state.isolatedInflight--
	}
	delete(s.running, r.id)
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		s.oldest = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		s.newest = r.prev
	}
}

// recordResult updates the estimates, the state of the target and the crash suspects with
// the result of a run.
func (s *Scheduler) recordResult(now time.Duration, r *run, result Result) {
	s.recordLoad(now, r.state, result)
	fingerprint := r.entry.call.fingerprint
	took := now - r.startedAt
	switch result.status {
	case Completed:
		s.recordTime(now, r, took, result.size)
		if fingerprint != 0 {
			s.suspects.RecordCompletion(now, fingerprint)
		}
		s.parts.RecordCompletion(now, r.entry.call.promptParts())
	case Crashed:
		r.state.detector.Fail(now, r.probe)
		if fingerprint != 0 {
			s.suspects.RecordCrash(now, fingerprint)
		}
		s.crashes++
		s.parts.RecordCrash(now, s.crashID(r.state.target.name), result.progress, r.entry.call.promptParts())
	case ConnReset:
		r.state.detector.Fail(now, r.probe)
		if fingerprint != 0 {
			s.suspects.RecordDisconnect(now, fingerprint)
		}
	case ConnectFailed, BadResponse:
		r.state.detector.Fail(now, r.probe)
	case TimedOut:
		r.state.detector.Observe(now, overdueRatio, r.probe)
		// The service time is at least this long. Without such samples, the estimate would
		// include only the calls that were fast enough.
		if took > r.entry.median {
			s.recordServiceTime(now, r, took, 0)
		}
	default:
		s.recordOverdue(now, r)
		if r.probe && !r.countedSlow {
			r.state.detector.AbandonProbe(now)
		}
	}
}

// crashID identifies a crash that this host observed. A target keeps its name when it starts again, so
// that the name alone would join all its crashes.
func (s *Scheduler) crashID(target string) uint64 {
	return xxhash.Sum64String(target + "\x00" + s.host + "\x00" + strconv.FormatUint(s.crashes, 16))
}

func (s *Scheduler) recordTime(now time.Duration, r *run, took time.Duration, size float64) {
	slow := r.state.detector.Slow()
	if r.entry.median > 0 && (!r.countedSlow || r.probe) {
		ratio := float64(took) / float64(r.entry.typicalTime())
		s.poolSlowdown += slowdownWeight * (min(ratio, maxSlowdownRatio) - s.poolSlowdown)
		r.state.detector.Observe(now, ratio/s.slowdown(), r.probe)
	}
	// Service times on avoided targets do not predict those on the targets in use.
	if !slow || !s.policy.slowDetection || s.mostTargetsSlow() {
		s.recordServiceTime(now, r, took, size)
	}
}

// slowdown returns the factor by which service times in the whole pool have grown recently,
// at least 1. A burst of load slows all targets, and must not mark any of them as slow.
func (s *Scheduler) slowdown() float64 { return max(s.poolSlowdown, 1) }

// scaleBySlowdown returns factor times d times the slowdown of the pool, at least minLateAge.
func (s *Scheduler) scaleBySlowdown(factor float64, d time.Duration) time.Duration {
	return max(time.Duration(factor*s.slowdown()*float64(d)), minLateAge)
}

// recordOverdue counts a run that takes far longer than predicted as a slow sample. A probe
// counts from a lower age, as its target is already known to be slow.
func (s *Scheduler) recordOverdue(now time.Duration, r *run) {
	age := now - r.startedAt
	limit := s.scaleBySlowdown(overdueFactor, r.entry.p95)
	if r.probe {
		limit = s.scaleBySlowdown(slowProbeFactor, r.entry.typicalTime())
	}
	if r.entry.median == 0 || r.countedSlow || age < limit {
		return
	}
	r.countedSlow = true
	r.state.detector.Observe(now, overdueRatio, r.probe)
}

func (s *Scheduler) recordLoad(now time.Duration, st *targetState, result Result) {
	load := result.load
	if result.status == Busy {
		// Calls of other hosts are assumed to fill all slots of a busy target.
		st.limit.ObserveBusy()
		st.otherLoad, st.otherLoadAt = float64(st.limit.Slots()), now
	}
	if load.slots == 0 {
		return
	}
	st.limit.Resize(load.slots)
	st.limit.Observe(st.inflight+1, load.running, load.queued)
	// Use the mean of this host's calls over all targets. Its calls on this target alone would
	// be biased low: it spreads its calls, so where one ends it seldom has another.
	s.poolLimit.Observe(float64(len(s.running)+1)/float64(max(len(s.subset), 1)), float64(load.running+load.queued))
	st.otherLoad, st.otherLoadAt = float64(max(load.running+load.queued-st.inflight-1, 0)), now
}

// copyBudget returns the budget that pays for a hedge or a probe copy.
func (s *Scheduler) copyBudget(probe bool) *budget.Budget {
	if probe {
		return &s.probeBudget
	}
	return &s.hedgeBudget
}

// correctCharge adjusts the charge for the losing run of a hedged call from the predicted to
// the actual time.
func (s *Scheduler) correctCharge(now time.Duration, r *run) {
	if r.winner != nil {
		s.copyBudget(r.probe || r.winner.probe).Adjust(s.inAverageCalls(now - r.startedAt - r.entry.meanTime))
	}
}

// resolveHedge handles the end of one of the two runs of a hedged call. Without an answer of
// the target, the other run continues. After an answer, the other run is cancelled; but if
// the call completed and the other run is a probe, that continues until it has shown whether
// its target is still slow.
func (s *Scheduler) resolveHedge(r *run, status CallStatus, actions *Actions) {
	other := r.counterpart
	if other == nil {
		return
	}
	r.counterpart, other.counterpart = nil, nil
	if status == Completed || status == Rejected {
		other.winner = r
	}
	switch {
	case status == Completed && other.probe && !other.countedSlow:
		other.lostRace = true
	case status == Completed || status == Rejected:
		actions.cancels = append(actions.cancels, other.id)
	}
}

// checkRuns checks the calls in flight for signs of slow targets, hedges late calls, and
// sends copies of calls to slow targets that are due for a probe.
func (s *Scheduler) checkRuns(now time.Duration, actions *Actions) {
	s.lastCheck = now
	for r := s.oldest; r != nil; r = r.next {
		if r.entry.median == 0 {
			continue
		}
		s.recordOverdue(now, r)
		if r.lostRace && r.countedSlow {
			r.lostRace = false
			actions.cancels = append(actions.cancels, r.id)
		}
		if s.hedgeDue(now, r) {
			s.tryHedge(now, r, actions)
		}
	}
	if s.policy.slowDetection && s.policy.leastLoaded && s.policy.hedgePercent >= probeDivisor {
		s.sendProbes(now, actions)
	}
}

// sendProbes sends copies of the newest calls to slow targets that are due for a probe. The
// callers do not wait for the copies.
func (s *Scheduler) sendProbes(now time.Duration, actions *Actions) {
	for _, st := range s.subset {
		if !st.detector.ProbeDue(now) {
			continue
		}
		for r := s.newest; r != nil; r = r.prev {
			if r.state != st && s.hedgeable(r) && s.hasSlot(now, st, false, false) && s.probeBudget.Allows(s.inAverageCalls(r.entry.meanTime)) {
				s.startCopy(now, r, st, true, actions)
				break
			}
		}
	}
}

// hedgeable reports whether a second run of the call may start.
func (s *Scheduler) hedgeable(r *run) bool {
	c := &r.entry.call
	return c.idempotent && !c.stream && !r.hedged && !r.hedge && !r.entry.longClass && !r.isolated && r.entry.median > 0
}

// hedgeDue reports whether a call is old enough to be hedged. Hedges use only slots that no
// queued call waits for.
func (s *Scheduler) hedgeDue(now time.Duration, r *run) bool {
	if s.QueueLen() > 0 || !s.hedgeable(r) {
		return false
	}
	age := now - r.startedAt
	if r.state.detector.Slow() {
		return age > s.scaleBySlowdown(slowHedgeFactor, r.entry.median)
	}
	return age > s.scaleBySlowdown(hedgeFactor, r.entry.p95)
}

func (s *Scheduler) tryHedge(now time.Duration, r *run, actions *Actions) {
	if now+r.entry.median > r.entry.poolDeadline() || !s.hedgeBudget.Allows(s.inAverageCalls(r.entry.meanTime)) {
		return
	}
	e := *r.entry
	e.call.avoid = append([]string{r.state.target.name}, e.call.avoid...)
	if st, ok := s.pickLeastLoaded(now, &e, false, s.mostTargetsSlow()); ok && st != r.state {
		s.startCopy(now, r, st, false, actions)
	}
}

// startCopy starts a second run of the call on another target.
func (s *Scheduler) startCopy(now time.Duration, r *run, st *targetState, probe bool, actions *Actions) {
	s.copyBudget(probe).Withdraw(s.inAverageCalls(r.entry.meanTime))
	s.copies++
	copied := &run{entry: r.entry, state: st, id: hedgeBit | ID(s.copies), startedAt: now, counterpart: r, hedge: true, probe: probe}
	if probe {
		st.detector.StartProbe()
	}
	r.hedged, r.counterpart = true, copied
	s.addRun(copied)
	actions.starts = append(actions.starts, Start{id: copied.id, target: st.target.name, hedge: r.id})
}
