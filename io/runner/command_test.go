package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/config"
	"sassafrasward/core/schedule"
	"sassafrasward/io/metric"
	"sassafrasward/io/poolsched"
	"sassafrasward/io/runner"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

const configDocument = `
[document]
preset = ordinary
[preset ordinary]
[pool p]
kind = service
[stage look]
pool = p
[stage pay]
pool = p
command = true
[stage book]
pool = p
command = true
[stage tell]
pool = p
[pipeline plain]
stages = look
deadline = 3m
[pipeline one]
stages = look, pay
deadline = 3m
[pipeline two]
stages = pay, tell, book, look
deadline = 3m
`

// singleTarget is a pool of one target.
type singleTarget struct {
	scheduler *poolsched.Scheduler
	address   string
}

func (p singleTarget) Scheduler(string) *poolsched.Scheduler { return p.scheduler }
func (p singleTarget) Address(string) string                 { return p.address }

// TestCommandOutcomes guards against a false outcome of a pipeline with commands: not-run is
// reported only if no command stage ran, and failed only if the target of a command reported it.
func TestCommandOutcomes(t *testing.T) {
	is := is.New(t)
	d, err := config.Parse([]byte(configDocument))
	is.NoErr(err)
	for _, test := range []struct{ pipeline, stage, fault, want string }{
		{"one", "", "", "done"},
		{"one", "look", "failed", "not-run rejected"},
		{"one", "look", "cut", "not-run crashed"},
		{"one", "look", "busy", "not-run overload"},
		{"one", "pay", "failed", "failed rejected"},
		{"one", "pay", "busy", "not-run overload"},
		{"one", "pay", "cut", "unknown crashed"},
		{"two", "", "", "done"},
		{"two", "pay", "busy", "not-run overload"},
		{"two", "tell", "failed", "unknown rejected"},
		{"two", "tell", "busy", "unknown overload"},
		{"two", "book", "busy", "unknown overload"},
		{"two", "book", "failed", "failed rejected"},
		{"two", "book", "cut", "unknown crashed"},
		{"two", "look", "cut", "unknown crashed"},
	} {
		keys := make(map[string]int)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var run wire.Run
			_ = json.NewDecoder(r.Body).Decode(&run)
			if run.Key != "" {
				keys[run.Key+" "+run.Stage]++
			}
			respond(w, run, test.stage == run.Stage, test.fault)
		}))
		scheduler := poolsched.New(func() time.Duration { return 0 }, rand.New(rand.NewPCG(1, 1)))
		scheduler.SetTargets([]schedule.Target{schedule.NewTarget("t", "a", 1, false)})
		run := runner.New(func() time.Duration { return 0 }, singleTarget{scheduler, strings.TrimPrefix(s.URL, "http://")}, target.New(), metric.New())
		p, _ := d.Pipeline(test.pipeline)
		answer := run.Run(context.Background(), runner.NewRequest("id", p, wire.Request{Workspace: "w", Key: "k", Input: json.RawMessage(`1`)}, nil))
		s.Close()
		if got := strings.TrimSpace(answer.Outcome + " " + answer.Reason); got != test.want {
			t.Errorf("%s with %s at %s: %s, want %s", test.pipeline, test.fault, test.stage, got, test.want)
		}
		for key, n := range keys {
			if n > 1 {
				t.Errorf("%s with %s at %s: key %s was sent %d times", test.pipeline, test.fault, test.stage, key, n)
			}
		}
	}
}

// respond answers a run with the outcome done, or with the given fault if faulty is true.
func respond(w http.ResponseWriter, run wire.Run, faulty bool, fault string) {
	o, status := "done", http.StatusOK
	switch {
	case faulty && fault == "cut":
		panic(http.ErrAbortHandler)
	case faulty && fault == "busy":
		o, status = "not-run", http.StatusServiceUnavailable
	case faulty:
		o = fault
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"request":%q,"stage":%q,"attempt":%d,"outcome":%q}`, run.Request, run.Stage, run.Attempt, o)
}
