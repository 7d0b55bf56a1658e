package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that an engine ran.
type run struct {
	at      time.Time
	engine  string
	id      string
	path    string
	refused bool
}

// engine is a stand-in for an engine of any service.
type engine struct {
	id, service, zone string
	listener          net.Listener
	server            *http.Server
	// handle answers requests for this engine; nil for a short signed answer.
	handle func(e *engine, w http.ResponseWriter, r *http.Request)

	mutex sync.Mutex
	runs  []run
}

func newEngine(id, service, zone string, handle func(e *engine, w http.ResponseWriter, r *http.Request)) *engine {
	e := &engine{id: id, service: service, zone: zone, handle: handle, listener: listen("127.0.0.1:0")}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(e.listener) }()
	return e
}

// entry returns what the engine writes in the store.
func (e *engine) entry(state string, coldMs int) (key, value string) {
	return "servers/" + e.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":64,"state":%q,"coldRemainingMs":%d,"sequence":1,"born":%d}`,
		e.service, e.listener.Addr().String(), e.zone, state, coldMs, born.UnixMilli())
}

// born is when all engines started.
var born = time.Now()

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	e.mutex.Lock()
	e.runs = append(e.runs, run{at: at, engine: e.id, id: r.Header.Get("X-Request-Id"), path: r.URL.Path})
	e.mutex.Unlock()
	if e.handle != nil {
		e.handle(e, w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Response-Signature", "sig-"+e.id)
	_, _ = fmt.Fprintf(w, "done by %s\n", e.id)
}

// taken returns the requests that reached the engine.
func (e *engine) taken() []run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]run(nil), e.runs...)
}

// stop ends the engine.
func (e *engine) stop() { _ = e.server.Close() }
