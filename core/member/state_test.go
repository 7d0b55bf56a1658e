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

// never is the stop condition of a run that lasts until its time limit.
func never() bool { return false }

// TestNeighbours guards against a graph that is not connected, on which hosts disagree, or that
// changes far from a host that leaves.
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
	hops := 0
	for level, seen := []string{hosts[0]}, map[string]bool{hosts[0]: true}; len(level) > 0; hops++ {
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
	is.True(hops-1 <= 5)
}

// TestDeath guards against a dead host that is not detected, and against a directory that does
// not list the new incarnation after the restart of the host.
func TestDeath(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 24)
	is.True(sim.run(time.Minute, sim.converged))
	old := sim.nodes[3]
	old.down = true
	is.True(sim.run(20*time.Second, sim.converged)) // all others know of the death
	_, ok := sim.nodes[0].Peers()[old.name]
	is.True(!ok)
	fresh := sim.start(old.name, sim.list(1, 24))
	is.True(sim.run(20*time.Second, sim.converged))
	is.Equal(sim.nodes[0].Peers()[old.name].Incarnation, fresh.Self().Incarnation)
}

// TestIndirectProbe guards against a host that is suspected because a single path is broken.
func TestIndirectProbe(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 6)
	is.True(sim.run(time.Minute, sim.ready))
	sim.run(time.Second, never)
	sim.cut = func(from, to *node) bool { return from == sim.nodes[0] && to == sim.nodes[1] }
	before := sim.nodes[1].Self().Counter
	sim.run(time.Minute, never)
	is.Equal(sim.nodes[1].Self().Counter, before) // it never had to refute
	sim.cut = func(_, to *node) bool { return to == sim.nodes[1] }
	sim.run(time.Minute, never)
	is.True(sim.nodes[1].Self().Counter > before) // with all paths broken it had to
}

// TestRestartAlone guards against an old configuration that comes back. A host that restarts
// without state, reads a stale platform and reaches no other host must not serve. Once it hears
// from more than half of the hosts, it must have the newest configuration.
func TestRestartAlone(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3, 6)
	is.True(sim.run(time.Minute, sim.ready))
	sim.nodes[1].publish(sim.now, version(2))
	is.True(sim.run(time.Minute, func() bool { return sim.all(func(n *node) bool { return n.ConfigVersion() == version(2) }) }))
	sim.nodes[0].down = true
	connected := 0
	sim.cut = func(from, to *node) bool { return (from.name == "h000" || to.name == "h000") && connected < 1 }
	n := sim.start("h000", sim.list(1, 6))
	n.publish(sim.now, version(1))
	sim.run(10*time.Minute, never)
	is.True(!n.Ready())
	connected = 1
	is.True(sim.run(time.Minute, n.Ready))
	is.Equal(n.ConfigVersion(), version(2))
}

// TestSingleHost guards against a single listed host that waits for others forever, and against
// a host without a host list that serves as if it were the only one.
func TestSingleHost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(4, 1)
	is.True(sim.run(time.Minute, sim.ready))
	unlisted := sim.start("x", member.HostList{})
	sim.run(time.Minute, never)
	is.True(!unlisted.Ready())
	alone := sim.start("y", member.HostList{}, member.WithStandalone(true))
	is.True(sim.run(time.Second, alone.Ready))
}

// TestSeeds guards against a host that cannot join while the platform is down although its
// settings name other hosts.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(5, 3)
	is.True(sim.run(time.Minute, sim.ready))
	sim.nodes[0].publish(sim.now, version(4))
	is.True(sim.run(time.Minute, func() bool { return sim.all(func(n *node) bool { return n.ConfigVersion() == version(4) }) }))
	sim.nodes[2].down = true
	n := sim.start("h002", member.HostList{}, member.WithSeeds("p-h000", "p-h001"))
	is.True(sim.run(time.Minute, n.Ready))
	is.Equal(n.ConfigVersion(), version(4))
}

