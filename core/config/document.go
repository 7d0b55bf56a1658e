package config

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"

	"sassafrasward/core/diagnostic"
	"sassafrasward/core/sortedmap"
)

// Error is the class of all errors of this package.
var Error = errs.Class("document")

// MaxBytes is the size limit of a document; the configuration service holds no larger
// value.
const MaxBytes = 1 << 20

// Mistake is one thing that is wrong with a document.
type Diagnostic struct {
	fault   Code
	section string
	key     string
	value   string
	allowed string
}

// Fault returns the kind of the mistake.
func (m Diagnostic) Code() Code { return m.fault }

// Section returns the section that the mistake is in.
func (m Diagnostic) Section() string { return m.section }

// Key returns the key that the mistake is in; empty for the section as a whole.
func (m Diagnostic) Key() string { return m.key }

// Value returns the value that is not allowed; empty for a missing key.
func (m Diagnostic) Value() string { return m.value }

// Allowed states what would be right.
func (m Diagnostic) Allowed() string { return m.allowed }

// String returns the mistake on one line.
func (m Diagnostic) String() string {
	if m.key == "" {
		return fmt.Sprintf("[%s]: allowed: %s", m.section, m.allowed)
	}
	return fmt.Sprintf("[%s] %s = %q: allowed: %s", m.section, m.key, m.value, m.allowed)
}

// Mistakes is the error that Parse returns for a document with mistakes.
type Diagnostics = diagnostic.List[Diagnostic]

// Document is an accepted configuration. It does not change after Parse.
type Document struct {
	hash [sha256.Size]byte
	raw  []byte
	// force names an entry of presets.
	force string
	// loads is the rate of the weight store in loads per minute; at least 1.
	loads      int
	presets    *sortedmap.Map[string, *Preset]
	workspaces *sortedmap.Map[string, *Workspace]
	pools      *sortedmap.Map[string, *Pool]
	targets    *sortedmap.Map[string, *Target]
	pipelines  *sortedmap.Map[string, *Pipeline]
}

// Raw returns the bytes that the document was parsed from.
func (d *Document) Raw() []byte { return d.raw }

// Hash returns the SHA-256 of the bytes.
func (d *Document) Hash() [sha256.Size]byte { return d.hash }

// Preset returns the preset in force.
func (d *Document) ActivePreset() Preset {
	p, _ := d.presets.Get(d.force)
	return *p
}

// Loads returns how many model loads per minute the weight store serves.
func (d *Document) ModelLoadsPerMinute() int { return d.loads }

// FindPreset returns the preset with the given name.
func (d *Document) Preset(name string) (p Preset, ok bool) { return get(d.presets, name) }

// Presets returns the names of all presets in order.
func (d *Document) PresetNames() []string { return d.presets.Keys() }

// Pipeline returns the pipeline with the given name.
func (d *Document) Pipeline(name string) (p Pipeline, ok bool) { return get(d.pipelines, name) }

// Pipelines returns all pipelines by name.
func (d *Document) Pipelines() []Pipeline { return all(d.pipelines) }

// Workspace returns the workspace with the given name.
func (d *Document) Workspace(name string) (w Workspace, ok bool) { return get(d.workspaces, name) }

// Workspaces returns all workspaces by name.
func (d *Document) Workspaces() []Workspace { return all(d.workspaces) }

// Pool returns the pool with the given name.
func (d *Document) Pool(name string) (p Pool, ok bool) { return get(d.pools, name) }

// Pools returns all pools by name.
func (d *Document) Pools() []Pool { return all(d.pools) }

// Targets returns all targets by name.
func (d *Document) Targets() []Target { return all(d.targets) }

func get[V any](t *sortedmap.Map[string, *V], name string) (v V, ok bool) {
	p, ok := t.Get(name)
	if !ok {
		return v, false
	}
	return *p, true
}

func all[V any](t *sortedmap.Map[string, *V]) []V {
	list := make([]V, 0, t.Len())
	for _, v := range t.All() {
		list = append(list, *v)
	}
	return list
}

// options make the INI reader keep duplicate sections and keys apart, so that they are
// found instead of merged.
var options = ini.LoadOptions{
	KeyValueDelimiters: "=", IgnoreContinuation: true, AllowNonUniqueSections: true,
	AllowShadows: true, AllowDuplicateShadowValues: true, PreserveEmptyShadowValues: true,
}

