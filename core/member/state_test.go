package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/member"
)

// never is the condition of a run that takes its whole time.
func never() bool { return false }

// TestNeighbours guards against a graph that falls apart, on which hosts disagree, or
// that changes everywhere when one host goes.
func TestNeighbours(t *testing.T) {
	is := is.New(t)
	var hosts []string
	for i := range 370 {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	changed := 0
	for _, h := range hosts {
		mine := member.Neighbours(h, hosts)
		is.True(len(mine) >= 6 && len(mine) <= 8) // rings share few edges
		for _, n := range mine {
			is.True(slices.Contains(member.Neighbours(n, hosts), h)) // both ends agree
		}
		if !slices.Equal(mine, member.Neighbours(h, hosts[1:])) {
			changed++
		}
	}
	is.True(changed <= 1+2*4) // the host itself and its neighbours on four rings
	far := 0
	for level, seen := []string{hosts[0]}, map[string]bool{hosts[0]: true}; len(level) > 0; far++ {
		var next []string
		for _, h := range level {
			for _, n := range member.Neighbours(h, hosts) {
				if !seen[n] {
					seen[n] = true
					next = append(next, n)
				}
			}
		}
		level = next
		is.True(len(level) > 0 || len(seen) == len(hosts)) // connected
	}
	is.True(far-1 <= 5)
}

// TestDeath guards against a dead host that is not found, and against one that is
// replaced by another live incarnation in the directory.
func TestDeath(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 24)
	is.True(w.run(time.Minute, w.settled))
	old := w.nodes[3]
	old.down = true
	is.True(w.run(20*time.Second, w.settled)) // all others know of the death
	_, ok := w.nodes[0].Peers()[old.name]
	is.True(!ok)
	fresh := w.start(old.name, w.list(1, 24))
	is.True(w.run(20*time.Second, w.settled))
	is.Equal(w.nodes[0].Peers()[old.name].Incarnation, fresh.Self().Incarnation)
}

// TestRelay guards against a host that is declared dead because one path is broken.
func TestRelay(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 6)
	is.True(w.run(time.Minute, w.ready))
	w.run(time.Second, never)
	w.cut = func(from, to *node) bool { return from == w.nodes[0] && to == w.nodes[1] }
	before := w.nodes[1].Self().Counter
	w.run(time.Minute, never)
	is.Equal(w.nodes[1].Self().Counter, before) // it never had to refute
	w.cut = func(_, to *node) bool { return to == w.nodes[1] }
	w.run(time.Minute, never)
	is.True(w.nodes[1].Self().Counter > before) // with all paths broken it had to
}

// TestRestartAlone guards against an old configuration that comes back: a host that
// starts empty beside a stale platform, and reaches no other host, must not serve; once
// it hears from more than half it must know the newest configuration.
func TestRestartAlone(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 6)
	is.True(w.run(time.Minute, w.ready))
	w.nodes[1].publish(w.now, version(2))
	is.True(w.run(time.Minute, func() bool { return w.all(func(n *node) bool { return n.ConfigVersion() == version(2) }) }))
	w.nodes[0].down = true
	open := 0
	w.cut = func(from, to *node) bool { return (from.name == "h000" || to.name == "h000") && open < 1 }
	n := w.start("h000", w.list(1, 6))
	n.publish(w.now, version(1))
	w.run(10*time.Minute, never)
	is.True(!n.Ready())
	open = 1
	is.True(w.run(time.Minute, n.Ready))
	is.Equal(n.ConfigVersion(), version(2))
}

// TestSingle guards against a single listed host that waits for others for ever, and
// against a host without any list that takes itself for all.
func TestSingle(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 1)
	is.True(w.run(time.Minute, w.ready))
	unlisted := w.start("x", member.HostList{})
	w.run(time.Minute, never)
	is.True(!unlisted.Ready())
	alone := w.start("y", member.HostList{}, member.WithAlone(true))
	is.True(w.run(time.Second, alone.Ready))
}

// TestSeeds guards against a host that cannot join while the platform is down, although
// its settings name other hosts.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 3)
	is.True(w.run(time.Minute, w.ready))
	w.nodes[0].publish(w.now, version(4))
	is.True(w.run(time.Minute, func() bool { return w.all(func(n *node) bool { return n.ConfigVersion() == version(4) }) }))
	w.nodes[2].down = true
	n := w.start("h002", member.HostList{}, member.WithSeeds("p-h000", "p-h001"))
	is.True(w.run(time.Minute, n.Ready))
	is.Equal(n.ConfigVersion(), version(4))
}

