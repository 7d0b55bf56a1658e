package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasward/core/member"
)

// Small ranges make equal keys and ties likely.
func small(t *rapid.T, label string) uint64 { return rapid.Uint64Range(1, 3).Draw(t, label) }

func life(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(0, 3).Draw(t, "life")) * time.Second
}

func drawMember(t *rapid.T) member.Member {
	return member.Member{
		Incarnation: 7, Name: "a", Counter: small(t, "counter"), TTL: life(t),
		Liveness: member.Liveness(rapid.IntRange(0, 2).Draw(t, "phase")), Lifecycle: member.Lifecycle(rapid.IntRange(0, 2).Draw(t, "stage")),
	}
}

func drawLeaving(t *rapid.T) member.Leaving {
	return member.Leaving{Address: "x", Version: small(t, "version"), Leaves: rapid.Bool().Draw(t, "leaves"), TTL: life(t)}
}

func drawCrash(t *rapid.T) member.Crash {
	return member.Crash{Fingerprint: 1, Observer: 2, Crashes: small(t, "crashes"), Cleared: small(t, "cleared"), TTL: life(t)}
}

func drawHandover(t *rapid.T) member.Handover {
	return member.Handover{Owner: 1, Successor: small(t, "successor"), Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), TTL: life(t)}
}

func drawLoad(t *rapid.T) member.Load {
	return member.Load{Incarnation: 7, Sequence: small(t, "pulse"), Level: uint32(small(t, "level")), Heartbeat: small(t, "beat")}
}

// lattice checks that the order in which facts arrive, and how often, does not matter.
func lattice[F interface {
	comparable
	Merge(F) F
}](draw func(*rapid.T) F,
) func(*rapid.T) {
	return func(t *rapid.T) {
		a, b, c := draw(t), draw(t), draw(t)
		if a.Merge(b) != b.Merge(a) {
			t.Fatalf("not commutative: %v %v", a, b)
		}
		if a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) {
			t.Fatalf("not associative: %v %v %v", a, b, c)
		}
		if a.Merge(a) != a || a.Merge(b).Merge(b) != a.Merge(b) {
			t.Fatalf("not idempotent: %v %v", a, b)
		}
	}
}

// TestMerge guards against hosts that never agree because the result of a merge depends
// on the order of arrival.
func TestMerge(t *testing.T) {
	t.Run("member", rapid.MakeCheck(lattice(drawMember)))
	t.Run("leaving", rapid.MakeCheck(lattice(drawLeaving)))
	t.Run("crash", rapid.MakeCheck(lattice(drawCrash)))
	t.Run("handover", rapid.MakeCheck(lattice(drawHandover)))
	t.Run("load", rapid.MakeCheck(lattice(drawLoad)))
}

// TestRefutation guards against a live host that stays suspected or dead: whatever others
// say of it, in any order, its own later word wins everywhere.
func TestRefutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2)
		if !w.run(time.Minute, w.ready) {
			t.Fatal("the hosts did not join")
		}
		a, b := w.nodes[0], w.nodes[1]
		for range rapid.IntRange(1, 5).Draw(t, "claims") {
			claim := b.Self()
			claim.Counter += rapid.Uint64Range(0, 3).Draw(t, "ahead")
			claim.Liveness = member.Liveness(rapid.IntRange(1, 2).Draw(t, "phase"))
			p := a.Ping()
			p.Members = []member.Member{claim}
			a.Answered(w.now, member.Call{}, claimFrom(claim))
			b.Serve(w.now, p)
			if claim.Merge(b.Self()) != b.Self() {
				t.Fatalf("%v holds against %v", claim, b.Self())
			}
		}
		if !w.run(time.Minute, w.settled) {
			t.Fatal("a host stays suspected")
		}
	})
}

// claimFrom returns a packet of a third host that claims something of another.
func claimFrom(claim member.Member) member.Packet {
	return member.Packet{From: member.Member{Incarnation: 99, Name: claim.Name, Liveness: member.Dead}, Members: []member.Member{claim}}
}

// TestConfigurationNeverBack guards against a return to an older configuration: versions
// come in any order from the platform and from peers, hosts restart empty, and no host
// ever goes to a lower version than it had.
func TestConfigurationNeverBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 4)
		w.run(time.Minute, w.ready)
		highest := uint64(0)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			number := rapid.Uint64Range(1, 9).Draw(t, "version")
			if n.down {
				continue
			}
			before := n.ConfigVersion()
			n.publish(w.now, version(number))
			if before.Newer(n.ConfigVersion()) {
				t.Fatalf("%s went from %v to %v", n.name, before, n.ConfigVersion())
			}
			highest = max(highest, number)
			w.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "steps"))*step, func() bool { return false })
		}
		same := func(n *node) bool { return n.ConfigVersion() == version(highest) }
		if !w.run(time.Minute, func() bool { return w.all(same) }) {
			t.Fatalf("not all hosts have version %d", highest)
		}
	})
}
