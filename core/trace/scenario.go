package trace

import "time"

// Objectives of section 1.2 of the design.
const (
	peakGoodput   = 0.95
	peakRecovery  = 2_000 // ms
	blockingLimit = 1.3
	slowdownLimit = 1.5
	addedLimit    = 0.05
	costLimit     = 0.02
)

func (g *generator) rush() {
	const span = 40 * time.Second
	g.calibrate()
	g.stream(0, span, swing(0.3, 0.9, span), g.workspace)
	g.moments("assistants", 6, span)
	g.moments("rerankers", 3, span)
	g.trace.crashes = append(g.trace.crashes, Crash{Window{20 * time.Second, 24 * time.Second}, "assistants4"})
	g.expect(Attainment, "", false, 0.95)
	g.expect(LongAttainment, "", false, 1)
}

func (g *generator) heat() {
	const span = 40 * time.Second
	g.calibrate()
	g.stream(0, span, swing(0.3, 0.95, span), g.workspace)
	g.moments("planners", 8, span)
	g.moments("controls", 3, span)
	g.expect(Attainment, "", false, 0.95)
	g.expect(LongAttainment, "", false, 1)
}

// shorten leaves only summaries in the mix, without prefixes, so that the capacity does
// not depend on the caches.
func (g *generator) shorten() {
	g.parts(map[string]int{"summary": 100})
	for i := range g.deployment.pipelines {
		g.deployment.pipelines[i].prefixes = 0
	}
	g.calibrate()
}

// peakLoad is ordinary load with 3 times capacity from 6 s to 16 s.
func (g *generator) peakLoad() {
	const from, to, end = 6 * time.Second, 16 * time.Second, 24 * time.Second
	g.shorten()
	g.load(0, from, 0.7)
	g.load(from, to, 3)
	g.load(to, end, 0.7)
	g.trace.peak = Window{from, to}
	g.expect(Goodput, "", false, peakGoodput)
	g.expect(RecoveryTime, "", true, peakRecovery)
}

func (g *generator) overload() { g.peakLoad() }

func (g *generator) change() {
	g.peakLoad()
	g.trace.switches = append(g.trace.switches, PresetSwitch{10 * time.Second, "peak"})
}

// mixed has short work at 0.4 of the capacity, and twice a batch of 60 reports within 1 s,
// which could hold 60 of the 80 slots for 15 s.
func (g *generator) mixed() {
	const span, batch = 60 * time.Second, 60
	g.parts(map[string]int{"summary": 100})
	g.calibrate()
	g.load(0, span, 0.4)
	g.parts(map[string]int{"report": 100})
	for _, from := range []time.Duration{10 * time.Second, 35 * time.Second} {
		g.stream(from, from+time.Second, func(time.Duration) float64 { return batch / g.unit }, g.workspace)
	}
	g.expect(BlockingRatio, "", true, blockingLimit)
	g.expect(LongAttainment, "", false, 1)
}

func (g *generator) slow() {
	const span = 40 * time.Second
	g.parts(map[string]int{"summary": 100})
	g.calibrate()
	g.load(0, span, 0.5)
	for _, target := range []string{"assistants3", "assistants7"} {
		g.trace.slows = append(g.trace.slows, SlowPeriod{Window{10 * time.Second, 30 * time.Second}, target, 10})
	}
	g.expect(SlowdownRatio, "", true, slowdownLimit)
	g.expect(RetryOverhead, "", true, addedLimit)
}

// greedy has all workspaces at 0.7 of the capacity together, and brig, whose share is 1 in
// 18, at 10 times its share of the capacity.
func (g *generator) greedy() {
	const span, subject, share = 30 * time.Second, "brig", 1.0 / 18
	g.shorten()
	g.load(0, span, 0.7)
	g.stream(0, span, func(time.Duration) float64 { return (10 - 0.7) * share }, func() string { return subject })
	g.expect(AttainmentLoss, subject, true, costLimit)
}
