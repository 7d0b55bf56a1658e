package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/io/wire"
)

// Paths by which a test or an operator changes the stand-in.
const (
	PathPublish  = "/admin/config"
	PathSetHosts = "/admin/hosts"
	PathFaults   = "/admin/mode"
)

// Platform stands in for the configuration service and the host list.
type Platform struct {
	mutex sync.Mutex
	// changed is closed and replaced at each change, which wakes waiting reads.
	changed chan struct{}
	// history holds all published documents; the version of an entry is its index + 1.
	history [][]byte
	// shown is the version that reads see; less than len(history) if the service is stale.
	shown int
	hosts wire.HostList
	down  bool
	stale bool
	calls int
}

// NewPlatform returns a stand-in with nothing published.
func NewPlatform() *Platform {
	return &Platform{changed: make(chan struct{})}
}

// Publish makes raw the newest configuration and returns its version.
func (p *Platform) Publish(raw []byte) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.history = append(p.history, raw)
	if !p.stale {
		p.shown = len(p.history)
	}
	p.notify()
	return uint64(len(p.history))
}

// SetHosts replaces the host list and raises its version.
func (p *Platform) SetHosts(hosts []wire.HostEntry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hosts = wire.HostList{Version: p.hosts.Version + 1, Hosts: hosts}
	p.notify()
}

// SetDown makes all reads fail while down is true.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
	p.notify()
}

// SetStale makes reads see the version with the given number until it is zero.
func (p *Platform) PinVersion(version int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stale = version > 0
	p.shown = len(p.history)
	if p.stale {
		p.shown = min(version, len(p.history))
	}
	p.notify()
}

// Calls returns the number of reads so far.
func (p *Platform) ReadCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathConfig, p.config)
	mux.HandleFunc("GET "+wire.PathHosts, p.list)
	mux.HandleFunc("PUT "+PathPublish, p.publish)
	mux.HandleFunc("PUT "+PathSetHosts, p.relist)
	mux.HandleFunc("PUT "+PathFaults, p.mode)
	return mux
}

func (p *Platform) config(w http.ResponseWriter, r *http.Request) {
	var raw []byte
	var version int
	ok := p.wait(w, r, func(after uint64) bool {
		version = p.shown
		if version == 0 || uint64(version) == after {
			return false
		}
		raw = p.history[version-1]
		return true
	})
	if ok {
		w.Header().Set(wire.HeaderVersion, strconv.Itoa(version))
		_, _ = w.Write(raw)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	var hosts wire.HostList
	ok := p.wait(w, r, func(after uint64) bool {
		hosts = p.hosts
		return hosts.Version != 0 && hosts.Version != after
	})
	if ok {
		writeJSON(w, http.StatusOK, hosts)
	}
}

// wait answers a long poll: it returns true once take, called under the mutex, does.
func (p *Platform) wait(w http.ResponseWriter, r *http.Request, take func(after uint64) bool) bool {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	p.mutex.Lock()
	p.calls++
	p.mutex.Unlock()
	for {
		p.mutex.Lock()
		down, taken, changed := p.down, !p.down && take(after), p.changed
		p.mutex.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		case taken:
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

func (p *Platform) publish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, p.Publish(raw))
}

func (p *Platform) relist(w http.ResponseWriter, r *http.Request) {
	var hosts []wire.HostEntry
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

// Mode is the body of a change of the stand-in's faults.
type Faults struct {
	Down          bool `json:"down"`
	PinnedVersion int  `json:"stale"`
}

func (p *Platform) mode(w http.ResponseWriter, r *http.Request) {
	var m Faults
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetDown(m.Down)
	p.PinVersion(m.PinnedVersion)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, data any) {
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(data)
}