// TestPartition guards against a fleet that stays split after a partition heals, or that keeps
// the lower of two configurations that were published during the partition.
func TestPartition(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, 12)
	is.True(sim.run(time.Minute, sim.converged))
	side := func(n *node) bool { return n.name < "h006" }
	sim.cut = func(from, to *node) bool { return side(from) != side(to) }
	sim.run(time.Minute, never)
	sim.nodes[0].publish(sim.now, version(5))
	sim.nodes[9].publish(sim.now, version(6))
	sim.run(time.Minute, never)
	is.Equal(sim.nodes[1].ConfigVersion(), version(5))
	is.Equal(sim.nodes[8].ConfigVersion(), version(6))
	is.True(sim.ready()) // both sides serve
	sim.cut = func(*node, *node) bool { return false }
	is.True(sim.run(time.Minute, sim.converged))
	is.True(sim.run(time.Minute, func() bool { return sim.all(func(n *node) bool { return n.ConfigVersion() == version(6) }) }))
}

// TestPause guards against a host that serves with outdated state after a pause of its process,
// and that declares all others dead because they seem not to have answered.
func TestPause(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(7, 6)
	is.True(sim.run(time.Minute, sim.converged))
	sim.nodes[0].paused = true // while it is joining
	sim.run(time.Minute, never)
	sim.nodes[0].paused = false
	sim.nodes[0].Tick(sim.now)
	is.True(!sim.nodes[0].Ready())
	is.True(sim.run(time.Minute, sim.ready))
	n := sim.nodes[0]
	n.paused = true
	sim.run(time.Minute, never)
	sim.nodes[1].publish(sim.now, version(9))
	sim.run(time.Second, never)
	n.paused = false
	n.Tick(sim.now)
	is.True(!n.Ready()) // until it has heard from another host
	is.True(sim.run(time.Minute, func() bool { return n.Ready() }))
	is.Equal(n.ConfigVersion(), version(9))
	is.True(sim.run(10*time.Second, sim.converged))
	for _, m := range sim.nodes[2].Members() {
		is.Equal(m.Liveness, member.Alive) // no new incarnation, no death
	}
}

// TestLeavingSpread guards against a leaving target that some host still uses after 3 s in a
// fleet of 370 hosts, the size expected in two years. Three hosts read the host list.
func TestLeavingSpread(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(8, 370)
	is.True(sim.run(5*time.Minute, sim.converged))
	list := sim.list(2, 370)
	list.Leaving = []string{"t1", "t2"}
	for _, n := range sim.nodes[:3] {
		n.SetHostList(sim.now, list)
	}
	knows := func() bool { return sim.all(func(n *node) bool { return n.IsLeaving("t1") && n.IsLeaving("t2") }) }
	began := sim.now
	is.True(sim.run(3*time.Second, knows))
	t.Logf("370 hosts know of leaving targets after %v of virtual time", sim.now-began)
	list.Version, list.Leaving, list.Live = 3, []string{"t2"}, append(list.Live, "t1")
	sim.nodes[0].SetHostList(sim.now, list)
	is.True(sim.run(time.Minute, func() bool { return sim.all(func(n *node) bool { return !n.IsLeaving("t1") && n.IsLeaving("t2") }) }))
}

// TestConfigurationSpread guards against a configuration that takes longer than 6 s to reach all
// of 370 hosts, the size expected in two years, and against hosts that pull it more than twice.
func TestConfigurationSpread(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9, 370)
	is.True(sim.run(5*time.Minute, sim.converged))
	sim.delay = 5 * step
	sim.nodes[0].publish(sim.now, version(2))
	began := sim.now
	is.True(sim.run(6*time.Second, func() bool { return sim.all(func(n *node) bool { return n.ConfigVersion() == version(2) }) }))
	t.Logf("370 hosts have a configuration after %v of virtual time, with %v for each pull", sim.now-began, sim.delay)
	for _, n := range sim.nodes {
		is.True(n.pulls <= 2)
	}
}

