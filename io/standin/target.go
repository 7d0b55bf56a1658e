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

// PathRuns is the path that returns the runs of a target.
const PathRuns = "/admin/ledger"

// RunRecord is one run that a target began.
type RunRecord struct {
	Request string          `json:"request"`
	Stage   string          `json:"stage"`
	Attempt int             `json:"attempt"`
	Key     string          `json:"key"`
	Input   json.RawMessage `json:"input"`
	// Ended is true if the run completed, that is, it was not cancelled or broken off.
	Ended bool `json:"ended"`
}

// Target stands in for one target. It runs up to cap(slots) calls at the same time and queues
// the rest. Each call takes baseTime plus tokenTime per token.
type Target struct {
	name      string
	slots     chan struct{}
	baseTime  time.Duration
	tokenTime time.Duration
	// deduplicate makes a call with a known key and stage return the result of the first
	// run, which continues if its caller disconnects.
	deduplicate bool
	// fencing makes the target refuse orders with an old fencing token.
	fencing bool

	// crashInput aborts each call whose input contains it, after crash is called; if it is
	// empty, no call is aborted.
	crashInput string
	crash      func()

	mutex sync.Mutex
	// cancels has the cancel function of each queued or running attempt, by
	// request/stage/attempt.
	cancels map[string]context.CancelFunc
	running int
	queued  int
	runs    []RunRecord
	engine  engine
	// firstRuns has the first run of each key and stage if deduplicate is set.
	firstRuns map[string]*firstRun
}

// firstRun is the first run of a key and stage. The result is set before done is closed; its
// outcome is empty if the work did not begin.
type firstRun struct {
	done   chan struct{}
	result wire.RunResult
}

// TargetOption configures a Target.
type TargetOption func(*Target)

// WithSlots sets the number of calls that run at the same time.
func WithSlots(n int) TargetOption { return func(t *Target) { t.slots = make(chan struct{}, n) } }

// WithLatency sets the base time of each call and the time added for each token.
func WithLatency(base, perToken time.Duration) TargetOption {
	return func(t *Target) { t.baseTime, t.tokenTime = base, perToken }
}

// WithDeduplication makes the target answer a repeated key with the result of the first run.
func WithDeduplication(deduplicate bool) TargetOption {
	return func(t *Target) { t.deduplicate = deduplicate }
}

// WithFencing makes the target refuse orders with an old fencing token.
func WithFencing(fencing bool) TargetOption { return func(t *Target) { t.fencing = fencing } }

// WithCrashInput makes the target call crash, which takes the target down, and abort the call
// for each input that contains the text.
func WithCrashInput(text string, crash func()) TargetOption {
	return func(t *Target) { t.crashInput, t.crash = text, crash }
}

// NewTarget returns a stand-in. Without options it has 8 slots and answers at once.
func NewTarget(name string, options ...TargetOption) *Target {
	t := &Target{name: name, slots: make(chan struct{}, 8), firstRuns: make(map[string]*firstRun), cancels: make(map[string]context.CancelFunc)}
	for _, o := range options {
		o(t)
	}
	return t
}

// Runs returns all runs begun so far.
func (t *Target) Runs() []RunRecord {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.runs)
}

// Handler returns the HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRun, t.handleRun)
	mux.HandleFunc("DELETE "+wire.PathRun+"/{request}/{stage}/{attempt}", t.handleCancel)
	mux.HandleFunc("GET "+wire.PathReport, t.handleReport)
	mux.HandleFunc("POST "+wire.PathOrder, t.handleOrder)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Runs())
	})
	mux.HandleFunc("GET "+PathOrders, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Orders())
	})
	return mux
}

func (t *Target) handleRun(w http.ResponseWriter, r *http.Request) {
	var run wire.Run
	if err := json.NewDecoder(r.Body).Decode(&run); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(run.Deadline)*time.Millisecond)
	defer cancel()
	attempt := fmt.Sprintf("%s/%s/%d", run.Request, run.Stage, run.Attempt)
	t.setCancel(attempt, cancel)
	defer t.setCancel(attempt, nil)
	if t.deduplicate && run.Key != "" && !t.claimKey(ctx, w, run) {
		return
	}
	t.addLoad(0, 1)
	select {
	case t.slots <- struct{}{}:
		t.addLoad(1, -1)
	case <-ctx.Done():
		t.addLoad(0, -1)
		t.releaseKey(run)
		t.writeAnswer(w, run, outcome.NotRun, nil)
		return
	}
	defer func() {
		<-t.slots
		t.addLoad(-1, 0)
	}()
	if t.deduplicate && run.Key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	t.execute(ctx, w, run)
}

