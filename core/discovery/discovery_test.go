package discovery_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/core/revision"
)

func target(id string, number uint64) discovery.Target {
	return discovery.Target{ID: id, Pool: "p", Address: "10.0.0.1:80", Zone: "a", Slots: 1, Revision: revision.New(1, number)}
}

// TestRemoveImmediately guards against new work for a target that left while the store is up.
func TestRemoveImmediately(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(0, target("i", 5))
	is.True(set.Changed())
	set.Remove(0, "i", revision.New(1, 6))
	is.Equal(len(set.Targets()), 0)
}

// TestCutIsNoOutage guards against new work for a target that left while other hosts were cut off from the store.
func TestCutIsNoOutage(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(0, target("i", 5))
	set.StoreDown()
	set.StoreReached()
	set.Remove(time.Second, "i", revision.New(1, 6))
	is.Equal(len(set.Targets()), 0)
	set.StoreUp(time.Second) // of an outage that is already over
	set.Put(time.Second, target("i", 7))
	set.Remove(time.Second, "i", revision.New(1, 8))
	is.Equal(len(set.Targets()), 0)
}

// TestLapseDuringOutage guards against the removal of live targets whose entries lapsed during a
// store outage, and against keeping those that are not published again.
func TestLapseDuringOutage(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(0, target("back", 5))
	set.Put(0, target("gone", 6))
	set.StoreDown()
	set.StoreUp(10 * time.Second)
	set.Replace(10*time.Second, nil, revision.New(1, 20))
	is.Equal(len(set.Targets()["p"]), 2) // still in use
	set.Put(0, target("back", 21))
	set.Tick(12 * time.Second)
	is.Equal(len(set.Targets()["p"]), 1)
	is.Equal(set.Targets()["p"][0].ID, "back")
	set.Remove(13*time.Second, "back", revision.New(1, 22)) // the outage is over
	is.Equal(len(set.Targets()), 0)
}

// TestStaleEventsIgnored guards against old events that arrive after a newer read and return a
// target to an older state.
func TestStaleEventsIgnored(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	leaving := target("i", 9)
	leaving.Leaving = true
	set.Put(0, leaving)
	set.Put(0, target("i", 5))
	is.True(set.Targets()["p"][0].Leaving)
	set.Remove(0, "i", revision.New(1, 7))
	is.Equal(len(set.Targets()["p"]), 1) // the removal is older than the entry
	is.Equal(set.LeavingAddresses(), []string{"10.0.0.1:80"})
}

// TestEvacuatedZone guards against new work in an evacuated zone, also at targets that are published later, and
// against a zone that stays unused after its evacuation.
func TestEvacuatedZone(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(0, target("early", 1))
	is.True(set.Changed())
	is.Equal(set.Evacuate("a"), 1)
	is.Equal(set.Evacuate("unknown"), 0)
	is.True(set.Changed())
	set.Put(0, target("late", 3))
	other := target("other", 4)
	other.Zone = "b"
	set.Put(0, other)
	accepting := func() (ids []string) {
		for _, t := range set.Targets()["p"] {
			if t.AcceptsWork() {
				ids = append(ids, t.ID)
			}
		}
		return ids
	}
	is.Equal(accepting(), []string{"other"})
	is.Equal(set.EvacuatedZones(), 2)
	targets, ok := set.EndEvacuation("a", revision.New(1, 5))
	is.True(ok)
	is.Equal(len(targets), 2)
	is.Equal(accepting(), []string{"early", "late", "other"})
	_, ok = set.EndEvacuation("a", revision.New(1, 5))
	is.True(!ok)
}

// started returns a target with the start of its process.
func started(id string, at revision.Revision, startID int64) discovery.Target {
	t := target(id, 0)
	t.Revision, t.StartID = at, startID
	return t
}

