package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasward/core/member"
)

// smallNumber draws from a small range, so that ties are likely.
func smallNumber(t *rapid.T, label string) uint64 { return rapid.Uint64Range(1, 3).Draw(t, label) }

func drawTTL(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(0, 3).Draw(t, "ttl")) * time.Second
}

func drawMember(t *rapid.T) member.Member {
	return member.Member{
		Incarnation: 7, Name: "a", Counter: smallNumber(t, "counter"), TTL: drawTTL(t),
		Liveness: member.Liveness(rapid.IntRange(0, 2).Draw(t, "liveness")), Lifecycle: member.Lifecycle(rapid.IntRange(0, 2).Draw(t, "lifecycle")),
	}
}

func drawLeaving(t *rapid.T) member.Leaving {
	return member.Leaving{Address: "x", Version: smallNumber(t, "version"), Leaves: rapid.Bool().Draw(t, "leaves"), TTL: drawTTL(t)}
}

func drawCrash(t *rapid.T) member.Crash {
	return member.Crash{Fingerprint: 1, Observer: 2, Crashes: smallNumber(t, "crashes"), Cleared: smallNumber(t, "cleared"), TTL: drawTTL(t)}
}

func drawHandover(t *rapid.T) member.Handover {
	return member.Handover{Owner: 1, Successor: smallNumber(t, "successor"), Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), TTL: drawTTL(t)}
}

func drawLoad(t *rapid.T) member.Load {
	return member.Load{Incarnation: 7, Sequence: smallNumber(t, "sequence"), Level: uint32(smallNumber(t, "level")), Heartbeat: smallNumber(t, "heartbeat")}
}

// checkMerge checks that a merge is commutative, associative and idempotent, so that neither the
// order of arrival nor duplicates matter.
func checkMerge[F interface {
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

// TestMerge guards against hosts that never converge because the result of a merge depends on
// the order of arrival.
func TestMerge(t *testing.T) {
	t.Run("member", rapid.MakeCheck(checkMerge(drawMember)))
	t.Run("leaving", rapid.MakeCheck(checkMerge(drawLeaving)))
	t.Run("crash", rapid.MakeCheck(checkMerge(drawCrash)))
	t.Run("handover", rapid.MakeCheck(checkMerge(drawHandover)))
	t.Run("load", rapid.MakeCheck(checkMerge(drawLoad)))
}

// TestRefutation guards against a live host that stays suspected or dead. Other hosts claim this
// in any order; the host's later refutation must win everywhere.
func TestRefutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 2)
		if !sim.run(time.Minute, sim.ready) {
			t.Fatal("the hosts did not join")
		}
		a, b := sim.nodes[0], sim.nodes[1]
		for range rapid.IntRange(1, 5).Draw(t, "claims") {
			claim := b.Self()
			claim.Counter += rapid.Uint64Range(0, 3).Draw(t, "ahead")
			claim.Liveness = member.Liveness(rapid.IntRange(1, 2).Draw(t, "liveness"))
			p := a.Ping()
			p.Members = []member.Member{claim}
			a.Answered(sim.now, member.Call{}, claimFrom(claim))
			b.Serve(sim.now, p)
			if claim.Merge(b.Self()) != b.Self() {
				t.Fatalf("%v holds against %v", claim, b.Self())
			}
		}
		if !sim.run(time.Minute, sim.converged) {
			t.Fatal("a host stays suspected")
		}
	})
}

// claimFrom returns a packet in which a third host makes the claim about a member.
func claimFrom(claim member.Member) member.Packet {
	return member.Packet{From: member.Member{Incarnation: 99, Name: claim.Name, Liveness: member.Dead}, Members: []member.Member{claim}}
}

// TestConfigurationNeverRollsBack guards against a return to an older configuration. Versions
// arrive in any order from the platform and from peers, and no host may ever go to a lower
// version than it had.
func TestConfigurationNeverRollsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 4)
		sim.run(time.Minute, sim.ready)
		highest := uint64(0)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			n := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")]
			number := rapid.Uint64Range(1, 9).Draw(t, "version")
			if n.down {
				continue
			}
			before := n.ConfigVersion()
			n.publish(sim.now, version(number))
			if before.Newer(n.ConfigVersion()) {
				t.Fatalf("%s went from %v to %v", n.name, before, n.ConfigVersion())
			}
			highest = max(highest, number)
			sim.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "steps"))*step, func() bool { return false })
		}
		same := func(n *node) bool { return n.ConfigVersion() == version(highest) }
		if !sim.run(time.Minute, func() bool { return sim.all(same) }) {
			t.Fatalf("not all hosts have version %d", highest)
		}
	})
}
