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

const small = `trace small
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

// TestMistakes guards against a mistake that is accepted, or reported with the wrong line
// or field.
func TestMistakes(t *testing.T) {
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
			_, err := trace.Parse([]byte(small + "# comment\n" + c.line + "\n"))
			var mistakes trace.Diagnostics
			is.True(errors.As(err, &mistakes))
			is.Equal(len(mistakes), 1)
			is.Equal(mistakes[0].Line(), strings.Count(small, "\n")+2)
			is.Equal(mistakes[0].Field(), c.field)
			is.True(strings.Contains(mistakes[0].Allowed(), c.allowed))
		})
	}
}

// TestOrder guards against arrivals that go back in time.
func TestOrder(t *testing.T) {
	is := is.New(t)
	_, err := trace.Parse([]byte(small + "request 5 thun summary 1 1 3000 - idempotent\nrequest 4 thun summary 1 1 3000 - idempotent\n"))
	var mistakes trace.Diagnostics
	is.True(errors.As(err, &mistakes))
	is.Equal(mistakes[0].Field(), "arrival")
}

// TestCapacity guards against a wrong figure of what a pool can do: 4 slots at
// 0.1 s + 100/1000 s + 20/100 s = 0.4 s a call give 10 calls/s.
func TestCapacity(t *testing.T) {
	is := is.New(t)
	one, err := trace.Parse([]byte(small + "peak 0 1000\nrequest 5 thun summary 20 100 3000 - idempotent\n"))
	is.NoErr(err)
	is.Equal(one.Peak().Duration(), time.Second)
	rate, pool := one.Capacity(one.Peak())
	is.Equal(pool, "engines")
	is.True(rate > 9.99 && rate < 10.01)

	// From 1 s on, after one request/s: of the second, 0.4 s pass at 1 instead of 10
	// requests/s.
	later, err := trace.Parse([]byte(small + "peak 1000 2000\nrequest 5 thun summary 20 100 3000 - idempotent\nrequest 1005 thun summary 20 100 3000 - idempotent\n"))
	is.NoErr(err)
	possible := later.MaxAnswers(later.Peak())
	is.True(possible > 6.39 && possible < 6.41)
}

// TestShipped guards against shipped traces that differ from what their stated command
// makes.
func TestShipped(t *testing.T) {
	is := is.New(t)
	for _, s := range trace.Scenarios() {
		raw, err := os.ReadFile(filepath.Join("..", "..", "traces", s.Name()+".trace"))
		is.NoErr(err)
		head, body, _ := strings.Cut(string(raw), "\n")
		is.Equal(head, "# sassafrasward replay --write "+s.Name()+" --seed 1 --trace FILE")
		made, err := trace.Generate(s.Name(), 1)
		is.NoErr(err)
		is.True(string(made.Bytes()) == body) // the shipped trace is what the generator makes
	}
}

// FuzzParse guards against a crash of the parser and against a trace that changes when it
// is written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small + "request 0 thun summary 10 100 3000 p1 idempotent\n"))
	f.Add([]byte(small + "slow engine1 10 0 100\ncrash engine1 5 6\nswitch 7 ordinary\npeak 0 9\nexpect attainment thun >= 0.95\n"))
	f.Add([]byte("request 0 thun\nexpect"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		one, err := trace.Parse(raw)
		if err != nil {
			return
		}
		again, err := trace.Parse(one.Bytes())
		if err != nil {
			t.Fatalf("%v in %q", err, one.Bytes())
		}
		if string(again.Bytes()) != string(one.Bytes()) {
			t.Fatalf("%q became %q", one.Bytes(), again.Bytes())
		}
	})
}
