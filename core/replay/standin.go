package replay

import (
	"slices"
	"time"

	"sassafrasward/core/schedule"
	"sassafrasward/core/trace"
)

// standin models a target. It runs up to slots calls concurrently, which slow each other
// down as the service model of the pool states. Further calls are queued by priority, then
// arrival.
type standin struct {
	clock        *clock
	name         string
	pool         string
	zone         string
	slots        int
	serviceModel trace.ServiceModel
	// slowFactor multiplies the service time during a slow period; at least 1.
	slowFactor float64
	down       bool

	running []*targetCall
	queue   []*targetCall
	// advancedTo is the time up to which the progress of running calls is accounted for.
	advancedTo time.Duration
	// completionVersion is incremented when the next completion is rescheduled. Completion
	// events of older versions are ignored.
	completionVersion int
	// cached holds the cached prefixes, the most recently used one last.
	cached []string
	// loadSamples holds the load over the last LoadReportLag, the oldest sample first.
	loadSamples []loadSample
}

// targetCall is a call that is queued or runs on a target.
type targetCall struct {
	attempt *attempt
	// remaining is the service time that would remain if the call ran alone at normal speed.
	remaining float64 // seconds
	// heldTime is the time for which the call has held a slot.
	heldTime time.Duration
	onEnd    func(schedule.CallStatus)
}

type loadSample struct {
	at   time.Duration
	load schedule.Load
}

// completionTolerance is the remaining service time in seconds below which a call counts as
// complete. It covers the rounding of virtual time to nanoseconds.
const completionTolerance = 1e-7

// accept queues or starts a call. It calls onEnd once, unless the call is cancelled.
func (s *standin) accept(a *attempt, onEnd func(schedule.CallStatus)) {
	if s.down {
		onEnd(schedule.ConnectFailed)
		return
	}
	s.advance()
	c := &targetCall{attempt: a, onEnd: onEnd}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].attempt.priority < a.priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, c)
	s.startQueued()
}

// cancel removes a queued or running call.
func (s *standin) cancel(a *attempt) {
	s.advance()
	matches := func(c *targetCall) bool { return c.attempt == a }
	s.queue = slices.DeleteFunc(s.queue, matches)
	for _, c := range s.running {
		if matches(c) {
			c.addSlotTime()
		}
	}
	s.running = slices.DeleteFunc(s.running, matches)
	s.startQueued()
}

// crash ends all calls and clears the cache. The target is down until the end of the crash.
func (s *standin) crash() {
	s.advance()
	lost := append(slices.Clone(s.running), s.queue...)
	s.running, s.queue, s.cached, s.down = nil, nil, nil, true
	s.startQueued()
	for _, c := range lost {
		c.addSlotTime()
		c.onEnd(schedule.Crashed)
	}
}

func (s *standin) setSlowFactor(factor float64) {
	s.advance()
	s.slowFactor = factor
	s.startQueued()
}

// slowdown returns the factor by which running calls currently take longer than a call that
// runs alone at normal speed.
func (s *standin) slowdown() float64 { return s.slowFactor * s.serviceModel.Slowdown(len(s.running)) }

// advance updates the progress of running calls to the current time.
func (s *standin) advance() {
	elapsed := s.clock.now - s.advancedTo
	s.advancedTo = s.clock.now
	done := elapsed.Seconds() / s.slowdown()
	for _, c := range s.running {
		c.remaining -= done
		c.heldTime += elapsed
	}
}

// startQueued starts queued calls while slots are free and schedules the next completion.
func (s *standin) startQueued() {
	for len(s.queue) > 0 && len(s.running) < s.slots {
		c := s.queue[0]
		s.queue = s.queue[1:]
		c.remaining = s.serviceModel.ServiceTime(c.attempt.flow.request, s.lookUpPrefix(c.attempt.flow.request.Prefix())).Seconds()
		s.running = append(s.running, c)
	}
	s.recordLoad()
	s.completionVersion++
	if len(s.running) == 0 {
		return
	}
	shortest := s.running[0].remaining
	for _, c := range s.running {
		shortest = min(shortest, c.remaining)
	}
	version := s.completionVersion
	s.clock.after(time.Duration(max(shortest, 0)*s.slowdown()*float64(time.Second))+1, func() {
		if version == s.completionVersion {
			s.complete()
		}
	})
}

func (s *standin) complete() {
	s.advance()
	var completed []*targetCall
	s.running = slices.DeleteFunc(s.running, func(c *targetCall) bool {
		if c.remaining > completionTolerance {
			return false
		}
		completed = append(completed, c)
		return true
	})
	s.startQueued()
	for _, c := range completed {
		c.addSlotTime()
		c.onEnd(schedule.Completed)
	}
}

// addSlotTime adds the time for which the call held a slot to its attempt.
func (c *targetCall) addSlotTime() { c.attempt.slotTime += c.heldTime }

// lookUpPrefix reports whether the prefix is cached and marks it as most recently used.
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

// recordLoad stores the current load, which reportedLoad returns once the lag has passed.
func (s *standin) recordLoad() {
	s.loadSamples = append(s.loadSamples, loadSample{s.clock.now, schedule.NewLoad(len(s.running), len(s.queue), s.slots)})
	reportTime := s.clock.now - s.serviceModel.LoadReportLag()
	for len(s.loadSamples) > 1 && s.loadSamples[1].at <= reportTime {
		s.loadSamples = s.loadSamples[1:]
	}
}

// reportedLoad returns the load that an answer reports now: the load at
// the time LoadReportLag before now.
func (s *standin) reportedLoad() (l schedule.Load) {
	reportTime := s.clock.now - s.serviceModel.LoadReportLag()
	l = schedule.NewLoad(0, 0, s.slots)
	for _, sample := range s.loadSamples {
		if sample.at > reportTime {
			break
		}
		l = sample.load
	}
	return l
}
