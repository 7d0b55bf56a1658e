package trace

import "time"

// Objectives from section 1.2 of the design document.
const (
	minPeakGoodput    = 0.95
	maxPeakRecovery   = 2_000 // ms
	maxBlockingRatio  = 1.3
	maxSlowdownRatio  = 1.5
	maxRetryOverhead  = 0.05
	maxAttainmentLoss = 0.02
)

func (g *generator) rush() {
	const span = 40 * time.Second
	g.measureCapacity()
	g.addRequests(0, span, parabolicLoad(0.3, 0.9, span), g.drawWorkspace)
	g.addSlowPeriods("assistants", 6, span)
	g.addSlowPeriods("rerankers", 3, span)
	g.trace.crashes = append(g.trace.crashes, Crash{Window{20 * time.Second, 24 * time.Second}, "assistants4"})
	g.addObjective(Attainment, "", false, 0.95)
	g.addObjective(LongAttainment, "", false, 1)
}

func (g *generator) heat() {
	const span = 40 * time.Second
	g.measureCapacity()
	g.addRequests(0, span, parabolicLoad(0.3, 0.95, span), g.drawWorkspace)
	g.addSlowPeriods("planners", 8, span)
	g.addSlowPeriods("controls", 3, span)
	g.addObjective(Attainment, "", false, 0.95)
	g.addObjective(LongAttainment, "", false, 1)
}

// useSummariesOnly limits the mix to summaries without shared prefixes, so that the
// capacity does not depend on the prefix caches.
func (g *generator) useSummariesOnly() {
	g.setMix(map[string]int{"summary": 100})
	for i := range g.deployment.pipelines {
		g.deployment.pipelines[i].prefixes = 0
	}
	g.measureCapacity()
}

// peakLoad generates 0.7 of the capacity, with a peak of 3 times the capacity from 6 s to
// 16 s.
func (g *generator) peakLoad() {
	const from, to, end = 6 * time.Second, 16 * time.Second, 24 * time.Second
	g.useSummariesOnly()
	g.addLoad(0, from, 0.7)
	g.addLoad(from, to, 3)
	g.addLoad(to, end, 0.7)
	g.trace.peak = Window{from, to}
	g.addObjective(Goodput, "", false, minPeakGoodput)
	g.addObjective(RecoveryTime, "", true, maxPeakRecovery)
}

func (g *generator) overload() { g.peakLoad() }

func (g *generator) presetSwitch() {
	g.peakLoad()
	g.trace.presetSwitches = append(g.trace.presetSwitches, PresetSwitch{10 * time.Second, "peak"})
}

// mixed generates short work at 0.4 of the capacity, and two batches of 60 reports, each
// within 1 s. A batch could hold 60 of the 80 slots for 15 s.
func (g *generator) mixed() {
	const span, batch = 60 * time.Second, 60
	g.setMix(map[string]int{"summary": 100})
	g.measureCapacity()
	g.addLoad(0, span, 0.4)
	g.setMix(map[string]int{"report": 100})
	for _, from := range []time.Duration{10 * time.Second, 35 * time.Second} {
		g.addRequests(from, from+time.Second, func(time.Duration) float64 { return batch / g.capacity }, g.drawWorkspace)
	}
	g.addObjective(BlockingRatio, "", true, maxBlockingRatio)
	g.addObjective(LongAttainment, "", false, 1)
}

func (g *generator) slow() {
	const span = 40 * time.Second
	g.setMix(map[string]int{"summary": 100})
	g.measureCapacity()
	g.addLoad(0, span, 0.5)
	for _, target := range []string{"assistants3", "assistants7"} {
		g.trace.slowPeriods = append(g.trace.slowPeriods, SlowPeriod{Window{10 * time.Second, 30 * time.Second}, target, 10})
	}
	g.addObjective(SlowdownRatio, "", true, maxSlowdownRatio)
	g.addObjective(RetryOverhead, "", true, maxRetryOverhead)
}

// greedy generates 0.7 of the capacity over all workspaces. The workspace brig, whose share
// is 1 in 18, sends 10 times its share of the capacity.
func (g *generator) greedy() {
	const span, subject, share = 30 * time.Second, "brig", 1.0 / 18
	g.useSummariesOnly()
	g.addLoad(0, span, 0.7)
	g.addRequests(0, span, func(time.Duration) float64 { return (10 - 0.7) * share }, func() string { return subject })
	g.addObjective(AttainmentLoss, subject, true, maxAttainmentLoss)
}
