package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Engine is a stand-in for an engine of a plain service. It runs Slots requests at a time and queues
// Queue more; it answers each after Work.
type Engine struct {
	lab *Lab
	// ID and Address are as published; Zone and Service too.
	ID, Address, Zone, Service string
	Slots, Queue               int
	Work                       time.Duration
	// Turn, if not nil, decides on a request that the engine would take: it returns true if it has
	// answered the request itself.
	Turn func(w http.ResponseWriter, r *http.Request) bool

	born     int64
	listener net.Listener
	server   *http.Server
	slots    chan struct{}

	mutex    sync.Mutex
	waiting  int
	arrivals []Arrival
}

// Arrival is a request that reached an engine.
type Arrival struct {
	ID string
	At time.Duration
	// Ran is set if the engine began to work on it, Ended when its answer was written; zero if never.
	Ran   bool
	Ended time.Duration
}

// StartEngine starts an engine and publishes it as ready.
func (l *Lab) StartEngine(e *Engine) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.lab, e.listener, e.Address = l, listener, listener.Addr().String()
	e.slots = make(chan struct{}, e.Slots)
	e.born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: e, IdleTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	e.Publish("ready")
	return nil
}

// Publish writes the engine's entry to the store.
func (e *Engine) Publish(state string) {
	e.lab.Store.Put("servers/"+e.ID, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":1,"born":%d}`,
		e.Service, e.Address, e.Zone, e.Slots, state, e.born))
}

// Unpublish removes the engine's entry, as the store does after three missed heartbeats.
func (e *Engine) Unpublish() { e.lab.Store.Delete("servers/" + e.ID) }

// Arrivals returns the requests that reached the engine.
func (e *Engine) Arrivals() []Arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// Refuse answers that the request was not run.
func Refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *Engine) arrive(id string) (index int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.arrivals = append(e.arrivals, Arrival{ID: id, At: e.lab.Record.Now()})
	return len(e.arrivals) - 1
}

func (e *Engine) update(index int, change func(a *Arrival)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.arrivals[index])
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.ID)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	index := e.arrive(id)
	e.lab.Record.Add("%s: request %s arrives, %s ms left", e.ID, id, r.Header.Get("X-Deadline-Ms"))
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.ID {
		Refuse(w, http.StatusMisdirectedRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if e.Turn != nil && e.Turn(w, r) {
		return
	}
	if !e.takeSlot(ctx) {
		Refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.update(index, func(a *Arrival) { a.Ran = true })
	e.lab.Record.Add("%s: runs %s", e.ID, id)
	select {
	case <-time.After(e.Work):
	case <-ctx.Done():
		e.lab.Record.Add("%s: drops %s (%v)", e.ID, id, ctx.Err())
		w.Header().Set("X-Response-Signature", "sig."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	body, _ := json.Marshal(map[string]string{"done": id})
	w.Header().Set("X-Response-Signature", "sig."+id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	e.update(index, func(a *Arrival) { a.Ended = e.lab.Record.Now() })
	e.lab.Record.Add("%s: answers %s with 200", e.ID, id)
}

// takeSlot waits for a slot. It reports false if the queue is full or the context has ended.
func (e *Engine) takeSlot(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.mutex.Lock()
	if e.waiting >= e.Queue {
		e.mutex.Unlock()
		return false
	}
	e.waiting++
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.waiting--
		e.mutex.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
