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

// TestParse guards against defaults and values that are not the documented ones.
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

// TestRefuse guards against a settings file with a mistake that is accepted, or refused
// without the section and key of the mistake.
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
			var mistakes setting.Diagnostics
			is.True(errors.As(err, &mistakes))
			is.Equal(len(mistakes), 1)
			is.Equal(mistakes[0].Section(), c.section)
			is.Equal(mistakes[0].Key(), c.key)
			is.True(mistakes[0].Allowed() != "")
		})
	}
}

// FuzzParse guards against a panic and against an error that names no mistake.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[host]\nname = %(name)s\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := setting.Parse(raw)
		var mistakes setting.Diagnostics
		if err != nil && (!errors.As(err, &mistakes) || len(mistakes) == 0) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && (s.Host() == "" || s.PlatformAddress() == "") {
			t.Fatalf("%q accepted", raw)
		}
	})
}

// TestGather guards against hosts that learn of a change later than it has to be applied, or
// that read the store more often than the bounds ask for.
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
