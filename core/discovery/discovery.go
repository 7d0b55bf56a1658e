package discovery

import (
	"slices"
	"time"

	"sassafrasward/core/sortedmap"
)

// Target is one published target. Values are comparable.
type Target struct {
	// ID identifies one incarnation of the target.
	ID      string
	Pool    string
	Address string
	Zone    string
	Slots   int
	// Leaving targets get no new work.
	Leaving bool
	// Evacuated targets get no new work, because their availability zone is evacuated.
	Evacuated bool
	// StartID identifies the start of the target's process; zero if it is not published.
	StartID int64
	// Revision orders the versions of the entry of one target.
	Revision uint64
	// ColdFor is how long the target still took few requests only when its entry was written.
	ColdFor time.Duration
}

// AcceptsWork reports whether the target may get new work.
func (t Target) AcceptsWork() bool { return !t.Leaving && !t.Evacuated }

const (
	// republishTime is how long a live target may take to publish its entry again after the store
	// is back, as documented by the platform.
	republishTime = 2 * time.Second
	// gracePeriod is less than the time within which a leaving target must get no new work, so that
	// a removal right after an outage is still in time.
	gracePeriod = republishTime - 200*time.Millisecond
)

// Set is the set of published targets. It is not safe for concurrent use.
type Set struct {
	targets *sortedmap.Map[string, Target]
	// evacuated has the evacuated availability zones, also those without targets.
	evacuated map[string]bool
	// removalDue holds when a target whose entry lapsed is removed, by ID.
	removalDue map[string]time.Duration
	// storeDown is set while the store does not answer; storeUpSince is when the last outage ended.
	storeDown    bool
	storeUpSince time.Duration
	// hadOutage is set after the first outage of the store.
	hadOutage bool
	// revision is the newest store revision that the set reflects.
	revision uint64
	changed  bool
}

// New returns an empty set.
func New() *Set {
	return &Set{targets: sortedmap.New[string, Target](), evacuated: make(map[string]bool), removalDue: make(map[string]time.Duration)}
}

// Revision returns the newest store revision that the set reflects.
func (s *Set) Revision() uint64 { return s.revision }

// Changed reports whether the targets or the evacuated zones changed since the last call.
func (s *Set) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// StoreDown records that the store does not answer.
func (s *Set) StoreDown() { s.storeDown = true }

// StoreUp records that the store answers.
func (s *Set) StoreUp(now time.Duration) {
	if s.storeDown {
		s.storeDown, s.hadOutage, s.storeUpSince = false, true, now
	}
}

// Evacuate records that an availability zone is evacuated, and returns the number of its targets.
func (s *Set) Evacuate(zone string) (targets int) {
	s.evacuated[zone], s.changed = true, true
	return len(s.setEvacuated(zone, true))
}

// Restore records that an availability zone is no longer evacuated, and returns its targets. It reports false
// if the zone was not evacuated.
func (s *Set) Restore(zone string) (targets []Target, ok bool) {
	if !s.evacuated[zone] {
		return nil, false
	}
	delete(s.evacuated, zone)
	s.changed = true
	return s.setEvacuated(zone, false), true
}

// EvacuatedZones returns the number of evacuated availability zones.
func (s *Set) EvacuatedZones() int { return len(s.evacuated) }

// setEvacuated marks the targets of an availability zone and returns them.
func (s *Set) setEvacuated(zone string, evacuated bool) (targets []Target) {
	for id, t := range s.targets.All() {
		if t.Zone == zone {
			t.Evacuated = evacuated
			targets = append(targets, t)
			s.targets.Put(id, t)
		}
	}
	return targets
}

// Put adds or replaces a target. An entry that is older than the known one is ignored.
func (s *Set) Put(t Target) {
	t.Evacuated = s.evacuated[t.Zone]
	s.revision = max(s.revision, t.Revision)
	delete(s.removalDue, t.ID)
	if old, ok := s.targets.Get(t.ID); ok && (old == t || old.Revision > t.Revision) {
		return
	}
	s.targets.Put(t.ID, t)
	s.changed = true
}

// Remove removes a target whose entry was removed from the store at the revision. Right after an
// outage, the target stays for the grace period unless it is leaving.
func (s *Set) Remove(now time.Duration, id string, revision uint64) {
	s.revision = max(s.revision, revision)
	t, ok := s.targets.Get(id)
	if !ok || t.Revision > revision {
		return
	}
	if s.hadOutage && now < s.storeUpSince+gracePeriod && !t.Leaving {
		if _, ok := s.removalDue[id]; !ok {
			s.removalDue[id] = s.storeUpSince + gracePeriod
		}
		return
	}
	s.drop(id)
}

// Replace replaces all targets with those of a complete list read at the revision.
func (s *Set) Replace(now time.Duration, list []Target, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		s.Put(t)
	}
	for _, id := range s.targets.Keys() {
		if !listed[id] {
			s.Remove(now, id, revision)
		}
	}
	s.revision = max(s.revision, revision)
}

// Tick removes targets whose entries were not published again in time.
func (s *Set) Tick(now time.Duration) {
	for id, due := range s.removalDue {
		if now >= due {
			s.drop(id)
		}
	}
}

func (s *Set) drop(id string) {
	delete(s.removalDue, id)
	s.targets.Delete(id)
	s.changed = true
}

// Targets returns all targets by pool, in the order of their IDs.
func (s *Set) Targets() (pools map[string][]Target) {
	pools = make(map[string][]Target)
	for _, t := range s.targets.All() {
		pools[t.Pool] = append(pools[t.Pool], t)
	}
	return pools
}

// LeavingAddresses returns the sorted addresses of the leaving targets.
func (s *Set) LeavingAddresses() (addresses []string) {
	for _, t := range s.targets.All() {
		if t.Leaving {
			addresses = append(addresses, t.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
