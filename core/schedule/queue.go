package schedule

import (
	"math"
	"time"

	"sassafrasward/core/fairqueue"
	"sassafrasward/core/reason"
)

const (
	// demandDecay is applied to the peak of short demand at each tick: the peak falls to 1/e
	// in 100 ticks, which take 10 s.
	demandDecay = 0.99
	// demandHeadroom multiplies the recent peak of short work to get the slots reserved for
	// it. With 1.25, the p99 of short work on the mixed trace is 1.1 to 1.4 times that without
	// long work; with 1.5, 1.1 to 1.15 times.
	demandHeadroom = 1.5
	// longGuaranteeDivisor: long work is guaranteed 1/longGuaranteeDivisor of its limit.
	// With a quarter, 3 of 120 long calls missed their deadline on one seed of 6.
	longGuaranteeDivisor = 2
	// maxShortWait bounds the queueing delay of short work. A longer queue adds no throughput
	// in an overload, because the slots are busy anyway; it only delays all answers and the
	// recovery.
	maxShortWait = time.Second
)

// entry is an offered call with its predicted service time.
type entry struct {
	prediction
	call  Call
	retry bool
	// arrival numbers the queued calls in the order of their arrival.
	arrival uint64
	// requiredTime is the time to the deadline that a start of the call requires.
	requiredTime time.Duration
	// longClass is true if the call is queued as long work.
	longClass bool
}

// poolDeadline is the latest time at which the call may end in this pool, so that later
// stages can still meet the deadline of the request.
func (e *entry) poolDeadline() time.Duration { return e.call.deadline - e.call.downstreamTime }

func (s *Scheduler) newEntry(now time.Duration, c Call, retry bool) *entry {
	e := &entry{prediction: s.predict(c), call: c, retry: retry}
	e.longClass = e.long && s.policy.limitLongWork
	// Reserve the p95 of the service time, so that few calls that run miss their deadline, but
	// at most half of the time that the median leaves; the rest may be spent in the queue. A
	// call with less time than that needs only the median, which gives it an even chance.
	e.requiredTime = e.median
	if spare := e.poolDeadline() - now - e.median; !e.longClass && spare > 0 {
		e.requiredTime = min(e.p95, e.median+spare/2)
	}
	return e
}

func (s *Scheduler) queueOf(e *entry) *fairqueue.Queue[string, *entry] {
	if e.longClass {
		return s.long
	}
	return s.short
}

// flow returns the flow key, weight and order of a call in its queue. Without fair queueing,
// all calls are in one flow in arrival order.
func (s *Scheduler) flow(e *entry) (name string, weight float64, order time.Duration) {
	if !s.policy.fairQueueing {
		return "", 1, 0
	}
	return e.call.workspace, s.weight(e.call.workspace), e.poolDeadline()
}

func (s *Scheduler) weight(workspace string) float64 { return float64(max(s.shares[workspace], 1)) }

func (s *Scheduler) push(e *entry) {
	e.longClass = e.long && s.policy.limitLongWork
	name, weight, order := s.flow(e)
	s.queueOf(e).Push(name, weight, order, float64(e.meanTime), e)
}

// canStartDirectly reports whether a new call may start without being queued: the queue of
// its class is empty and a slot is free.
func (s *Scheduler) canStartDirectly(now time.Duration, e *entry) bool {
	if e.longClass {
		return s.long.Len() == 0 && s.longInflight < s.longLimit() && s.hasLongSlot(now)
	}
	_, free := s.capacity()
	return s.short.Len() == 0 && free > 0
}

// enqueue queues a call that cannot start now, or refuses it if it is predicted to miss its
// deadline or if the queue is full.
func (s *Scheduler) enqueue(now time.Duration, e *entry) Decision {
	if s.policy.admission {
		wait := s.estimateWait(e)
		if now+wait+e.requiredTime > e.poolDeadline() || !e.longClass && wait > maxShortWait {
			return refuse(s.lateReason(e))
		}
	}
	if s.queueOf(e).Len() >= s.policy.queueBound && !s.evict(e) {
		return refuse(reason.QueueFull)
	}
	s.arrivals++
	e.arrival = s.arrivals
	s.push(e)
	return Decision{verdict: Queued}
}