// Parse checks and returns the document in raw. The error holds a Mistakes value.
func Parse(raw []byte) (d *Document, err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(raw) > MaxBytes {
		return nil, Diagnostics{{fault: TooLarge, section: sectionDocument, allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	file, err := ini.LoadSources(options, raw)
	if err != nil {
		return nil, Diagnostics{{fault: InvalidSyntax, section: sectionDocument, value: err.Error(), allowed: "sections and keys in INI syntax"}}
	}
	b := newBuilder()
	mistakes := b.read(file)
	mistakes = append(mistakes, b.link()...)
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return &Document{
		hash: sha256.Sum256(raw), raw: append([]byte(nil), raw...), force: b.force, loads: b.loads,
		presets: b.presets, workspaces: b.workspaces, pools: b.pools,
		targets: b.targets, pipelines: b.pipelines,
	}, nil
}

// read sets all fields and reports unknown sections and keys, values out of range and
// missing keys.
func (b *builder) read(file *ini.File) (mistakes Diagnostics) {
	seen := make(map[string]bool)
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if seen[section.Name()] {
			mistakes = append(mistakes, Diagnostic{fault: DuplicateName, section: section.Name(), allowed: "one section of this name only"})
			continue
		}
		seen[section.Name()] = true
		mistakes = append(mistakes, b.readSection(section)...)
	}
	if !seen[sectionDocument] {
		mistakes = append(mistakes, Diagnostic{fault: MissingKey, section: sectionDocument, key: "preset", allowed: "the name of a preset section (required)"})
	}
	return mistakes
}

func (b *builder) readSection(section *ini.Section) (mistakes Diagnostics) {
	kind, name, _ := strings.Cut(section.Name(), " ")
	if !knownSection(kind) || (kind == sectionDocument) != (name == "") || strings.ContainsAny(name, " ,\t") {
		return Diagnostics{{fault: UnknownSection, section: section.Name(), allowed: "document, or one of preset, workspace, pool, target, stage, pipeline with a name of one word"}}
	}
	b.touch(kind, name)
	seen := make(map[string]bool)
	for _, key := range section.Keys() {
		seen[key.Name()] = true
		mistakes = append(mistakes, b.readKey(section.Name(), kind, name, key)...)
	}
	for _, f := range fields {
		if f.section == kind && f.required && !seen[f.key] {
			mistakes = append(mistakes, Diagnostic{fault: MissingKey, section: section.Name(), key: f.key, allowed: f.allowed + " (required)"})
		}
	}
	return mistakes
}

func (b *builder) readKey(section, kind, name string, key *ini.Key) Diagnostics {
	f, ok := findField(kind, key.Name())
	if !ok {
		return Diagnostics{{fault: UnknownKey, section: section, key: key.Name(), value: key.Value(), allowed: "a known key of the section"}}
	}
	if len(key.ValueWithShadows()) > 1 {
		return Diagnostics{{fault: DuplicateName, section: section, key: key.Name(), value: key.Value(), allowed: "one value only"}}
	}
	if !f.set(b, name, key.Value()) {
		return Diagnostics{{fault: InvalidValue, section: section, key: key.Name(), value: key.Value(), allowed: f.allowed}}
	}
	return nil
}

func knownSection(kind string) bool {
	for _, f := range fields {
		if f.section == kind {
			return true
		}
	}
	return false
}

// link resolves the names that sections use for each other.
func (b *builder) link() (mistakes Diagnostics) {
	if _, ok := b.presets.Get(b.force); !ok && b.force != "" {
		mistakes = append(mistakes, Diagnostic{fault: UnresolvedReference, section: sectionDocument, key: "preset", value: b.force, allowed: "the name of a preset section"})
	}
	for _, t := range b.targets.All() {
		mistakes = append(mistakes, b.linkPool("target "+t.name, t.pool)...)
	}
	for _, s := range b.stages.All() {
		mistakes = append(mistakes, b.linkPool("stage "+s.name, s.pool)...)
	}
	for _, p := range b.pipelines.All() {
		mistakes = append(mistakes, b.linkStages(p)...)
	}
	return mistakes
}

func (b *builder) linkPool(section, pool string) Diagnostics {
	if _, ok := b.pools.Get(pool); !ok && pool != "" {
		return Diagnostics{{fault: UnresolvedReference, section: section, key: "pool", value: pool, allowed: "the name of a pool section"}}
	}
	return nil
}

func (b *builder) linkStages(p *Pipeline) (mistakes Diagnostics) {
	used := make(map[string]bool)
	for _, name := range b.chains[p.name] {
		s, ok := b.stages.Get(name)
		if !ok || used[name] {
			mistakes = append(mistakes, Diagnostic{fault: UnresolvedReference, section: "pipeline " + p.name, key: "stages", value: name, allowed: "the name of a stage section, each at most once"})
			continue
		}
		used[name] = true
		p.stages = append(p.stages, *s)
	}
	return mistakes
}
