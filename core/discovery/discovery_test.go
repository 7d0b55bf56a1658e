package discovery_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
)

func target(id string, revision uint64) discovery.Target {
	return discovery.Target{ID: id, Pool: "p", Address: "10.0.0.1:80", Zone: "a", Slots: 1, Revision: revision}
}

// TestRemoveImmediately guards against new work for a target that left while the store is up.
func TestRemoveImmediately(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(target("i", 5))
	is.True(set.Changed())
	set.Remove(0, "i", 6)
	is.Equal(len(set.Targets()), 0)
}

// TestLapseDuringOutage guards against the removal of live targets whose entries lapsed during a
// store outage, and against keeping those that are not published again.
func TestLapseDuringOutage(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(target("back", 5))
	set.Put(target("gone", 6))
	set.StoreDown()
	set.StoreUp(10 * time.Second)
	set.Replace(10*time.Second, nil, 20)
	is.Equal(len(set.Targets()["p"]), 2) // still in use
	set.Put(target("back", 21))
	set.Tick(12 * time.Second)
	is.Equal(len(set.Targets()["p"]), 1)
	is.Equal(set.Targets()["p"][0].ID, "back")
	set.Remove(13*time.Second, "back", 22) // the outage is over
	is.Equal(len(set.Targets()), 0)
}

// TestStaleEventsIgnored guards against old events that arrive after a newer read and return a
// target to an older state.
func TestStaleEventsIgnored(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	leaving := target("i", 9)
	leaving.Leaving = true
	set.Put(leaving)
	set.Put(target("i", 5))
	is.True(set.Targets()["p"][0].Leaving)
	set.Remove(0, "i", 7)
	is.Equal(len(set.Targets()["p"]), 1) // the removal is older than the entry
	is.Equal(set.LeavingAddresses(), []string{"10.0.0.1:80"})
}

// TestEvacuatedZone guards against new work in an evacuated zone, also at targets that are published later, and
// against a zone that stays unused after its evacuation.
func TestEvacuatedZone(t *testing.T) {
	is := is.New(t)
	set := discovery.New()
	set.Put(target("early", 1))
	is.True(set.Changed())
	is.Equal(set.Evacuate("a"), 1)
	is.Equal(set.Evacuate("unknown"), 0)
	is.True(set.Changed())
	set.Put(target("late", 3))
	other := target("other", 4)
	other.Zone = "b"
	set.Put(other)
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
	targets, ok := set.Restore("a")
	is.True(ok)
	is.Equal(len(targets), 2)
	is.Equal(accepting(), []string{"early", "late", "other"})
	_, ok = set.Restore("a")
	is.True(!ok)
}
