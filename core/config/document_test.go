package config_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/config"
)

const valid = `# steered by operators
[document]
preset = ordinary ; in force
[preset ordinary]
[preset peak]
retry = 2
[workspace thun]
share = 3
[pool services]
kind = service
[pool engines]
kind = engine
models = a, b
[target s1]
pool = services
address = 127.0.0.1:7001
zone = a
[stage read]
pool = services
[stage write]
pool = services
command = true
[pipeline lookup]
stages = read, write
deadline = 3s
`

// TestParse guards against a valid document that is refused or parsed incorrectly.
func TestParse(t *testing.T) {
	is := is.New(t)
	d, err := config.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(d.ActivePreset().Name(), "ordinary")
	is.Equal(d.ActivePreset().RetryBudget(), 10) // default
	is.Equal(d.PresetNames(), []string{"ordinary", "peak"})
	p, ok := d.Pipeline("lookup")
	is.True(ok)
	is.Equal(len(p.Stages()), 2)
	is.True(p.Command())
	pool, _ := d.Pool("engines")
	is.Equal(pool.Models(), []string{"a", "b"})
	is.Equal(string(d.Raw()), valid)
}

// TestParseErrors guards against an invalid document that is accepted, or refused with the
// wrong section, key or code.
func TestParseErrors(t *testing.T) {
	for name, c := range map[string]struct {
		old, new     string
		code         config.Code
		section, key string
	}{
		"not INI":              {old: "[preset ordinary]", new: "[preset", code: config.InvalidSyntax, section: "document"},
		"line without value":   {old: "share = 3", new: "share", code: config.InvalidSyntax, section: "document"},
		"empty":                {old: valid, new: "", code: config.MissingKey, section: "document", key: "preset"},
		"too large":            {old: valid, new: valid + strings.Repeat("#", config.MaxBytes), code: config.TooLarge, section: "document"},
		"unknown section":      {old: "[pool engines]", new: "[pond engines]", code: config.UnknownSection, section: "pond engines"},
		"section without name": {old: "[preset peak]", new: "[preset]", code: config.UnknownSection, section: "preset"},
		"key before sections":  {old: "# steered", new: "share = 1\n#", code: config.UnknownSection, section: "DEFAULT"},
		"unknown key":          {old: "retry = 2", new: "retries = 2", code: config.UnknownKey, section: "preset peak", key: "retries"},
		"number out of range":  {old: "retry = 2", new: "retry = 101", code: config.InvalidValue, section: "preset peak", key: "retry"},
		"not a number":         {old: "share = 3", new: "share = 3x", code: config.InvalidValue, section: "workspace thun", key: "share"},
		"unknown kind":         {old: "kind = engine", new: "kind = motor", code: config.InvalidValue, section: "pool engines", key: "kind"},
		"name as address":      {old: "127.0.0.1:7001", new: "localhost:7001", code: config.InvalidValue, section: "target s1", key: "address"},
		"address without port": {old: "127.0.0.1:7001", new: "127.0.0.1", code: config.InvalidValue, section: "target s1", key: "address"},
		"port 0":               {old: "127.0.0.1:7001", new: "127.0.0.1:0", code: config.InvalidValue, section: "target s1", key: "address"},
		"any address":          {old: "127.0.0.1:7001", new: "0.0.0.0:7001", code: config.InvalidValue, section: "target s1", key: "address"},
		"deadline of zero":     {old: "deadline = 3s", new: "deadline = 0s", code: config.InvalidValue, section: "pipeline lookup", key: "deadline"},
		"missing key":          {old: "zone = a\n", code: config.MissingKey, section: "target s1", key: "zone"},
		"missing preset":       {old: "preset = ordinary ; in force\n", code: config.MissingKey, section: "document", key: "preset"},
		"duplicate section":    {old: "[preset peak]", new: "[preset ordinary]", code: config.DuplicateName, section: "preset ordinary"},
		"duplicate key":        {old: "share = 3", new: "share = 3\nshare = 4", code: config.DuplicateName, section: "workspace thun", key: "share"},
		"duplicate equal key":  {old: "share = 3", new: "share = 3\nshare = 3", code: config.DuplicateName, section: "workspace thun", key: "share"},
		"duplicate empty key":  {old: "share = 3", new: "share = 3\nshare =", code: config.DuplicateName, section: "workspace thun", key: "share"},
		"unknown preset":       {old: "preset = ordinary ;", new: "preset = absent ;", code: config.UnresolvedReference, section: "document", key: "preset"},
		"unknown pool":         {old: "[target s1]\npool = services", new: "[target s1]\npool = x", code: config.UnresolvedReference, section: "target s1", key: "pool"},
		"unknown stage":        {old: "read, write", new: "read, x", code: config.UnresolvedReference, section: "pipeline lookup", key: "stages"},
		"repeated stage":       {old: "read, write", new: "read, read", code: config.UnresolvedReference, section: "pipeline lookup", key: "stages"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old))
			_, err := config.Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			var diagnostics config.Diagnostics
			is.True(errors.As(err, &diagnostics))
			d := diagnostics[0]
			is.Equal(d.Code(), c.code)
			is.Equal(d.Section(), c.section)
			is.Equal(d.Key(), c.key)
			is.True(d.Allowed() != "")
		})
	}
}