// TestPartition guards against a fleet that stays split, or that keeps the lower of two
// configurations that were published while it was.
func TestPartition(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 12)
	is.True(w.run(time.Minute, w.settled))
	side := func(n *node) bool { return n.name < "h006" }
	w.cut = func(from, to *node) bool { return side(from) != side(to) }
	w.run(time.Minute, never)
	w.nodes[0].publish(w.now, version(5))
	w.nodes[9].publish(w.now, version(6))
	w.run(time.Minute, never)
	is.Equal(w.nodes[1].ConfigVersion(), version(5))
	is.Equal(w.nodes[8].ConfigVersion(), version(6))
	is.True(w.ready()) // both sides serve
	w.cut = func(*node, *node) bool { return false }
	is.True(w.run(time.Minute, w.settled))
	is.True(w.run(time.Minute, func() bool { return w.all(func(n *node) bool { return n.ConfigVersion() == version(6) }) }))
}

// TestPause guards against a paused host that serves with old beliefs when it wakes, and
// that takes all others for dead because they seem not to have answered.
func TestPause(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 6)
	is.True(w.run(time.Minute, w.settled))
	w.nodes[0].paused = true // while it joins
	w.run(time.Minute, never)
	w.nodes[0].paused = false
	w.nodes[0].Tick(w.now)
	is.True(!w.nodes[0].Ready())
	is.True(w.run(time.Minute, w.ready))
	n := w.nodes[0]
	n.paused = true
	w.run(time.Minute, never)
	w.nodes[1].publish(w.now, version(9))
	w.run(time.Second, never)
	n.paused = false
	n.Tick(w.now)
	is.True(!n.Ready()) // not before it has heard from one host
	is.True(w.run(time.Minute, func() bool { return n.Ready() }))
	is.Equal(n.ConfigVersion(), version(9))
	is.True(w.run(10*time.Second, w.settled))
	for _, m := range w.nodes[2].Members() {
		is.Equal(m.Liveness, member.Alive) // no new incarnation, no death
	}
}

// TestLeavingSpread guards against a leaving target that some host still uses after 3 s,
// at the size in two years; three hosts read the host list.
func TestLeavingSpread(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 370)
	is.True(w.run(5*time.Minute, w.settled))
	list := w.list(2, 370)
	list.Leaving = []string{"t1", "t2"}
	for _, n := range w.nodes[:3] {
		n.SetHostList(w.now, list)
	}
	knows := func() bool { return w.all(func(n *node) bool { return n.IsLeaving("t1") && n.IsLeaving("t2") }) }
	began := w.now
	is.True(w.run(3*time.Second, knows))
	t.Logf("370 hosts know of leaving targets after %v of virtual time", w.now-began)
	list.Version, list.Leaving, list.Live = 3, []string{"t2"}, append(list.Live, "t1")
	w.nodes[0].SetHostList(w.now, list)
	is.True(w.run(time.Minute, func() bool { return w.all(func(n *node) bool { return !n.IsLeaving("t1") && n.IsLeaving("t2") }) }))
}

// TestConfigurationSpread guards against a configuration that takes longer than 6 s to
// reach all hosts, at the size in two years, and against one that is read from others
// more often than once per host.
func TestConfigurationSpread(t *testing.T) {
	is := is.New(t)
	w := newWorld(9, 370)
	is.True(w.run(5*time.Minute, w.settled))
	w.delay = 5 * step
	w.nodes[0].publish(w.now, version(2))
	began := w.now
	is.True(w.run(6*time.Second, func() bool { return w.all(func(n *node) bool { return n.ConfigVersion() == version(2) }) }))
	t.Logf("370 hosts have a configuration after %v of virtual time, with %v for each pull", w.now-began, w.delay)
	for _, n := range w.nodes {
		is.True(n.pulls <= 2)
	}
}

// TestWatchers guards against too many or no hosts that watch the platform, and against
// a silent watcher that nobody replaces.
func TestWatchers(t *testing.T) {
	is := is.New(t)
	w := newWorld(10, 24)
	is.True(w.run(time.Minute, w.settled))
	watching := func() (list []*node) {
		for _, n := range w.nodes {
			if !n.down && n.IsWatcher(w.now) {
				list = append(list, n)
			}
		}
		return list
	}
	beat := func() bool {
		for _, n := range watching() {
			n.Heartbeat(w.now)
		}
		return false
	}
	w.run(5*time.Minute, beat)
	is.Equal(len(watching()), 3)
	reads := 0
	count := func() bool {
		for _, n := range w.nodes {
			if !n.down && n.FallbackReadDue(w.now) {
				reads++
			}
		}
		return beat()
	}
	w.run(5*time.Minute, count)
	is.Equal(reads, 0) // no fallback while beats are heard
	watching()[0].down = true
	w.run(time.Minute, count)
	is.Equal(len(watching()), 3) // the next one has taken the place

	quiet := func() bool { // no watcher reads anything
		for _, n := range w.nodes {
			if !n.down && n.FallbackReadDue(w.now) {
				reads++
			}
		}
		return false
	}
	w.run(10*time.Minute, quiet)
	is.Equal(len(watching()), 4)           // the standby
	is.True(reads > 23*5 && reads < 23*12) // about one read per host and minute
}

