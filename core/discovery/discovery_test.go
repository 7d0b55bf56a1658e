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

// TestRemovedAtOnce guards against new work for a target that left while the store answers.
func TestRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	r := discovery.New()
	r.Put(target("i", 5))
	is.True(r.Changed())
	r.Remove(0, "i", 6)
	is.Equal(len(r.Targets()), 0)
}

// TestLapseDuringOutage guards against giving up live targets whose entries lapsed while the
// store was away, and against keeping those that do not come back.
func TestLapseDuringOutage(t *testing.T) {
	is := is.New(t)
	r := discovery.New()
	r.Put(target("back", 5))
	r.Put(target("gone", 6))
	r.StoreDown()
	r.StoreUp(10 * time.Second)
	r.Replace(10*time.Second, nil, 20)
	is.Equal(len(r.Targets()["p"]), 2) // still in use
	r.Put(target("back", 21))
	r.Tick(12 * time.Second)
	is.Equal(len(r.Targets()["p"]), 1)
	is.Equal(r.Targets()["p"][0].ID, "back")
	r.Remove(13*time.Second, "back", 22) // the outage is over
	is.Equal(len(r.Targets()), 0)
}

// TestOldNewsIsIgnored guards against events that arrive again after a new read: they must
// not bring a target back to an older state.
func TestOldNewsIsIgnored(t *testing.T) {
	is := is.New(t)
	r := discovery.New()
	leaving := target("i", 9)
	leaving.Leaving = true
	r.Put(leaving)
	r.Put(target("i", 5))
	is.True(r.Targets()["p"][0].Leaving)
	r.Remove(0, "i", 7)
	is.Equal(len(r.Targets()["p"]), 1) // the removal is older than the entry
	is.Equal(r.Leaving(), []string{"10.0.0.1:80"})
}
