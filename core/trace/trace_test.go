package trace_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/trace"
)

const smallTrace = `trace small
config [document]
config preset = ordinary
config [preset ordinary]
config [workspace thun]
config share = 3
config [pool engines]
config kind = engine
config [target engine1]
config pool = engines
config address = 127.0.0.1:20001
config zone = a
config slots = 4
config [stage generate]
config pool = engines
config [stage book]
config pool = engines
config command = true
config [pipeline summary]
config stages = generate
config deadline = 3s
config [pipeline booking]
config stages = book
config deadline = 3s
network 1 1
rate engines 100 1000 100 0 8 500
`

// TestParseErrors guards against an invalid line that is accepted, or reported with the
// wrong line number or field.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		line, field, allowed string
	}{
		{"request 0 thun summary 10 100 3001 - idempotent", "deadline", "at most the deadline of the pipeline"},
		{"request 0 thun summary 10 100 3000 - command", "consequence", "idempotent"},
		{"request 0 thun booking 10 100 3000 - idempotent", "consequence", "command"},
		{"request 0 nobody summary 10 100 3000 - idempotent", "workspace", "workspace"},
		{"request 0 thun absent 10 100 3000 - idempotent", "pipeline", "pipeline"},
		{"request -1 thun summary 10 100 3000 - idempotent", "arrival", "0 to 86400000 (ms)"},
		{"request 0 thun summary 1e3 100 3000 - idempotent", "size", "0 to 1000000"},
		{"request 0 thun summary 10 100 3000 -", "consequence", "required"},
		{"request 0 thun summary 10 100 3000 - idempotent more", "line", "8 fields"},
		{"slow engine2 10 0 100", "target", "target"},
		{"slow engine1 NaN 0 100", "factor", "1 to 1000"},
		{"slow engine1 10 200 100", "to", "not before the start"},
		{"crash engine1 200 100", "to", "not before the start"},
		{"switch 0 absent", "preset", "preset"},
		{"expect speed - >= 1", "measure", "attainment"},
		{"expect attainment nobody >= 1", "subject", "workspace"},
		{"expect attainment - > 1", "comparison", ">="},
		{"expect attainment - >= -1", "bound", "0 to"},
		{"pause 1", "line", "request"},
	} {
		t.Run(c.line, func(t *testing.T) {
			is := is.New(t)
			_, err := trace.Parse([]byte(smallTrace + "# comment\n" + c.line + "\n"))
			var diagnostics trace.Diagnostics
			is.True(errors.As(err, &diagnostics))
			is.Equal(len(diagnostics), 1)
			is.Equal(diagnostics[0].Line(), strings.Count(smallTrace, "\n")+2)
			is.Equal(diagnostics[0].Field(), c.field)
			is.True(strings.Contains(diagnostics[0].Allowed(), c.allowed))
		})
	}
}

// TestArrivalOrder guards against a trace that is accepted although its arrivals decrease.
func TestArrivalOrder(t *testing.T) {
	is := is.New(t)
	_, err := trace.Parse([]byte(smallTrace + "request 5 thun summary 1 1 3000 - idempotent\nrequest 4 thun summary 1 1 3000 - idempotent\n"))
	var diagnostics trace.Diagnostics
	is.True(errors.As(err, &diagnostics))
	is.Equal(diagnostics[0].Field(), "arrival")
}

// TestCapacity guards against a wrong capacity of a pool: 4 slots with a service time of
// 0.1 s + 100/1000 s + 20/100 s = 0.4 s complete 10 calls/s.
func TestCapacity(t *testing.T) {
	is := is.New(t)
	parsed, err := trace.Parse([]byte(smallTrace + "peak 0 1000\nrequest 5 thun summary 20 100 3000 - idempotent\n"))
	is.NoErr(err)
	is.Equal(parsed.Peak().Length(), time.Second)
	rate, pool := parsed.Capacity(parsed.Peak())
	is.Equal(pool, "engines")
	is.True(rate > 9.99 && rate < 10.01)

	// The window starts at 1 s, after a load of 1 request/s. For the first 0.4 s, the pool
	// can only answer earlier requests at 1 instead of 10 requests/s.
	later, err := trace.Parse([]byte(smallTrace + "peak 1000 2000\nrequest 5 thun summary 20 100 3000 - idempotent\nrequest 1005 thun summary 20 100 3000 - idempotent\n"))
	is.NoErr(err)
	possible := later.MaxAnswers(later.Peak())
	is.True(possible > 6.39 && possible < 6.41)
}

// TestShippedTraces guards against shipped traces that differ from the output of the command
// in their first line.
func TestShippedTraces(t *testing.T) {
	is := is.New(t)
	for _, s := range trace.Scenarios() {
		raw, err := os.ReadFile(filepath.Join("..", "..", "traces", s.Name()+".trace"))
		is.NoErr(err)
		head, body, _ := strings.Cut(string(raw), "\n")
		is.Equal(head, "# sassafrasward replay --write "+s.Name()+" --seed 1 --trace FILE")
		generated, err := trace.Generate(s.Name(), 1)
		is.NoErr(err)
		is.True(string(generated.Bytes()) == body) // the shipped trace equals the generated one
	}
}

// FuzzParse guards against a panic of the parser and against a trace that changes when it
// is written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallTrace + "request 0 thun summary 10 100 3000 p1 idempotent\n"))
	f.Add([]byte(smallTrace + "slow engine1 10 0 100\ncrash engine1 5 6\nswitch 7 ordinary\npeak 0 9\nexpect attainment thun >= 0.95\n"))
	f.Add([]byte("request 0 thun\nexpect"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, err := trace.Parse(raw)
		if err != nil {
			return
		}
		again, err := trace.Parse(parsed.Bytes())
		if err != nil {
			t.Fatalf("%v in %q", err, parsed.Bytes())
		}
		if string(again.Bytes()) != string(parsed.Bytes()) {
			t.Fatalf("%q became %q", parsed.Bytes(), again.Bytes())
		}
	})
}
