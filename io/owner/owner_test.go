package owner_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/config"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/metric"
	"sassafrasward/io/owner"
	"sassafrasward/io/peer"
	"sassafrasward/io/runner"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

const testConfig = `
[document]
preset = ordinary
[preset ordinary]
[workspace thun]
share = 1
records = 2
[pool p]
kind = service
[stage pay]
pool = p
command = true
[pipeline pay]
stages = pay
deadline = 3m
`

// harness holds an Owner and is its Runner: each run waits for an answer sent by the test.
type harness struct {
	t       *testing.T
	owner   *owner.Owner
	views   *view.Holder
	started chan string
	answers chan wire.Answer

	mutex sync.Mutex
	now   time.Duration
}

func newHarness(t *testing.T, options ...owner.Option) *harness {
	h := &harness{t: t, started: make(chan string, 8), answers: make(chan wire.Answer)}
	d, err := config.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	views := view.NewHolder()
	views.Publish(view.New(d, config.Version{}, nil, reason.None))
	h.views = views
	h.owner = owner.New("a", h.clock, h, views, peer.NewConnPool(), metric.New(), options...)
	return h
}

func (h *harness) clock() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.now
}

func (h *harness) advance(d time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.now += d
}

// Run implements owner.Runner.
func (h *harness) Run(ctx context.Context, request runner.Request) (answer wire.Answer) {
	h.started <- request.ID()
	select {
	case answer = <-h.answers:
	case <-ctx.Done():
		answer = result(outcome.Unknown, reason.CallerGone, "")
	}
	answer.Request = request.ID()
	return answer
}

func (h *harness) key() string {
	keys, _ := h.owner.Issue("thun", 1)
	return keys[0]
}

// send runs a request in the background.
func (h *harness) send(ctx context.Context, id, key string) <-chan wire.Answer {
	d, _ := config.Parse([]byte(testConfig))
	p, _ := d.Pipeline("pay")
	result := make(chan wire.Answer, 1)
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`1`), Key: key}
	go func() { result <- h.owner.Run(ctx, runner.NewRequest(id, p, request, nil)) }()
	return result
}

func result(o outcome.Outcome, why reason.Reason, output string) wire.Answer {
	return wire.Answer{Outcome: o.String(), Reason: why.String(), Output: json.RawMessage(output)}
}

// TestFirstCallerDisconnects guards against duplicates that lose the answer of a command because
// the first caller closed its connection.
func TestFirstCallerDisconnects(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	key := h.key()
	ctx, cancel := context.WithCancel(context.Background())
	first := h.send(ctx, "1", key)
	is.Equal(<-h.started, "1")
	cancel()
	is.Equal((<-first).Outcome, outcome.Unknown.String())
	second := h.send(context.Background(), "2", key)
	h.answers <- result(outcome.Done, reason.None, `"x"`)
	answer := <-second
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(answer.Request, "2")
	is.Equal(len(h.started), 0) // the second request started nothing
}

// TestDuplicateDeadline guards against a duplicate that waits for the running command after its
// own context has ended.
func TestDuplicateDeadline(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	key := h.key()
	first := h.send(context.Background(), "1", key)
	<-h.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	answer := <-h.send(ctx, "2", key)
	is.Equal(answer.Outcome+" "+answer.Reason, "unknown running")
	h.answers <- result(outcome.Done, reason.None, `"x"`)
	is.Equal((<-first).Outcome, outcome.Done.String())
}

// TestResend guards against a wrong answer to a resend: a command that did not run may run
// again, every other outcome is final, and a finished command whose answer was too large to
// store is answered as unknown.
func TestResend(t *testing.T) {
	large := `"` + strings.Repeat("x", 5000) + `"`
	for _, one := range []struct {
		result wire.Answer
		want   string
		runs   int
	}{
		{result(outcome.Done, reason.None, `"x"`), "done", 1},
		{result(outcome.Failed, reason.Rejected, ``), "failed", 1},
		{result(outcome.Unknown, reason.Crashed, ``), "unknown", 1},
		{result(outcome.NotRun, reason.QueueFull, ``), "not-run", 2},
		{result(outcome.Done, reason.None, large), "unknown", 1},
	} {
		is := is.New(t)
		h := newHarness(t)
		key, runs := h.key(), 0
		first := h.send(context.Background(), "1", key)
		h.answers <- one.result
		is.Equal((<-first).Outcome, one.result.Outcome)
		second := h.send(context.Background(), "2", key)
		var answer wire.Answer
		select {
		case answer = <-second:
		case h.answers <- one.result:
			answer = <-second
		}
		for len(h.started) > 0 {
			<-h.started
			runs++
		}
		is.Equal(answer.Outcome, one.want)
		is.Equal(runs, one.runs)
	}
}

