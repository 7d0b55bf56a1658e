package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"sassafrasward/core/outcome"
	"sassafrasward/io/sse"
	"sassafrasward/io/wire"
)

// PathLedger returns the ledger of a target.
const PathRuns = "/admin/ledger"

// Entry is one run in a target's ledger.
type RunRecord struct {
	Request string          `json:"request"`
	Stage   string          `json:"stage"`
	Attempt int             `json:"attempt"`
	Key     string          `json:"key"`
	Input   json.RawMessage `json:"input"`
	// Ended is true if the run was not cancelled before its end.
	Ended bool `json:"ended"`
}

// Target stands in for one target. It runs up to slots calls at the same time, queues
// the rest, and takes a base time and a time per token for each.
type Target struct {
	name  string
	slots chan struct{}
	base  time.Duration
	each  time.Duration
	// recognise makes a repeated key and stage return the answer of its first run, which
	// goes on if its caller goes away.
	recognise bool
	// fencing makes the target refuse orders with an old fencing token.
	fencing bool

	// poison breaks off calls whose input has it; empty for none.
	poison string
	crash  func()

	mutex sync.Mutex
	// cancels ends the attempts that wait or run.
	cancels map[string]context.CancelFunc
	running int
	queued  int
	ledger  []RunRecord
	engine  engine
	// first has the first run of each key and stage of a target that recognises keys.
	first map[string]*firstRun
}

// firstRun is the first run of a key. The answer is set before done is closed; it has no
// outcome if the work did not begin.
type firstRun struct {
	done   chan struct{}
	answer wire.RunResult
}

// TargetOption configures a Target.
type TargetOption func(*Target)

// WithSlots sets the number of calls that run at the same time.
func WithSlots(n int) TargetOption { return func(t *Target) { t.slots = make(chan struct{}, n) } }

// WithPace sets the time that each call takes and the time for each token.
func WithLatency(base, each time.Duration) TargetOption {
	return func(t *Target) { t.base, t.each = base, each }
}

// WithRecognise makes the target recognise repeated keys.
func WithDeduplication(recognise bool) TargetOption {
	return func(t *Target) { t.recognise = recognise }
}

// WithFencing makes the target check fencing tokens.
func WithFencing(fencing bool) TargetOption { return func(t *Target) { t.fencing = fencing } }

// WithPoison makes the target break off each call whose input has the text, after it has
// called crash, which takes the target down.
func WithCrashInput(text string, crash func()) TargetOption {
	return func(t *Target) { t.poison, t.crash = text, crash }
}

// NewTarget returns a stand-in with 8 slots that answers at once.
func NewTarget(name string, options ...TargetOption) *Target {
	t := &Target{name: name, slots: make(chan struct{}, 8), first: make(map[string]*firstRun), cancels: make(map[string]context.CancelFunc)}
	for _, o := range options {
		o(t)
	}
	return t
}

// Ledger returns all runs so far.
func (t *Target) Runs() []RunRecord {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.ledger)
}

// Handler returns the HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRun, t.run)
	mux.HandleFunc("DELETE "+wire.PathRun+"/{request}/{stage}/{attempt}", t.cancel)
	mux.HandleFunc("GET "+wire.PathReport, t.report)
	mux.HandleFunc("POST "+wire.PathOrder, t.take)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Runs())
	})
	mux.HandleFunc("GET "+PathOrders, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Orders())
	})
	return mux
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	var run wire.Run
	if err := json.NewDecoder(r.Body).Decode(&run); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(run.Deadline)*time.Millisecond)
	defer cancel()
	name := fmt.Sprintf("%s/%s/%d", run.Request, run.Stage, run.Attempt)
	t.setCancel(name, cancel)
	defer t.setCancel(name, nil)
	if t.recognise && run.Key != "" && !t.claim(ctx, w, run) {
		return
	}
	t.add(0, 1)
	select {
	case t.slots <- struct{}{}:
		t.add(1, -1)
	case <-ctx.Done():
		t.add(0, -1)
		t.release(run)
		t.answer(w, run, outcome.NotRun, nil)
		return
	}
	defer func() {
		<-t.slots
		t.add(-1, 0)
	}()
	if t.recognise && run.Key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	t.work(ctx, w, run)
}

