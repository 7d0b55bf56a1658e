package setting_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/setting"
)

const valid = `[host]
name = e1
zone = a
caller = 10.0.0.1:8101
peer = 10.0.0.1:8102
[platform]
address = 10.0.1.1:8200
`

// TestParse guards against defaults and parsed values that differ from the documented ones.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := setting.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(s.Host(), "e1")
	is.Equal(s.CallerAddress(), "10.0.0.1:8101")
	is.Equal(s.DrainTimeout(), 10*time.Minute)
	is.Equal(s.MaxBodyBytes(), 1<<20)
	is.Equal(s.StandaloneStart(), false)
	is.Equal(len(s.Seeds()), 0)
	s, err = setting.Parse([]byte(valid + "[join]\nmode = alone\nseeds = 10.0.0.2:8102, [::1]:8102\n"))
	is.NoErr(err)
	is.True(s.StandaloneStart())
	is.Equal(s.Seeds(), []string{"10.0.0.2:8102", "[::1]:8102"})
}

// TestZones guards against settings of deployments without evacuations and regions that switch something on, as the
// template renders them, and against wrong regions.
func TestZones(t *testing.T) {
	is := is.New(t)
	s, err := setting.Parse([]byte(valid + "[edge]\nregion = \nzones = \n\n"))
	is.NoErr(err)
	is.Equal(s.Limits().MaxEvacuationDelay, time.Duration(0))
	is.Equal(s.Region(), "")
	is.Equal(len(s.ZoneRegions()), 0)
	s, err = setting.Parse([]byte(valid + "[edge]\nregion = north\nzones = a:north,b:south\nevacuate = 5000\n"))
	is.NoErr(err)
	is.Equal(s.Limits().MaxEvacuationDelay, 5*time.Second)
	is.Equal(s.Region(), "north")
	is.Equal(s.ZoneRegions(), map[string]string{"a": "north", "b": "south"})
	for _, zones := range []string{"a", "a:", ":north", "a:north,a:south", "a:north,"} {
		_, err = setting.Parse([]byte(valid + "[edge]\nzones = " + zones + "\n"))
		is.True(err != nil)
	}
}

// TestInvalidSettings guards against accepting an invalid settings file, and against a diagnostic
// without the section and key of the error.
func TestInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct{ old, new, section, key string }{
		"not INI":           {old: "[host]", new: "[host"},
		"unknown section":   {old: "[platform]", new: "[forum]\nx = 1\n[platform]", section: "forum"},
		"empty section":     {old: "[platform]", new: "[forum]\n[platform]", section: "forum"},
		"unknown key":       {old: "zone = a", new: "zone = a\nrack = 1", section: "host", key: "rack"},
		"missing name":      {old: "name = e1\n", section: "host", key: "name"},
		"name of two words": {old: "e1", new: "e 1", section: "host", key: "name"},
		"host name":         {old: "10.0.0.1:8101", new: "localhost:8101", section: "host", key: "caller"},
		"any address":       {old: "10.0.0.1:8101", new: "0.0.0.0:8101", section: "host", key: "caller"},
		"no port":           {old: "10.0.0.1:8102", new: "10.0.0.1", section: "host", key: "peer"},
		"port out of range": {old: "10.0.0.1:8102", new: "10.0.0.1:65536", section: "host", key: "peer"},
		"platform port 0":   {old: "10.0.1.1:8200", new: "10.0.1.1:0", section: "platform", key: "address"},
		"short drain":       {old: "zone = a", new: "zone = a\ndrain = 10ms", section: "host", key: "drain"},
		"body with unit":    {old: "zone = a", new: "zone = a\nbody = 1MB", section: "host", key: "body"},
		"unknown mode":      {old: "[platform]", new: "[join]\nmode = any\n[platform]", section: "join", key: "mode"},
		"bad seed":          {old: "[platform]", new: "[join]\nseeds = 10.0.0.2:1, x\n[platform]", section: "join", key: "seeds"},
		"duplicate key":     {old: "zone = a", new: "zone = a\nzone = a", section: "host", key: "zone"},
		"duplicate section": {old: "[platform]", new: "[host]\n[platform]", section: "host"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := setting.Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			var diagnostics setting.Diagnostics
			is.True(errors.As(err, &diagnostics))
			is.Equal(len(diagnostics), 1)
			is.Equal(diagnostics[0].Section(), c.section)
			is.Equal(diagnostics[0].Key(), c.key)
			is.True(diagnostics[0].Allowed() != "")
		})
	}
}

// FuzzParse guards against a panic, an error without diagnostics, and accepting a file without the
// required keys.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[host]\nname = %(name)s\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := setting.Parse(raw)
		var diagnostics setting.Diagnostics
		if err != nil && (!errors.As(err, &diagnostics) || len(diagnostics) == 0) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && (s.Host() == "" || s.PlatformAddress() == "") {
			t.Fatalf("%q accepted", raw)
		}
	})
}

// TestCoalesceDelay guards against a delay so long that hosts apply changes too late, and against
// one so short that they read the store more often than the limits require.
func TestCoalesceDelay(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                             800 * time.Millisecond,
		"leave = 3000\napply = 3000\n": 1200 * time.Millisecond,
		"leave = 3000\napply = 1000\n": 400 * time.Millisecond,
		"leave = 500\n":                200 * time.Millisecond,
	} {
		is := is.New(t)
		s, err := setting.Parse([]byte("[host]\nname = e\nzone = a\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\n[edge]\n" + text + "[platform]\naddress = 127.0.0.1:3\n"))
		is.NoErr(err)
		is.Equal(s.Limits().CoalesceDelay(), want)
	}
}
