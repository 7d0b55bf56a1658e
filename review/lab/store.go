package lab

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time that the store takes for an answer, as on the sheets.
	storeDelay = 4 * time.Millisecond
	// pageItems is the number of items in one answer to /kv-range.
	pageItems = 500
)

// Store is a stand-in for the platform's metadata store.
type Store struct {
	record *Record
	server *http.Server
	// Address is where the store serves.
	Address string

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
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

func newStore(record *Record) (*Store, error) {
	s := &Store{record: record, revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Put writes an item and returns once it is acknowledged.
func (s *Store) Put(key, value string) {
	s.change(storeItem{Key: key, Value: []byte(value)})
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.change(storeItem{Key: key, Deleted: true})
}

func (s *Store) change(i storeItem) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i.Revision, i.CreateRev = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.CreateRev = old.CreateRev
	}
	if i.Deleted {
		delete(s.items, i.Key)
		s.record.Add("store: %s removed at revision %d", i.Key, i.Revision)
	} else {
		s.items[i.Key] = i
		s.record.Add("store: %s written at revision %d", i.Key, i.Revision)
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.serveItem(w, query.Get("key"))
	case "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(r.Context(), w, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveItem(w http.ResponseWriter, key string) {
	s.mutex.Lock()
	i, ok := s.items[key]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		storeItem
		StoreRevision uint64 `json:"storeRevision"`
	}{i, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mutex.Lock()
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	answer(w, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": more, "storeRevision": revision})
}

func (s *Store) serveWatch(ctx context.Context, w http.ResponseWriter, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		answer(w, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}