// classHasSlot reports whether other calls of the same class could start now.
func (s *Scheduler) classHasSlot(now time.Duration, e *entry) bool {
	if e.longClass {
		return s.hasLongSlot(now)
	}
	_, free := s.capacity()
	return free > 0
}

// deferEntry sets aside a call that none of the free slots accepts. At the head of the queue
// it would block the calls behind it.
func (s *Scheduler) deferEntry(e *entry) Decision {
	if len(s.deferred) >= s.policy.queueBound {
		return refuse(reason.QueueFull)
	}
	s.deferred = append(s.deferred, e)
	return Decision{verdict: Queued}
}

// evict frees a place in a full queue by dropping a call of the workspace with the most
// queued work for its share. It reports false without fair queueing, or if that is the
// workspace of e.
func (s *Scheduler) evict(e *entry) bool {
	if !s.policy.fairQueueing {
		return false
	}
	victim, ok := s.queueOf(e).Evict(e.call.workspace)
	if ok {
		s.pendingRefusals = append(s.pendingRefusals, Refusal{id: victim.call.id, reason: reason.OverShare})
	}
	return ok
}

// lateReason returns why a call that cannot be answered in time is refused: OverShare if its
// workspace exceeds its share of the queue, PredictedLate otherwise.
func (s *Scheduler) lateReason(e *entry) reason.Reason {
	if s.policy.fairQueueing && s.queueOf(e).ExceedsShare(e.call.workspace) {
		return reason.OverShare
	}
	return reason.PredictedLate
}

// estimateWait returns the predicted queueing delay of a new call. That is the work ahead of
// it in the fair queue, plus one mean service time until a slot is free for it, divided by
// the slots of its class.
func (s *Scheduler) estimateWait(e *entry) time.Duration {
	slots, total := s.capacity()
	if e.longClass {
		if s.longInflight < s.longLimit() && s.long.Len() == 0 {
			return 0
		}
		// The present limit says little about the long time that the call may wait, so use the
		// limit of the policy.
		slots = max(s.longLimitSlots()*float64(s.policy.longPercent)/100, 1)
	} else {
		slots = max(slots-float64(s.longInflight), 1)
		if s.short.Len() == 0 && total > 0 {
			return 0
		}
	}
	name, weight, order := s.flow(e)
	return time.Duration((s.queueOf(e).CostAhead(name, weight, order) + float64(e.meanTime)) / slots)
}

// capacity returns the concurrency that this host may use in the pool without slowing it
// down, and how many more calls the host could start now.
func (s *Scheduler) capacity() (slots float64, free int) {
	targetSlots, targets := 0.0, 0
	ignoreSlow := s.mostTargetsSlow()
	for _, st := range s.subset {
		if st.detector.Slow() && !ignoreSlow && s.policy.slowDetection {
			continue
		}
		n := s.targetLimit(st)
		slots += float64(n)
		free += max(n-st.inflight, 0)
		targetSlots += float64(st.limit.Slots())
		targets++
	}
	if s.policy.adaptiveLimits {
		allowed := max(s.poolLimit.Allowed(targetSlots, targets), 1)
		slots = min(slots, allowed)
		free = min(free, int(allowed)-len(s.running))
	}
	return max(slots, 1), max(free, 0)
}

// longLimit returns how many long calls may be in flight now: the slots that the recent peak
// of short work leaves, at least the guarantee and at most the limit of the policy.
func (s *Scheduler) longLimit() int {
	if !s.policy.limitLongWork {
		return math.MaxInt
	}
	slots := s.longLimitSlots()
	policyLimit := slots * float64(s.policy.longPercent) / 100
	guarantee := max(policyLimit/longGuaranteeDivisor, 1)
	return int(min(max(slots-s.peakShortDemand*demandHeadroom, guarantee), max(policyLimit, 1)))
}

// longGuarantee returns the number of long calls in flight below which long work is
// dispatched before short work.
func (s *Scheduler) longGuarantee() int {
	return int(max(s.longLimitSlots()*float64(s.policy.longPercent)/100/longGuaranteeDivisor, 1))
}

