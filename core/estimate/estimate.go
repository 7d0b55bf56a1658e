package estimate

import (
	"math"
	"time"
)

const (
	// minSamples is the number of samples from which the distribution of a key is used.
	minSamples = 5
	// refreshInterval is the number of samples between updates of the cached statistics. Each
	// of the first 4*refreshInterval samples updates them.
	refreshInterval = 8
	// maxKeys limits the keys of an estimator; the least recently used one is evicted.
	maxKeys = 1_024
)

// Statistics holds cached statistics of a distribution.
type Statistics struct {
	mean   float64
	median float64
	p95    float64
}

// Mean returns the arithmetic mean.
func (s Statistics) Mean() float64 { return s.mean }

// Median returns the 50th percentile.
func (s Statistics) Median() float64 { return s.median }

// P95 returns the 95th percentile.
func (s Statistics) P95() float64 { return s.p95 }

// Estimator keeps a distribution per key.
type Estimator[K comparable] struct {
	entries map[K]*entry
	// created counts the entries ever created. It breaks ties, so that eviction is
	// deterministic.
	created int
}

type entry struct {
	distribution Distribution
	statistics   Statistics
	// lastUsed is the time of the last sample or trial.
	lastUsed time.Duration
	created  int
}

// New returns an empty estimator.
func New[K comparable]() *Estimator[K] { return &Estimator[K]{entries: make(map[K]*entry)} }

// Add adds a sample for a key.
func (e *Estimator[K]) Add(now time.Duration, k K, v float64) {
	ent, ok := e.entries[k]
	if !ok {
		e.evict()
		e.created++
		ent = &entry{created: e.created}
		e.entries[k] = ent
	}
	ent.lastUsed = now
	ent.distribution.Add(v)
	if n := ent.distribution.Len(); n <= 4*refreshInterval || n%refreshInterval == 0 {
		ent.statistics = Statistics{
			mean:   ent.distribution.Mean(),
			median: ent.distribution.Quantile(0.5),
			p95:    ent.distribution.Quantile(0.95),
		}
	}
}

// Get returns the statistics of the first key that has enough samples.
func (e *Estimator[K]) Get(keys ...K) (s Statistics, ok bool) {
	for _, k := range keys {
		if ent, found := e.entries[k]; found && ent.distribution.Len() >= minSamples {
			return ent.statistics, true
		}
	}
	return Statistics{}, false
}

// AllowTrial reports whether a trial of the key is due: it had neither a sample nor a trial for
// the given time. A true result counts as a trial. Without trials, an estimate that is too high
// would cause all work to be refused that could correct it.
func (e *Estimator[K]) AllowTrial(now time.Duration, k K, after time.Duration) bool {
	ent, ok := e.entries[k]
	if !ok || now-ent.lastUsed < after {
		return !ok
	}
	ent.lastUsed = now
	return true
}

// evict removes the least recently used key if the estimator is full.
func (e *Estimator[K]) evict() {
	if len(e.entries) < maxKeys {
		return
	}
	var oldestKey K
	var oldestEntry *entry
	for k, ent := range e.entries {
		if oldestEntry == nil || ent.lastUsed < oldestEntry.lastUsed || ent.lastUsed == oldestEntry.lastUsed && ent.created < oldestEntry.created {
			oldestKey, oldestEntry = k, ent
		}
	}
	delete(e.entries, oldestKey)
}

// classesPerOctave is the number of size classes per power of two. The service time of an engine
// depends on the size; with wider classes, the normal variation within a class would look like
// slow targets.
const classesPerOctave = 4

// SizeClass returns the logarithmic size class of a size.
func SizeClass(size float64) int8 {
	if size < 1 {
		return 0
	}
	return int8(min(classesPerOctave*math.Log2(size), math.MaxInt8))
}
