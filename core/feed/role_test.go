package feed_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
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

// limits are those of a deployment with many hosts.
var limits = feed.Limits{Change: 3 * time.Second, Recovery: 4 * time.Second}

// TestReadIn guards against a fleet whose hosts all read the store at once: at the start, or during
// an outage of the store. A host that hears from no reader must read it itself, in time for a
// change that is due within three seconds.
func TestReadIn(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name     string
		state    feed.ReadState
		min, max time.Duration
	}{
		{"reader", feed.ReadState{Reader: true, Failures: 3}, 0, 0},
		{"start", feed.ReadState{Empty: true}, time.Second, 2 * time.Second},
		{"start, nothing heard", feed.ReadState{Empty: true, Age: 2 * time.Second}, 0, 0},
		{"current copy", feed.ReadState{Age: time.Second}, 600 * time.Millisecond, 1500 * time.Millisecond},
		{"nothing heard", feed.ReadState{Age: 2250 * time.Millisecond}, 0, 0},
		{"first failure", feed.ReadState{Age: 5 * time.Second, Failures: 1, SinceRead: 100 * time.Millisecond}, 150 * time.Millisecond, 400 * time.Millisecond},
		{"outage", feed.ReadState{Age: 9 * time.Second, Failures: 7, SinceRead: time.Second}, 2 * time.Second, 3 * time.Second},
		{"long outage", feed.ReadState{Age: 20 * time.Second, Failures: 90, SinceRead: 4 * time.Second}, 0, 0},
		{"failed long ago", feed.ReadState{Age: time.Second, Failures: 2, SinceRead: time.Hour}, 600 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.state.Limits = limits
			one := c.state.ReadIn()
			c.state.Jitter = 0.999
			other := c.state.ReadIn()
			is.True(min(one, other) >= c.min)
			is.True(max(one, other) <= c.max)
			is.True(c.max == 0 || one != other)
		})
	}
}

// TestProbes guards against followers that read the store although their readers reach it, because a probe is lost or
// a reader has just read many changes.
func TestProbes(t *testing.T) {
	is := is.New(t)
	for _, change := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		l := feed.Limits{Change: change, Recovery: 4 * time.Second}
		is.True(feed.ReadState{Age: 8 * l.ProbeInterval() / 5, Limits: l, Jitter: 0.999}.ReadIn() > 0)
		is.True(feed.ReadState{Age: change * 4 / 10, Limits: l, Jitter: 0.999}.ReadIn() > 0) // the delay after changes
	}
}

// TestPoll guards against a copy that counts as current although no call waits for changes: after an answer, and after
// a failure, until the next call is sent.
func TestPoll(t *testing.T) {
	is := is.New(t)
	var p feed.Poll
	is.True(!p.Reached(1))
	p.Opened(2)
	is.True(!p.Reached(1)) // the probe was sent before the call
	is.True(p.Reached(3) && !p.Reached(3))
	is.Equal(p.CurrentAt(), time.Duration(3))
	p.Answered(4)
	is.True(!p.Reached(5))
	is.Equal(p.CurrentAt(), time.Duration(4))
	p.Opened(6)
	p.Closed()
	is.True(!p.Reached(7))
}

// follower models the reads of one host whose copy no other host keeps current any more.
type follower struct {
	state feed.ReadState
	// currentAt is when the copy was current, readAt when the last read ended.
	currentAt, readAt time.Duration
}

// next returns when the host reads the store next.
func (f *follower) next(now time.Duration) time.Duration {
	f.state.Age, f.state.SinceRead = now-f.currentAt, now-f.readAt
	return now + f.state.ReadIn()
}

// TestReadsWithoutReaders guards against more reads of all hosts together than the store allows, and against a host that
// learns of a change too late, when all readers of the largest fleet are cut off from the store at once, and against
// hosts that all wait when it comes back.
func TestReadsWithoutReaders(t *testing.T) {
	const (
		hosts, calls = 285, 3 // the targets, the evacuations and the configuration
		readsPerS    = 16_000
		wait         = 2 * time.Second
	)
	for _, outage := range []time.Duration{0, 20 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			random, perSecond, sum := rand.New(rand.NewPCG(1, 2)), make(map[time.Duration]int), 0
			l := feed.Limits{Change: 4 * time.Second, Recovery: 5 * time.Second}
			for range hosts {
				f := follower{currentAt: -time.Duration(random.Float64() * float64(l.ProbeInterval())), readAt: -time.Hour}
				f.state = feed.ReadState{Limits: l, Jitter: random.Float64()}
				for now := f.next(0); now < time.Minute; now = f.next(now) {
					perSecond[now/time.Second] += calls
					sum += calls
					if now < outage {
						f.state.Failures++
						f.readAt = now + 700*time.Millisecond
					} else {
						if age := now - max(f.currentAt, outage); age > l.Change-500*time.Millisecond && age > l.Recovery {
							t.Fatalf("a host reads the store %v after its copy was current", age)
						}
						f.state.Failures = 0
						f.readAt = now + wait // a call that waits brings each change at once
						f.currentAt = f.readAt
					}
					now = f.readAt
				}
			}
			for second, n := range perSecond {
				if n > readsPerS/4 { // most are left to the start of hosts and to a store that is slow
					t.Errorf("%d reads in second %v", n, int(second))
				}
			}
			t.Logf("%d reads in a minute, at most %d in a second", sum, slices.Max(slices.Collect(maps.Values(perSecond))))
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
	is.True(f.Succeeded("store", 6*time.Second))
	is.True(!f.Down())
	is.True(!f.Failed("a") && !f.Down()) // the store responded to this host
}
