package config

import "sassafrasward/core/sortedmap"

// Values of fields that a document leaves out.
const (
	defaultRecords = 10_000
	defaultSlots   = 8
	defaultRetry   = 10
	defaultHedge   = 5
	defaultLong    = 50
	defaultQueue   = 1_000
	defaultLoads   = 600
)

// builder collects the entities of a document while it is parsed.
type builder struct {
	force      string
	loads      int
	presets    *sortedmap.Map[string, *Preset]
	workspaces *sortedmap.Map[string, *Workspace]
	pools      *sortedmap.Map[string, *Pool]
	targets    *sortedmap.Map[string, *Target]
	stages     *sortedmap.Map[string, *Stage]
	pipelines  *sortedmap.Map[string, *Pipeline]
	// chains holds the stage names of each pipeline until the stages are known.
	chains map[string][]string
}

func newBuilder() *builder {
	return &builder{
		loads:      defaultLoads,
		presets:    sortedmap.New[string, *Preset](),
		workspaces: sortedmap.New[string, *Workspace](),
		pools:      sortedmap.New[string, *Pool](),
		targets:    sortedmap.New[string, *Target](),
		stages:     sortedmap.New[string, *Stage](),
		pipelines:  sortedmap.New[string, *Pipeline](),
		chains:     make(map[string][]string),
	}
}

// entity returns the entity with the given name and adds it if it is new.
func entity[V any](t *sortedmap.Map[string, *V], name string, add func() V) *V {
	if v, ok := t.Get(name); ok {
		return v
	}
	v := add()
	t.Put(name, &v)
	return &v
}

func (b *builder) preset(n string) *Preset {
	return entity(b.presets, n, func() Preset {
		return Preset{
			name: n, admit: true, accept: true, affinity: true,
			retry: defaultRetry, hedge: defaultHedge, long: defaultLong, queue: defaultQueue,
		}
	})
}

func (b *builder) workspace(n string) *Workspace {
	return entity(b.workspaces, n, func() Workspace { return Workspace{name: n, share: 1, records: defaultRecords} })
}

func (b *builder) pool(n string) *Pool {
	return entity(b.pools, n, func() Pool { return Pool{name: n, role: "mixed"} })
}

func (b *builder) target(n string) *Target {
	return entity(b.targets, n, func() Target { return Target{name: n, slots: defaultSlots} })
}

func (b *builder) stage(n string) *Stage {
	return entity(b.stages, n, func() Stage { return Stage{name: n} })
}

func (b *builder) pipeline(n string) *Pipeline {
	return entity(b.pipelines, n, func() Pipeline { return Pipeline{name: n} })
}

// touch adds the entity of a section, so that a section without keys counts as well.
func (b *builder) touch(section, name string) {
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
