package schedule

import (
	"time"

	"sassafrasward/core/estimate"
)

const (
	// defaultServiceTime is assumed for a call before anything is measured.
	defaultServiceTime = 100 * time.Millisecond
	// A size class is long work if its median service time is at least minLongTime and more
	// than longFactor times that of the pool's short work.
	longFactor  = 10
	minLongTime = time.Second
	// trialInterval is the time without a measurement after which one call that is predicted
	// to be late is admitted as a trial.
	trialInterval = time.Second
	// timeoutFactor is the attempt timeout in multiples of the p95, tightTimeoutFactor the
	// least such multiple if the deadline is near, and minAttemptTimeout the least timeout.
	// Giving up calls that are only slow doubles the load of a surge.
	timeoutFactor      = 6
	tightTimeoutFactor = 3
	minAttemptTimeout  = 100 * time.Millisecond
)

// estimateKey identifies a distribution of service times: a stage of a pipeline and a size
// class. Size class anySize covers all sizes; with no pipeline and stage, it covers all short
// work of the pool.
type estimateKey struct {
	pipeline  string
	stage     string
	sizeClass int8
}

const anySize int8 = -1

// prediction is the service time of a call as predicted from measurements.
type prediction struct {
	key estimateKey
	// meanTime is the mean service time; defaultServiceTime if there are no measurements.
	meanTime time.Duration
	// median and p95 are quantiles; zero if there are no measurements of the stage.
	median, p95 time.Duration
	long        bool
}

// typicalTime is the service time on a target that is not slow. It follows the p95 where
// service times vary much, so that variance is not taken for slowness.
func (x prediction) typicalTime() time.Duration { return max(x.median, x.p95*2/5) }

func (s *Scheduler) predict(c Call) (x prediction) {
	stage := estimateKey{pipeline: c.pipeline, stage: c.stage, sizeClass: anySize}
	x.key = stage
	x.key.sizeClass = estimate.SizeClass(s.predictSize(c, stage))
	x.meanTime = defaultServiceTime
	pool, poolKnown := s.serviceTimes.Get(estimateKey{sizeClass: anySize})
	if poolKnown {
		x.meanTime = time.Duration(pool.Mean())
	}
	if t, ok := s.serviceTimes.Get(x.key, stage); ok {
		x.meanTime = time.Duration(t.Mean())
		x.median, x.p95 = time.Duration(t.Median()), time.Duration(t.P95())
	}
	x.long = c.long || poolKnown && x.median >= minLongTime && x.median > longFactor*time.Duration(pool.Median())
	return x
}

// predictSize returns the size of a call: as stated, or else the mean of its stage.
func (s *Scheduler) predictSize(c Call, stage estimateKey) float64 {
	if c.size > 1 {
		return c.size
	}
	if learned, ok := s.callSizes.Get(stage); ok {
		return learned.Mean()
	}
	return 1
}

// recordServiceTime adds the measured service time and size of a run to the estimates. A
// size of zero is not known.
func (s *Scheduler) recordServiceTime(now time.Duration, r *run, took time.Duration, size float64) {
	stage := r.entry.key
	s.serviceTimes.Add(now, stage, float64(took))
	stage.sizeClass = anySize
	s.serviceTimes.Add(now, stage, float64(took))
	if !r.entry.longClass {
		s.serviceTimes.Add(now, estimateKey{sizeClass: anySize}, float64(took))
	}
	if size > 0 {
		s.callSizes.Add(now, stage, size)
	}
}

// inAverageCalls converts work to a number of average calls of the pool.
func (s *Scheduler) inAverageCalls(work time.Duration) float64 {
	if pool, ok := s.serviceTimes.Get(estimateKey{sizeClass: anySize}); ok && pool.Mean() > 0 {
		return float64(work) / pool.Mean()
	}
	return 1
}

// ExpectedTime returns the predicted queueing delay plus service time of a call offered now.
// Callers sum it over the later stages of a request for WithDownstreamTime.
func (s *Scheduler) ExpectedTime(now time.Duration, c Call) time.Duration {
	e := s.newEntry(now, c, false)
	if e.median == 0 {
		return 0
	}
	return s.estimateWait(e) + e.meanTime
}

// AttemptTimeout returns how long an attempt may go without any response before it is given
// up, so that a retry on another connection still has time. If a retry would have too little
// time, the attempt may use all the time to the deadline. Without measurements, it may use three
// quarters of the time.
func (s *Scheduler) AttemptTimeout(now time.Duration, c Call) time.Duration {
	left := c.deadline - c.downstreamTime - now
	x := s.predict(c)
	if x.median == 0 {
		return left * 3 / 4
	}
	longest := left - x.median*5/4
	if longest < max(s.scaleBySlowdown(tightTimeoutFactor, x.p95), minAttemptTimeout) {
		return left + c.downstreamTime
	}
	return min(max(s.scaleBySlowdown(timeoutFactor, x.p95), minAttemptTimeout), longest)
}
