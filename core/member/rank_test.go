package member_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasward/core/member"
)

// TestFirst guards against hosts that choose other dispatching hosts or readers because they rank only
// the first ones.
func TestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]string, rapid.IntRange(0, 40).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = fmt.Sprintf("h%d", rapid.IntRange(0, 30).Draw(t, "host")) // with duplicates
		}
		n := rapid.IntRange(0, 5).Draw(t, "n")
		ranked := member.Rank("key", hosts)
		if first := member.First("key", n, hosts); !slices.Equal(first, ranked[:min(n, len(ranked))]) {
			t.Fatalf("%v are not the first of %v", first, ranked)
		}
	})
}

// TestDigestAfterChanges guards against a digest that no longer matches the tables, so that hosts with
// the same facts repair each other again and again, or with other facts don't.
func TestDigestAfterChanges(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(7, 12)
	never := func() bool { return false }
	sim.run(20*step, never)
	for round := range 6 {
		for i, n := range sim.nodes {
			n.ReportCrash(sim.now, member.Crash{Fingerprint: uint64(round % 3), Observer: uint64(i + 1), Crashes: uint64(round + 1)})
		}
		sim.nodes[round].Drain(sim.now)
		sim.run(50*step, never)
	}
	sim.run(600*step, never)
	want := sim.nodes[0].Ping().Digest
	for _, n := range sim.nodes {
		is.Equal(n.Ping().Digest, want)
	}
	fresh := newFleetState(1)
	for _, m := range sim.nodes[0].Members() {
		fresh.Serve(0, member.Packet{From: m})
	}
	for _, c := range sim.nodes[0].Crashes(sim.now) {
		fresh.ReportCrash(0, c)
	}
	got, own := fresh.Ping().Digest, newFleetState(1).Ping().Digest
	for i := range got {
		got[i] ^= own[i] // without the fresh host itself
	}
	is.Equal(got, want) // built from the facts alone
}
