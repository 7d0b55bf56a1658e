package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/io/edge"
	"sassafrasward/io/setting"
)

// store is a stand-in for the metadata store.
type store struct {
	*httptest.Server

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	// history has all changes.
	history []item
	changed chan struct{}
	// broken makes all calls fail.
	broken bool
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore(t *testing.T) *store {
	t.Helper()
	s := &store{items: make(map[string]item), changed: make(chan struct{}), revision: 1}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

// put writes an entry; an empty value removes it.
func (s *store) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i := item{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == ""}
	if i.Deleted {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix := r.URL.Query().Get("prefix")
	answer := map[string]any{"storeRevision": s.revision}
	switch {
	case s.broken:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Path == "/kv-key":
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer["key"], answer["value"], answer["revision"] = i.Key, i.Value, i.Revision
	case r.URL.Path == "/kv-range":
		items := []item{}
		for _, i := range s.items {
			if strings.HasPrefix(i.Key, prefix) {
				items = append(items, i)
			}
		}
		answer["items"], answer["hasMore"] = items, false
	default:
		answer["events"] = s.wait(r.Context(), r.URL.Query().Get("after"))
		answer["storeRevision"] = s.revision
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// wait returns the changes after a revision as soon as there are some.
func (s *store) wait(ctx context.Context, after string) (events []item) {
	revision, _ := strconv.ParseUint(after, 10, 64)
	limit := time.After(time.Second)
	for {
		events = []item{}
		for _, i := range s.history {
			if i.Revision > revision {
				events = append(events, i)
			}
		}
		if len(events) > 0 {
			return events
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
			s.mutex.Lock()
		case <-limit:
			s.mutex.Lock()
			return events
		case <-ctx.Done():
			s.mutex.Lock()
			return events
		}
	}
}

// engine is a stand-in for a target of any kind, with a ledger of what it was asked.
type engine struct {
	*httptest.Server

	id string
	// handle answers a request after it was noted.
	handle func(w http.ResponseWriter, r *http.Request)

	mutex sync.Mutex
	seen  []*http.Request
	// bodies has the body of each request in seen.
	bodies []string
	freed  []string
}

func newEngine(t *testing.T, id string, handle func(w http.ResponseWriter, r *http.Request)) *engine {
	t.Helper()
	e := &engine{id: id, handle: handle}
	e.Server = httptest.NewServer(e)
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func (e *engine) address() string { return e.Listener.Addr().String() }

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/stage-free" {
		var call struct{ Handles []string }
		_ = json.Unmarshal(body, &call)
		e.mutex.Lock()
		e.freed = append(e.freed, call.Handles...)
		e.mutex.Unlock()
		return
	}
	e.mutex.Lock()
	e.seen = append(e.seen, r)
	e.bodies = append(e.bodies, string(body))
	e.mutex.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/stage-run" {
		e.pieces(w, body)
		return
	}
	e.handle(w, r)
}

// pieces answers each piece with a handle that tells what it was made from.
func (e *engine) pieces(w http.ResponseWriter, body []byte) {
	var call struct {
		Items []struct {
			ID           string
			Stage, Piece int
			Key          string
			Inputs       []string
		}
	}
	_ = json.Unmarshal(body, &call)
	items := []map[string]string{}
	for _, i := range call.Items {
		items = append(items, map[string]string{"handle": fmt.Sprintf("%s/%s.%d.%d.%s%d", e.address(), i.ID, i.Stage, i.Piece, i.Key, len(i.Inputs))})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
}

// requests returns the ids of the requests that reached the engine.
func (e *engine) requests() (ids []string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, r := range e.seen {
		ids = append(ids, r.Header.Get("X-Request-Id"))
	}
	return ids
}

func signed(w http.ResponseWriter) { w.Header().Set("X-Response-Signature", "sig") }

// whole answers with a signed body.
func whole(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		signed(w)
		_, _ = io.WriteString(w, body)
	}
}

// world is a store, engines and one host.
type world struct {
	t     *testing.T
	store *store
	// address is where callers are served; ready and directory are the other addresses.
	address, ready, directory string
	stop                      context.CancelFunc
	done                      chan error
}

// free returns an address on loopback that nothing listens on.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start runs a host named name against the store.
func start(t *testing.T, s *store, name string, seeds ...string) (w *world, peer string) {
	t.Helper()
	w = &world{t: t, store: s, address: free(t), ready: free(t), directory: free(t), done: make(chan error, 1)}
	peer = free(t)
	text := fmt.Sprintf("[host]\nname = %s\nzone = a\ncaller = %s\npeer = %s\n[edge]\nready = %s\ndirectory = %s\ngrace = 3\n[platform]\naddress = %s\n[join]\nmode = alone\n",
		name, w.address, peer, w.ready, w.directory, s.Listener.Addr())
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ",") + "\n"
	}
	settings, err := setting.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	e := edge.New(settings, logr.Discard())
	go func() { w.done <- e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-w.done
	})
	return w, peer
}

// register publishes an engine.
func (s *store) register(e *engine, pool, state string) {
	s.put("servers/"+e.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":%q,"coldRemainingMs":0,"sequence":1}`,
		pool, e.address(), state))
}

// config publishes a configuration with routes for each kind; extra has further routes.
func (s *store) config(version int, extra ...string) {
	routes := append([]string{
		`{"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2}`,
		`{"name":"write","host":"h.example","prefix":"/write/","kind":"non_idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2}`,
		`{"name":"chat","host":"h.example","prefix":"/chat/","kind":"streaming","timeoutMs":3000,"sloMs":900,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":400}`,
		`{"name":"talk","host":"h.example","prefix":"/talk/","kind":"streaming","timeoutMs":3000,"sloMs":900,"service":"model","maxAttempts":1,"gapAimMs":400,
		  "stages":[{"service":"pieces","after":[],"bytes":10},{"service":"pieces","after":[0],"bytes":10}]}`,
	}, extra...)
	s.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"plain","maxConnections":9},
		{"name":"model","maxConnections":9,"engine":{"slots":4,"kvTokens":1000}},
		{"name":"pieces","maxConnections":9,"pieces":{"slots":1,"queue":2,"batch":4,"callMs":1,"itemMs":1,"roomMb":1,"handleS":4}}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"thun","apiKeys":["key"]}]}`, version, strings.Join(routes, ",")))
}

// wait waits until f holds.
func (w *world) wait(f func() bool) {
	w.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatal("did not happen in time")
}

// waitReady waits until the host takes requests.
func (w *world) waitReady() {
	w.t.Helper()
	w.wait(func() bool {
		r, err := http.Get("http://" + w.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// call makes one request and returns its status and body; the status is 0 if the answer
// breaks off.
func (w *world) call(method, path, id string, change func(r *http.Request)) (status int, body string, h http.Header) {
	w.t.Helper()
	r, err := http.NewRequest(method, "http://"+w.address+path, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Api-Key", "key")
	r.Header.Set("X-Deadline-Ms", "2500")
	if change != nil {
		change(r)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(raw), response.Header
	}
	return response.StatusCode, string(raw), response.Header
}

// served waits until requests with the path reach an engine.
func (w *world) served(path string) {
	w.t.Helper()
	n := 0
	w.wait(func() bool {
		n++
		status, _, _ := w.call(http.MethodGet, path, "warm"+strconv.Itoa(n), nil)
		return status == http.StatusOK
	})
}

func without(list []string, prefix string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return strings.HasPrefix(s, prefix) })
}
