package config

import (
	"bytes"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// SwitchPreset returns raw with the given preset as the active one. All other bytes,
// including comments and the order of sections, stay the same. It returns an error if the
// document is invalid or does not contain the preset.
func SwitchPreset(raw []byte, preset string) (switched []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	d, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(d.PresetNames(), preset) {
		return nil, Diagnostics{{
			code: UnresolvedReference, section: sectionDocument, key: "preset", value: preset,
			allowed: "one of " + strings.Join(d.PresetNames(), ", "),
		}}
	}
	if preset == d.activePreset {
		return append([]byte(nil), raw...), nil
	}
	offset, ok := findActivePreset(raw, d.activePreset)
	if !ok {
		return nil, errs.New("the line that names the active preset was not found")
	}
	switched = slices.Concat(raw[:offset], []byte(preset), raw[offset+len(d.activePreset):])
	// findActivePreset does not support every INI spelling of the line, for example a value
	// that spans several lines. Parsing the result detects a wrong replacement.
	after, err := Parse(switched)
	if err != nil {
		return nil, err
	}
	if after.activePreset != preset {
		return nil, errs.New("the active preset is %s after the switch", after.activePreset)
	}
	return switched, nil
}

// findActivePreset returns the byte offset in raw at which the name of the active preset
// begins.
func findActivePreset(raw []byte, name string) (at int, ok bool) {
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
