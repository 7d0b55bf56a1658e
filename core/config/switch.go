package config

import (
	"bytes"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Switch returns raw with the given preset in force and every other byte as it was,
// comments and order included. It refuses a document with mistakes and an unknown preset.
func SwitchPreset(raw []byte, preset string) (switched []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	d, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(d.PresetNames(), preset) {
		return nil, Diagnostics{{
			fault: UnresolvedReference, section: sectionDocument, key: "preset", value: preset,
			allowed: "one of " + strings.Join(d.PresetNames(), ", "),
		}}
	}
	if preset == d.force {
		return append([]byte(nil), raw...), nil
	}
	at, ok := findForce(raw, d.force)
	if !ok {
		return nil, errs.New("the line that names the preset in force was not found")
	}
	switched = slices.Concat(raw[:at], []byte(preset), raw[at+len(d.force):])
	// Reading the result back guards against a spelling of the line that findForce does not
	// know, for example a value over several lines.
	after, err := Parse(switched)
	if err != nil {
		return nil, err
	}
	if after.force != preset {
		return nil, errs.New("the preset in force is %s after the switch", after.force)
	}
	return switched, nil
}

// findForce returns the offset of the name of the preset in force.
func findForce(raw []byte, name string) (at int, ok bool) {
	section, offset := "", 0
	for line := range bytes.Lines(raw) {
		text := strings.TrimSpace(string(line))
		key, value, found := strings.Cut(string(line), "=")
		switch {
		case strings.HasPrefix(text, "["):
			section = strings.TrimSpace(strings.Trim(text, "[]"))
		case section == sectionDocument && found && strings.Trim(key, " \t\"`") == "preset":
			i := strings.Index(value, name)
			return offset + len(key) + 1 + i, i >= 0
		}
		offset += len(line)
	}
	return 0, false
}
