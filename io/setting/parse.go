package setting

import (
	"fmt"
	"os"

	"gopkg.in/ini.v1"

	"sassafrasward/core/diagnostic"
)

// Diagnostic describes one validation error of a settings file.
type Diagnostic struct {
	section string
	key     string
	value   string
	allowed string
}

// Section returns the section of the error.
func (d Diagnostic) Section() string { return d.section }

// Key returns the key of the error; empty if it concerns the section or file as a whole.
func (d Diagnostic) Key() string { return d.key }

// Value returns the invalid value; empty for a missing key.
func (d Diagnostic) Value() string { return d.value }

// Allowed describes the allowed values.
func (d Diagnostic) Allowed() string { return d.allowed }

// String returns the diagnostic on one line.
func (d Diagnostic) String() string {
	return fmt.Sprintf("[%s] %s = %q: allowed: %s", d.section, d.key, d.value, d.allowed)
}

// Diagnostics is the error that Load and Parse return for an invalid file.
type Diagnostics = diagnostic.List[Diagnostic]

// iniOptions make the INI reader keep duplicate sections and keys instead of merging them, so
// that they can be reported.
var iniOptions = ini.LoadOptions{
	KeyValueDelimiters: "=", IgnoreContinuation: true, AllowNonUniqueSections: true,
	AllowShadows: true, AllowDuplicateShadowValues: true, PreserveEmptyShadowValues: true,
}

// Load reads and checks the settings file at path.
func Load(path string) (s Settings, err error) {
	defer func() { err = Error.Wrap(err) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return parse(raw)
}

// Parse parses and checks the settings in raw. For an invalid file, the error wraps a Diagnostics
// value.
func Parse(raw []byte) (s Settings, err error) {
	defer func() { err = Error.Wrap(err) }()
	return parse(raw)
}

func parse(raw []byte) (s Settings, err error) {
	file, err := ini.LoadSources(iniOptions, raw)
	if err != nil {
		return Settings{}, Diagnostics{{value: err.Error(), allowed: "sections and keys in INI syntax"}}
	}
	values, diagnostics := readValues(file)
	for _, k := range keys {
		value := values[[2]string{k.section, k.name}]
		if value == "" {
			value = k.defaultValue
		}
		if !k.set(&s, value) {
			diagnostics = append(diagnostics, Diagnostic{section: k.section, key: k.name, value: value, allowed: k.allowed})
		}
	}
	if len(diagnostics) > 0 {
		return Settings{}, diagnostics
	}
	return s, nil
}

// readValues returns the values by section and key, and diagnostics for sections and keys that are
// unknown or appear more than once.
func readValues(file *ini.File) (values map[[2]string]string, diagnostics Diagnostics) {
	values = make(map[[2]string]string)
	seen := make(map[string]bool)
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !isKnown(name, "") {
			diagnostics = append(diagnostics, Diagnostic{section: name, allowed: "a known section"})
			continue
		}
		if seen[name] {
			diagnostics = append(diagnostics, Diagnostic{section: name, allowed: "one section of this name only"})
			continue
		}
		seen[name] = true
		for _, key := range section.Keys() {
			values[[2]string{name, key.Name()}] = key.Value()
			if !isKnown(name, key.Name()) {
				diagnostics = append(diagnostics, Diagnostic{section: name, key: key.Name(), value: key.Value(), allowed: "a known key of the section"})
			}
			if len(key.ValueWithShadows()) > 1 {
				diagnostics = append(diagnostics, Diagnostic{section: name, key: key.Name(), value: key.Value(), allowed: "one value only"})
			}
		}
	}
	return values, diagnostics
}

// isKnown reports whether the registry has the key or, if the name is empty, the section.
func isKnown(section, name string) bool {
	for _, k := range keys {
		if k.section == section && (k.name == name || name == "") {
			return true
		}
	}
	return false
}