// longLimitSlots returns the slots that the limit on long work is a percentage of: this
// host's fraction of the pool without headroom, since long calls occupy slots for long.
func (s *Scheduler) longLimitSlots() float64 {
	slots, _ := s.capacity()
	if !s.policy.adaptiveLimits {
		return slots
	}
	targetSlots := 0.0
	for _, st := range s.subset {
		targetSlots += float64(st.limit.Slots())
	}
	return max(min(slots, targetSlots*s.poolLimit.Fraction()), 1)
}

// shortDemand returns the number of short calls in flight and queued.
func (s *Scheduler) shortDemand() float64 {
	return float64(len(s.running) - s.longInflight + s.short.Len())
}

// willMissDeadline reports whether a queued call is to be dropped. A call still starts with
// less than its required time, but with clearly more than the median: dropping those calls
// costs workspaces within their share up to 2% of attainment, and starting all calls that
// have the median left costs 5% of the answers in an overload.
func (s *Scheduler) willMissDeadline(now time.Duration, e *entry) bool {
	if !s.policy.admission {
		return now >= e.call.deadline
	}
	return now+e.median+(e.requiredTime-e.median)*3/4 > e.poolDeadline()
}

func (s *Scheduler) dropReason(now time.Duration, e *entry) reason.Reason {
	if now >= e.call.deadline {
		return reason.DeadlineExceeded
	}
	return reason.PredictedLate
}

// startQueued starts queued calls while slots are free.
func (s *Scheduler) startQueued(now time.Duration, actions *Actions) {
	actions.refusals = append(actions.refusals, s.pendingRefusals...)
	s.pendingRefusals = nil
	s.startDeferred(now, actions)
	for {
		queue := s.nextQueue(now)
		if queue == nil {
			return
		}
		e, _ := queue.Pop()
		if s.dropSuspect(now, e, actions) {
			continue
		}
		if s.willMissDeadline(now, e) {
			actions.refusals = append(actions.refusals, Refusal{id: e.call.id, reason: s.dropReason(now, e)})
			continue
		}
		if !s.tryStart(now, e, actions) {
			s.deferred = append(s.deferred, e)
		}
	}
}

// dropSuspect refuses a waiting call if the evidence that it crashes targets has come meanwhile, and
// reports whether it did.
func (s *Scheduler) dropSuspect(now time.Duration, e *entry, actions *Actions) bool {
	if !s.crashesTargets(now, e.call) {
		return false
	}
	actions.refusals = append(actions.refusals, Refusal{id: e.call.id, reason: reason.CrashSuspect})
	return true
}

// startDeferred tries again to start the deferred calls.
func (s *Scheduler) startDeferred(now time.Duration, actions *Actions) {
	kept := s.deferred[:0]
	for _, e := range s.deferred {
		if s.dropSuspect(now, e, actions) {
			continue
		}
		_, free := s.capacity()
		blocked := free == 0 || e.longClass && s.longInflight >= s.longLimit()
		if blocked || !s.tryStart(now, e, actions) {
			kept = append(kept, e)
		}
	}
	clear(s.deferred[len(kept):])
	s.deferred = kept
}

func (s *Scheduler) tryStart(now time.Duration, e *entry, actions *Actions) bool {
	st, probe, ok := s.pickTarget(now, e)
	if ok {
		s.startRun(now, e, st, probe)
		actions.starts = append(actions.starts, Start{id: e.call.id, target: st.target.name})
	}
	return ok
}

// nextQueue returns the queue to dispatch from, or nil: long work below its guarantee, then
// short work, then long work up to its limit.
func (s *Scheduler) nextQueue(now time.Duration) *fairqueue.Queue[string, *entry] {
	if s.short.Len()+s.long.Len() == 0 {
		return nil
	}
	if _, free := s.capacity(); free == 0 {
		return nil
	}
	longReady := s.long.Len() > 0 && s.hasLongSlot(now)
	switch {
	case longReady && s.longInflight < s.longGuarantee():
		return s.long
	case s.short.Len() > 0:
		return s.short
	case longReady && s.longInflight < s.longLimit():
		return s.long
	}
	return nil
}
