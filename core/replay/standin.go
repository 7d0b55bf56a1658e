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
	clock *clock
	name  string
	pool  string
	zone  string
	slots int
	rate  trace.ServiceModel
	// factor is how many times longer work takes now; at least 1.
	factor float64
	down   bool

	running []*job
	queue   []*job
	// advanced is the time up to which the work of running is accounted.
	advanced time.Duration
	// plan numbers the planned completion; events of older plans are void.
	plan int
	// cached holds prefixes, the most recently used one last.
	cached []string
	// loads are past loads, the oldest first; see load.
	loads []stamp
}

// job is a call on a target.
type job struct {
	attempt *attempt
	// left is the work that remains, as time alone on an unslowed target.
	left float64 // seconds
	// spent is the time for which the job has held a slot.
	spent time.Duration
	end   func(schedule.CallStatus)
}

type stamp struct {
	at   time.Duration
	load schedule.Load
}

// rest is the remaining work in seconds below which a job counts as complete; it covers
// the rounding of virtual time to nanoseconds.
const rest = 1e-7

// take accepts a call. The end is reported once, unless the call is cancelled.
func (s *standin) take(a *attempt, end func(schedule.CallStatus)) {
	if s.down {
		end(schedule.ConnectFailed)
		return
	}
	s.advance()
	j := &job{attempt: a, end: end}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].attempt.priority < a.priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, j)
	s.schedule()
}

// cancel drops a call that no longer matters.
func (s *standin) cancel(a *attempt) {
	s.advance()
	same := func(j *job) bool { return j.attempt == a }
	s.queue = slices.DeleteFunc(s.queue, same)
	for _, j := range s.running {
		if same(j) {
			j.account()
		}
	}
	s.running = slices.DeleteFunc(s.running, same)
	s.schedule()
}

// crash loses all work until the target is back.
func (s *standin) crash() {
	s.advance()
	lost := append(slices.Clone(s.running), s.queue...)
	s.running, s.queue, s.cached, s.down = nil, nil, nil, true
	s.schedule()
	for _, j := range lost {
		j.account()
		j.end(schedule.Crashed)
	}
}

func (s *standin) setFactor(factor float64) {
	s.advance()
	s.factor = factor
	s.schedule()
}

// slowdown is how many times longer running work takes now than alone.
func (s *standin) slowdown() float64 { return s.factor * s.rate.Slowdown(len(s.running)) }

// advance accounts the work done since the last change.
func (s *standin) advance() {
	passed := s.clock.now - s.advanced
	s.advanced = s.clock.now
	done := passed.Seconds() / s.slowdown()
	for _, j := range s.running {
		j.left -= done
		j.spent += passed
	}
}

// schedule starts queued jobs and plans the next completion.
func (s *standin) schedule() {
	for len(s.queue) > 0 && len(s.running) < s.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		j.left = s.rate.ServiceTime(j.attempt.flow.request, s.hit(j.attempt.flow.request.Prefix())).Seconds()
		s.running = append(s.running, j)
	}
	s.record()
	s.plan++
	if len(s.running) == 0 {
		return
	}
	least := s.running[0].left
	for _, j := range s.running {
		least = min(least, j.left)
	}
	plan := s.plan
	s.clock.after(time.Duration(max(least, 0)*s.slowdown()*float64(time.Second))+1, func() {
		if plan == s.plan {
			s.complete()
		}
	})
}

func (s *standin) complete() {
	s.advance()
	var ended []*job
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		if j.left > rest {
			return false
		}
		ended = append(ended, j)
		return true
	})
	s.schedule()
	for _, j := range ended {
		j.account()
		j.end(schedule.Completed)
	}
}

// account adds the time that the job held a slot to the cost of its attempt.
func (j *job) account() { j.attempt.busy += j.spent }

// hit reports whether the prefix is cached, and makes it the most recently used one.
func (s *standin) hit(prefix string) (ok bool) {
	if prefix == "" || s.rate.PrefixCacheSize() == 0 {
		return false
	}
	if i := slices.Index(s.cached, prefix); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
		ok = true
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > s.rate.PrefixCacheSize() {
		s.cached = s.cached[1:]
	}
	return ok
}

// record keeps the load for late reports.
func (s *standin) record() {
	s.loads = append(s.loads, stamp{s.clock.now, schedule.NewLoad(len(s.running), len(s.queue), s.slots)})
	seen := s.clock.now - s.rate.LoadReportLag()
	for len(s.loads) > 1 && s.loads[1].at <= seen {
		s.loads = s.loads[1:]
	}
}

// load returns the load that an answer carries now, which is as old as the lag.
func (s *standin) load() (l schedule.Load) {
	seen := s.clock.now - s.rate.LoadReportLag()
	l = schedule.NewLoad(0, 0, s.slots)
	for _, one := range s.loads {
		if one.at > seen {
			break
		}
		l = one.load
	}
	return l
}
