package live

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"sassafrasward/core/outcome"
	"sassafrasward/core/trace"
	"sassafrasward/io/wire"
)

// recheckInterval is the amount of service time after which a running call recomputes its slowdown
// from the number of calls that share the target. It is in the time of the trace.
const recheckInterval = 20 * time.Millisecond

// input is the input of a request of a live run. Each stage passes it on as its output.
type input struct {
	// Index is the index of the request in the trace.
	Index int `json:"index"`
}

// target is a stand-in for a target. It takes as long for a call as the service model of the trace
// says.
type target struct {
	trace *trace.Trace
	model trace.ServiceModel
	scale float64
	slots int

	mutex sync.Mutex
	// slowFactor multiplies all service times during a slow period of the trace.
	slowFactor float64
	cached     []string
	running    int
	// queue holds the waiting calls by descending priority, then by arrival.
	queue []*waiter
	// crashContext is cancelled by cancelCrashContext when the target crashes; restore replaces both.
	crashContext       context.Context
	cancelCrashContext context.CancelFunc
}

// waiter is a call that waits for a slot.
type waiter struct {
	priority int
	// ready is closed when the call gets a slot.
	ready chan struct{}
}

func newTarget(t *trace.Trace, model trace.ServiceModel, slots int, scale float64) *target {
	created := &target{trace: t, model: model, scale: scale, slots: slots, slowFactor: 1}
	created.restore()
	return created
}

// restore restarts the target after a crash, with an empty prefix cache.
func (t *target) restore() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cached = nil
	t.crashContext, t.cancelCrashContext = context.WithCancel(context.Background())
}

// crash simulates a crash of the target: running calls are aborted, and new ones fail until
// restore.
func (t *target) crash() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cancelCrashContext()
}

func (t *target) setSlowFactor(factor float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.slowFactor = factor
}

// queueLength returns the number of queued calls.
func (t *target) queueLength() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.queue)
}

// handler returns the HTTP handler of the target.
func (t *target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRun, t.run)
	mux.HandleFunc("GET "+wire.PathReport, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, wire.Report{Load: t.load()})
	})
	return mux
}

// run serves a call to run one stage.
func (t *target) run(w http.ResponseWriter, r *http.Request) {
	var run wire.Run
	var in input
	if json.NewDecoder(r.Body).Decode(&run) != nil || json.Unmarshal(run.Input, &in) != nil || in.Index < 0 || in.Index >= len(t.trace.Requests()) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	crashed := t.crashContext
	t.mutex.Unlock()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(run.Deadline)*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(crashed, cancel)()
	started, done := t.work(ctx, t.trace.Requests()[in.Index], run.Priority)
	switch {
	case crashed.Err() != nil:
		// Closes the connection without an answer, even if the call finished before the crash
		// cancelled its context.
		panic(http.ErrAbortHandler)
	case done:
		writeJSON(w, http.StatusOK, t.runResult(run, outcome.Done))
	case !started:
		writeJSON(w, http.StatusServiceUnavailable, t.runResult(run, outcome.NotRun))
	}
}

// work waits for a slot and then for the service time of the request. started reports whether the
// call got a slot, done whether it finished before the context ended.
func (t *target) work(ctx context.Context, q trace.Request, priority int) (started, done bool) {
	if !t.acquire(ctx, priority) {
		return false, false
	}
	defer t.release()
	left := t.model.ServiceTime(q, t.usePrefix(q.Prefix()))
	for left > 0 {
		slowdown := t.slowdown() * t.scale
		began := time.Now()
		select {
		case <-time.After(time.Duration(float64(min(left, recheckInterval)) * slowdown)):
		case <-ctx.Done():
			return true, false
		}
		left -= time.Duration(float64(time.Since(began)) / slowdown)
	}
	return true, true
}

// slowdown returns the factor by which a call currently takes longer than if it ran alone.
func (t *target) slowdown() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.slowFactor * t.model.Slowdown(t.running)
}

// usePrefix reports whether the prefix is cached, and makes it the most recently used one.
func (t *target) usePrefix(prefix string) (ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if prefix == "" || t.model.PrefixCacheSize() == 0 {
		return false
	}
	if i := slices.Index(t.cached, prefix); i >= 0 {
		t.cached = slices.Delete(t.cached, i, i+1)
		ok = true
	}
	t.cached = append(t.cached, prefix)
	if len(t.cached) > t.model.PrefixCacheSize() {
		t.cached = t.cached[1:]
	}
	return ok
}

// acquire waits for a slot and reports whether the call got one.
func (t *target) acquire(ctx context.Context, priority int) bool {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	t.mutex.Lock()
	at := len(t.queue)
	for at > 0 && t.queue[at-1].priority < priority {
		at--
	}
	t.queue = slices.Insert(t.queue, at, w)
	t.admit()
	t.mutex.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if i := slices.Index(t.queue, w); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		return false
	}
	return true // the call got its slot at the same time as the context ended
}

// admit gives free slots to waiting calls. The caller holds the mutex.
func (t *target) admit() {
	for len(t.queue) > 0 && t.running < t.slots {
		close(t.queue[0].ready)
		t.queue = t.queue[1:]
		t.running++
	}
}

func (t *target) release() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running--
	t.admit()
}

func (t *target) load() wire.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return wire.Load{Running: t.running, Queued: len(t.queue), Slots: t.slots}
}

func (t *target) runResult(run wire.Run, o outcome.Outcome) wire.RunResult {
	return wire.RunResult{Request: run.Request, Stage: run.Stage, Attempt: run.Attempt, Outcome: o.String(), Output: run.Input, Load: t.load()}
}

func writeJSON(w http.ResponseWriter, status int, data any) {
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(data)
}
