package feed

import "time"

// Freshness tracks how current the copy of the entries is, from the reports of its sources: the
// store, and the hosts that this one follows. It is not safe for concurrent use.
type Freshness struct {
	// sources has the last report of each source: whether the store responds.
	sources map[string]bool
	// currentAt is the latest time at which the copy was known to be current.
	currentAt time.Duration
	// down is set while all sources report that the store does not respond.
	down bool
}

// NewFreshness returns a Freshness without sources.
func NewFreshness(now time.Duration) *Freshness {
	return &Freshness{sources: make(map[string]bool), currentAt: now}
}

// Succeeded records that the store responded to the source, or to a host that the source follows,
// at a time. It reports whether the store was down before.
func (f *Freshness) Succeeded(source string, at time.Duration) (recovered bool) {
	f.sources[source] = true
	f.currentAt = max(f.currentAt, at)
	recovered, f.down = f.down, false
	return recovered
}

// Failed records that the store does not respond to the source. It reports whether it thereby went
// down: no other source has a response.
func (f *Freshness) Failed(source string) (lost bool) {
	f.sources[source] = false
	if f.down || f.anyUp() {
		return false
	}
	f.down = true
	return true
}

// Gone records that the source itself does not respond.
func (f *Freshness) Gone(source string) { delete(f.sources, source) }

// Down reports whether the store responds to none of the sources.
func (f *Freshness) Down() bool { return f.down }

// Failing reports whether the store does not respond to the source.
func (f *Freshness) Failing(source string) bool {
	up, ok := f.sources[source]
	return ok && !up
}

// Age returns how long ago the copy was last known to be current.
func (f *Freshness) Age(now time.Duration) time.Duration { return now - f.currentAt }

// anyUp reports whether the store responds to any of the sources.
func (f *Freshness) anyUp() bool {
	for _, up := range f.sources {
		if up {
			return true
		}
	}
	return false
}
