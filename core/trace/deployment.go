package trace

import (
	"fmt"
	"strings"
	"time"
)

// deployment describes the machines and the traffic that a generated trace simulates.
type deployment struct {
	name    string
	network Network
	zones   []string
	// workspaces send requests in proportion to their shares.
	workspaces []workspaceSpec
	pools      []poolSpec
	// stages holds the name and the pool of each stage, followed by the word command if the stage
	// may not be repeated.
	stages    []string
	pipelines []pipelineSpec
}

type workspaceSpec struct {
	name  string
	share int
}

// poolSpec describes a pool and the performance of its targets.
type poolSpec struct {
	kind         string
	count        int
	slots        int
	serviceModel ServiceModel
}

// pipelineSpec describes a pipeline and the distribution of its requests.
type pipelineSpec struct {
	name string
	// stages holds the names of the stages, separated by commas.
	stages   string
	deadline time.Duration
	long     bool
	command  bool
	// trafficPercent is the pipeline's percentage of all requests.
	trafficPercent int
	// outputTokens and promptTokens are the minimum and maximum number of tokens.
	outputTokens [2]int
	promptTokens [2]int
	// prefixes is the number of shared prompt prefixes per workspace.
	prefixes int
}

const (
	shortDeadline = 3 * time.Second
	longDeadline  = 3 * time.Minute
)

// enginePoolModel models a small engine: a short answer of 40 tokens takes 0.9 s on an idle
// engine and 1.2 s in a full batch of 8.
var enginePoolModel = ServiceModel{baseTime: 5 * time.Millisecond, prefillRate: 4_000, decodeRate: 50, batchSlowdownPercent: 5, prefixCacheSize: 8, loadReportLag: 500 * time.Millisecond}

func servicePoolModel(base time.Duration) ServiceModel {
	return ServiceModel{baseTime: base, loadReportLag: 200 * time.Millisecond}
}

func forPool(pool string, m ServiceModel) ServiceModel {
	m.pool = pool
	return m
}

// inspectionDeployment returns deployment A: a morning booking rush with long inspection
// reports.
func inspectionDeployment() deployment {
	return deployment{
		name:       "rush",
		network:    Network{zoneDelay: time.Millisecond, clientDelay: time.Millisecond},
		zones:      []string{"a", "b", "c"},
		workspaces: []workspaceSpec{{"thun", 8}, {"biel", 6}, {"chur", 2}, {"brig", 1}, {"nyon", 1}},
		pools: []poolSpec{
			{"service", 3, 8, forPool("encoders", servicePoolModel(8*time.Millisecond))},
			{"service", 4, 8, forPool("retrievers", servicePoolModel(15*time.Millisecond))},
			{"service", 5, 8, forPool("rerankers", servicePoolModel(25*time.Millisecond))},
			{"engine", 10, 8, forPool("assistants", enginePoolModel)},
			{"service", 3, 8, forPool("deposits", servicePoolModel(40*time.Millisecond))},
		},
		stages: []string{"encode encoders", "retrieve retrievers", "rerank rerankers", "generate assistants", "look deposits", "deposit deposits command"},
		pipelines: []pipelineSpec{
			{name: "summary", stages: "encode, retrieve, rerank, generate", deadline: shortDeadline, trafficPercent: 60, outputTokens: [2]int{20, 60}, promptTokens: [2]int{200, 600}, prefixes: 3},
			{name: "report", stages: "encode, retrieve, rerank, generate", deadline: longDeadline, long: true, trafficPercent: 3, outputTokens: [2]int{400, 800}, promptTokens: [2]int{2_000, 4_000}, prefixes: 1},
			{name: "availability", stages: "look", deadline: time.Second, trafficPercent: 25},
			{name: "booking", stages: "look, deposit", deadline: shortDeadline, command: true, trafficPercent: 12},
		},
	}
}

// heatingDeployment returns deployment B: a heat load peak with pump and valve commands.
func heatingDeployment() deployment {
	return deployment{
		name:       "heat",
		network:    Network{zoneDelay: time.Millisecond, clientDelay: 3 * time.Millisecond},
		zones:      []string{"a", "b", "c", "d"},
		workspaces: []workspaceSpec{{"north", 6}, {"south", 4}, {"east", 2}, {"west", 2}, {"lake", 1}},
		pools: []poolSpec{
			{"service", 5, 8, forPool("encoders", servicePoolModel(8*time.Millisecond))},
			{"service", 5, 8, forPool("forecasters", servicePoolModel(30*time.Millisecond))},
			{"engine", 12, 8, forPool("planners", enginePoolModel)},
			{"service", 4, 8, forPool("controls", servicePoolModel(30*time.Millisecond))},
		},
		stages: []string{"encode encoders", "forecast forecasters", "plan planners", "read controls", "act controls command"},
		pipelines: []pipelineSpec{
			{name: "advice", stages: "encode, forecast, plan", deadline: shortDeadline, trafficPercent: 50, outputTokens: [2]int{20, 50}, promptTokens: [2]int{200, 500}, prefixes: 3},
			{name: "review", stages: "encode, forecast, plan", deadline: longDeadline, long: true, trafficPercent: 2, outputTokens: [2]int{400, 700}, promptTokens: [2]int{1_500, 3_000}, prefixes: 1},
			{name: "reading", stages: "read", deadline: time.Second, trafficPercent: 33},
			{name: "pump", stages: "read, act", deadline: shortDeadline, command: true, trafficPercent: 15},
		},
	}
}

// configLines returns the lines of the configuration document. The addresses are
// placeholders that a live run replaces.
func (d deployment) configLines() (lines []string) {
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
	for _, p := range d.pools {
		add("[pool %s]", p.serviceModel.pool)
		add("kind = %s", p.kind)
		for i := range p.count {
			port++
			add("[target %s]", d.targetName(p, i))
			add("pool = %s", p.serviceModel.pool)
			add("address = 127.0.0.1:%d", port)
			add("zone = %s", d.zones[i%len(d.zones)])
			add("slots = %d", p.slots)
		}
	}
	return append(lines, d.pipelineLines()...)
}

func (d deployment) pipelineLines() (lines []string) {
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

func (d deployment) targetName(p poolSpec, i int) string {
	return fmt.Sprintf("%s%d", p.serviceModel.pool, i+1)
}
