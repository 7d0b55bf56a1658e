package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createRev,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// copyOf is a copy of the store at one moment.
type copyOf struct {
	revision uint64
	items    map[string]item
	history  []item
}

// store is a stand-in for the platform's metadata store.
type store struct {
	listener net.Listener

	mutex    sync.Mutex
	era      int
	revision uint64
	items    map[string]item
	history  []item
	// changed is closed and replaced at each change.
	changed chan struct{}
	// away is set while the store closes every connection without an answer.
	away bool
}

func newStore() *store {
	s := &store{era: 1, revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	s.listener = listen("127.0.0.1:0")
	go func() { _ = (&http.Server{Handler: eraHeader{s}}).Serve(s.listener) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an entry and returns when the store acknowledged it, and its revision.
func (s *store) put(key, value string) (acked time.Time, revision uint64) {
	return s.change(item{Key: key, Value: []byte(value)})
}

// remove removes an entry.
func (s *store) remove(key string) (acked time.Time, revision uint64) {
	return s.change(item{Key: key, Deleted: true})
}

func (s *store) change(i item) (acked time.Time, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
	return time.Now(), s.revision
}

// wake wakes the watches that wait. The mutex is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the store.
func (s *store) copy() copyOf {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return copyOf{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// setAway makes the store close all connections without an answer, or ends that.
func (s *store) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	s.wake()
}

// restore replaces the content by a copy: what was written since is lost, and the era rises by one.
func (s *store) restore(c copyOf) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, answer, ok := s.answer(r)
	if !ok {
		panic(http.ErrAbortHandler) // closes the connection
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if status == http.StatusOK {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// pageSize is the number of items of one page.
const pageSize = 50

// answer returns the answer to a call; ok is false if the connection is to be closed instead.
func (s *store) answer(r *http.Request) (status int, answer map[string]any, ok bool) {
	query := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return 0, nil, false
	}
	switch r.URL.Path {
	case "/kv-key":
		i, found := s.items[query.Get("key")]
		if !found {
			return http.StatusNotFound, nil, true
		}
		return http.StatusOK, map[string]any{
			"key": i.Key, "value": i.Value, "revision": i.Revision, "createRev": i.Created, "lease": 0, "storeRevision": s.revision,
		}, true
	case "/kv-range":
		page, more := []item{}, false
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if !strings.HasPrefix(key, query.Get("prefix")) || key <= query.Get("after") {
				continue
			}
			if len(page) == pageSize {
				more = true
				break
			}
			page = append(page, s.items[key])
		}
		return http.StatusOK, map[string]any{"items": page, "hasMore": more, "storeRevision": s.revision}, true
	case "/kv-watch":
		return s.watch(r)
	}
	return http.StatusNotFound, nil, true
}

// watch answers a long poll. The mutex is held, and released while it waits.
func (s *store) watch(r *http.Request) (status int, answer map[string]any, ok bool) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	era := s.era
	for over := false; ; {
		switch {
		case s.away || s.era != era:
			return 0, nil, false
		case after > s.revision:
			return http.StatusGone, nil, true // it doesn't have this revision
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "storeRevision": s.revision}, true
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-limit:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mutex.Lock()
	}
}

// eraHeader sets the header with the era on every answer.
type eraHeader struct {
	*store
}

func (h eraHeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mutex.Lock()
	era := h.era
	h.mutex.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	h.store.ServeHTTP(w, r)
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// Each host has an address of its own in the loopback range, so that no outgoing connection takes one of its ports.
var (
	network   = 16 + rand.IntN(200)
	lastHost  int
	hostPorts = []int{8625, 8621, 8628, 8620, 7740}
)

// hostAddresses returns the addresses on which a new host is to listen.
func hostAddresses() (addresses []string) {
	for range 200 {
		lastHost++
		addresses = nil
		for _, port := range hostPorts {
			address := fmt.Sprintf("127.%d.%d.1:%d", network, lastHost, port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				break
			}
			_ = l.Close()
			addresses = append(addresses, address)
		}
		if len(addresses) == len(hostPorts) {
			return addresses
		}
	}
	cannotRun("no free addresses")
	return nil
}
