package schedule

import (
	"time"

	"sassafrasward/core/budget"
)

const (
	// sweepPause is the least time between two looks at the calls in flight.
	sweepPause = 10 * time.Millisecond
	// overdueFactor is the age of a call, in high quantiles, from which it counts as a slow
	// sample of the weight overdueRatio before it ends: two of them mark a target.
	overdueFactor = 1.5
	overdueRatio  = 4
	// hedgeFactor is the age in high quantiles from which a call is hedged. At the high
	// quantile itself, the usual variance would use up the budget.
	hedgeFactor = 1.25
	// levelWeight is the weight of the newest ratio in the level of the pool, and levelClip
	// bounds one ratio, so that slow targets move the level little.
	levelWeight = 1.0 / 16
	levelClip   = 3
	// leastAge is the age below which no call is late. It covers pauses of the processes.
	leastAge = 20 * time.Millisecond
	// slowHedgeFactor is the age in median times for calls on a target known to be slow.
	slowHedgeFactor = 1.5
	// probeFactor is the age in usual times from which a probe has shown that its target
	// is still slow.
	probeFactor = 2
	// hedgeBit marks the identities that the scheduler gives to hedges.
	hedgeBit ID = 1 << 63
)

// run is a call in flight. Runs form a list in the order in which they started.
type run struct {
	entry      *entry
	state      *state
	id         ID
	since      time.Duration
	prev, next *run
	// twin is the other run of a hedged call while both are in flight.
	twin *run
	// hedge is true for the later run of a hedged call; hedged for the earlier one.
	hedge, hedged bool
	// rival is the run that won against this one; nil if there is none.
	rival *run
	// probe is true for a run that tests a slow target; lost once its twin has won.
	probe, lost bool
	// counted is true once the run counted as a slow sample.
	counted bool
	// suspect is true if the call was isolated when it started.
	suspect bool
}

func (s *Scheduler) start(now time.Duration, e *entry, st *state, probe bool) {
	s.add(&run{entry: e, state: st, id: e.call.id, since: now, probe: probe, suspect: s.isolated(now, e)})
	if probe {
		st.pace.StartProbe()
	}
	if !e.retry {
		units := s.units(e.work)
		s.retrying.Deposit(units)
		s.hedging.Deposit(units)
		s.probing.Deposit(units)
	}
	if e.call.prefix != 0 && s.policy.affinity {
		s.cache.Record(now, e.call.prefix, st.target.name)
	}
}

