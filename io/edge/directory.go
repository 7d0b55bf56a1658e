package edge

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sassafrasward/core/route"
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
	addresses := e.addresses(platform.ReadResolveQuery(r))
	if r.URL.Path != platform.PathResolve || len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteAddresses(w, addresses, min(addressTTL, e.settings.Limits().AddressTTL)); err != nil {
		e.metrics.Counter("directory.failed").Inc(1)
	}
}

// addresses returns the addresses of the live hosts that a caller is to use, or those of the suspected ones if no
// host is known to be alive. If routes of the host name have home regions, these are the hosts in the caller's region
// and in the home regions of all such routes, as long as there is one.
func (e *Edge) addresses(q platform.ResolveQuery) (addresses []string) {
	s := e.state.Load()
	alive, suspected, near := []string{}, []string{}, []string{}
	inHomes := e.homeFilter(s.table, q)
	for _, h := range s.hosts {
		switch {
		case h.Suspected:
			suspected = append(suspected, h.Address)
		case inHomes != nil && inHomes(h.Zone):
			near = append(near, h.Address)
		default:
			alive = append(alive, h.Address)
		}
	}
	for _, addresses = range [][]string{near, alive, suspected} {
		if len(addresses) > 0 {
			break
		}
	}
	return addresses[:min(len(addresses), maxAddresses)]
}

// homeFilter returns whether requests of a caller may go to hosts in a zone; nil if no route of the host name has home
// regions. Callers that don't state their region are in that of their zone.
func (e *Edge) homeFilter(t *route.Table, q platform.ResolveQuery) (inHomes func(zone string) bool) {
	if t == nil {
		return nil
	}
	homes, ok := t.HostHomes(q.Host)
	if !ok {
		return nil
	}
	regions := e.settings.ZoneRegions()
	caller := cmp.Or(q.Region, regions[q.Zone])
	return func(zone string) bool {
		region := regions[zone]
		if region == "" && zone == e.settings.Zone() {
			region = e.settings.Region()
		}
		return region != "" && (region == caller || slices.Contains(homes, region))
	}
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
