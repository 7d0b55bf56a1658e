package trace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasward/core/config"
)

// Scenario is a trace that can be generated.
type Scenario struct {
	name string
	doc  string
	make func(g *generator)
	// base is the deployment that the scenario runs on.
	base func() deployment
}

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// Doc describes the scenario.
func (s Scenario) Doc() string { return s.doc }

// Scenarios returns the registry of scenarios.
func Scenarios() []Scenario { return append([]Scenario(nil), scenarios...) }

// Loads are in parts of the capacity of the pools, see Trace.Capacity.
var scenarios = []Scenario{
	{"rush", "deployment A: morning booking rush with long inspection reports", (*generator).rush, inspection},
	{"heat", "deployment B: heat load peak with pump commands", (*generator).heat, heating},
	{"overload", "deployment A: 3 times capacity for 10 s", (*generator).overload, inspection},
	{"mixed", "deployment A: short work at 0.4 of capacity with two batches of 60 long reports", (*generator).mixed, inspection},
	{"slow", "deployment A: 2 of 10 engines slowed 10 times", (*generator).slow, inspection},
	{"greedy", "deployment A: one workspace at 10 times its share", (*generator).greedy, inspection},
	{"switch", "deployment A: preset switch in the middle of an overload", (*generator).change, inspection},
}

// Generate returns the trace of the scenario with the given name.
func Generate(name string, seed uint64) (t *Trace, err error) {
	defer func() { err = Error.Wrap(err) }()
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.name == name })
	if i < 0 {
		return nil, fmt.Errorf("no scenario %q", name)
	}
	s := scenarios[i]
	g, err := newGenerator(s.name, s.base(), seed)
	if err != nil {
		return nil, err
	}
	s.make(g)
	return Parse(g.trace.Bytes())
}

// generator draws the requests of a trace.
type generator struct {
	random     *rand.Rand
	deployment deployment
	trace      *Trace
	// unit is the capacity of the pools for the mix of the deployment, in requests/s.
	unit float64
}

func newGenerator(name string, d deployment, seed uint64) (g *generator, err error) {
	g = &generator{random: rand.New(rand.NewPCG(seed, 0)), deployment: d}
	g.trace = &Trace{name: name, config: d.lines(), network: d.network, rates: make(map[string]ServiceModel)}
	for _, p := range d.pools {
		g.trace.rates[p.rate.pool] = p.rate
	}
	text := ""
	for _, l := range g.trace.config {
		text += l + "\n"
	}
	g.trace.document, err = config.Parse([]byte(text))
	return g, err
}

// calibrate measures the capacity for the mix on a sample of requests, so that a load can
// be stated in parts of it.
func (g *generator) calibrate() {
	const sample, span = 2_000, time.Second
	for range sample {
		g.trace.requests = append(g.trace.requests, g.draw(0, g.workspace()))
	}
	g.unit, _ = g.trace.Capacity(Window{0, span})
	g.trace.requests = nil
}

// load adds requests at a part of the capacity during a window. Arrivals are a Poisson
// process.
func (g *generator) load(from, to time.Duration, part float64) {
	g.stream(from, to, func(time.Duration) float64 { return part }, g.workspace)
}

// stream adds requests at a load that changes over the window.
func (g *generator) stream(from, to time.Duration, part func(at time.Duration) float64, workspace func() string) {
	at := from
	for {
		rate := part(at) * g.unit
		if rate <= 0 {
			break
		}
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			break
		}
		g.trace.requests = append(g.trace.requests, g.draw(at, workspace()))
	}
	slices.SortStableFunc(g.trace.requests, func(a, b Request) int { return int(a.at - b.at) })
}

// workspace draws a workspace by share.
func (g *generator) workspace() string {
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

// draw returns a request of a pipeline drawn by its part.
func (g *generator) draw(at time.Duration, workspace string) Request {
	total := 0
	for _, p := range g.deployment.pipelines {
		total += p.part
	}
	n := g.random.IntN(total)
	for _, p := range g.deployment.pipelines {
		if n -= p.part; n < 0 {
			return g.shape(p, at, workspace)
		}
	}
	return Request{}
}

func (g *generator) shape(p flow, at time.Duration, workspace string) Request {
	q := Request{
		at: at.Truncate(time.Millisecond), workspace: workspace, pipeline: p.name, deadline: p.deadline,
		size: g.between(p.size), prompt: g.between(p.prompt), command: p.command,
	}
	if p.prefixes > 0 {
		q.prefix = fmt.Sprintf("%s%d", workspace, g.random.IntN(p.prefixes)+1)
	}
	return q
}

func (g *generator) between(limits [2]int) int {
	return limits[0] + g.random.IntN(limits[1]-limits[0]+1)
}

// moments slows single targets of the pool for moments of 0.5 to 2 s.
func (g *generator) moments(pool string, count int, to time.Duration) {
	var names []string
	for _, t := range g.trace.document.Targets() {
		if t.Pool() == pool {
			names = append(names, t.Name())
		}
	}
	for range count {
		from := time.Duration(g.random.Int64N(int64(to))).Truncate(time.Millisecond)
		length := time.Duration(500+g.random.IntN(1_500)) * time.Millisecond
		g.trace.slows = append(g.trace.slows, SlowPeriod{Window{from, from + length}, names[g.random.IntN(len(names))], float64(3 + g.random.IntN(6))})
	}
}

func (g *generator) expect(m Measure, subject string, most bool, bound float64) {
	g.trace.expects = append(g.trace.expects, Objective{m, subject, most, bound})
}

// parts sets the share of each pipeline in the mix.
func (g *generator) parts(parts map[string]int) {
	for i, p := range g.deployment.pipelines {
		g.deployment.pipelines[i].part = parts[p.name]
	}
}

// swing is a load that rises from low to high in the middle of the span and falls again.
func swing(low, high float64, span time.Duration) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		distance := 2*at.Seconds()/span.Seconds() - 1
		return low + (high-low)*(1-distance*distance)
	}
}
