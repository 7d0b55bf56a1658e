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

// world is an owner whose executor gives the answers that a test sends.
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
	w := &harness{t: t, started: make(chan string, 8), answers: make(chan wire.Answer)}
	d, err := config.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	views := view.NewHolder()
	views.Publish(view.New(d, config.Version{}, nil, reason.None))
	w.views = views
	w.owner = owner.New("a", w.clock, w, views, peer.NewPool(), metric.New(), options...)
	return w
}

func (w *harness) clock() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.now
}

func (w *harness) advance(d time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.now += d
}

// Run implements owner.Executor.
func (w *harness) Run(ctx context.Context, job runner.Job) (answer wire.Answer) {
	w.started <- job.ID()
	select {
	case answer = <-w.answers:
	case <-ctx.Done():
		answer = end(outcome.Unknown, reason.CallerGone, "")
	}
	answer.Request = job.ID()
	return answer
}

func (w *harness) key() string {
	keys, _ := w.owner.Issue("thun", 1)
	return keys[0]
}

// send runs a request in the background.
func (w *harness) send(ctx context.Context, id, key string) <-chan wire.Answer {
	d, _ := config.Parse([]byte(testConfig))
	p, _ := d.Pipeline("pay")
	end := make(chan wire.Answer, 1)
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`1`), Key: key}
	go func() { end <- w.owner.Run(ctx, runner.NewJob(id, p, request, nil)) }()
	return end
}

func end(o outcome.Outcome, why reason.Reason, output string) wire.Answer {
	return wire.Answer{Outcome: o.String(), Reason: why.String(), Output: json.RawMessage(output)}
}

// TestFirstCallerGone guards against a command whose answer is lost for its duplicates
// because the first caller closed its connection.
func TestFirstCallerDisconnects(t *testing.T) {
	is := is.New(t)
	w := newHarness(t)
	key := w.key()
	ctx, cancel := context.WithCancel(context.Background())
	first := w.send(ctx, "1", key)
	is.Equal(<-w.started, "1")
	cancel()
	is.Equal((<-first).Outcome, outcome.Unknown.String())
	second := w.send(context.Background(), "2", key)
	w.answers <- end(outcome.Done, reason.None, `"x"`)
	answer := <-second
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(answer.Request, "2")
	is.Equal(len(w.started), 0) // the second request started nothing
}

// TestDuplicateDeadline guards against a duplicate that waits beyond its own deadline.
func TestDuplicateDeadline(t *testing.T) {
	is := is.New(t)
	w := newHarness(t)
	key := w.key()
	first := w.send(context.Background(), "1", key)
	<-w.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	answer := <-w.send(ctx, "2", key)
	is.Equal(answer.Outcome+" "+answer.Reason, "unknown running")
	w.answers <- end(outcome.Done, reason.None, `"x"`)
	is.Equal((<-first).Outcome, outcome.Done.String())
}

// TestEnds guards against an end that is not kept as it must be: a key that did not run
// may be sent again, each other end is final, and an answer beyond the size bound is not
// told as complete.
func TestResend(t *testing.T) {
	large := `"` + strings.Repeat("x", 5000) + `"`
	for _, one := range []struct {
		end  wire.Answer
		want string
		runs int
	}{
		{end(outcome.Done, reason.None, `"x"`), "done", 1},
		{end(outcome.Failed, reason.Rejected, ``), "failed", 1},
		{end(outcome.Unknown, reason.Crashed, ``), "unknown", 1},
		{end(outcome.NotRun, reason.QueueFull, ``), "not-run", 2},
		{end(outcome.Done, reason.None, large), "unknown", 1},
	} {
		is := is.New(t)
		w := newHarness(t)
		key, runs := w.key(), 0
		first := w.send(context.Background(), "1", key)
		w.answers <- one.end
		is.Equal((<-first).Outcome, one.end.Outcome)
		second := w.send(context.Background(), "2", key)
		var answer wire.Answer
		select {
		case answer = <-second:
		case w.answers <- one.end:
			answer = <-second
		}
		for len(w.started) > 0 {
			<-w.started
			runs++
		}
		is.Equal(answer.Outcome, one.want)
		is.Equal(runs, one.runs)
	}
}

// TestPausedHost guards against a command that waited in the buffers of a paused host and
// is run after its deadline.
func TestPausedHost(t *testing.T) {
	is := is.New(t)
	w := newHarness(t)
	key := w.key()
	w.advance(time.Second)
	answer := <-w.send(context.Background(), "1", key)
	is.Equal(answer.Outcome+" "+answer.Reason, "not-run paused")
	w.owner.Tick()
	answer = <-w.send(context.Background(), "2", key)
	is.Equal(answer.Outcome+" "+answer.Reason, "not-run paused")
	w.advance(time.Second / 4)
	w.owner.Tick()
	third := w.send(context.Background(), "3", key)
	is.Equal(<-w.started, "3")
	w.answers <- end(outcome.Done, reason.None, `"x"`)
	is.Equal((<-third).Outcome, outcome.Done.String())
}

// TestDrain guards against a planned stop that begins a command, cuts one off, or does
// not answer for those that ended; and against records beyond the bound.
func TestDrain(t *testing.T) {
	is := is.New(t)
	w := newHarness(t)
	keys := []string{w.key(), w.key(), w.key()}
	first, second := w.send(context.Background(), "1", keys[0]), w.send(context.Background(), "2", keys[1])
	<-w.started
	<-w.started
	full := <-w.send(context.Background(), "3", keys[2])
	is.Equal(full.Outcome+" "+full.Reason, "not-run full")
	w.owner.StopAccepting()
	none, _ := w.owner.Issue("thun", 1)
	is.Equal(len(none), 0)
	refused := <-w.send(context.Background(), "4", keys[2])
	is.Equal(refused.Outcome+" "+refused.Reason, "not-run draining")
	over, cancel := context.WithCancel(context.Background())
	cancel()
	w.answers <- end(outcome.Done, reason.None, `"x"`)
	for range 20 {
		is.True(w.owner.Drain(over) != nil) // one command still runs
	}
	w.answers <- end(outcome.Done, reason.None, `"x"`)
	is.Equal((<-first).Outcome, outcome.Done.String())
	is.Equal((<-second).Outcome, outcome.Done.String())
	is.NoErr(w.owner.Drain(context.Background()))
	is.Equal((<-w.send(context.Background(), "5", keys[0])).Outcome, outcome.Done.String())
}

// TestClosedPreset guards against a command that begins under a preset that takes no new
// requests, and against a finished one whose resend is not answered under it.
func TestClosedPreset(t *testing.T) {
	is := is.New(t)
	w := newHarness(t)
	finished, unused := w.key(), w.key()
	first := w.send(context.Background(), "1", finished)
	<-w.started
	w.answers <- end(outcome.Done, reason.None, `"paid"`)
	is.Equal((<-first).Outcome, outcome.Done.String())

	d, err := config.Parse([]byte(strings.Replace(testConfig, "[preset ordinary]", "[preset ordinary]\naccept = false", 1)))
	is.NoErr(err)
	w.views.Publish(view.New(d, config.Version{}, nil, reason.None))
	is.Equal(string((<-w.send(context.Background(), "2", finished)).Output), `"paid"`)
	answer := <-w.send(context.Background(), "3", unused)
	is.Equal(answer.Outcome, outcome.NotRun.String())
	is.Equal(answer.Reason, reason.PresetClosed.String())
}
