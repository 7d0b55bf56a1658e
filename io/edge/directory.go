package edge

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"sassafrasward/platform"
)

const (
	// answerLifetime is how long callers are told to keep an address answer. Some keep it
	// three times as long, so it decides how long a draining host is still called.
	answerLifetime = 2 * time.Second
	// addressMost bounds an address answer.
	addressMost = 64
)

// serveReady tells whether the host takes requests.
func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		http.NotFound(w, r)
		return
	}
	if !e.state.Load().ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveDirectory tells a caller which hosts to use.
func (e *Edge) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := e.addresses()
	if r.URL.Path != platform.PathResolve || len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteAddresses(w, addresses, min(answerLifetime, e.settings.Bounds().Lifetime)); err != nil {
		e.metrics.Counter("directory.failed").Inc(1)
	}
}

// addresses returns the hosts that callers are to use: those that are alive, or else those
// that are only suspected.
func (e *Edge) addresses() (addresses []string) {
	var suspected []string
	for _, h := range e.state.Load().hosts {
		if h.Suspected {
			suspected = append(suspected, h.Address)
		} else {
			addresses = append(addresses, h.Address)
		}
	}
	if len(addresses) == 0 {
		addresses = suspected
	}
	return addresses[:min(len(addresses), addressMost)]
}

// serveMetrics writes all counters and gauges as text, one a line.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	values := e.metrics.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, values[name]); err != nil {
			return // the reader has left
		}
	}
}