// TestOnePullAtATime guards against a host that pulls several configurations at a time, which makes a slow
// host slower, or each one that it has heard of instead of the newest.
func TestOnePullAtATime(t *testing.T) {
	is := is.New(t)
	s := member.New(0, rand.New(rand.NewPCG(1, 1)), member.Member{Incarnation: 1, Name: "a"})
	pulled := func(calls []member.Call, v uint64, address string) member.Call {
		is.Equal(len(calls), 1)
		is.Equal(calls[0].Kind(), member.Pull)
		is.Equal(calls[0].Version(), version(v))
		is.Equal(calls[0].Address(), address)
		return calls[0]
	}
	first := pulled(s.Announced(0, version(2), "b"), 2, "b")
	for v := uint64(3); v <= 6; v++ {
		is.Equal(len(s.Announced(time.Second, version(v), "c")), 0)
	}
	is.Equal(len(s.Announced(time.Second, version(4), "b")), 0)
	s.SetConfigVersion(time.Second, first.Version())
	second := pulled(s.Pulled(first, true, true), 6, "c")
	is.Equal(len(s.Announced(time.Second, version(6), "c")), 0)
	is.Equal(len(s.Announced(time.Second, version(6), "d")), 0)
	third := pulled(s.Pulled(second, false, false), 6, "d") // the first host did not respond
	s.SetConfigVersion(time.Second, third.Version())
	is.Equal(len(s.Pulled(third, true, true)), 0)
	is.Equal(len(s.Announced(time.Second, version(6), "b")), 0)
}

// TestWatchers guards against too many or no hosts that watch the platform, and against a silent
// watcher that no host replaces.
func TestWatchers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(10, 24)
	is.True(sim.run(time.Minute, sim.converged))
	watching := func() (list []*node) {
		for _, n := range sim.nodes {
			if !n.down && n.IsWatcher(sim.now) {
				list = append(list, n)
			}
		}
		return list
	}
	beat := func() bool {
		for _, n := range watching() {
			n.Heartbeat(sim.now)
		}
		return false
	}
	sim.run(5*time.Minute, beat)
	is.Equal(len(watching()), 3)
	reads := 0
	count := func() bool {
		for _, n := range sim.nodes {
			if !n.down && n.FallbackReadDue(sim.now) {
				reads++
			}
		}
		return beat()
	}
	sim.run(5*time.Minute, count)
	is.Equal(reads, 0) // no fallback reads while heartbeats arrive
	watching()[0].down = true
	sim.run(time.Minute, count)
	is.Equal(len(watching()), 3) // the next host has replaced it

	quiet := func() bool { // no watcher reads anything
		for _, n := range sim.nodes {
			if !n.down && n.FallbackReadDue(sim.now) {
				reads++
			}
		}
		return false
	}
	sim.run(10*time.Minute, quiet)
	is.Equal(len(watching()), 4)           // with the standby
	is.True(reads > 23*5 && reads < 23*12) // about one read per host and minute
}

// netCrashes returns how many crashes of a fingerprint were not cleared by a completed run.
func netCrashes(n *node, fingerprint uint64) (count uint64) {
	for _, c := range n.Crashes(0) {
		if c.Fingerprint == fingerprint {
			count += c.Crashes - c.Cleared
		}
	}
	return count
}

