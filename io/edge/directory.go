package edge

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"sassafrasward/platform"
)

const (
	// addressTTL is how long callers are told to cache an address response. Some cache it three
	// times as long, which determines how long a draining host still gets requests.
	addressTTL = 2 * time.Second
	// maxAddresses is the maximum number of addresses in a response.
	maxAddresses = 64
)

// serveReady serves the readiness check: 200 if the host accepts requests, otherwise 503.
func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		http.NotFound(w, r)
		return
	}
	if !e.state.Load().ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveDirectory serves the addresses of the hosts that callers should use.
func (e *Edge) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := e.addresses()
	if r.URL.Path != platform.PathResolve || len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteAddresses(w, addresses, min(addressTTL, e.settings.Limits().AddressTTL)); err != nil {
		e.metrics.Counter("directory.failed").Inc(1)
	}
}

// addresses returns the addresses of the live hosts, or those of the suspected ones if no host
// is known to be alive.
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
	return addresses[:min(len(addresses), maxAddresses)]
}

// serveMetrics writes all counters and gauges as text, one per line.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.callers.record(e.metrics)
	values := e.metrics.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, values[name]); err != nil {
			return // the client disconnected
		}
	}
}
