package discovery

import (
	"slices"
	"time"

	"sassafrasward/core/sortedmap"
)

// Target is one published target. It is compared and passed as a value.
type Target struct {
	// ID names one incarnation of the target.
	ID      string
	Pool    string
	Address string
	Zone    string
	Slots   int
	// Leaving targets get no new work.
	Leaving bool
	// Born identifies the start of the target's process; zero if it is not published.
	StartID int64
	// Revision orders the entries of one target.
	Revision uint64
}

const (
	// lapseTime is how long after the return of the store a live target may take to write
	// its entry again, as the platform's pages state.
	lapseTime = 2 * time.Second
	// graceTime is less than the time within which a leaving target must get no new work,
	// so that a removal right after an outage is still in time.
	graceTime = lapseTime - 200*time.Millisecond
)

// Roster is the set of published targets. It is not safe for concurrent use.
type Set struct {
	rows *sortedmap.Map[string, Target]
	// lapsed has when a target whose entry lapsed is given up.
	lapsed map[string]time.Duration
	// away holds while the store does not answer; back is when it last answered again.
	away bool
	back time.Duration
	// outage is set once the store has been away.
	outage bool
	// revision is the newest revision of the store that is contained.
	revision uint64
	changed  bool
}

// New returns an empty roster.
func New() *Set {
	return &Set{rows: sortedmap.New[string, Target](), lapsed: make(map[string]time.Duration)}
}

// Revision returns the newest revision of the store that is contained.
func (r *Set) Revision() uint64 { return r.revision }

// Changed reports whether the targets changed since the last call.
func (r *Set) Changed() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Lost notes that the store does not answer.
func (r *Set) StoreDown() { r.away = true }

// Found notes that the store answers.
func (r *Set) StoreUp(now time.Duration) {
	if r.away {
		r.away, r.outage, r.back = false, true, now
	}
}

// Put adds or replaces a target.
func (r *Set) Put(t Target) {
	r.revision = max(r.revision, t.Revision)
	delete(r.lapsed, t.ID)
	if old, ok := r.rows.Get(t.ID); ok && (old == t || old.Revision > t.Revision) {
		return
	}
	r.rows.Put(t.ID, t)
	r.changed = true
}

// Remove takes a target out whose entry was removed at the revision.
func (r *Set) Remove(now time.Duration, id string, revision uint64) {
	r.revision = max(r.revision, revision)
	t, ok := r.rows.Get(id)
	if !ok || t.Revision > revision {
		return
	}
	if r.outage && now < r.back+graceTime && !t.Leaving {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = r.back + graceTime
		}
		return
	}
	r.drop(id)
}

// Replace sets all targets to those of a full list read at the revision.
func (r *Set) Replace(now time.Duration, list []Target, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		r.Put(t)
	}
	for _, id := range r.rows.Keys() {
		if !listed[id] {
			r.Remove(now, id, revision)
		}
	}
	r.revision = max(r.revision, revision)
}

// Tick gives up targets whose entries did not come back in time.
func (r *Set) Tick(now time.Duration) {
	for id, until := range r.lapsed {
		if now >= until {
			r.drop(id)
		}
	}
}

func (r *Set) drop(id string) {
	delete(r.lapsed, id)
	r.rows.Delete(id)
	r.changed = true
}

// Targets returns all targets by pool, in the order of their identities.
func (r *Set) Targets() (pools map[string][]Target) {
	pools = make(map[string][]Target)
	for _, t := range r.rows.All() {
		pools[t.Pool] = append(pools[t.Pool], t)
	}
	return pools
}

// Leaving returns the sorted addresses of the leaving targets.
func (r *Set) Leaving() (addresses []string) {
	for _, t := range r.rows.All() {
		if t.Leaving {
			addresses = append(addresses, t.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
