package runner_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

// pair is a pool of two targets. Each call takes a stated time on the clock of the test. A
// call that is to hang reports its begin and its end, which is that of its connection or
// the message that cancels it.
type pair struct {
	gate      *poolsched.Scheduler
	now       atomic.Int64
	took      time.Duration
	hang      atomic.Bool
	begun     chan struct{}
	ended     chan struct{}
	withdrawn chan struct{}
	addresses map[string]string
}

func (p *pair) Scheduler(string) *poolsched.Scheduler { return p.gate }
func (p *pair) Address(target string) string          { return p.addresses[target] }
func (p *pair) clock() (now time.Duration)            { return time.Duration(p.now.Load()) }
func (p *pair) advance(d time.Duration)               { p.now.Add(int64(d)) }

func newPair(t *testing.T, took time.Duration) *pair {
	p := &pair{
		took: took, begun: make(chan struct{}, 1), ended: make(chan struct{}, 1), withdrawn: make(chan struct{}, 4),
		addresses: make(map[string]string),
	}
	p.gate = poolsched.New(p.clock, rand.New(rand.NewPCG(1, 1)))
	var targets []schedule.Target
	for _, name := range []string{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(p.serve))
		t.Cleanup(s.Close)
		p.addresses[name] = strings.TrimPrefix(s.URL, "http://")
		targets = append(targets, schedule.NewTarget(name, "z", 4, false))
	}
	p.gate.SetTargets(targets)
	return p
}

func (p *pair) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		p.withdrawn <- struct{}{}
		return
	}
	var run wire.Run
	_ = json.NewDecoder(r.Body).Decode(&run)
	if p.hang.CompareAndSwap(true, false) {
		p.begun <- struct{}{}
		<-r.Context().Done()
		p.ended <- struct{}{}
		return
	}
	p.advance(p.took)
	respond(w, run, false, "")
}

func (p *pair) run(t *testing.T, r *runner.Runner) wire.Answer {
	d, err := config.Parse([]byte(published))
	if err != nil {
		t.Fatal(err)
	}
	pipeline, _ := d.Pipeline("plain")
	return r.Run(context.Background(), runner.NewJob("id", pipeline, wire.Request{Workspace: "w", Input: json.RawMessage(`1`)}, nil))
}

// TestHedge guards against a request that waits for a slow target although a hedge has
// answered, and against a loser that goes on.
func TestHedge(t *testing.T) {
	is := is.New(t)
	p := newPair(t, 10*time.Second)
	r := runner.New(p.clock, p, target.New(), metric.New())
	for range 10 {
		is.Equal(p.run(t, r).Outcome, "done")
	}
	p.hang.Store(true)
	answers := make(chan wire.Answer)
	go func() { answers <- p.run(t, r) }()
	<-p.begun
	p.advance(30 * time.Second)
	p.gate.Tick()
	answer := <-answers
	is.Equal(answer.Outcome, "done")
	is.Equal(answer.Stages[0].Attempts, 2)
	<-p.ended
	<-p.withdrawn
}

// TestSilent guards against a request that waits for its deadline on a silent connection:
// it is repeated, and the target is told to end the first attempt.
func TestUnresponsiveTarget(t *testing.T) {
	is := is.New(t)
	p := newPair(t, time.Millisecond)
	r := runner.New(p.clock, p, target.New(), metric.New())
	for range 10 {
		is.Equal(p.run(t, r).Outcome, "done")
	}
	p.hang.Store(true)
	answer := p.run(t, r)
	is.Equal(answer.Outcome, "done")
	is.Equal(answer.Stages[0].Attempts, 2)
	<-p.ended
	<-p.withdrawn
}
