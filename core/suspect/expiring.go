package suspect

import (
	"math"
	"time"
)

// expiring is a table of at most maxEntries values, each of which is removed entryTTL after its last
// update. If the table is full, the least recently updated value is evicted.
type expiring[V any] struct {
	entries map[uint64]*dated[V]
}

// dated is a value with the time of its last update.
type dated[V any] struct {
	value      V
	lastUpdate time.Duration
}

func newExpiring[V any]() expiring[V] { return expiring[V]{entries: make(map[uint64]*dated[V])} }

// get returns the value of a key that has not expired.
func (x expiring[V]) get(now time.Duration, key uint64) (value V, ok bool) {
	e, ok := x.entries[key]
	if !ok {
		return value, false
	}
	if now-e.lastUpdate > entryTTL {
		delete(x.entries, key)
		return value, false
	}
	return e.value, true
}

// put sets the value of a key and the time of its last update.
func (x expiring[V]) put(now time.Duration, key uint64, value V) {
	if e, ok := x.entries[key]; ok {
		e.value, e.lastUpdate = value, now
		return
	}
	if len(x.entries) >= maxEntries {
		x.evict()
	}
	x.entries[key] = &dated[V]{value: value, lastUpdate: now}
}

// evict removes the least recently updated value. Ties are broken by the key.
func (x expiring[V]) evict() {
	oldest, lastUpdate := uint64(0), time.Duration(math.MaxInt64)
	for key, e := range x.entries {
		if e.lastUpdate < lastUpdate || e.lastUpdate == lastUpdate && key < oldest {
			oldest, lastUpdate = key, e.lastUpdate
		}
	}
	delete(x.entries, oldest)
}

// len returns the number of values.
func (x expiring[V]) len() int { return len(x.entries) }

// runLog counts the completed runs by key. It keeps the last maxEntries keys at least.
type runLog struct {
	// Once recent has maxEntries keys, it replaces older.
	recent, older map[uint64]completedRuns
}

// completedRuns counts the completed runs of a key; last is the time of the last one.
type completedRuns struct {
	count int
	last  time.Duration
}

func newRunLog() *runLog { return &runLog{recent: make(map[uint64]completedRuns)} }

// get returns the completed runs, or none if the last one is older than trustDuration.
func (l *runLog) get(now time.Duration, key uint64) completedRuns {
	c, ok := l.recent[key]
	if !ok {
		c = l.older[key]
	}
	if now-c.last > trustDuration {
		return completedRuns{}
	}
	return c
}

// record adds a completed run.
func (l *runLog) record(now time.Duration, key uint64) {
	c := l.get(now, key)
	if len(l.recent) >= maxEntries {
		l.older, l.recent = l.recent, make(map[uint64]completedRuns)
	}
	l.recent[key] = completedRuns{count: c.count + 1, last: now}
}