// TestCrashes guards against counts that are lost when two hosts see crashes at the same time,
// and against a cleared suspect that stays suspected.
func TestCrashes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(11, 6)
	is.True(sim.run(time.Minute, sim.converged))
	all := func(count uint64) func() bool {
		return func() bool { return sim.all(func(n *node) bool { return netCrashes(n, 7) == count }) }
	}
	sim.nodes[0].ReportCrash(sim.now, member.Crash{Fingerprint: 7, Observer: 1, Crashes: 1})
	sim.nodes[1].ReportCrash(sim.now, member.Crash{Fingerprint: 7, Observer: 2, Crashes: 1})
	is.True(sim.run(time.Second, all(2)))
	sim.nodes[2].ReportCrash(sim.now, member.Crash{Fingerprint: 7, Observer: 1, Crashes: 1, Cleared: 1})
	sim.nodes[2].ReportCrash(sim.now, member.Crash{Fingerprint: 7, Observer: 2, Crashes: 1, Cleared: 1})
	is.True(sim.run(time.Second, all(0)))
	sim.nodes[0].ReportCrash(sim.now, member.Crash{Fingerprint: 7, Observer: 1, Crashes: 2})
	is.True(sim.run(time.Second, all(1)))
	is.True(sim.run(15*time.Minute, func() bool { return sim.all(func(n *node) bool { return len(n.Crashes(sim.now)) == 0 }) }))
}

// TestPartCrashes guards against evidence against a part of prompts that is joined with that against a
// request, and against a host that takes old evidence for new because it heard of it late.
func TestPartCrashes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(13, 3)
	is.True(sim.run(time.Minute, sim.converged))
	sim.nodes[0].ReportCrash(sim.now, member.Crash{Fingerprint: 7, Observer: 1, Crashes: 1})
	sim.nodes[0].ReportCrash(sim.now, member.Crash{Fingerprint: 7, Observer: 1, Part: true, Crashes: 2})
	reported := sim.now
	is.True(sim.run(time.Second, func() bool { return sim.all(func(n *node) bool { return len(n.Crashes(sim.now)) == 2 }) }))
	later := reported + 30*time.Second
	for _, n := range sim.nodes {
		for _, c := range n.Crashes(later) {
			is.Equal(c.Part, c.Crashes == 2)
			is.True(c.Age() > 29*time.Second && c.Age() <= 30*time.Second)
		}
	}
}

// TestHandover guards against hosts that do not learn which host answers for a stopped one.
func TestHandover(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12, 6)
	is.True(sim.run(time.Minute, sim.converged))
	owner, successor := sim.nodes[0], sim.nodes[4]
	owner.Drain(sim.now)
	owner.AnnounceHandover(sim.now, successor.Self().Incarnation, successor.name)
	is.True(sim.run(time.Second, func() bool {
		return sim.all(func(n *node) bool {
			h, ok := n.Successor(owner.Self().Incarnation)
			return ok && h.Host == successor.name && h.Successor == successor.Self().Incarnation
		})
	}))
}

// TestRepair guards against facts that are lost for good when their first packets are lost. A
// host that is cut off while a fact spreads must learn of it through the digest.
func TestRepair(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(13, 6)
	is.True(sim.run(time.Minute, sim.converged))
	sim.cut = func(from, to *node) bool { return from == sim.nodes[5] || to == sim.nodes[5] }
	sim.nodes[0].ReportCrash(sim.now, member.Crash{Fingerprint: 1, Observer: 1, Crashes: 1})
	sim.run(4*time.Second, never)
	sim.nodes[0].Tick(sim.now)
	sim.cut = func(*node, *node) bool { return false }
	is.True(sim.run(30*time.Second, func() bool { return netCrashes(sim.nodes[5], 1) == 1 }))
}

// TestSimultaneousRestart guards against hosts that restart within half a second of each other,
// serve at once, but know only themselves for seconds, so that each works as if it were alone.
func TestSimultaneousRestart(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), cut: func(*node, *node) bool { return false }}
		// The third seed belongs to a host that does not restart.
		seeds := member.WithSeeds("p-h000", "p-h001", "p-h009")
		for i := range 6 {
			sim.start(fmt.Sprintf("h%03d", i), member.HostList{}, seeds, member.WithStandalone(true), member.WithPeriod(400*time.Millisecond))
			sim.run(step, func() bool { return false })
		}
		is.True(sim.run(800*time.Millisecond, sim.converged)) // two periods after the last start
	}
}
