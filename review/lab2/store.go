package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store.
type store struct {
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     int    `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// newStore starts an empty store.
func newStore() (s *store, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &store{address: l.Addr().String(), revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an entry; a nil value removes it.
func (s *store) put(key string, value any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i := storeItem{Key: key, Revision: s.revision, CreateRev: s.items[key].CreateRev}
	if value == nil {
		if _, ok := s.items[key]; !ok {
			return
		}
		i.Deleted = true
		delete(s.items, key)
	} else {
		i.Value, _ = json.Marshal(value)
		if i.CreateRev == 0 {
			i.CreateRev = s.revision
		}
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := map[string]any{}
	switch r.URL.Path {
	case "/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer = map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "createRev": i.CreateRev, "lease": 0}
	case "/kv-range":
		items := []storeItem{}
		for _, i := range s.items {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				items = append(items, i)
			}
		}
		answer["items"], answer["hasMore"] = items, false
	case "/kv-watch":
		answer["events"] = s.wait(r, q.Get("prefix"), q.Get("after"), q.Get("waitMs"))
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer["storeRevision"] = s.revision
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// wait returns the changes after a revision, and waits for one. The mutex is held, and released during the wait.
func (s *store) wait(r *http.Request, prefix, after, waitMs string) (events []storeItem) {
	revision, _ := strconv.ParseUint(after, 10, 64)
	ms, _ := strconv.Atoi(waitMs)
	limit := time.After(time.Duration(ms) * time.Millisecond)
	for over := false; ; {
		events = []storeItem{}
		for _, i := range s.history {
			if i.Revision > revision && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || over {
			return events
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
