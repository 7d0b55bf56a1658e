package schedule

import (
	"math"
	"time"

	"sassafrasward/core/fairqueue"
	"sassafrasward/core/reason"
)

const (
	// demandDecay lets the peak of short demand fall by 1/e in 10 s of ticks.
	demandDecay = 0.99
	// demandRoom is the room for short work above its recent peak. With 1.25, the p99 of
	// short work on the mixed trace is 1.1 to 1.4 times that without long work; with 1.5,
	// 1.1 to 1.15 times.
	demandRoom = 1.5
	// longFloor is the part of the bound on long work that long work gets in any case, as
	// a divisor. A quarter left 3 of 120 long calls without an end in time on one seed of 6.
	longFloor = 2
	// longestWait bounds the queue of short work. Room for more than that adds no answers
	// in an overload, because the slots are busy in any case; it only makes all answers
	// late by the same time and delays the recovery.
	longestWait = time.Second
)

// entry is an offered call with what is expected of it.
type entry struct {
	expectation
	call    Call
	retry   bool
	arrival uint64
	// need is the time that must be left when the call starts.
	need time.Duration
	// slow is true if the call is handled as long work.
	slow bool
}

// limit is the latest useful end of the call in this pool.
func (e *entry) limit() time.Duration { return e.call.deadline - e.call.after }

func (s *Scheduler) enter(now time.Duration, c Call, retry bool) *entry {
	e := &entry{expectation: s.expect(c), call: c, retry: retry}
	e.slow = e.long && s.policy.separate
	// A call that has the time keeps the 95% quantile of its service time, so that few calls
	// that run end too late, but at most half of what the median leaves: the rest is for its
	// wait. A tighter call is given an even chance.
	e.need = e.median
	if spare := e.limit() - now - e.median; !e.slow && spare > 0 {
		e.need = min(e.high, e.median+spare/2)
	}
	return e
}

func (s *Scheduler) queue(e *entry) *fairqueue.Queue[string, *entry] {
	if e.slow {
		return s.long
	}
	return s.short
}

// flow returns the key, weight and order of a call in its queue. Without fair queueing
// all calls share one flow and keep the order in which they came.
func (s *Scheduler) flow(e *entry) (name string, weight float64, order time.Duration) {
	if !s.policy.fair {
		return "", 1, 0
	}
	return e.call.workspace, s.weight(e.call.workspace), e.limit()
}

func (s *Scheduler) weight(workspace string) float64 { return float64(max(s.shares[workspace], 1)) }

func (s *Scheduler) push(e *entry) {
	e.slow = e.long && s.policy.separate
	name, weight, order := s.flow(e)
	s.queue(e).Push(name, weight, order, float64(e.work), e)
}

// first reports whether a new call may start ahead of the queue of its class.
func (s *Scheduler) first(now time.Duration, e *entry) bool {
	if e.slow {
		return s.long.Len() == 0 && s.longs < s.longBound() && s.longRoom(now)
	}
	_, free := s.capacity()
	return s.short.Len() == 0 && free > 0
}

// enqueue queues a call that cannot start now, if it is expected to end in time.
func (s *Scheduler) enqueue(now time.Duration, e *entry) Decision {
	if s.policy.admit {
		wait := s.wait(e)
		if now+wait+e.need > e.limit() || !e.slow && wait > longestWait {
			return refuse(s.lateReason(e))
		}
	}
	if s.queue(e).Len() >= s.policy.queue && !s.evict(e) {
		return refuse(reason.QueueFull)
	}
	s.arrivals++
	e.arrival = s.arrivals
	s.push(e)
	return Decision{verdict: Queued}
}

// roomy reports whether other calls of the class could start now.
func (s *Scheduler) roomy(now time.Duration, e *entry) bool {
	if e.slow {
		return s.longRoom(now)
	}
	_, free := s.capacity()
	return free > 0
}

// hold keeps a call that cannot use the room that there is. In the queue it would hold up
// the calls behind it.
func (s *Scheduler) hold(e *entry) Decision {
	if len(s.held) >= s.policy.queue {
		return refuse(reason.QueueFull)
	}
	s.held = append(s.held, e)
	return Decision{verdict: Queued}
}

// evict makes room in a full queue by dropping a call of a workspace that has more queued
// work for its share than the one of e.
func (s *Scheduler) evict(e *entry) bool {
	if !s.policy.fair {
		return false
	}
	victim, ok := s.queue(e).Evict(e.call.workspace)
	if ok {
		s.pending = append(s.pending, Refusal{id: victim.call.id, reason: reason.OverShare})
	}
	return ok
}

func (s *Scheduler) lateReason(e *entry) reason.Reason {
	if s.policy.fair && s.queue(e).ExceedsShare(e.call.workspace) {
		return reason.OverShare
	}
	return reason.PredictedLate
}

