package trace

import (
	"fmt"
	"strings"
	"time"
)

// deployment is one of today's deployments as a generator needs it.
type deployment struct {
	name    string
	network Network
	zones   []string
	// workspaces have shares; the large ones send most of the requests.
	workspaces []customer
	pools      []group
	stages     []string
	pipelines  []flow
}

type customer struct {
	name  string
	share int
}

// group is a pool with the rates of its stand-in targets.
type group struct {
	kind  string
	count int
	slots int
	rate  ServiceModel
}

// flow is a pipeline with the shape of its requests.
type flow struct {
	name     string
	stages   string
	deadline time.Duration
	long     bool
	command  bool
	// part is the pipeline's share of the requests, in percent.
	part int
	// size and prompt are ranges in tokens.
	size   [2]int
	prompt [2]int
	// prefixes is the number of shared prompt prefixes per workspace.
	prefixes int
}

const (
	shortDeadline = 3 * time.Second
	longDeadline  = 3 * time.Minute
)

// engineRate is the rate of a small engine: a short answer of 40 tokens takes 0.9 s alone
// and 1.2 s in a full batch of 8.
var engineRate = ServiceModel{base: 5 * time.Millisecond, prefill: 4_000, decode: 50, batch: 5, cache: 8, lag: 500 * time.Millisecond}

func serviceRate(base time.Duration) ServiceModel {
	return ServiceModel{base: base, lag: 200 * time.Millisecond}
}

func named(pool string, r ServiceModel) ServiceModel {
	r.pool = pool
	return r
}

// inspection is deployment A: a morning booking rush with long inspection reports.
func inspection() deployment {
	return deployment{
		name:       "rush",
		network:    Network{between: time.Millisecond, client: time.Millisecond},
		zones:      []string{"a", "b", "c"},
		workspaces: []customer{{"thun", 8}, {"biel", 6}, {"chur", 2}, {"brig", 1}, {"nyon", 1}},
		pools: []group{
			{"service", 3, 8, named("encoders", serviceRate(8*time.Millisecond))},
			{"service", 4, 8, named("retrievers", serviceRate(15*time.Millisecond))},
			{"service", 5, 8, named("rerankers", serviceRate(25*time.Millisecond))},
			{"engine", 10, 8, named("assistants", engineRate)},
			{"service", 3, 8, named("deposits", serviceRate(40*time.Millisecond))},
		},
		stages: []string{"encode encoders", "retrieve retrievers", "rerank rerankers", "generate assistants", "look deposits", "deposit deposits command"},
		pipelines: []flow{
			{name: "summary", stages: "encode, retrieve, rerank, generate", deadline: shortDeadline, part: 60, size: [2]int{20, 60}, prompt: [2]int{200, 600}, prefixes: 3},
			{name: "report", stages: "encode, retrieve, rerank, generate", deadline: longDeadline, long: true, part: 3, size: [2]int{400, 800}, prompt: [2]int{2_000, 4_000}, prefixes: 1},
			{name: "availability", stages: "look", deadline: time.Second, part: 25},
			{name: "booking", stages: "look, deposit", deadline: shortDeadline, command: true, part: 12},
		},
	}
}

// heating is deployment B: a heat load peak with pump and valve commands.
func heating() deployment {
	return deployment{
		name:       "heat",
		network:    Network{between: time.Millisecond, client: 3 * time.Millisecond},
		zones:      []string{"a", "b", "c", "d"},
		workspaces: []customer{{"north", 6}, {"south", 4}, {"east", 2}, {"west", 2}, {"lake", 1}},
		pools: []group{
			{"service", 5, 8, named("encoders", serviceRate(8*time.Millisecond))},
			{"service", 5, 8, named("forecasters", serviceRate(30*time.Millisecond))},
			{"engine", 12, 8, named("planners", engineRate)},
			{"service", 4, 8, named("controls", serviceRate(30*time.Millisecond))},
		},
		stages: []string{"encode encoders", "forecast forecasters", "plan planners", "read controls", "act controls command"},
		pipelines: []flow{
			{name: "advice", stages: "encode, forecast, plan", deadline: shortDeadline, part: 50, size: [2]int{20, 50}, prompt: [2]int{200, 500}, prefixes: 3},
			{name: "review", stages: "encode, forecast, plan", deadline: longDeadline, long: true, part: 2, size: [2]int{400, 700}, prompt: [2]int{1_500, 3_000}, prefixes: 1},
			{name: "reading", stages: "read", deadline: time.Second, part: 33},
			{name: "pump", stages: "read, act", deadline: shortDeadline, command: true, part: 15},
		},
	}
}

// lines returns the configuration document. Addresses are placeholders that a live run
// replaces.
func (d deployment) lines() (lines []string) {
	add := func(format string, values ...any) { lines = append(lines, fmt.Sprintf(format, values...)) }
	add("[document]")
	add("preset = ordinary")
	add("[preset ordinary]")
	add("[preset peak]")
	add("retry = 2")
	add("hedge = 0")
	add("long = 20")
	add("queue = 200")
	for _, w := range d.workspaces {
		add("[workspace %s]", w.name)
		add("share = %d", w.share)
	}
	port := 20_000
	for _, g := range d.pools {
		add("[pool %s]", g.rate.pool)
		add("kind = %s", g.kind)
		for i := range g.count {
			port++
			add("[target %s]", d.target(g, i))
			add("pool = %s", g.rate.pool)
			add("address = 127.0.0.1:%d", port)
			add("zone = %s", d.zones[i%len(d.zones)])
			add("slots = %d", g.slots)
		}
	}
	return append(lines, d.flowLines()...)
}

func (d deployment) flowLines() (lines []string) {
	for _, s := range d.stages {
		words := strings.Fields(s)
		lines = append(lines, "[stage "+words[0]+"]", "pool = "+words[1])
		if len(words) > 2 {
			lines = append(lines, "command = true")
		}
	}
	for _, p := range d.pipelines {
		lines = append(lines, "[pipeline "+p.name+"]", "stages = "+p.stages, "deadline = "+p.deadline.String())
		if p.long {
			lines = append(lines, "long = true")
		}
	}
	return lines
}

func (d deployment) target(g group, i int) string { return fmt.Sprintf("%s%d", g.rate.pool, i+1) }