// net returns how many crashes of a fingerprint no completed run has excused.
func net(n *node, fingerprint uint64) (count uint64) {
	for _, c := range n.Crashes() {
		if c.Fingerprint == fingerprint {
			count += c.Crashes - c.Cleared
		}
	}
	return count
}

// TestCrashes guards against lost counts when two hosts see crashes at the same time, and
// against a cleared suspect that stays one.
func TestCrashes(t *testing.T) {
	is := is.New(t)
	w := newWorld(11, 6)
	is.True(w.run(time.Minute, w.settled))
	all := func(count uint64) func() bool {
		return func() bool { return w.all(func(n *node) bool { return net(n, 7) == count }) }
	}
	w.nodes[0].ReportCrash(w.now, member.Crash{Fingerprint: 7, Observer: 1, Crashes: 1})
	w.nodes[1].ReportCrash(w.now, member.Crash{Fingerprint: 7, Observer: 2, Crashes: 1})
	is.True(w.run(time.Second, all(2)))
	w.nodes[2].ReportCrash(w.now, member.Crash{Fingerprint: 7, Observer: 1, Crashes: 1, Cleared: 1})
	w.nodes[2].ReportCrash(w.now, member.Crash{Fingerprint: 7, Observer: 2, Crashes: 1, Cleared: 1})
	is.True(w.run(time.Second, all(0)))
	w.nodes[0].ReportCrash(w.now, member.Crash{Fingerprint: 7, Observer: 1, Crashes: 2})
	is.True(w.run(time.Second, all(1)))
	is.True(w.run(15*time.Minute, func() bool { return w.all(func(n *node) bool { return len(n.Crashes()) == 0 }) }))
}

// TestHandover guards against hosts that do not learn who answers for a stopped host.
func TestHandover(t *testing.T) {
	is := is.New(t)
	w := newWorld(12, 6)
	is.True(w.run(time.Minute, w.settled))
	owner, successor := w.nodes[0], w.nodes[4]
	owner.Drain(w.now)
	owner.AnnounceHandover(w.now, successor.Self().Incarnation, successor.name)
	is.True(w.run(time.Second, func() bool {
		return w.all(func(n *node) bool {
			h, ok := n.Successor(owner.Self().Incarnation)
			return ok && h.Host == successor.name && h.Successor == successor.Self().Incarnation
		})
	}))
}

// TestRepair guards against facts that are lost for good when their first packets are:
// a host that was cut off while they spread learns of them by digest.
func TestRepair(t *testing.T) {
	is := is.New(t)
	w := newWorld(13, 6)
	is.True(w.run(time.Minute, w.settled))
	w.cut = func(from, to *node) bool { return from == w.nodes[5] || to == w.nodes[5] }
	w.nodes[0].ReportCrash(w.now, member.Crash{Fingerprint: 1, Observer: 1, Crashes: 1})
	w.run(4*time.Second, never)
	w.nodes[0].Tick(w.now)
	w.cut = func(*node, *node) bool { return false }
	is.True(w.run(30*time.Second, func() bool { return net(w.nodes[5], 1) == 1 }))
}

// TestRestartOfAll guards against hosts that all start again within half a second, serve at
// once and know only themselves for seconds, so that each works as if it were alone.
func TestRestartOfAll(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		w := &world{random: rand.New(rand.NewPCG(seed, 1)), cut: func(*node, *node) bool { return false }}
		// The third seed is of a host that does not come back.
		seeds := member.WithSeeds("p-h000", "p-h001", "p-h009")
		for i := range 6 {
			w.start(fmt.Sprintf("h%03d", i), member.HostList{}, seeds, member.WithAlone(true), member.WithPeriod(400*time.Millisecond))
			w.run(step, func() bool { return false })
		}
		is.True(w.run(800*time.Millisecond, w.settled)) // two periods after the last start
	}
}
