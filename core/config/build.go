package config

import "sassafrasward/core/sortedmap"

// Values of optional fields that a document does not set.
const (
	defaultMaxCommandRecords   = 10_000 // per host and workspace
	defaultSlots               = 8      // calls per target
	defaultRetryBudget         = 10     // percent
	defaultHedgeBudget         = 5      // percent
	defaultLongSlotPercent     = 50     // percent
	defaultQueueLimit          = 1_000  // calls per host and pool
	defaultModelLoadsPerMinute = 600
)

// builder collects the entities of a document during parsing.
type builder struct {
	activePreset        string
	modelLoadsPerMinute int
	presets             *sortedmap.Map[string, *Preset]
	workspaces          *sortedmap.Map[string, *Workspace]
	pools               *sortedmap.Map[string, *Pool]
	targets             *sortedmap.Map[string, *Target]
	stages              *sortedmap.Map[string, *Stage]
	pipelines           *sortedmap.Map[string, *Pipeline]
	// stageNames maps a pipeline to the names of its stages, which are resolved after all
	// sections are read.
	stageNames map[string][]string
}

func newBuilder() *builder {
	return &builder{
		modelLoadsPerMinute: defaultModelLoadsPerMinute,
		presets:             sortedmap.New[string, *Preset](),
		workspaces:          sortedmap.New[string, *Workspace](),
		pools:               sortedmap.New[string, *Pool](),
		targets:             sortedmap.New[string, *Target](),
		stages:              sortedmap.New[string, *Stage](),
		pipelines:           sortedmap.New[string, *Pipeline](),
		stageNames:          make(map[string][]string),
	}
}

// getOrAdd returns the entity with the given name. If the map has none, it adds the result
// of create.
func getOrAdd[V any](m *sortedmap.Map[string, *V], name string, create func() V) *V {
	if v, ok := m.Get(name); ok {
		return v
	}
	v := create()
	m.Put(name, &v)
	return &v
}

func (b *builder) preset(n string) *Preset {
	return getOrAdd(b.presets, n, func() Preset {
		return Preset{
			name: n, admissionControl: true, acceptsRequests: true, prefixAffinity: true,
			retryBudget: defaultRetryBudget, hedgeBudget: defaultHedgeBudget, longSlotPercent: defaultLongSlotPercent, queueLimit: defaultQueueLimit,
		}
	})
}

func (b *builder) workspace(n string) *Workspace {
	return getOrAdd(b.workspaces, n, func() Workspace { return Workspace{name: n, share: 1, maxCommandRecords: defaultMaxCommandRecords} })
}

func (b *builder) pool(n string) *Pool {
	return getOrAdd(b.pools, n, func() Pool { return Pool{name: n, role: "mixed"} })
}

func (b *builder) target(n string) *Target {
	return getOrAdd(b.targets, n, func() Target { return Target{name: n, slots: defaultSlots} })
}

func (b *builder) stage(n string) *Stage {
	return getOrAdd(b.stages, n, func() Stage { return Stage{name: n} })
}

func (b *builder) pipeline(n string) *Pipeline {
	return getOrAdd(b.pipelines, n, func() Pipeline { return Pipeline{name: n} })
}

// addEntity adds the entity that a section declares, even if the section has no keys.
func (b *builder) addEntity(section, name string) {
	switch section {
	case sectionPreset:
		b.preset(name)
	case sectionWorkspace:
		b.workspace(name)
	case sectionPool:
		b.pool(name)
	case sectionTarget:
		b.target(name)
	case sectionStage:
		b.stage(name)
	case sectionPipeline:
		b.pipeline(name)
	}
}
