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

// Error is the class of all errors that this package returns.
var Error = errs.Class("document")

// MaxBytes is the size limit of a document. It is the largest value that the configuration
// service can store.
const MaxBytes = 1 << 20

// Diagnostic describes one validation error of a document.
type Diagnostic struct {
	code    Code
	section string
	key     string
	value   string
	allowed string
}

// Code returns the kind of the error.
func (d Diagnostic) Code() Code { return d.code }

// Section returns the section that contains the error.
func (d Diagnostic) Section() string { return d.section }

// Key returns the key that the error is about, or "" if it concerns the whole section.
func (d Diagnostic) Key() string { return d.key }

// Value returns the value that was rejected, or "" if the key is missing.
func (d Diagnostic) Value() string { return d.value }

// Allowed describes the values that are accepted.
func (d Diagnostic) Allowed() string { return d.allowed }

// String returns the error on one line.
func (d Diagnostic) String() string {
	if d.key == "" {
		return fmt.Sprintf("[%s]: allowed: %s", d.section, d.allowed)
	}
	return fmt.Sprintf("[%s] %s = %q: allowed: %s", d.section, d.key, d.value, d.allowed)
}

// Diagnostics is the error that Parse returns for an invalid document.
type Diagnostics = diagnostic.List[Diagnostic]

// Document is a valid configuration. It is immutable after Parse.
type Document struct {
	hash [sha256.Size]byte
	raw  []byte
	// activePreset is a key of presets.
	activePreset string
	// modelLoadsPerMinute limits the model loads from the weight store; at least 1.
	modelLoadsPerMinute int
	presets             *sortedmap.Map[string, *Preset]
	workspaces          *sortedmap.Map[string, *Workspace]
	pools               *sortedmap.Map[string, *Pool]
	targets             *sortedmap.Map[string, *Target]
	pipelines           *sortedmap.Map[string, *Pipeline]
}

// Raw returns the bytes that the document was parsed from.
func (d *Document) Raw() []byte { return d.raw }

// Hash returns the SHA-256 hash of the bytes that the document was parsed from.
func (d *Document) Hash() [sha256.Size]byte { return d.hash }

// ActivePreset returns the preset that the document puts into effect.
func (d *Document) ActivePreset() Preset {
	p, _ := d.presets.Get(d.activePreset)
	return *p
}

// ModelLoadsPerMinute returns how many model loads per minute the weight store can serve to
// all engines together.
func (d *Document) ModelLoadsPerMinute() int { return d.modelLoadsPerMinute }

// FindPreset returns the preset with the given name.
func (d *Document) FindPreset(name string) (p Preset, ok bool) { return lookup(d.presets, name) }

// PresetNames returns the names of all presets in sorted order.
func (d *Document) PresetNames() []string { return d.presets.Keys() }

// Pipeline returns the pipeline with the given name.
func (d *Document) Pipeline(name string) (p Pipeline, ok bool) { return lookup(d.pipelines, name) }

// Pipelines returns all pipelines, sorted by name.
func (d *Document) Pipelines() []Pipeline { return values(d.pipelines) }

// Workspace returns the workspace with the given name.
func (d *Document) Workspace(name string) (w Workspace, ok bool) { return lookup(d.workspaces, name) }

// Workspaces returns all workspaces, sorted by name.
func (d *Document) Workspaces() []Workspace { return values(d.workspaces) }

// Pool returns the pool with the given name.
func (d *Document) Pool(name string) (p Pool, ok bool) { return lookup(d.pools, name) }

// Pools returns all pools, sorted by name.
func (d *Document) Pools() []Pool { return values(d.pools) }

// Targets returns all targets, sorted by name.
func (d *Document) Targets() []Target { return values(d.targets) }

func lookup[V any](m *sortedmap.Map[string, *V], name string) (v V, ok bool) {
	p, ok := m.Get(name)
	if !ok {
		return v, false
	}
	return *p, true
}

func values[V any](m *sortedmap.Map[string, *V]) []V {
	list := make([]V, 0, m.Len())
	for _, v := range m.All() {
		list = append(list, *v)
	}
	return list
}

// loadOptions make the INI reader keep duplicate sections and keys separate, so that
// validation reports them. By default, the reader merges them silently.
var loadOptions = ini.LoadOptions{
	KeyValueDelimiters: "=", IgnoreContinuation: true, AllowNonUniqueSections: true,
	AllowShadows: true, AllowDuplicateShadowValues: true, PreserveEmptyShadowValues: true,
}

