package setting

import (
	"fmt"
	"os"

	"gopkg.in/ini.v1"

	"sassafrasward/core/diagnostic"
)

// Mistake is one thing that is wrong with a settings file.
type Diagnostic struct {
	section string
	key     string
	value   string
	allowed string
}

// Section returns the section that the mistake is in.
func (m Diagnostic) Section() string { return m.section }

// Key returns the key that the mistake is in; empty for the section or file as a whole.
func (m Diagnostic) Key() string { return m.key }

// Value returns the value that is not allowed; empty for a missing key.
func (m Diagnostic) Value() string { return m.value }

// Allowed states what would be right.
func (m Diagnostic) Allowed() string { return m.allowed }

// String returns the mistake on one line.
func (m Diagnostic) String() string {
	return fmt.Sprintf("[%s] %s = %q: allowed: %s", m.section, m.key, m.value, m.allowed)
}

// Mistakes is the error that Load and Parse return for a file with mistakes.
type Diagnostics = diagnostic.List[Diagnostic]

// options make the INI reader keep duplicate sections and keys apart, so that they are
// found instead of merged.
var options = ini.LoadOptions{
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

// Parse checks the settings in raw. The error holds a Mistakes value.
func Parse(raw []byte) (s Settings, err error) {
	defer func() { err = Error.Wrap(err) }()
	return parse(raw)
}

func parse(raw []byte) (s Settings, err error) {
	file, err := ini.LoadSources(options, raw)
	if err != nil {
		return Settings{}, Diagnostics{{value: err.Error(), allowed: "sections and keys in INI syntax"}}
	}
	values, mistakes := read(file)
	for _, k := range keys {
		value := values[[2]string{k.section, k.name}]
		if value == "" {
			value = k.fallback
		}
		if !k.set(&s, value) {
			mistakes = append(mistakes, Diagnostic{section: k.section, key: k.name, value: value, allowed: k.allowed})
		}
	}
	if len(mistakes) > 0 {
		return Settings{}, mistakes
	}
	return s, nil
}

// read returns the values by section and key, and reports what is unknown or appears
// more than once.
func read(file *ini.File) (values map[[2]string]string, mistakes Diagnostics) {
	values = make(map[[2]string]string)
	seen := make(map[string]bool)
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !known(name, "") {
			mistakes = append(mistakes, Diagnostic{section: name, allowed: "a known section"})
			continue
		}
		if seen[name] {
			mistakes = append(mistakes, Diagnostic{section: name, allowed: "one section of this name only"})
			continue
		}
		seen[name] = true
		for _, key := range section.Keys() {
			values[[2]string{name, key.Name()}] = key.Value()
			if !known(name, key.Name()) {
				mistakes = append(mistakes, Diagnostic{section: name, key: key.Name(), value: key.Value(), allowed: "a known key of the section"})
			}
			if len(key.ValueWithShadows()) > 1 {
				mistakes = append(mistakes, Diagnostic{section: name, key: key.Name(), value: key.Value(), allowed: "one value only"})
			}
		}
	}
	return values, mistakes
}

// known reports whether the registry has the key; with an empty name, the section.
func known(section, name string) bool {
	for _, k := range keys {
		if k.section == section && (k.name == name || name == "") {
			return true
		}
	}
	return false
}