// cancel ends an attempt.
func (t *Target) cancel(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("request") + "/" + r.PathValue("stage") + "/" + r.PathValue("attempt")
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if cancel := t.cancels[name]; cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) setCancel(name string, cancel context.CancelFunc) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if cancel == nil {
		delete(t.cancels, name)
		return
	}
	t.cancels[name] = cancel
}

// work takes the time of the call and answers it, token by token if asked to.
func (t *Target) work(ctx context.Context, w http.ResponseWriter, run wire.Run) {
	at := t.record(run)
	if t.poison != "" && bytes.Contains(run.Input, []byte(t.poison)) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, t.base) {
		return
	}
	for i := 0; i < int(run.Size); i++ {
		if !sleep(ctx, t.each) {
			return
		}
		if run.Stream && i >= run.FirstToken {
			writeToken(w, wire.Token{Index: i, Text: fmt.Sprintf("t%d ", i)})
		}
	}
	t.finish(at)
	output, _ := json.Marshal(map[string]any{"stage": run.Stage, "of": run.Request, "input": run.Input})
	if run.Stream {
		w.Header().Set("Content-Type", wire.ContentTypeEvents)
		_ = sse.Write(w, wire.EventEnd, t.ran(run, outcome.Done, output))
		return
	}
	t.answer(w, run, outcome.Done, output)
}

func writeToken(w http.ResponseWriter, token wire.Token) {
	w.Header().Set("Content-Type", wire.ContentTypeEvents)
	_ = sse.Write(w, wire.EventToken, token)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) answer(w http.ResponseWriter, run wire.Run, o outcome.Outcome, output json.RawMessage) {
	ran := t.ran(run, o, output)
	status := http.StatusOK
	if o == outcome.NotRun {
		status = http.StatusServiceUnavailable
	}
	if o == outcome.Done {
		t.complete(run, ran)
	}
	writeJSON(w, status, ran)
}

func (t *Target) ran(run wire.Run, o outcome.Outcome, output json.RawMessage) wire.RunResult {
	return wire.RunResult{Request: run.Request, Stage: run.Stage, Attempt: run.Attempt, Outcome: o.String(), Output: output, Load: t.load()}
}

// claim reports whether this is the first call with its key and stage. Another call waits
// for the first one and gets its answer.
func (t *Target) claim(ctx context.Context, w http.ResponseWriter, run wire.Run) bool {
	t.mutex.Lock()
	first, ok := t.first[run.Key+" "+run.Stage]
	if !ok {
		t.first[run.Key+" "+run.Stage] = &firstRun{done: make(chan struct{})}
	}
	t.mutex.Unlock()
	if !ok {
		return true
	}
	select {
	case <-first.done:
	case <-ctx.Done():
		return false
	}
	if first.answer.Outcome == "" {
		t.answer(w, run, outcome.NotRun, nil)
		return false
	}
	seen := first.answer
	seen.Request, seen.Attempt = run.Request, run.Attempt
	writeJSON(w, http.StatusOK, seen)
	return false
}

// complete keeps the answer of a first run.
func (t *Target) complete(run wire.Run, ran wire.RunResult) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if first, ok := t.first[run.Key+" "+run.Stage]; ok {
		first.answer = ran
		close(first.done)
	}
}

// release forgets a first call whose work did not begin.
func (t *Target) release(run wire.Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if first, ok := t.first[run.Key+" "+run.Stage]; ok {
		delete(t.first, run.Key+" "+run.Stage)
		close(first.done)
	}
}

func (t *Target) record(run wire.Run) (at int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger = append(t.ledger, RunRecord{Request: run.Request, Stage: run.Stage, Attempt: run.Attempt, Key: run.Key, Input: run.Input})
	return len(t.ledger) - 1
}

func (t *Target) finish(at int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger[at].Ended = true
}

func (t *Target) add(running, queued int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running += running
	t.queued += queued
}

func (t *Target) load() wire.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return wire.Load{Running: t.running, Queued: t.queued, Slots: cap(t.slots)}
}

func (t *Target) report(w http.ResponseWriter, _ *http.Request) {
	load := t.load()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	writeJSON(w, http.StatusOK, wire.Report{Load: load, Fence: t.engine.order.Fence, Models: t.engine.held, Role: t.engine.order.Role})
}
