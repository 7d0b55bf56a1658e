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

// quantum is the work after which a running call looks again at how many calls share the
// target, in the time of the trace.
const quantum = 20 * time.Millisecond

// input is what requests of a live run carry through all their stages.
type input struct {
	// Index is the place of the request in the trace.
	Index int `json:"index"`
}

// target is a stand-in with the rates of the trace.
type target struct {
	trace *trace.Trace
	rate  trace.ServiceModel
	scale float64
	slots int

	mutex   sync.Mutex
	factor  float64
	cached  []string
	running int
	// queue holds the waiting calls by priority, then by arrival.
	queue []*waiter
	// crashed ends when the target crashes; it is replaced when the target is back.
	crashed context.Context
	crash   context.CancelFunc
}

// waiter is a call that waits for a slot.
type waiter struct {
	priority int
	// ready is closed when the call got a slot.
	ready chan struct{}
}

func newTarget(t *trace.Trace, rate trace.ServiceModel, slots int, scale float64) *target {
	one := &target{trace: t, rate: rate, scale: scale, slots: slots, factor: 1}
	one.restore()
	return one
}

// restore brings the target back after a crash, without cached prefixes.
func (t *target) restore() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cached = nil
	t.crashed, t.crash = context.WithCancel(context.Background())
}

func (t *target) fail() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.crash()
}

func (t *target) setFactor(factor float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.factor = factor
}

// waiting returns the number of queued calls.
func (t *target) waiting() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.queue)
}

// handler returns the HTTP interface.
func (t *target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRun, t.run)
	mux.HandleFunc("GET "+wire.PathReport, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, wire.Report{Load: t.load()})
	})
	return mux
}

func (t *target) run(w http.ResponseWriter, r *http.Request) {
	var run wire.Run
	var in input
	if json.NewDecoder(r.Body).Decode(&run) != nil || json.Unmarshal(run.Input, &in) != nil || in.Index < 0 || in.Index >= len(t.trace.Requests()) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	crashed := t.crashed
	t.mutex.Unlock()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(run.Deadline)*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(crashed, cancel)()
	started, done := t.work(ctx, t.trace.Requests()[in.Index], run.Priority)
	switch {
	case crashed.Err() != nil:
		// Closes the connection without an answer, also if the work ended before the crash
		// reached its context.
		panic(http.ErrAbortHandler)
	case done:
		answer(w, http.StatusOK, t.ran(run, outcome.Done))
	case !started:
		answer(w, http.StatusServiceUnavailable, t.ran(run, outcome.NotRun))
	}
}

// work waits for a slot, then takes the time that the request needs.
func (t *target) work(ctx context.Context, q trace.Request, priority int) (started, done bool) {
	if !t.acquire(ctx, priority) {
		return false, false
	}
	defer t.release()
	left := t.rate.ServiceTime(q, t.hit(q.Prefix()))
	for left > 0 {
		slowdown := t.slowdown() * t.scale
		began := time.Now()
		select {
		case <-time.After(time.Duration(float64(min(left, quantum)) * slowdown)):
		case <-ctx.Done():
			return true, false
		}
		left -= time.Duration(float64(time.Since(began)) / slowdown)
	}
	return true, true
}

// slowdown is how many times longer running work takes now than alone.
func (t *target) slowdown() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.factor * t.rate.Slowdown(t.running)
}

// hit reports whether the prefix is cached, and makes it the most recently used one.
func (t *target) hit(prefix string) (ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if prefix == "" || t.rate.PrefixCacheSize() == 0 {
		return false
	}
	if i := slices.Index(t.cached, prefix); i >= 0 {
		t.cached = slices.Delete(t.cached, i, i+1)
		ok = true
	}
	t.cached = append(t.cached, prefix)
	if len(t.cached) > t.rate.PrefixCacheSize() {
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
	return true // the slot was given in the meantime
}

// admit gives free slots to waiting calls. The mutex is held.
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

func (t *target) ran(run wire.Run, o outcome.Outcome) wire.RunResult {
	return wire.RunResult{Request: run.Request, Stage: run.Stage, Attempt: run.Attempt, Outcome: o.String(), Output: run.Input, Load: t.load()}
}

func answer(w http.ResponseWriter, status int, data any) {
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(data)
}
