package cli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const minimalTrace = `config [document]
config preset = ordinary
config [preset ordinary]
config [workspace thun]
config share = 1
config [pool engines]
config kind = engine
config [target engine1]
config pool = engines
config address = 127.0.0.1:20001
config zone = a
config [stage generate]
config pool = engines
config [pipeline summary]
config stages = generate
config deadline = 3s
network 1 1
rate engines 100 0 0 0 0 0
request 0 thun summary 0 0 1000 - idempotent
`

// runReplay runs the subcommand on a trace and returns all that it printed.
func runReplay(t *testing.T, text string, arguments ...string) (code int, out string) {
	t.Helper()
	code, out, errOut := run("", append([]string{"replay", "--trace", writeFile(t, text)}, arguments...)...)
	return code, out + errOut
}

// TestReplayCodes guards against a missed objective or an invalid trace that scripts cannot
// tell from success by the exit code.
func TestReplayCodes(t *testing.T) {
	for _, c := range []struct {
		name, line string
		code       int
		text       string
	}{
		{"met", "expect short - <= 150", 0, "met"},
		{"missed", "expect short - <= 50", 1, "MISSED"},
		{"invalid", "expect short - <= -1", 2, "line 20: bound"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out := runReplay(t, minimalTrace+c.line+"\n")
			is.Equal(code, c.code)
			is.True(strings.Contains(out, c.text))
		})
	}
}

// TestReplayCompare guards against a comparison that leaves out a policy.
func TestReplayCompare(t *testing.T) {
	is := is.New(t)
	code, out := runReplay(t, minimalTrace, "--compare")
	is.Equal(code, 0)
	for _, name := range []string{"full", "baseline", "no-admit", "no-fair", "no-separate", "no-choice", "no-affinity", "no-adapt", "no-detect", "no-budget", "no-hedge"} {
		is.True(strings.Contains(out, "\n"+name+" "))
	}
}

// TestReplayFormat guards against documentation of the trace format that differs from the
// registries of the parser.
func TestReplayFormat(t *testing.T) {
	is := is.New(t)
	code, out := runReplay(t, "", "--format")
	is.Equal(code, 0)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "trace.md"))
	is.NoErr(err)
	is.True(strings.HasSuffix(string(page), out)) // docs/trace.md ends with the output of replay --format
}
