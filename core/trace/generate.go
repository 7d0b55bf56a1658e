package trace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasward/core/config"
)

// Scenario describes a trace that Generate can produce.
type Scenario struct {
	name string
	doc  string
	make func(g *generator)
	// newDeployment returns the deployment that the scenario simulates.
	newDeployment func() deployment
}

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// Doc returns a description of the scenario.
func (s Scenario) Doc() string { return s.doc }

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return append([]Scenario(nil), scenarios...) }

// scenarios lists all scenarios. Loads are fractions of the capacity of the pools, see
// Trace.Capacity.
var scenarios = []Scenario{
	{"rush", "deployment A: morning booking rush with long inspection reports", (*generator).rush, inspectionDeployment},
	{"heat", "deployment B: heat load peak with pump commands", (*generator).heat, heatingDeployment},
	{"overload", "deployment A: 3 times capacity for 10 s", (*generator).overload, inspectionDeployment},
	{"mixed", "deployment A: short work at 0.4 of capacity with two batches of 60 long reports", (*generator).mixed, inspectionDeployment},
	{"slow", "deployment A: 2 of 10 engines slowed 10 times", (*generator).slow, inspectionDeployment},
	{"greedy", "deployment A: one workspace at 10 times its share", (*generator).greedy, inspectionDeployment},
	{"switch", "deployment A: preset switch in the middle of an overload", (*generator).presetSwitch, inspectionDeployment},
}

// Generate returns the trace of the scenario with the given name and random seed.
func Generate(name string, seed uint64) (t *Trace, err error) {
	defer func() { err = Error.Wrap(err) }()
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.name == name })
	if i < 0 {
		return nil, fmt.Errorf("no scenario %q", name)
	}
	s := scenarios[i]
	g, err := newGenerator(s.name, s.newDeployment(), seed)
	if err != nil {
		return nil, err
	}
	s.make(g)
	return Parse(g.trace.Bytes())
}

// generator generates the requests, faults and objectives of a trace.
type generator struct {
	random     *rand.Rand
	deployment deployment
	trace      *Trace
	// capacity is the last result of measureCapacity, in requests/s.
	capacity float64
}

func newGenerator(name string, d deployment, seed uint64) (g *generator, err error) {
	g = &generator{random: rand.New(rand.NewPCG(seed, 0)), deployment: d}
	g.trace = &Trace{name: name, documentLines: d.configLines(), network: d.network, serviceModels: make(map[string]ServiceModel)}
	for _, p := range d.pools {
		g.trace.serviceModels[p.serviceModel.pool] = p.serviceModel
	}
	text := ""
	for _, l := range g.trace.documentLines {
		text += l + "\n"
	}
	g.trace.document, err = config.Parse([]byte(text))
	return g, err
}

// measureCapacity sets the capacity from a sample of the current mix, so that loads can be
// stated as fractions of it.
func (g *generator) measureCapacity() {
	const sample, span = 2_000, time.Second
	for range sample {
		g.trace.requests = append(g.trace.requests, g.drawRequest(0, g.drawWorkspace()))
	}
	g.capacity, _ = g.trace.Capacity(Window{0, span})
	g.trace.requests = nil
}

// addLoad adds requests between from and to at a constant fraction of the capacity. The
// arrivals are a Poisson process.
func (g *generator) addLoad(from, to time.Duration, fraction float64) {
	g.addRequests(from, to, func(time.Duration) float64 { return fraction }, g.drawWorkspace)
}

// addRequests adds requests between from and to at a load that varies over time.
func (g *generator) addRequests(from, to time.Duration, fraction func(at time.Duration) float64, workspace func() string) {
	at := from
	for {
		rate := fraction(at) * g.capacity
		if rate <= 0 {
			break
		}
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			break
		}
		g.trace.requests = append(g.trace.requests, g.drawRequest(at, workspace()))
	}
	slices.SortStableFunc(g.trace.requests, func(a, b Request) int { return int(a.sendTime - b.sendTime) })
}

// drawWorkspace returns a random workspace, weighted by share.
func (g *generator) drawWorkspace() string {
	total := 0
	for _, w := range g.deployment.workspaces {
		total += w.share
	}
	n := g.random.IntN(total)
	for _, w := range g.deployment.workspaces {
		if n -= w.share; n < 0 {
			return w.name
		}
	}
	return ""
}

// drawRequest returns a request of a random pipeline, weighted by traffic.
func (g *generator) drawRequest(at time.Duration, workspace string) Request {
	total := 0
	for _, p := range g.deployment.pipelines {
		total += p.trafficPercent
	}
	n := g.random.IntN(total)
	for _, p := range g.deployment.pipelines {
		if n -= p.trafficPercent; n < 0 {
			return g.newRequest(p, at, workspace)
		}
	}
	return Request{}
}

func (g *generator) newRequest(p pipelineSpec, at time.Duration, workspace string) Request {
	q := Request{
		sendTime: at.Truncate(time.Millisecond), workspace: workspace, pipeline: p.name, deadline: p.deadline,
		outputTokens: g.drawFrom(p.outputTokens), promptTokens: g.drawFrom(p.promptTokens), command: p.command,
	}
	if p.prefixes > 0 {
		q.prefix = fmt.Sprintf("%s%d", workspace, g.random.IntN(p.prefixes)+1)
	}
	return q
}

// drawFrom returns a uniformly distributed number between the limits, both inclusive.
func (g *generator) drawFrom(limits [2]int) int {
	return limits[0] + g.random.IntN(limits[1]-limits[0]+1)
}

// addSlowPeriods slows random targets of the pool for 0.5 to 2 s each.
func (g *generator) addSlowPeriods(pool string, count int, to time.Duration) {
	var names []string
	for _, t := range g.trace.document.Targets() {
		if t.Pool() == pool {
			names = append(names, t.Name())
		}
	}
	for range count {
		from := time.Duration(g.random.Int64N(int64(to))).Truncate(time.Millisecond)
		length := time.Duration(500+g.random.IntN(1_500)) * time.Millisecond
		g.trace.slowPeriods = append(g.trace.slowPeriods, SlowPeriod{Window{from, from + length}, names[g.random.IntN(len(names))], float64(3 + g.random.IntN(6))})
	}
}

func (g *generator) addObjective(m Measure, subject string, isUpper bool, bound float64) {
	g.trace.objectives = append(g.trace.objectives, Objective{m, subject, isUpper, bound})
}

// setMix sets the percentage of each pipeline in the traffic, 0 for those not listed.
func (g *generator) setMix(percents map[string]int) {
	for i, p := range g.deployment.pipelines {
		g.deployment.pipelines[i].trafficPercent = percents[p.name]
	}
}

// parabolicLoad returns a load that rises from low to high at the middle of the span and
// falls back to low.
func parabolicLoad(low, high float64, span time.Duration) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		distance := 2*at.Seconds()/span.Seconds() - 1
		return low + (high-low)*(1-distance*distance)
	}
}
