package schedule

import (
	"time"

	"sassafrasward/core/estimate"
)

const (
	// unknownWork stands for the service time of a call before anything is measured.
	unknownWork = 100 * time.Millisecond
	// longFactor makes a class of calls long work if its median service time is this
	// many times that of the pool's short work, and longLeast is the least such time.
	longFactor = 10
	longLeast  = time.Second
	// trialPause is the time without a measurement after which one call that looks too
	// late is tried.
	trialPause = time.Second
	// timeoutFactor is the time in high quantiles after which an attempt is given up,
	// tightTimeoutFactor the least such time if the deadline is near, and
	// leastAttemptTimeout the least time in all. Giving up calls that are only slow doubles
	// the load of a surge.
	timeoutFactor       = 6
	tightTimeoutFactor  = 3
	leastAttemptTimeout = 100 * time.Millisecond
)

// key names a distribution: a pipeline's stage and a size class. Size class any holds all
// sizes; the zero key with size class any holds all short work of the pool.
type key struct {
	pipeline string
	stage    string
	class    int8
}

const anySize int8 = -1

// expectation is what the measurements say of a call.
type expectation struct {
	key key
	// work is the mean service time; unknownWork if there are no measurements.
	work time.Duration
	// median and high are quantiles; zero if there are no measurements of the stage.
	median, high time.Duration
	long         bool
}

// usual is the time that a call takes if its target is not slow. It follows the high
// quantile where service times vary much, so that variance does not look like slowness.
func (x expectation) usual() time.Duration { return max(x.median, x.high*2/5) }

func (s *Scheduler) expect(c Call) (x expectation) {
	stage := key{pipeline: c.pipeline, stage: c.stage, class: anySize}
	x.key = stage
	x.key.class = estimate.SizeClass(s.size(c, stage))
	x.work = unknownWork
	pool, poolKnown := s.times.Get(key{class: anySize})
	if poolKnown {
		x.work = time.Duration(pool.Mean())
	}
	if t, ok := s.times.Get(x.key, stage); ok {
		x.work = time.Duration(t.Mean())
		x.median, x.high = time.Duration(t.Median()), time.Duration(t.P95())
	}
	x.long = c.long || poolKnown && x.median >= longLeast && x.median > longFactor*time.Duration(pool.Median())
	return x
}

// size returns the predicted work of a call: as stated, or else as learned.
func (s *Scheduler) size(c Call, stage key) float64 {
	if c.size > 1 {
		return c.size
	}
	if learned, ok := s.sizes.Get(stage); ok {
		return learned.Mean()
	}
	return 1
}

// measure takes the service time of a completed call.
func (s *Scheduler) measure(now time.Duration, r *run, took time.Duration, size float64) {
	stage := r.entry.key
	s.times.Add(now, stage, float64(took))
	stage.class = anySize
	s.times.Add(now, stage, float64(took))
	if !r.entry.slow {
		s.times.Add(now, key{class: anySize}, float64(took))
	}
	if size > 0 {
		s.sizes.Add(now, stage, size)
	}
}

// units returns work in average calls of the pool.
func (s *Scheduler) units(work time.Duration) float64 {
	if pool, ok := s.times.Get(key{class: anySize}); ok && pool.Mean() > 0 {
		return float64(work) / pool.Mean()
	}
	return 1
}

// Expect returns the time that the pool is expected to need for a call offered now: its
// wait and its service. Callers sum it over the later stages of a request for WithAfter.
func (s *Scheduler) ExpectedTime(now time.Duration, c Call) time.Duration {
	e := s.enter(now, c, false)
	if e.median == 0 {
		return 0
	}
	return s.wait(e) + e.work
}

// AttemptTimeout returns how long an attempt of a call may go without a sign of life before it is
// given up, so that a repeat over another connection still has its time. An attempt whose
// repeat would have too little time may use up the deadline.
func (s *Scheduler) AttemptTimeout(now time.Duration, c Call) time.Duration {
	left := c.deadline - c.after - now
	x := s.expect(c)
	if x.median == 0 {
		return left * 3 / 4
	}
	longest := left - x.median*5/4
	if longest < max(s.stretch(tightTimeoutFactor, x.high), leastAttemptTimeout) {
		return left + c.after
	}
	return min(max(s.stretch(timeoutFactor, x.high), leastAttemptTimeout), longest)
}
