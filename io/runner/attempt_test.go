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

// twoTargets is a pool of two targets. Each call advances the clock of the test by callTime. If
// hang is set, the next call hangs until its connection is closed; its start, its end and each
// cancel message are reported on channels.
type twoTargets struct {
	scheduler   *poolsched.Scheduler
	now         atomic.Int64
	callTime    time.Duration
	hang        atomic.Bool
	hangStarted chan struct{}
	hangEnded   chan struct{}
	cancelled   chan struct{}
	addresses   map[string]string
}

func (p *twoTargets) Scheduler(string) *poolsched.Scheduler { return p.scheduler }
func (p *twoTargets) Address(target string) string          { return p.addresses[target] }
func (p *twoTargets) clock() (now time.Duration)            { return time.Duration(p.now.Load()) }
func (p *twoTargets) advance(d time.Duration)               { p.now.Add(int64(d)) }

func newTwoTargets(t *testing.T, callTime time.Duration) *twoTargets {
	p := &twoTargets{
		callTime: callTime, hangStarted: make(chan struct{}, 1), hangEnded: make(chan struct{}, 1), cancelled: make(chan struct{}, 4),
		addresses: make(map[string]string),
	}
	p.scheduler = poolsched.New(p.clock, rand.New(rand.NewPCG(1, 1)))
	var targets []schedule.Target
	for _, name := range []string{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(p.serve))
		t.Cleanup(s.Close)
		p.addresses[name] = strings.TrimPrefix(s.URL, "http://")
		targets = append(targets, schedule.NewTarget(name, "z", 4, false))
	}
	p.scheduler.SetTargets(targets)
	return p
}

func (p *twoTargets) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		p.cancelled <- struct{}{}
		return
	}
	var run wire.Run
	_ = json.NewDecoder(r.Body).Decode(&run)
	if p.hang.CompareAndSwap(true, false) {
		p.hangStarted <- struct{}{}
		<-r.Context().Done()
		p.hangEnded <- struct{}{}
		return
	}
	p.advance(p.callTime)
	respond(w, run, false, "")
}

func (p *twoTargets) run(t *testing.T, r *runner.Runner) wire.Answer {
	d, err := config.Parse([]byte(configDocument))
	if err != nil {
		t.Fatal(err)
	}
	pipeline, _ := d.Pipeline("plain")
	return r.Run(context.Background(), runner.NewRequest("id", pipeline, wire.Request{Workspace: "w", Input: json.RawMessage(`1`)}, nil))
}

// TestHedge guards against a request that waits for a slow target although its hedge has
// answered, and against a losing call that is not cancelled.
func TestHedge(t *testing.T) {
	is := is.New(t)
	p := newTwoTargets(t, 10*time.Second)
	r := runner.New(p.clock, p, target.New(), metric.New())
	for range 10 {
		is.Equal(p.run(t, r).Outcome, "done")
	}
	p.hang.Store(true)
	answers := make(chan wire.Answer)
	go func() { answers <- p.run(t, r) }()
	<-p.hangStarted
	p.advance(30 * time.Second)
	p.scheduler.Tick()
	answer := <-answers
	is.Equal(answer.Outcome, "done")
	is.Equal(answer.Stages[0].Attempts, 2)
	<-p.hangEnded
	<-p.cancelled
}

// TestUnresponsiveTarget guards against a request that waits until its deadline for a target that
// does not respond: the stage is retried, and the first attempt is cancelled on its target. The answer
// has no trace of the error of that attempt, which would look like one of the request.
func TestUnresponsiveTarget(t *testing.T) {
	is := is.New(t)
	p := newTwoTargets(t, time.Millisecond)
	r := runner.New(p.clock, p, target.New(), metric.New())
	for range 10 {
		is.Equal(p.run(t, r).Outcome, "done")
	}
	p.hang.Store(true)
	answer := p.run(t, r)
	is.Equal(answer.Outcome, "done")
	is.Equal(answer.Stages[0].Attempts, 2)
	is.Equal(answer.Detail, "")
	<-p.hangEnded
	<-p.cancelled
}
