package replay

import (
	"slices"
	"time"

	"sassafrasward/core/schedule"
	"sassafrasward/core/trace"
)

// standin is a target. It runs up to slots calls at the same time, which slow each other
// as the rate of the pool says, and queues the rest by priority, then by arrival.
type standin struct {
	clock        *clock
	name         string
	pool         string
	zone         string
	slots        int
	serviceModel trace.ServiceModel
	// factor is how many times longer work takes now; at least 1.
	slowFactor float64
	down       bool

	running []*targetCall
	queue   []*targetCall
	// advanced is the time up to which the work of running is accounted.
	advancedTo time.Duration
	// plan numbers the planned completion; events of older plans are void.
	completionVersion int
	// cached holds prefixes, the most recently used one last.
	cached []string
	// loads are past loads, the oldest first; see load.
	loadSamples []loadSample
}

// job is a call on a target.
type targetCall struct {
	attempt *attempt
	// left is the work that remains, as time alone on an unslowed target.
	remaining float64 // seconds
	// spent is the time for which the job has held a slot.
	heldTime time.Duration
	onEnd    func(schedule.End)
}

type loadSample struct {
	at   time.Duration
	load schedule.Load
}

// rest is the remaining work in seconds below which a job counts as complete; it covers
// the rounding of virtual time to nanoseconds.
const completionTolerance = 1e-7

// take accepts a call. The end is reported once, unless the call is cancelled.
func (s *standin) accept(a *attempt, end func(schedule.End)) {
	if s.down {
		end(schedule.Unreached)
		return
	}
	s.advance()
	j := &targetCall{attempt: a, onEnd: end}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].attempt.priority < a.priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, j)
	s.startQueued()
}

// cancel drops a call that no longer matters.
func (s *standin) cancel(a *attempt) {
	s.advance()
	same := func(j *targetCall) bool { return j.attempt == a }
	s.queue = slices.DeleteFunc(s.queue, same)
	for _, j := range s.running {
		if same(j) {
			j.addSlotTime()
		}
	}
	s.running = slices.DeleteFunc(s.running, same)
	s.startQueued()
}

// crash loses all work until the target is back.
func (s *standin) crash() {
	s.advance()
	lost := append(slices.Clone(s.running), s.queue...)
	s.running, s.queue, s.cached, s.down = nil, nil, nil, true
	s.startQueued()
	for _, j := range lost {
		j.addSlotTime()
		j.onEnd(schedule.Crashed)
	}
}

func (s *standin) setSlowFactor(factor float64) {
	s.advance()
	s.slowFactor = factor
	s.startQueued()
}

// slowdown is how many times longer running work takes now than alone.
func (s *standin) slowdown() float64 { return s.slowFactor * s.serviceModel.Slowdown(len(s.running)) }

// advance accounts the work done since the last change.
func (s *standin) advance() {
	passed := s.clock.now - s.advancedTo
	s.advancedTo = s.clock.now
	done := passed.Seconds() / s.slowdown()
	for _, j := range s.running {
		j.remaining -= done
		j.heldTime += passed
	}
}

// schedule starts queued jobs and plans the next completion.
func (s *standin) startQueued() {
	for len(s.queue) > 0 && len(s.running) < s.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		j.remaining = s.serviceModel.ServiceTime(j.attempt.flow.request, s.lookUpPrefix(j.attempt.flow.request.Prefix())).Seconds()
		s.running = append(s.running, j)
	}
	s.recordLoad()
	s.completionVersion++
	if len(s.running) == 0 {
		return
	}
	least := s.running[0].remaining
	for _, j := range s.running {
		least = min(least, j.remaining)
	}
	plan := s.completionVersion
	s.clock.after(time.Duration(max(least, 0)*s.slowdown()*float64(time.Second))+1, func() {
		if plan == s.completionVersion {
			s.complete()
		}
	})
}

func (s *standin) complete() {
	s.advance()
	var ended []*targetCall
	s.running = slices.DeleteFunc(s.running, func(j *targetCall) bool {
		if j.remaining > completionTolerance {
			return false
		}
		ended = append(ended, j)
		return true
	})
	s.startQueued()
	for _, j := range ended {
		j.addSlotTime()
		j.onEnd(schedule.Completed)
	}
}

// account adds the time that the job held a slot to the cost of its attempt.
func (j *targetCall) addSlotTime() { j.attempt.slotTime += j.heldTime }

// hit reports whether the prefix is cached, and makes it the most recently used one.
func (s *standin) lookUpPrefix(prefix string) (ok bool) {
	if prefix == "" || s.serviceModel.PrefixCacheSize() == 0 {
		return false
	}
	if i := slices.Index(s.cached, prefix); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
		ok = true
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > s.serviceModel.PrefixCacheSize() {
		s.cached = s.cached[1:]
	}
	return ok
}

// record keeps the load for late reports.
func (s *standin) recordLoad() {
	s.loadSamples = append(s.loadSamples, loadSample{s.clock.now, schedule.NewLoad(len(s.running), len(s.queue), s.slots)})
	seen := s.clock.now - s.serviceModel.LoadReportLag()
	for len(s.loadSamples) > 1 && s.loadSamples[1].at <= seen {
		s.loadSamples = s.loadSamples[1:]
	}
}

// load returns the load that an answer carries now, which is as old as the lag.
func (s *standin) reportedLoad() (l schedule.Load) {
	seen := s.clock.now - s.serviceModel.LoadReportLag()
	l = schedule.NewLoad(0, 0, s.slots)
	for _, one := range s.loadSamples {
		if one.at > seen {
			break
		}
		l = one.load
	}
	return l
}