// handleCancel cancels a queued or running attempt.
func (t *Target) handleCancel(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("request") + "/" + r.PathValue("stage") + "/" + r.PathValue("attempt")
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if cancel := t.cancels[attempt]; cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) setCancel(attempt string, cancel context.CancelFunc) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if cancel == nil {
		delete(t.cancels, attempt)
		return
	}
	t.cancels[attempt] = cancel
}

// execute records the run, waits for the time that it takes and writes the answer, token by
// token if the caller asked for a stream.
func (t *Target) execute(ctx context.Context, w http.ResponseWriter, run wire.Run) {
	index := t.recordRun(run)
	if t.crashInput != "" && bytes.Contains(run.Input, []byte(t.crashInput)) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, t.baseTime) {
		return
	}
	for i := 0; i < int(run.Size); i++ {
		if !sleep(ctx, t.tokenTime) {
			return
		}
		if run.Stream && i >= run.FirstToken {
			writeToken(w, wire.Token{Index: i, Text: fmt.Sprintf("t%d ", i)})
		}
	}
	t.markEnded(index)
	output, _ := json.Marshal(map[string]any{"stage": run.Stage, "of": run.Request, "input": run.Input})
	if run.Stream {
		w.Header().Set("Content-Type", wire.ContentTypeEvents)
		_ = sse.Write(w, wire.EventEnd, t.result(run, outcome.Done, output))
		return
	}
	t.writeAnswer(w, run, outcome.Done, output)
}

func writeToken(w http.ResponseWriter, token wire.Token) {
	w.Header().Set("Content-Type", wire.ContentTypeEvents)
	_ = sse.Write(w, wire.EventToken, token)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// sleep waits for d and returns false if the context ends first.
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

func (t *Target) writeAnswer(w http.ResponseWriter, run wire.Run, o outcome.Outcome, output json.RawMessage) {
	result := t.result(run, o, output)
	status := http.StatusOK
	if o == outcome.NotRun {
		status = http.StatusServiceUnavailable
	}
	if o == outcome.Done {
		t.completeKey(run, result)
	}
	writeJSON(w, status, result)
}

func (t *Target) result(run wire.Run, o outcome.Outcome, output json.RawMessage) wire.RunResult {
	return wire.RunResult{Request: run.Request, Stage: run.Stage, Attempt: run.Attempt, Outcome: o.String(), Output: output, Load: t.load()}
}

// claimKey reports whether this is the first call with its key and stage. For a repeated call
// it waits for the first one and writes its result.
func (t *Target) claimKey(ctx context.Context, w http.ResponseWriter, run wire.Run) bool {
	t.mutex.Lock()
	first, ok := t.firstRuns[run.Key+" "+run.Stage]
	if !ok {
		t.firstRuns[run.Key+" "+run.Stage] = &firstRun{done: make(chan struct{})}
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
	if first.result.Outcome == "" {
		t.writeAnswer(w, run, outcome.NotRun, nil)
		return false
	}
	result := first.result
	result.Request, result.Attempt = run.Request, run.Attempt
	writeJSON(w, http.StatusOK, result)
	return false
}

// completeKey stores the result of a first run and wakes the repeated calls that wait for it.
func (t *Target) completeKey(run wire.Run, result wire.RunResult) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if first, ok := t.firstRuns[run.Key+" "+run.Stage]; ok {
		first.result = result
		close(first.done)
	}
}

// releaseKey removes a first run whose work did not begin, so that the next call may run.
func (t *Target) releaseKey(run wire.Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if first, ok := t.firstRuns[run.Key+" "+run.Stage]; ok {
		delete(t.firstRuns, run.Key+" "+run.Stage)
		close(first.done)
	}
}

func (t *Target) recordRun(run wire.Run) (index int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append(t.runs, RunRecord{Request: run.Request, Stage: run.Stage, Attempt: run.Attempt, Key: run.Key, Input: run.Input})
	return len(t.runs) - 1
}

func (t *Target) markEnded(index int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs[index].Ended = true
}

func (t *Target) addLoad(running, queued int) {
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

func (t *Target) handleReport(w http.ResponseWriter, _ *http.Request) {
	load := t.load()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	writeJSON(w, http.StatusOK, wire.Report{Load: load, Fence: t.engine.order.Fence, Models: t.engine.loaded, Role: t.engine.order.Role})
}
