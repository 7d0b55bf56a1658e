package integration_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

// slowRoutes are routes of each kind with timeouts that are short compared to the grace period of an
// edgeHost, and of each kind with timeouts that exceed it.
var slowRoutes = []string{
	`{"name":"book","host":"h.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":4000,"sloMs":3000,"service":"plain","maxAttempts":1}`,
	`{"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent","timeoutMs":4000,"sloMs":3000,"service":"plain","maxAttempts":2}`,
	`{"name":"tell","host":"h.example","prefix":"/tell/","kind":"streaming","timeoutMs":4000,"sloMs":3000,"service":"model","maxAttempts":1,"gapAimMs":400}`,
	`{"name":"staged","host":"h.example","prefix":"/staged/","kind":"streaming","timeoutMs":4000,"sloMs":3000,"service":"model","maxAttempts":1,"gapAimMs":400,
	  "stages":[{"service":"pieces","after":[],"bytes":10},{"service":"pieces","after":[0],"bytes":10}]}`,
	`{"name":"long","host":"h.example","prefix":"/long/","kind":"streaming","timeoutMs":30000,"sloMs":20000,"service":"model","maxAttempts":1,"gapAimMs":9000}`,
	`{"name":"hold","host":"h.example","prefix":"/hold/","kind":"non_idempotent","timeoutMs":30000,"sloMs":20000,"service":"plain","maxAttempts":1}`,
	`{"name":"wait","host":"h.example","prefix":"/wait/","kind":"idempotent","timeoutMs":30000,"sloMs":20000,"service":"plain","maxAttempts":1}`,
}

// edgeHost is a process of an edge host with the grace period of the deployments, and its targets.
type edgeHost struct {
	*process
	t             *testing.T
	caller        string
	plain, models *standin.Target
}

// startEdge starts an edge host with one target of each kind. Requests to the routes above take the
// given time.
func startEdge(t *testing.T, work time.Duration) (h *edgeHost) {
	t.Helper()
	h = &edgeHost{t: t, caller: loopback.FreeAddress()}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PublishConfig(1, slowRoutes...)
	target := func(id, pool, quick string, answer http.HandlerFunc) *standin.Target {
		e := standin.NewTarget(id, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, quick) || pause(r, work) {
				answer(w, r)
			}
		})
		t.Cleanup(e.Stop)
		store.Register(e, pool, "ready")
		return e
	}
	h.plain = target("i-1", "plain", "/read/", func(w http.ResponseWriter, _ *http.Request) { standin.Sign(w) })
	h.models = target("i-2", "model", "/chat/", func(w http.ResponseWriter, _ *http.Request) {
		standin.Sign(w)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
	})
	target("i-3", "pieces", "/", nil)
	settings := filepath.Join(t.TempDir(), "host.ini")
	text := fmt.Sprintf("[host]\nname = e1\nzone = a\ncaller = %s\npeer = %s\n[edge]\ngrace = 8\n[platform]\naddress = %s\n[join]\nmode = alone\n", h.caller, loopback.FreeAddress(), store.Address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = startProcess(t, "sassafrasward", "edge", "--settings", settings)
	for n := 0; h.send("/read/", fmt.Sprintf("warm%d", n)).status != http.StatusOK || h.send("/chat/", fmt.Sprintf("warm%d", n)).status != http.StatusOK; n++ {
		if n == 400 {
			t.Fatal("the host does not serve")
		}
		time.Sleep(25 * time.Millisecond)
	}
	return h
}

// pause waits for d and reports whether the caller of the request is still there.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// edgeResponse is the end of a request to an edge host. The status is 0 without a complete response.
type edgeResponse struct {
	id, path, retryAfter string
	status               int
	// sent is when the request was sent, since the host was told to stop.
	sent time.Duration
}

// send sends a request on a connection of its own.
func (h *edgeHost) send(path, id string) (result edgeResponse) {
	h.t.Helper()
	result = edgeResponse{id: id, path: path}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	standin.SetHeaders(r, id)
	standin.SetPieces(r)
	standin.SetTimeout(r, 30*time.Second)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		result.status, result.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	}
	return result
}

// passedOn reports whether a target has got the request.
func (h *edgeHost) passedOn(id string) bool {
	return slices.Contains(h.plain.RequestIDs(), id) || slices.Contains(h.models.RequestIDs(), id)
}

// stopAndSend tells the host to stop and sends one request to each of the paths at every interval
// until the host accepts no more connections.
func (h *edgeHost) stopAndSend(interval time.Duration, paths ...string) (results []edgeResponse) {
	h.t.Helper()
	began := time.Now()
	h.signal(syscall.SIGTERM)
	var mutex sync.Mutex
	var callers sync.WaitGroup
	for n := 0; h.accepts(); n++ {
		for _, path := range paths {
			callers.Go(func() {
				sent := time.Since(began)
				r := h.send(path, fmt.Sprintf("late%s%d", path, n))
				r.sent = sent
				mutex.Lock()
				defer mutex.Unlock()
				results = append(results, r)
			})
		}
		time.Sleep(interval)
	}
	callers.Wait()
	return results
}

// accepts reports whether the host accepts a connection of a caller.
func (h *edgeHost) accepts() bool {
	c, err := net.Dial("tcp", h.caller)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// TestLateInGracePeriod guards against requests that a stopping host takes although it can't wait for
// them, so that they are cut off at the end of the grace period: commands, idempotent requests and
// streams, with stages or without.
func TestLateInGracePeriod(t *testing.T) {
	is := is.New(t)
	h := startEdge(t, 2500*time.Millisecond)
	paths := []string{"/book/", "/look/", "/tell/", "/staged/"}
	served, refused := make(map[string]int), make(map[string]int)
	for _, r := range h.stopAndSend(150*time.Millisecond, paths...) {
		switch {
		case r.status == http.StatusOK:
			served[r.path]++
		case r.status == http.StatusServiceUnavailable && !h.passedOn(r.id):
			refused[r.path]++
			is.True(r.retryAfter != "") // another host takes it
		case r.status == 0 && !h.passedOn(r.id):
			// The host had stopped.
		default:
			t.Errorf("%s, sent %v after the signal, ended with status %d; passed on: %v", r.path, r.sent, r.status, h.passedOn(r.id))
		}
	}
	for _, path := range paths {
		is.True(served[path] >= 10)  // of about 24 that the host can wait for
		is.True(refused[path] >= 10) // of about 25
	}
	is.Equal(h.waitExit(), 0)
}

// TestLongerThanGracePeriod guards against requests that end without a response because they take
// longer than the rest of the grace period.
func TestLongerThanGracePeriod(t *testing.T) {
	is := is.New(t)
	h := startEdge(t, time.Minute)
	results := make(chan edgeResponse, 2)
	for _, path := range []string{"/long/", "/wait/"} {
		go func() { results <- h.send(path, "early"+path) }()
	}
	for !h.passedOn("early/long/") || !h.passedOn("early/wait/") {
		time.Sleep(5 * time.Millisecond)
	}
	h.signal(syscall.SIGTERM)
	for range 2 {
		is.Equal((<-results).status, http.StatusBadGateway) // they may have run
	}
	is.Equal(h.waitExit(), 0)
}
