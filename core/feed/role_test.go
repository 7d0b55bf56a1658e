package feed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/feed"
)

// newHosts returns n hosts in the given number of zones.
func newHosts(n, zones int) (hosts []feed.Host) {
	for i := range n {
		hosts = append(hosts, feed.Host{Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%zones), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return hosts
}

// TestReadersOfLargeFleet guards against calls to the store that grow with the fleet, and against
// readers in too few zones.
func TestReadersOfLargeFleet(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ hosts, zones, readers int }{{1, 1, 1}, {6, 3, 6}, {8, 4, 8}, {66, 3, 9}, {67, 4, 8}, {295, 5, 10}, {375, 6, 12}} {
		readers := feed.Readers(newHosts(c.hosts, c.zones))
		is.Equal(len(readers), c.readers)
		zones := make(map[string]int)
		for _, h := range readers {
			zones[h.Zone]++
		}
		is.Equal(len(zones), min(c.zones, c.hosts))
	}
}

// TestReaderLost guards against a fleet that changes its readers more than needed when one is
// lost.
func TestReaderLost(t *testing.T) {
	is := is.New(t)
	hosts := newHosts(295, 5)
	before := feed.Readers(hosts)
	lost := before[3]
	after := feed.Readers(slices.DeleteFunc(slices.Clone(hosts), func(h feed.Host) bool { return h == lost }))
	is.Equal(len(after), len(before))
	kept := 0
	for _, h := range after {
		if slices.Contains(before, h) {
			kept++
		}
	}
	is.Equal(kept, len(before)-1)
}

// TestUpstreamsSpread guards against a reader that most hosts of its zone follow, and against a
// host whose two preferred readers are lost together with its zone.
func TestUpstreamsSpread(t *testing.T) {
	is := is.New(t)
	hosts := newHosts(295, 5)
	readers := feed.Readers(hosts)
	zoneOf := make(map[string]string)
	for _, h := range readers {
		zoneOf[h.Address] = h.Zone
	}
	followers := make(map[string]int)
	for _, h := range hosts {
		upstreams := feed.Upstreams(h, readers, []string{"seed:1", h.Address})
		is.True(!slices.Contains(upstreams, h.Address))
		is.Equal(upstreams[len(upstreams)-1], "seed:1")
		is.Equal(zoneOf[upstreams[0]], h.Zone)
		is.True(zoneOf[upstreams[1]] != h.Zone)
		followers[upstreams[0]]++
		followers[upstreams[1]]++
	}
	for _, n := range followers {
		is.True(n < 100) // 59 on average
	}
}

// TestReadIn guards against a fleet whose hosts all read the store at once: at the start, or during
// an outage of the store. A host that hears from no reader must read it itself, in time for a
// change that is due within four seconds.
func TestReadIn(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name     string
		state    feed.ReadState
		min, max time.Duration
	}{
		{"reader", feed.ReadState{Reader: true, Down: true}, 0, 0},
		{"start", feed.ReadState{Empty: true}, time.Second, 2 * time.Second},
		{"start, nothing heard", feed.ReadState{Empty: true, Age: 2 * time.Second}, 0, 0},
		{"current copy", feed.ReadState{Age: time.Second}, 2 * time.Second, 4 * time.Second},
		{"nothing heard", feed.ReadState{Age: 3500 * time.Millisecond}, 0, 0},
		{"outage", feed.ReadState{Age: 5 * time.Second, Down: true, SinceRead: time.Second}, 6 * time.Second, 11 * time.Second},
		{"long outage", feed.ReadState{Age: 20 * time.Second, Down: true, SinceRead: 12 * time.Second}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, last := c.state.ReadIn(), feed.ReadState{
				Reader: c.state.Reader, Empty: c.state.Empty, Down: c.state.Down, Age: c.state.Age, SinceRead: c.state.SinceRead, Jitter: 0.999,
			}.ReadIn()
			is.True(first >= c.min)
			is.True(last <= c.max || c.max == 0 && last <= 1100*time.Millisecond)
			is.True(first <= last)
		})
	}
}

// TestFreshness guards against an outage that is reported while another host reaches the store, and
// against a copy that counts as current because hosts that have no news follow each other.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	f := feed.NewFreshness(0)
	is.Equal(f.Age(time.Second), time.Second)
	is.True(!f.Succeeded("a", 2*time.Second))
	is.True(!f.Succeeded("b", 1*time.Second)) // an older report changes nothing
	is.Equal(f.Age(5*time.Second), 3*time.Second)
	is.True(!f.Failed("a")) // b still reaches the store
	is.True(f.Failing("a") && !f.Failing("b") && !f.Down())
	is.True(f.Failed("b"))
	is.True(f.Down())
	is.True(!f.Failed("c"))
	f.Gone("b")
	is.True(f.Down()) // until a source reports otherwise
	is.True(f.Followed("store"))
	is.True(f.Succeeded("store", 6*time.Second))
	is.True(!f.Down())
	f.Gone("a")
	f.Gone("c")
	is.True(!f.Followed("store"))
}
