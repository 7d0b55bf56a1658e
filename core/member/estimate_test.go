package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasward/core/member"
)

func drawEstimate(t *rapid.T) member.Estimate {
	return member.Estimate{Process: 9, Version: smallNumber(t, "version"), Speed: int32(rapid.IntRange(-2, 2).Draw(t, "speed")), Slowdown: int32(smallNumber(t, "slowdown")), Demand: uint32(smallNumber(t, "demand")), TTL: drawTTL(t)}
}

// TestMergeEstimate guards against hosts that never agree on the estimate of a target.
func TestMergeEstimate(t *testing.T) { rapid.Check(t, checkMerge(drawEstimate)) }

// TestEstimatesSpread guards against estimates that don't reach other hosts within seconds, at 67 and at 370
// hosts with 32 new ones a second, while one host in twenty is away, and against hosts that started later
// and get none.
func TestEstimatesSpread(t *testing.T) {
	for _, hosts := range []int{67, 370} {
		is := is.New(t)
		sim := newSimulation(1, hosts)
		is.True(sim.run(time.Minute, sim.ready))
		for i := range hosts / 20 {
			sim.nodes[1+i*20].paused = true
		}
		known := make(map[uint64]int)
		for i := range 96 {
			sim.nodes[2+i%18].PublishEstimate(sim.now, member.Estimate{Process: uint64(i + 1), Version: 1, Speed: 3})
			if i%3 == 2 {
				collectEstimates(sim, 100*time.Millisecond, known)
			}
		}
		collectEstimates(sim, 8*time.Second, known) // 8 periods of one second
		total := 0
		for _, n := range known {
			total += n
		}
		running := hosts - hosts/20
		t.Logf("%d hosts: %d of %d copies", hosts, total, 96*(running-1))
		is.True(total > 96*(running-1)*95/100) // one in 20 may be missed
		late := sim.start("h000new", sim.list(2, hosts))
		is.True(sim.run(10*time.Second, func() bool { return late.Ready() }))
		is.True(len(late.TakeEstimates(sim.now)) > 80)
	}
}

// collectEstimates runs the simulation and counts by process how many hosts have got its estimate.
func collectEstimates(sim *simulation, d time.Duration, known map[uint64]int) {
	sim.run(d, func() bool {
		for _, n := range sim.nodes {
			if n.paused {
				continue
			}
			for _, e := range n.TakeEstimates(sim.now) {
				known[e.Process]++
			}
		}
		return false
	})
}

// TestEstimateExpires guards against estimates that stay for ever, and against a copy that starts over
// with the full TTL.
func TestEstimateExpires(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 2)
	is.True(sim.run(time.Minute, sim.ready))
	sim.nodes[0].PublishEstimate(sim.now, member.Estimate{Process: 5, Version: 1, Speed: 3})
	sim.run(10*time.Second, func() bool { return false })
	got := sim.nodes[1].TakeEstimates(sim.now)
	is.Equal(len(got), 1)
	is.True(got[0].Age() > 8*time.Second)
	sim.run(90*time.Second, func() bool { return false })
	late := sim.start("h2", sim.list(2, 3))
	sim.run(10*time.Second, func() bool { return late.Ready() })
	is.Equal(len(late.TakeEstimates(sim.now)), 0)
}
