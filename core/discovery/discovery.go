package discovery

import (
	"slices"
	"time"

	"sassafrasward/core/revision"
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
	Revision revision.Revision
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
	// lapsed has the targets whose entries lapsed, by ID.
	lapsed map[string]lapse
	// departures has what binds the set if the store is restored from a backup.
	departures departures
	// restoreDue holds when the evacuation of an availability zone ends that a restore of the store has taken back.
	restoreDue map[string]time.Duration
	// storeDown is set while the store does not answer; storeUpSince is when the last outage ended.
	storeDown    bool
	storeUpSince time.Duration
	// hadOutage is set after the first outage of the store.
	hadOutage bool
	// revision is the newest store revision that the set reflects.
	revision revision.Revision
	changed  bool
}

// lapse is a target whose entry lapsed.
type lapse struct {
	// due is when the target is removed, at the revision of the removal of its entry.
	due time.Duration
	at  revision.Revision
}

// New returns an empty set.
func New() *Set {
	return &Set{
		targets: sortedmap.New[string, Target](), evacuated: make(map[string]bool), lapsed: make(map[string]lapse),
		departures: newDepartures(), restoreDue: make(map[string]time.Duration),
	}
}

// Revision returns the newest store revision that the set reflects.
func (s *Set) Revision() revision.Revision { return s.revision }

// Changed reports whether the targets or the evacuated zones changed since the last call.
func (s *Set) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// StoreDown records that the store does not answer.
func (s *Set) StoreDown() { s.storeDown = true }

// StoreReached records that the store answers, and did all the time, though other hosts were cut off from it: no entry
// lapsed because of that.
func (s *Set) StoreReached() { s.storeDown = false }

// StoreUp records that the store answers.
func (s *Set) StoreUp(now time.Duration) {
	if s.storeDown {
		s.storeDown, s.hadOutage, s.storeUpSince = false, true, now
	}
}

// Evacuate records that an availability zone is evacuated, and returns the number of its targets.
func (s *Set) Evacuate(zone string) (targets int) {
	delete(s.restoreDue, zone)
	s.evacuated[zone], s.changed = true, true
	return len(s.setEvacuated(zone, true))
}

// EndEvacuation records that the entry of an evacuated availability zone was removed at a revision, and returns the
// targets of the zone. It reports false if the zone was not evacuated, or stays so for now because only a restore of the
// store has taken the entry back.
func (s *Set) EndEvacuation(zone string, at revision.Revision) (targets []Target, ok bool) {
	switch {
	case !s.evacuated[zone]:
		return nil, false
	case at == s.departures.restoredAt:
		s.restoreDue[zone] = s.departures.heldUntil
		return nil, false
	}
	return s.endEvacuation(zone), true
}

// EndedEvacuations returns the targets of the availability zones whose evacuation a restore of the store has taken back
// and that were not evacuated again in time, by zone.
func (s *Set) EndedEvacuations(now time.Duration) (zones map[string][]Target) {
	for zone, due := range s.restoreDue {
		if now < due {
			continue
		}
		if zones == nil {
			zones = make(map[string][]Target)
		}
		zones[zone] = s.endEvacuation(zone)
	}
	return zones
}

func (s *Set) endEvacuation(zone string) (targets []Target) {
	delete(s.restoreDue, zone)
	delete(s.evacuated, zone)
	s.changed = true
	return s.setEvacuated(zone, false)
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

// Restored records that the store was restored from a backup. The next entries are those of the restored store, as of a
// revision.
func (s *Set) Restored(now time.Duration, at revision.Revision) {
	s.hadOutage, s.storeUpSince = true, now
	s.departures.restored(now, at)
}

// Put adds or replaces a target. An entry that is older than the known one is ignored. It reports whether the target
// counts as leaving although the entry does not say so, because the entry may be that of a backup.
func (s *Set) Put(now time.Duration, t Target) (held bool) {
	s.revision = revision.Max(s.revision, t.Revision)
	delete(s.lapsed, t.ID)
	old, known := s.targets.Get(t.ID)
	if known && old.Revision.After(t.Revision) {
		return false
	}
	published := t
	if held = s.departures.bind(now, t); held {
		t.Leaving = true
	}
	t.Evacuated = s.evacuated[t.Zone]
	if known && old == t {
		return held
	}
	s.targets.Put(t.ID, t)
	s.changed = true
	if published.Leaving {
		s.departures.add(now, published, published.Revision)
	}
	return held
}

// Remove removes a target whose entry was removed from the store at the revision. Right after an
// outage, the target stays for the grace period unless it is leaving.
func (s *Set) Remove(now time.Duration, id string, at revision.Revision) {
	s.revision = revision.Max(s.revision, at)
	t, ok := s.targets.Get(id)
	if !ok || t.Revision.After(at) {
		return
	}
	if s.hadOutage && now < s.storeUpSince+gracePeriod && !t.Leaving {
		if _, ok := s.lapsed[id]; !ok {
			s.lapsed[id] = lapse{due: s.storeUpSince + gracePeriod, at: at}
		}
		return
	}
	s.drop(now, t, at)
}

// Replace replaces all targets with those of a complete list read at the revision.
func (s *Set) Replace(now time.Duration, list []Target, at revision.Revision) {
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		s.Put(now, t)
	}
	for _, id := range s.targets.Keys() {
		if !listed[id] {
			s.Remove(now, id, at)
		}
	}
	s.revision = revision.Max(s.revision, at)
}

// Tick removes targets whose entries were not published again in time, and ends what binds the set after a restore.
func (s *Set) Tick(now time.Duration) {
	for id, l := range s.lapsed {
		if t, ok := s.targets.Get(id); ok && now >= l.due {
			s.drop(now, t, l.at)
		}
	}
	for _, t := range s.departures.released(now) {
		if old, ok := s.targets.Get(t.ID); ok && old.Revision == t.Revision {
			t.Evacuated = old.Evacuated
			s.targets.Put(t.ID, t)
			s.changed = true
		}
	}
}

// drop removes a target whose entry was removed at a revision.
func (s *Set) drop(now time.Duration, t Target, at revision.Revision) {
	s.departures.add(now, t, at)
	delete(s.lapsed, t.ID)
	s.targets.Delete(t.ID)
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
