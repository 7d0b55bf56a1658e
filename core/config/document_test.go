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

// TestParse guards against a valid document that is refused or read wrongly.
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

// TestRefuse guards against a document with a mistake that is accepted, or refused without
// its section, key and kind of mistake.
func TestRefuse(t *testing.T) {
	for name, c := range map[string]struct {
		old, new     string
		fault        config.Code
		section, key string
	}{
		"not INI":              {old: "[preset ordinary]", new: "[preset", fault: config.InvalidSyntax, section: "document"},
		"line without value":   {old: "share = 3", new: "share", fault: config.InvalidSyntax, section: "document"},
		"empty":                {old: valid, new: "", fault: config.MissingKey, section: "document", key: "preset"},
		"too large":            {old: valid, new: valid + strings.Repeat("#", config.MaxBytes), fault: config.TooLarge, section: "document"},
		"unknown section":      {old: "[pool engines]", new: "[pond engines]", fault: config.UnknownSection, section: "pond engines"},
		"section without name": {old: "[preset peak]", new: "[preset]", fault: config.UnknownSection, section: "preset"},
		"key before sections":  {old: "# steered", new: "share = 1\n#", fault: config.UnknownSection, section: "DEFAULT"},
		"unknown key":          {old: "retry = 2", new: "retries = 2", fault: config.UnknownKey, section: "preset peak", key: "retries"},
		"number out of range":  {old: "retry = 2", new: "retry = 101", fault: config.InvalidValue, section: "preset peak", key: "retry"},
		"not a number":         {old: "share = 3", new: "share = 3x", fault: config.InvalidValue, section: "workspace thun", key: "share"},
		"unknown kind":         {old: "kind = engine", new: "kind = motor", fault: config.InvalidValue, section: "pool engines", key: "kind"},
		"name as address":      {old: "127.0.0.1:7001", new: "localhost:7001", fault: config.InvalidValue, section: "target s1", key: "address"},
		"address without port": {old: "127.0.0.1:7001", new: "127.0.0.1", fault: config.InvalidValue, section: "target s1", key: "address"},
		"port 0":               {old: "127.0.0.1:7001", new: "127.0.0.1:0", fault: config.InvalidValue, section: "target s1", key: "address"},
		"any address":          {old: "127.0.0.1:7001", new: "0.0.0.0:7001", fault: config.InvalidValue, section: "target s1", key: "address"},
		"deadline of zero":     {old: "deadline = 3s", new: "deadline = 0s", fault: config.InvalidValue, section: "pipeline lookup", key: "deadline"},
		"missing key":          {old: "zone = a\n", fault: config.MissingKey, section: "target s1", key: "zone"},
		"missing preset":       {old: "preset = ordinary ; in force\n", fault: config.MissingKey, section: "document", key: "preset"},
		"duplicate section":    {old: "[preset peak]", new: "[preset ordinary]", fault: config.DuplicateName, section: "preset ordinary"},
		"duplicate key":        {old: "share = 3", new: "share = 3\nshare = 4", fault: config.DuplicateName, section: "workspace thun", key: "share"},
		"duplicate equal key":  {old: "share = 3", new: "share = 3\nshare = 3", fault: config.DuplicateName, section: "workspace thun", key: "share"},
		"duplicate empty key":  {old: "share = 3", new: "share = 3\nshare =", fault: config.DuplicateName, section: "workspace thun", key: "share"},
		"unknown preset":       {old: "preset = ordinary ;", new: "preset = absent ;", fault: config.UnresolvedReference, section: "document", key: "preset"},
		"unknown pool":         {old: "[target s1]\npool = services", new: "[target s1]\npool = x", fault: config.UnresolvedReference, section: "target s1", key: "pool"},
		"unknown stage":        {old: "read, write", new: "read, x", fault: config.UnresolvedReference, section: "pipeline lookup", key: "stages"},
		"repeated stage":       {old: "read, write", new: "read, read", fault: config.UnresolvedReference, section: "pipeline lookup", key: "stages"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old))
			_, err := config.Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			var mistakes config.Diagnostics
			is.True(errors.As(err, &mistakes))
			m := mistakes[0]
			is.Equal(m.Code(), c.fault)
			is.Equal(m.Section(), c.section)
			is.Equal(m.Key(), c.key)
			is.True(m.Allowed() != "")
		})
	}
}

// TestSwitch guards against a preset switch that changes anything else, and against a
// switch to a preset that does not exist.
func TestSwitch(t *testing.T) {
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

// TestVersion guards against an order of versions in which two hosts could each hold the
// other's document for older.
func TestVersion(t *testing.T) {
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

// FuzzParse guards against a panic, against acceptance that depends on more than the
// bytes, and against a preset switch that loses something.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[document]\npreset = \"\"\"p\n\"\"\"\n[preset p]\n[preset q]"))
	f.Add([]byte("[document]\npreset = `p`\n[preset p]\nretry = %(retry)s\n[preset q]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := config.Parse(raw)
		if err != nil {
			var mistakes config.Diagnostics
			if !errors.As(err, &mistakes) || len(mistakes) == 0 {
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