// TestPausedHost guards against running a command after its deadline because the request waited
// in the socket buffers of a paused host.
func TestPausedHost(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	key := h.key()
	h.advance(time.Second)
	answer := <-h.send(context.Background(), "1", key)
	is.Equal(answer.Outcome+" "+answer.Reason, "not-run paused")
	h.owner.Tick()
	answer = <-h.send(context.Background(), "2", key)
	is.Equal(answer.Outcome+" "+answer.Reason, "not-run paused")
	h.advance(time.Second / 4)
	h.owner.Tick()
	third := h.send(context.Background(), "3", key)
	is.Equal(<-h.started, "3")
	h.answers <- result(outcome.Done, reason.None, `"x"`)
	is.Equal((<-third).Outcome, outcome.Done.String())
}

// TestDrain guards against a graceful shutdown that begins new commands, abandons running ones or
// does not answer resends of finished ones, and against more records than the workspace may have.
func TestDrain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	keys := []string{h.key(), h.key(), h.key()}
	first, second := h.send(context.Background(), "1", keys[0]), h.send(context.Background(), "2", keys[1])
	<-h.started
	<-h.started
	full := <-h.send(context.Background(), "3", keys[2])
	is.Equal(full.Outcome+" "+full.Reason, "not-run full")
	h.owner.StopAccepting()
	none, _ := h.owner.Issue("thun", 1)
	is.Equal(len(none), 0)
	refused := <-h.send(context.Background(), "4", keys[2])
	is.Equal(refused.Outcome+" "+refused.Reason, "not-run draining")
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	h.answers <- result(outcome.Done, reason.None, `"x"`)
	for range 20 {
		is.True(h.owner.Drain(ended) != nil) // one command still runs
	}
	h.answers <- result(outcome.Done, reason.None, `"x"`)
	is.Equal((<-first).Outcome, outcome.Done.String())
	is.Equal((<-second).Outcome, outcome.Done.String())
	is.NoErr(h.owner.Drain(context.Background()))
	is.Equal((<-h.send(context.Background(), "5", keys[0])).Outcome, outcome.Done.String())
}

// TestCommandBeyondStop guards against a command that begins, or is forwarded, although the stopping host
// may cut it off, and against a resend that is refused for the same reason.
func TestCommandBeyondStop(t *testing.T) {
	is := is.New(t)
	h, other := newHarness(t), newHarness(t)
	running, unused, foreign := h.key(), h.key(), other.key()
	first := h.send(context.Background(), "1", running)
	<-h.started
	d, err := config.Parse([]byte(testConfig))
	is.NoErr(err)
	stop := func(after time.Duration) { // the deadline of the pipeline is 3 min
		h.views.Publish(view.New(d, config.Version{}, nil, reason.Draining, view.WithStop(time.Now().Add(after))))
	}
	stop(2 * time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second) // of a command that begins
	defer cancel()
	refused := <-h.send(ctx, "2", unused)
	is.Equal(refused.Outcome+" "+refused.Reason, "not-run draining")
	refused = <-h.send(ctx, "3", foreign)
	is.Equal(refused.Outcome+" "+refused.Reason, "unknown draining")
	resend := h.send(context.Background(), "4", running)
	h.answers <- result(outcome.Done, reason.None, `"x"`)
	is.Equal((<-first).Outcome, outcome.Done.String())
	is.Equal((<-resend).Outcome, outcome.Done.String())
	stop(4 * time.Minute)
	last := h.send(context.Background(), "5", unused)
	<-h.started
	h.answers <- result(outcome.Done, reason.None, `"x"`)
	is.Equal((<-last).Outcome, outcome.Done.String())
}

// TestClosedPreset guards against a command that begins under a preset that accepts no new
// requests, and against a resend of a finished command that is refused under it.
func TestClosedPreset(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	finished, unused := h.key(), h.key()
	first := h.send(context.Background(), "1", finished)
	<-h.started
	h.answers <- result(outcome.Done, reason.None, `"paid"`)
	is.Equal((<-first).Outcome, outcome.Done.String())

	d, err := config.Parse([]byte(strings.Replace(testConfig, "[preset ordinary]", "[preset ordinary]\naccept = false", 1)))
	is.NoErr(err)
	h.views.Publish(view.New(d, config.Version{}, nil, reason.None))
	is.Equal(string((<-h.send(context.Background(), "2", finished)).Output), `"paid"`)
	answer := <-h.send(context.Background(), "3", unused)
	is.Equal(answer.Outcome, outcome.NotRun.String())
	is.Equal(answer.Reason, reason.PresetClosed.String())
}
