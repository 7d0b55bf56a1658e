package estimate

import (
	"math"
	"time"
)

const (
	// enough is the number of samples from which a key's own distribution is used.
	enough = 5
	// refresh is the number of samples after which cached statistics are renewed.
	refresh = 8
	// bound limits the keys of an estimator; the oldest unused one is dropped.
	bound = 1_024
)

// Statistics are what a decision reads of a distribution.
type Statistics struct {
	mean   float64
	median float64
	high   float64
}

// Mean returns the mean.
func (s Statistics) Mean() float64 { return s.mean }

// Median returns the 50% quantile.
func (s Statistics) Median() float64 { return s.median }

// High returns the 95% quantile.
func (s Statistics) P95() float64 { return s.high }

// Estimator keeps a distribution per key.
type Estimator[K comparable] struct {
	rows map[K]*row
	// created counts the rows ever made, so that eviction is the same in equal runs.
	created int
}

type row struct {
	distribution Distribution
	statistics   Statistics
	// last is the time of the last sample or of the last trial.
	last    time.Duration
	created int
}

// New returns an empty estimator.
func New[K comparable]() *Estimator[K] { return &Estimator[K]{rows: make(map[K]*row)} }

// Add takes a sample of the key.
func (e *Estimator[K]) Add(now time.Duration, k K, v float64) {
	r, ok := e.rows[k]
	if !ok {
		e.evict()
		e.created++
		r = &row{created: e.created}
		e.rows[k] = r
	}
	r.last = now
	r.distribution.Add(v)
	if n := r.distribution.Len(); n <= 4*refresh || n%refresh == 0 {
		r.statistics = Statistics{
			mean:   r.distribution.Mean(),
			median: r.distribution.Quantile(0.5),
			high:   r.distribution.Quantile(0.95),
		}
	}
}

// Get returns the statistics of the first key that has enough samples.
func (e *Estimator[K]) Get(keys ...K) (s Statistics, ok bool) {
	for _, k := range keys {
		if r, found := e.rows[k]; found && r.distribution.Len() >= enough {
			return r.statistics, true
		}
	}
	return Statistics{}, false
}

// Trial reports whether a trial of the key is due: there was no sample and no trial for
// the given time. A true result counts as a trial. Without trials, an estimate that is
// too high would refuse all the work that could correct it.
func (e *Estimator[K]) AllowProbe(now time.Duration, k K, after time.Duration) bool {
	r, ok := e.rows[k]
	if !ok || now-r.last < after {
		return !ok
	}
	r.last = now
	return true
}

// evict makes room for one more key.
func (e *Estimator[K]) evict() {
	if len(e.rows) < bound {
		return
	}
	var oldest K
	var least *row
	for k, r := range e.rows {
		if least == nil || r.last < least.last || r.last == least.last && r.created < least.created {
			oldest, least = k, r
		}
	}
	delete(e.rows, oldest)
}

// classes is the number of size classes per power of two. Service times of engines follow
// the size, and wider classes make the usual spread of a class look like slow targets.
const classes = 4

// Class returns the size class of a size.
func SizeClass(size float64) int8 {
	if size < 1 {
		return 0
	}
	return int8(min(classes*math.Log2(size), math.MaxInt8))
}