// wait returns how long a call would be queued now: the work in front of it by share, and
// the work whose end frees a slot for it, over the slots of its class.
func (s *Scheduler) wait(e *entry) time.Duration {
	slots, total := s.capacity()
	if e.slow {
		if s.longs < s.longBound() && s.long.Len() == 0 {
			return 0
		}
		// The present bound says little of the long time that the call can wait.
		slots = max(s.longSlots()*float64(s.policy.long)/100, 1)
	} else {
		slots = max(slots-float64(s.longs), 1)
		if s.short.Len() == 0 && total > 0 {
			return 0
		}
	}
	name, weight, order := s.flow(e)
	return time.Duration((s.queue(e).CostAhead(name, weight, order) + float64(e.work)) / slots)
}

// capacity returns the calls that the pool runs at its usual pace at the same time for
// this host, and how many more it could start now.
func (s *Scheduler) capacity() (slots float64, free int) {
	published, targets := 0.0, 0
	panicking := s.panicking()
	for _, st := range s.subset {
		if st.pace.Slow() && !panicking && s.policy.detect {
			continue
		}
		n := s.bound(st)
		slots += float64(n)
		free += max(n-st.inflight, 0)
		published += float64(st.limit.Slots())
		targets++
	}
	if s.policy.adapt {
		part := max(s.part.Allowed(published, targets), 1)
		slots = min(slots, part)
		free = min(free, int(part)-len(s.running))
	}
	return max(slots, 1), max(free, 0)
}

// longBound returns how many long calls may be in flight now. It is what the recent peak
// of short work leaves, within the bound of the policy and the guaranteed floor.
func (s *Scheduler) longBound() int {
	if !s.policy.separate {
		return math.MaxInt
	}
	slots := s.longSlots()
	bound := slots * float64(s.policy.long) / 100
	floor := max(bound/longFloor, 1)
	return int(min(max(slots-s.demand*demandRoom, floor), max(bound, 1)))
}

// longGuarantee returns the long calls in flight below which long work goes first.
func (s *Scheduler) longGuarantee() int {
	return int(max(s.longSlots()*float64(s.policy.long)/100/longFloor, 1))
}

// longSlots returns the slots that the bound on long work refers to: the strict part of
// this host, since long calls hold what they got for long.
func (s *Scheduler) longSlots() float64 {
	slots, _ := s.capacity()
	if !s.policy.adapt {
		return slots
	}
	published := 0.0
	for _, st := range s.subset {
		published += float64(st.limit.Slots())
	}
	return max(min(slots, published*s.part.Fraction()), 1)
}

// shortDemand returns the short calls in flight and waiting.
func (s *Scheduler) shortDemand() float64 {
	return float64(len(s.running) - s.longs + s.short.Len())
}

// doomed reports whether a queued call is to be dropped. Calls with less time than their
// need but clearly more than the median still start: dropping them costs workspaces within
// their share up to 2% of attainment, and starting all with the median costs 5% of the
// answers in an overload.
func (s *Scheduler) doomed(now time.Duration, e *entry) bool {
	if !s.policy.admit {
		return now >= e.call.deadline
	}
	return now+e.median+(e.need-e.median)*3/4 > e.limit()
}

func (s *Scheduler) dropReason(now time.Duration, e *entry) reason.Reason {
	if now >= e.call.deadline {
		return reason.DeadlineExceeded
	}
	return reason.PredictedLate
}

// drain starts queued calls while there is room.
func (s *Scheduler) drain(now time.Duration, step *Actions) {
	step.refusals = append(step.refusals, s.pending...)
	s.pending = nil
	s.drainHeld(now, step)
	for {
		queue := s.next(now)
		if queue == nil {
			return
		}
		e, _ := queue.Pop()
		if s.doomed(now, e) {
			step.refusals = append(step.refusals, Refusal{id: e.call.id, reason: s.dropReason(now, e)})
			continue
		}
		if !s.launch(now, e, step) {
			s.held = append(s.held, e)
		}
	}
}

// drainHeld retries the calls that could not use the room that there was.
func (s *Scheduler) drainHeld(now time.Duration, step *Actions) {
	kept := s.held[:0]
	for _, e := range s.held {
		_, free := s.capacity()
		blocked := free == 0 || e.slow && s.longs >= s.longBound()
		if blocked || !s.launch(now, e, step) {
			kept = append(kept, e)
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
}

func (s *Scheduler) launch(now time.Duration, e *entry, step *Actions) bool {
	st, probe, ok := s.pick(now, e)
	if ok {
		s.start(now, e, st, probe)
		step.starts = append(step.starts, Start{id: e.call.id, target: st.target.name})
	}
	return ok
}

// next returns the queue to serve, or nil: long work below its guarantee, then short
// work, then long work up to its bound.
func (s *Scheduler) next(now time.Duration) *fairqueue.Queue[string, *entry] {
	if s.short.Len()+s.long.Len() == 0 {
		return nil
	}
	if _, free := s.capacity(); free == 0 {
		return nil
	}
	long := s.long.Len() > 0 && s.longRoom(now)
	switch {
	case long && s.longs < s.longGuarantee():
		return s.long
	case s.short.Len() > 0:
		return s.short
	case long && s.longs < s.longBound():
		return s.long
	}
	return nil
}
