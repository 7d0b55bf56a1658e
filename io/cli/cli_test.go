package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/cli"
	"sassafrasward/io/daemon"
	"sassafrasward/io/wire"
)

const (
	configuration = "# steer\n[document]\npreset = ordinary\n[preset ordinary]\n[preset peak]\nretry = 2\n"
	settings      = "[host]\nname = e1\nzone = a\ncaller = 10.0.0.1:1\npeer = 10.0.0.1:2\n[platform]\naddress = 10.0.0.2:1\n"
)

func run(in string, arguments ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cli.Run(context.Background(), arguments, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// published is a configuration of a platform with routes.
const published = `{"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/p/","kind":"idempotent","timeoutMs":4000,"sloMs":300,"service":"s","maxAttempts":2}],"services":[{"name":"s","maxConnections":5}],"limits":{}}`

// TestExitCodes guards against exit codes other than the documented ones, and against a
// diagnostic that is printed without file, section, key, value and allowed range.
func TestExitCodes(t *testing.T) {
	good, bad := writeFile(t, settings), writeFile(t, strings.Replace(settings, "10.0.0.2:1", "x", 1))
	for name, c := range map[string]struct {
		in   string
		args []string
		code int
		want []string
	}{
		"no command":    {code: 2},
		"help":          {args: []string{"check", "--help"}, want: []string{"sassafrasward check --settings host.ini"}},
		"check nothing": {args: []string{"check"}, code: 2},
		"check absent":  {args: []string{"check", "--config", "/nonexistent"}, code: 1},
		"good settings": {args: []string{"check", "--settings", good}},
		"bad settings":  {args: []string{"check", "--settings", bad}, code: 2, want: []string{bad, "[platform]", "address", `"x"`, "an IP address and port other than 0"}},
		"serve bad":     {args: []string{"serve", "--settings", bad}, code: 2, want: []string{bad, "[platform]"}},
		"good config":   {in: configuration, args: []string{"check", "--config", "-"}},
		"bad config":    {in: configuration + "hedge = 101\n", args: []string{"check", "--config", "-"}, code: 2, want: []string{"-:", "[preset peak]", "hedge", `"101"`, "0 to 100 (percent)"}},
		"both bad":      {in: "[x]\n", args: []string{"check", "--config", "-", "--settings", bad}, code: 2, want: []string{bad, "[x]"}},
		"bad published": {in: `{"version":3,
"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"odd"}]}`, args: []string{"check", "--published", "-"}, code: 2, want: []string{`error: routes[0] "r": route "r" has the unknown kind "odd"`}},
		"broken published":  {in: "{\n\"version\": x}", args: []string{"check", "--published", "-"}, code: 2, want: []string{"error: line 2, column"}},
		"good published":    {in: published, args: []string{"check", "--published", "-", "--json"}, want: []string{`"findings": []`}},
		"published changes": {in: strings.NewReplacer(`"version":3`, `"version":4`, `"timeoutMs":4000`, `"timeoutMs":5000`).Replace(published), args: []string{"check", "--published", "-", "--inforce", writeFile(t, published)}, want: []string{`route "r": changed: Timeout: 4s -> 5s`}},
		"published again":   {in: published, args: []string{"check", "--published", "-", "--inforce", writeFile(t, published)}, code: 2, want: []string{"error: version: 3 does not replace version 3"}},
		"no store":          {in: published, args: []string{"check", "--published", "-", "--store", "127.0.0.1:1"}, code: 1, want: []string{"configuration in force"}},
		"json alone":        {args: []string{"check", "--config", "-", "--json"}, code: 2},
		"preset unknown":    {in: configuration, args: []string{"preset", "--config", "-", "absent"}, code: 2, want: []string{`"absent"`, "ordinary, peak"}},
		"preset broken":     {in: "[", args: []string{"preset", "--config", "-", "peak"}, code: 2},
		"preset sourceless": {args: []string{"preset", "peak"}, code: 2},
		"status no host":    {args: []string{"status"}, code: 2},
		"status silent":     {args: []string{"status", "--host", "127.0.0.1:1"}, code: 1},
		"call not JSON":     {args: []string{"call", "--host", "127.0.0.1:1", "--workspace", "w", "--input", "{", "p"}, code: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := run(c.in, c.args...)
			is.Equal(code, c.code)
			for _, text := range c.want {
				is.True(strings.Contains(out+errOut, text))
			}
		})
	}
}

// TestPresetSwitch guards against a switch that changes more than the active preset.
func TestPresetSwitch(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, wire.PathConfig)
		_, _ = w.Write([]byte(configuration))
	}))
	defer server.Close()
	want := strings.Replace(configuration, "preset = ordinary", "preset = peak", 1)
	code, out, _ := run(configuration, "preset", "--config", "-", "peak")
	is.Equal(code, 0)
	is.Equal(out, want)
	code, out, _ = run("", "preset", "--host", server.Listener.Addr().String(), "peak")
	is.Equal(code, 0)
	is.Equal(out, want)
}

// TestStatusFleet guards against a fleet report that leaves out members, and against an
// unresponsive member that aborts the report or counts as success.
func TestStatusFleet(t *testing.T) {
	is := is.New(t)
	s := daemon.Status{
		Host: "e1", State: daemon.StateServing, Preset: "peak", Version: "7-00",
		Members: []daemon.Member{{Host: "e1", Address: "127.0.0.1:2"}, {Host: "e2", Address: "127.0.0.1:1", State: wire.StateLive}},
		Pools: []daemon.Pool{{Pool: "engines", Queued: 4, Targets: []daemon.Target{
			{Target: "t1", State: wire.StateLeaving, Inflight: 2, Slots: 8},
		}}},
		Counters: map[string]int64{"refusal.late": 3},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()

	code, out, _ := run("", "status", "--host", address)
	is.Equal(code, 0)
	for _, text := range []string{"peak", "7-00", "member e2", "queued 4", "target t1", "leaving", "in flight 2 of 8", "refusal.late"} {
		is.True(strings.Contains(out, text))
	}
	code, out, errOut := run("", "status", "--host", address, "--fleet", "--json")
	is.Equal(code, 1) // e2 does not answer
	is.True(strings.Contains(errOut, "127.0.0.1:1"))
	var reports []struct {
		Error  string
		Status *daemon.Status
	}
	is.NoErr(json.Unmarshal([]byte(out), &reports))
	is.Equal(len(reports), 2)
	is.Equal(reports[0].Status.Pools[0].Queued, 4)
	is.True(reports[1].Error != "")
}

// TestDemo guards against a demo that fails, does not end, or leaves out a feature.
func TestDemo(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("", "demo")
	is.Equal(code, 0)
	for _, text := range []string{
		"a damage summary, streamed: done", "an inspection report: done", "not-run workspace",
		"runs in the targets' ledgers: 1", "model order to assistants2: models [summary]",
		"not-run closed maintenance", "a report of 300 tokens through the planned stop of host demo1: done",
		"an availability check after the stop: done",
	} {
		is.True(strings.Contains(out, text))
	}
}