// Parse validates raw and returns the document. If the document is invalid, the error wraps
// a Diagnostics value with all validation errors.
func Parse(raw []byte) (d *Document, err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(raw) > MaxBytes {
		return nil, Diagnostics{{code: TooLarge, section: sectionDocument, allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	file, err := ini.LoadSources(loadOptions, raw)
	if err != nil {
		return nil, Diagnostics{{code: InvalidSyntax, section: sectionDocument, value: err.Error(), allowed: "sections and keys in INI syntax"}}
	}
	b := newBuilder()
	diagnostics := b.readSections(file)
	diagnostics = append(diagnostics, b.resolveReferences()...)
	if len(diagnostics) > 0 {
		return nil, diagnostics
	}
	return &Document{
		hash: sha256.Sum256(raw), raw: append([]byte(nil), raw...), activePreset: b.activePreset, modelLoadsPerMinute: b.modelLoadsPerMinute,
		presets: b.presets, workspaces: b.workspaces, pools: b.pools,
		targets: b.targets, pipelines: b.pipelines,
	}, nil
}

// readSections sets all fields and reports duplicate and unknown sections and keys, values
// out of range and missing keys.
func (b *builder) readSections(file *ini.File) (diagnostics Diagnostics) {
	seen := make(map[string]bool)
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if seen[section.Name()] {
			diagnostics = append(diagnostics, Diagnostic{code: DuplicateName, section: section.Name(), allowed: "one section of this name only"})
			continue
		}
		seen[section.Name()] = true
		diagnostics = append(diagnostics, b.readSection(section)...)
	}
	if !seen[sectionDocument] {
		diagnostics = append(diagnostics, Diagnostic{code: MissingKey, section: sectionDocument, key: "preset", allowed: "the name of a preset section (required)"})
	}
	return diagnostics
}

func (b *builder) readSection(section *ini.Section) (diagnostics Diagnostics) {
	kind, name, _ := strings.Cut(section.Name(), " ")
	if !knownSection(kind) || (kind == sectionDocument) != (name == "") || strings.ContainsAny(name, " ,\t") {
		return Diagnostics{{code: UnknownSection, section: section.Name(), allowed: "document, or one of preset, workspace, pool, target, stage, pipeline with a name of one word"}}
	}
	b.addEntity(kind, name)
	seen := make(map[string]bool)
	for _, key := range section.Keys() {
		seen[key.Name()] = true
		diagnostics = append(diagnostics, b.readKey(section.Name(), kind, name, key)...)
	}
	for _, f := range fields {
		if f.section == kind && f.required && !seen[f.key] {
			diagnostics = append(diagnostics, Diagnostic{code: MissingKey, section: section.Name(), key: f.key, allowed: f.allowed + " (required)"})
		}
	}
	return diagnostics
}

func (b *builder) readKey(section, kind, name string, key *ini.Key) Diagnostics {
	f, ok := findField(kind, key.Name())
	if !ok {
		return Diagnostics{{code: UnknownKey, section: section, key: key.Name(), value: key.Value(), allowed: "a known key of the section"}}
	}
	if len(key.ValueWithShadows()) > 1 {
		return Diagnostics{{code: DuplicateName, section: section, key: key.Name(), value: key.Value(), allowed: "one value only"}}
	}
	if !f.set(b, name, key.Value()) {
		return Diagnostics{{code: InvalidValue, section: section, key: key.Name(), value: key.Value(), allowed: f.allowed}}
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

// resolveReferences resolves the names by which sections refer to other sections, and
// reports names that do not exist.
func (b *builder) resolveReferences() (diagnostics Diagnostics) {
	if _, ok := b.presets.Get(b.activePreset); !ok && b.activePreset != "" {
		diagnostics = append(diagnostics, Diagnostic{code: UnresolvedReference, section: sectionDocument, key: "preset", value: b.activePreset, allowed: "the name of a preset section"})
	}
	for _, t := range b.targets.All() {
		diagnostics = append(diagnostics, b.checkPool("target "+t.name, t.pool)...)
	}
	for _, s := range b.stages.All() {
		diagnostics = append(diagnostics, b.checkPool("stage "+s.name, s.pool)...)
	}
	for _, p := range b.pipelines.All() {
		diagnostics = append(diagnostics, b.resolveStages(p)...)
	}
	return diagnostics
}

func (b *builder) checkPool(section, pool string) Diagnostics {
	if _, ok := b.pools.Get(pool); !ok && pool != "" {
		return Diagnostics{{code: UnresolvedReference, section: section, key: "pool", value: pool, allowed: "the name of a pool section"}}
	}
	return nil
}

func (b *builder) resolveStages(p *Pipeline) (diagnostics Diagnostics) {
	used := make(map[string]bool)
	for _, name := range b.stageNames[p.name] {
		s, ok := b.stages.Get(name)
		if !ok || used[name] {
			diagnostics = append(diagnostics, Diagnostic{code: UnresolvedReference, section: "pipeline " + p.name, key: "stages", value: name, allowed: "the name of a stage section, each at most once"})
			continue
		}
		used[name] = true
		p.stages = append(p.stages, *s)
	}
	return diagnostics
}