// TestSwitchPreset guards against a preset switch that changes other bytes of the document,
// and against a switch to a preset that does not exist.
func TestSwitchPreset(t *testing.T) {
	for name, c := range map[string]struct{ old, new string }{
		"plain":       {},
		"no blanks":   {old: "preset = ordinary ; in force", new: "preset=ordinary"},
		"quoted":      {old: "preset = ordinary", new: "preset = \"ordinary\""},
		"line breaks": {old: "\n", new: "\r\n"},
		"decoy":       {old: "# steered", new: "# [document] preset = ordinary"},
		"last":        {old: "[document]\npreset = ordinary ; in force\n", new: ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := valid
			if c.old != "" {
				raw = strings.ReplaceAll(valid, c.old, c.new)
			}
			if name == "last" {
				raw += "[document]\npreset = ordinary"
			}
			switched, err := config.SwitchPreset([]byte(raw), "peak")
			is.NoErr(err)
			d, err := config.Parse(switched)
			is.NoErr(err)
			is.Equal(d.ActivePreset().Name(), "peak")
			back, err := config.SwitchPreset(switched, "ordinary")
			is.NoErr(err)
			is.Equal(string(back), raw)
			_, err = config.SwitchPreset([]byte(raw), "absent")
			is.True(err != nil)
		})
	}
	is := is.New(t)
	_, err := config.SwitchPreset([]byte("[document"), "peak")
	is.True(err != nil)
}

// TestVersionOrder guards against an inconsistent order of versions, with which two hosts
// could each consider the other's document older.
func TestVersionOrder(t *testing.T) {
	is := is.New(t)
	low, high := [32]byte{1}, [32]byte{2}
	ordered := []config.Version{
		{}, config.NewVersion(1, high), config.NewVersion(2, low), config.NewVersion(2, high), config.NewVersion(10, low),
	}
	for i, v := range ordered {
		for j, w := range ordered {
			is.Equal(v.Newer(w), i > j)
		}
	}
}

// FuzzParse guards against a panic, against an error without diagnostics, and against a
// preset switch that changes or loses other parts of the document.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[document]\npreset = \"\"\"p\n\"\"\"\n[preset p]\n[preset q]"))
	f.Add([]byte("[document]\npreset = `p`\n[preset p]\nretry = %(retry)s\n[preset q]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := config.Parse(raw)
		if err != nil {
			var diagnostics config.Diagnostics
			if !errors.As(err, &diagnostics) || len(diagnostics) == 0 {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		for _, preset := range d.PresetNames() {
			switched, err := config.SwitchPreset(raw, preset)
			if err != nil {
				continue
			}
			if len(switched)-len(raw) != len(preset)-len(d.ActivePreset().Name()) {
				t.Fatalf("%q became %q", raw, switched)
			}
			if e, err := config.Parse(switched); err != nil || e.ActivePreset().Name() != preset || len(e.PresetNames()) != len(d.PresetNames()) {
				t.Fatalf("%q became %q: %v", raw, switched, err)
			}
		}
	})
}