// usable returns the IDs of the targets that accept work.
func usable(set *discovery.Set) (ids []string) {
	for _, t := range set.Targets()["p"] {
		if t.AcceptsWork() {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// TestBackupDoesNotBringBack guards against work for targets that had left, because a backup has their entries from
// before, and against targets that stay unused although they run again.
func TestBackupDoesNotBringBack(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	for _, id := range []string{"draining", "removed", "reborn", "written", "kept"} {
		set.Put(0, started(id, revision.New(1, 10), 5))
	}
	leaving := started("draining", revision.New(1, 20), 5)
	leaving.Leaving = true
	set.Put(time.Second, leaving)
	for i, id := range []string{"removed", "reborn", "written"} {
		set.Remove(time.Second, id, revision.New(1, uint64(21+i)))
	}
	for era := range uint64(2) { // twice in a row
		restoredAt := revision.New(2+era, 12)
		set.Restored(2*time.Second, restoredAt)
		is.True(set.Put(2*time.Second, started("draining", revision.New(2+era, 10), 5)))
		is.True(set.Put(2*time.Second, started("removed", revision.New(2+era, 10), 5)))
		is.True(!set.Put(2*time.Second, started("reborn", revision.New(2+era, 11), 6)))
		is.True(set.Put(2*time.Second, started("written", revision.New(2+era, 10), 5)) == (era == 0))
		is.True(!set.Put(2*time.Second, started("kept", revision.New(2+era, 10), 5)))
		set.Put(3*time.Second, started("written", revision.New(2+era, 13), 5)) // by a target that had been silent
		is.Equal(usable(set), []string{"kept", "reborn", "written"})
	}
	set.Remove(4*time.Second, "draining", revision.New(3, 14))
	set.Tick(7900 * time.Millisecond)
	is.Equal(usable(set), []string{"kept", "reborn", "written"})
	set.Tick(8 * time.Second) // its entry would have been removed again by now
	is.Equal(usable(set), []string{"kept", "reborn", "removed", "written"})
}

// TestBackupWithDeparture guards against a target that stays unused because it left once, before a backup was made that
// has its later entry.
func TestBackupWithDeparture(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(0, started("i", revision.New(1, 10), 5))
	set.Remove(0, "i", revision.New(1, 11))
	set.Restored(time.Second, revision.New(2, 15))
	is.True(!set.Put(time.Second, started("i", revision.New(2, 12), 5)))
	is.Equal(usable(set), []string{"i"})
}

// TestBackupLacksTarget guards against the removal of a live target whose entry a restore has taken back, and against
// keeping it if it does not write its entry again.
func TestBackupLacksTarget(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	for _, id := range []string{"back", "gone"} {
		set.Put(0, started(id, revision.New(1, 10), 5))
	}
	set.Restored(time.Second, revision.New(2, 8))
	set.Remove(time.Second, "back", revision.New(2, 8))
	set.Remove(time.Second, "gone", revision.New(2, 8))
	is.Equal(usable(set), []string{"back", "gone"})
	set.Put(2*time.Second, started("back", revision.New(2, 9), 5))
	set.Tick(3 * time.Second)
	is.Equal(usable(set), []string{"back"})
}

// TestBackupLacksEvacuation guards against work in an evacuated zone because a backup lacks the evacuation, against a
// zone that stays evacuated for good by it, and against a delay of an end that the operator has asked for.
func TestBackupLacksEvacuation(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(0, target("i", 1))
	restoredAt := revision.New(2, 1)
	end := func(now time.Duration, at revision.Revision) bool {
		set.Evacuate("a")
		set.Restored(now, restoredAt)
		_, ok := set.EndEvacuation("a", at)
		return ok
	}
	is.True(!end(0, restoredAt))
	is.Equal(len(set.EndedEvacuations(5*time.Second)), 0)
	is.Equal(len(usable(set)), 0)
	set.Evacuate("a") // written again
	is.Equal(len(set.EndedEvacuations(time.Minute)), 0)
	is.True(!end(time.Minute, restoredAt))
	is.Equal(len(set.EndedEvacuations(time.Minute + 6*time.Second)["a"]), 1)
	is.Equal(usable(set), []string{"i"})
	is.True(end(2*time.Minute, revision.New(2, 2)))
}
