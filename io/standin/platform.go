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

// Paths through which a test or an operator changes the state of the stand-in.
const (
	PathPublish  = "/admin/config"
	PathSetHosts = "/admin/hosts"
	PathFaults   = "/admin/mode"
)

// Platform stands in for the configuration service and the host list.
type Platform struct {
	mutex sync.Mutex
	// changed is closed and replaced on each change, which wakes waiting reads.
	changed chan struct{}
	// history has all published configurations; the version of an entry is its index + 1.
	history [][]byte
	// visible is the version that reads return; it may be less than len(history) while pinned.
	visible int
	hosts   wire.HostList
	down    bool
	pinned  bool
	reads   int
}

// NewPlatform returns a stand-in without a configuration and host list.
func NewPlatform() *Platform {
	return &Platform{changed: make(chan struct{})}
}

// Publish makes raw the newest configuration and returns its version.
func (p *Platform) Publish(raw []byte) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.history = append(p.history, raw)
	if !p.pinned {
		p.visible = len(p.history)
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

// SetDown makes all reads fail with status 503 while down is true.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
	p.notify()
}

// PinVersion makes reads return the given version instead of the newest one, as a stale
// service does. Zero ends this.
func (p *Platform) PinVersion(version int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pinned = version > 0
	p.visible = len(p.history)
	if p.pinned {
		p.visible = min(version, len(p.history))
	}
	p.notify()
}

// ReadCount returns the number of reads so far, including failed ones.
func (p *Platform) ReadCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathConfig, p.serveConfig)
	mux.HandleFunc("GET "+wire.PathHosts, p.serveHosts)
	mux.HandleFunc("PUT "+PathPublish, p.handlePublish)
	mux.HandleFunc("PUT "+PathSetHosts, p.handleSetHosts)
	mux.HandleFunc("PUT "+PathFaults, p.handleFaults)
	return mux
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	var raw []byte
	var version int
	ok := p.longPoll(w, r, func(after uint64) bool {
		version = p.visible
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

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	var hosts wire.HostList
	ok := p.longPoll(w, r, func(after uint64) bool {
		hosts = p.hosts
		return hosts.Version != 0 && hosts.Version != after
	})
	if ok {
		writeJSON(w, http.StatusOK, hosts)
	}
}

// longPoll waits until read, which is called with the mutex held, returns true, and then
// returns true. On a timeout or while the platform is down, it writes the response itself and
// returns false.
func (p *Platform) longPoll(w http.ResponseWriter, r *http.Request, read func(after uint64) bool) bool {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	p.mutex.Lock()
	p.reads++
	p.mutex.Unlock()
	for {
		p.mutex.Lock()
		down, newer, changed := p.down, !p.down && read(after), p.changed
		p.mutex.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		case newer:
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

func (p *Platform) handlePublish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, p.Publish(raw))
}

func (p *Platform) handleSetHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []wire.HostEntry
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

// Faults is the request body that sets the faults of the stand-in.
type Faults struct {
	Down          bool `json:"down"`
	PinnedVersion int  `json:"stale"`
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetDown(faults.Down)
	p.PinVersion(faults.PinnedVersion)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, data any) {
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(data)
}