func (s *Scheduler) add(r *run) {
	r.state.inflight++
	if r.entry.slow {
		r.state.longs++
		s.longs++
	}
	if r.suspect {
		r.state.suspects++
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

func (s *Scheduler) remove(r *run) {
	r.state.inflight--
	if r.entry.slow {
		r.state.longs--
		s.longs--
	}
	if r.suspect {
		r.state.suspects--
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

// learn takes what the end of a run says of the call and its target.
func (s *Scheduler) learn(now time.Duration, r *run, result Result) {
	s.learnLoad(now, r.state, result)
	fingerprint := r.entry.call.fingerprint
	took := now - r.since
	switch result.end {
	case Completed:
		s.learnTime(now, r, took, result.size)
		if fingerprint != 0 {
			s.suspects.RecordCompletion(now, fingerprint)
		}
	case Crashed:
		r.state.pace.Fail(now, r.probe)
		if fingerprint != 0 {
			s.suspects.RecordCrash(now, fingerprint)
		}
	case ConnReset:
		r.state.pace.Fail(now, r.probe)
		if fingerprint != 0 {
			s.suspects.RecordDisconnect(now, fingerprint)
		}
	case ConnectFailed, BadResponse:
		r.state.pace.Fail(now, r.probe)
	case TimedOut:
		r.state.pace.Observe(now, overdueRatio, r.probe)
		// The service time is at least this long. Without such samples the estimate would
		// know only the calls that were fast enough.
		if took > r.entry.median {
			s.measure(now, r, took, 0)
		}
	default:
		s.learnOverdue(now, r)
		if r.probe && !r.counted {
			r.state.pace.AbandonProbe(now)
		}
	}
}

func (s *Scheduler) learnTime(now time.Duration, r *run, took time.Duration, size float64) {
	slow := r.state.pace.Slow()
	if r.entry.median > 0 && (!r.counted || r.probe) {
		ratio := float64(took) / float64(r.entry.usual())
		s.level += levelWeight * (min(ratio, levelClip) - s.level)
		r.state.pace.Observe(now, ratio/s.pressure(), r.probe)
	}
	// Times of targets that are avoided say nothing of the ones that are used.
	if !slow || !s.policy.detect || s.panicking() {
		s.measure(now, r, took, size)
	}
}

// pressure returns the factor by which all service times have grown of late, at least 1. A
// burst of load slows all targets and makes none of them a slow one.
func (s *Scheduler) pressure() float64 { return max(s.level, 1) }

// stretch returns a multiple of a time under the present pressure, at least leastAge.
func (s *Scheduler) stretch(factor float64, d time.Duration) time.Duration {
	return max(time.Duration(factor*s.pressure()*float64(d)), leastAge)
}

// learnOverdue counts a run that takes far longer than usual as a slow sample. A probe has
// shown earlier that its target is still slow.
func (s *Scheduler) learnOverdue(now time.Duration, r *run) {
	age := now - r.since
	limit := s.stretch(overdueFactor, r.entry.high)
	if r.probe {
		limit = s.stretch(probeFactor, r.entry.usual())
	}
	if r.entry.median == 0 || r.counted || age < limit {
		return
	}
	r.counted = true
	r.state.pace.Observe(now, overdueRatio, r.probe)
}

func (s *Scheduler) learnLoad(now time.Duration, st *state, result Result) {
	load := result.load
	if result.end == Busy {
		st.limit.ObserveBusy()
		st.others, st.told = float64(st.limit.Slots()), now
	}
	if load.slots == 0 {
		return
	}
	st.limit.Resize(load.slots)
	st.limit.Observe(st.inflight+1, load.running, load.queued)
	// The own calls are the mean over all targets. Those on this target are no measure, as
	// this host spreads its calls: where one ends, it seldom has another.
	s.part.Observe(float64(len(s.running)+1)/float64(max(len(s.subset), 1)), float64(load.running+load.queued))
	st.others, st.told = float64(max(load.running+load.queued-st.inflight-1, 0)), now
}

// payer returns the budget that pays for a copy.
func (s *Scheduler) payer(probe bool) *budget.Budget {
	if probe {
		return &s.probing
	}
	return &s.hedging
}

// bill corrects what was paid for the loser of a race to the time that it took.
func (s *Scheduler) bill(now time.Duration, r *run) {
	if r.rival != nil {
		s.payer(r.probe || r.rival.probe).Adjust(s.units(now - r.since - r.entry.work))
	}
}

// settle ends the race of a hedged call. A run that failed leaves the race to its twin. A
// probe that lost goes on until it has shown the pace of its target.
func (s *Scheduler) settle(r *run, end CallStatus, step *Actions) {
	twin := r.twin
	if twin == nil {
		return
	}
	r.twin, twin.twin = nil, nil
	if end == Completed || end == Rejected {
		twin.rival = r
	}
	switch {
	case end == Completed && twin.probe && !twin.counted:
		twin.lost = true
	case end == Completed || end == Rejected:
		step.cancels = append(step.cancels, twin.id)
	}
}

// sweep looks at the calls in flight for signs of slow targets, hedges late calls and
// sends copies of calls to slow targets that are due for a probe.
func (s *Scheduler) sweep(now time.Duration, step *Actions) {
	s.swept = now
	for r := s.oldest; r != nil; r = r.next {
		if r.entry.median == 0 {
			continue
		}
		s.learnOverdue(now, r)
		if r.lost && r.counted {
			r.lost = false
			step.cancels = append(step.cancels, r.id)
		}
		if s.late(now, r) {
			s.hedge(now, r, step)
		}
	}
	if s.policy.detect && s.policy.choice && s.policy.hedge >= probeShare {
		s.sendProbes(now, step)
	}
}

// sendProbes copies the newest calls to slow targets that are due. The callers do not
// wait for the copies.
func (s *Scheduler) sendProbes(now time.Duration, step *Actions) {
	for _, st := range s.subset {
		if !st.pace.ProbeDue(now) {
			continue
		}
		for r := s.newest; r != nil; r = r.prev {
			if r.state != st && s.hedgeable(r) && s.room(now, st, false, false) && s.probing.Allows(s.units(r.entry.work)) {
				s.copy(now, r, st, true, step)
				break
			}
		}
	}
}

// hedgeable reports whether a copy of the call may run.
func (s *Scheduler) hedgeable(r *run) bool {
	c := &r.entry.call
	return c.idempotent && !c.stream && !r.hedged && !r.hedge && !r.entry.slow && !r.suspect && r.entry.median > 0
}

// late reports whether a call is to be hedged. Hedges only use room that no queued call
// waits for.
func (s *Scheduler) late(now time.Duration, r *run) bool {
	if s.QueueLen() > 0 || !s.hedgeable(r) {
		return false
	}
	age := now - r.since
	if r.state.pace.Slow() {
		return age > s.stretch(slowHedgeFactor, r.entry.median)
	}
	return age > s.stretch(hedgeFactor, r.entry.high)
}

func (s *Scheduler) hedge(now time.Duration, r *run, step *Actions) {
	if now+r.entry.median > r.entry.limit() || !s.hedging.Allows(s.units(r.entry.work)) {
		return
	}
	e := *r.entry
	e.call.avoid = append([]string{r.state.target.name}, e.call.avoid...)
	if st, ok := s.choose(now, &e, false, s.panicking()); ok && st != r.state {
		s.copy(now, r, st, false, step)
	}
}

// copy starts a second run of the call on another target.
func (s *Scheduler) copy(now time.Duration, r *run, st *state, probe bool, step *Actions) {
	s.payer(probe).Withdraw(s.units(r.entry.work))
	s.hedges++
	twin := &run{entry: r.entry, state: st, id: hedgeBit | ID(s.hedges), since: now, twin: r, hedge: true, probe: probe}
	if probe {
		st.pace.StartProbe()
	}
	r.hedged, r.twin = true, twin
	s.add(twin)
	step.starts = append(step.starts, Start{id: twin.id, target: st.target.name, hedge: r.id})
}
