package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// TestBytesUnchanged guards against changes to a forwarded request or response, forged internal
// headers, and API keys that are forwarded to targets.
func TestBytesUnchanged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	e := newEngine(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		standin.Sign(w)
		w.Header().Set("X-Weight-Versions", "3")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "short and stout")
	})
	s.PublishConfig(1)
	s.Register(e, "plain", "ready")
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.wait(func() bool { host.call(http.MethodGet, "/read/", "warm", nil); return len(e.RequestIDs()) > 0 })
	status, body, h := host.call(http.MethodPost, "/write/a%2Fb/./c//d?x=%20&y", "r1", func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("b\x00dy"))
		r.ContentLength = -1
		r.Header.Set("X-Tenant", "forged")
		r.Header.Set("X-Hold", "forged")
		r.Header.Set("X-Other", "kept")
	})
	is.Equal(status, http.StatusTeapot)
	is.Equal(body, "short and stout")
	is.Equal([]string{h.Get("X-Response-Signature"), h.Get("X-Weight-Versions")}, []string{"sig", "3"})
	r := e.LastRequest()
	is.Equal([]string{r.Method, r.RequestURI, r.Host, r.Body}, []string{"POST", "/write/a%2Fb/./c//d?x=%20&y", "h.example", "b\x00dy"})
	is.Equal([]string{r.Header.Get("X-Tenant"), r.Header.Get("X-Api-Key"), r.Header.Get("X-Hold"), r.Header.Get("X-Other")}, []string{"thun", "", "", "kept"})
	is.Equal(r.Header.Get("Accept-Encoding"), "") // the caller sent none
}

// TestRefusalStatuses guards against wrong statuses of responses that the host itself generates.
func TestRefusalStatuses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	host, _ := startHost(t, s, "e1")
	host.wait(func() bool { status, _, _ := host.call(http.MethodGet, "/read/", "r", nil); return status != 0 })
	status, _, h := host.call(http.MethodGet, "/nowhere/", "r0", nil)
	is.Equal(status, http.StatusServiceUnavailable) // not 404: no configuration is known yet
	is.True(h.Get("Retry-After") != "")
	s.PublishConfig(1)
	host.waitReady()
	for _, test := range []struct {
		path   string
		change func(r *http.Request)
		status int
	}{
		{"/nowhere/", nil, http.StatusNotFound},
		{"/read/", func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		{"/read/", func(r *http.Request) { r.Header.Set("X-Api-Key", "wrong") }, http.StatusUnauthorized},
		{"/read/", func(r *http.Request) { r.Header.Del("X-Api-Key") }, http.StatusUnauthorized},
		{"/read/", func(r *http.Request) { r.Header.Del("X-Request-Id") }, http.StatusBadRequest},
		{"/write/", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, http.StatusRequestEntityTooLarge},
		{"/read/", nil, http.StatusServiceUnavailable}, // no target
	} {
		status, _, _ := host.call(http.MethodGet, test.path, "r1", test.change)
		is.Equal(status, test.status)
	}
}

// TestFleetStart guards against callers that come back to a starting fleet before any host serves,
// and use up their retries: they are told to wait until then.
func TestFleetStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	host, _ := startHost(t, s, "e1")
	host.wait(func() bool { status, _, _ := host.call(http.MethodGet, "/read/", "r", nil); return status != 0 })
	for range 20 {
		status, _, h := host.call(http.MethodGet, "/read/", "r", nil)
		is.Equal(status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds >= 0.8 && seconds <= 1.2)
	}
}

// TestCommandRunsOnce guards against a command that is retried after it may have run, and against
// a status that says that it did not run.
func TestCommandRunsOnce(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		handle func(w http.ResponseWriter, r *http.Request)
		status int
	}{
		{"reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
		{"broken body", func(w http.ResponseWriter, _ *http.Request) {
			standin.Sign(w)
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
		{"unsigned", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, http.StatusBadGateway},
		{"busy, may have run", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, http.StatusBadGateway},
		{"failure", func(w http.ResponseWriter, _ *http.Request) {
			standin.Sign(w)
			w.WriteHeader(http.StatusInternalServerError)
		}, http.StatusInternalServerError},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(t)
			s.PublishConfig(1)
			engines := []*standin.Target{}
			for _, id := range []string{"i-1", "i-2"} {
				e := newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/read/") {
						signed("ok")(w, r)
						return
					}
					test.handle(w, r)
				})
				engines = append(engines, e)
				s.Register(e, "plain", "ready")
			}
			host, _ := startHost(t, s, "e1")
			host.waitReady()
			host.waitServed("/read/")
			status, _, _ := host.call(http.MethodPost, "/write/", "c1", nil)
			is.Equal(status, test.status)
			reached := len(without(engines[0].RequestIDs(), "warm")) + len(without(engines[1].RequestIDs(), "warm"))
			is.Equal(reached, 1)
		})
	}
}

// TestRefusedCommandIsRetried guards against a command that fails because one target refused to
// run it, although another target could run it.
func TestRefusedCommandIsRetried(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	var full atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		s.Register(newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && full.Add(1) == 1 {
				standin.Refuse(w)
				return
			}
			signed("done")(w, r)
		}), "plain", "ready")
	}
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.waitServed("/read/")
	status, body, _ := host.call(http.MethodPost, "/write/", "c1", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "done")
	full.Store(0)
}

// TestIdempotentIsRetried guards against an idempotent request that fails because its first target
// dropped the connection.
func TestIdempotentIsRetried(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	var failing atomic.Bool
	var first atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		s.Register(newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
			if failing.Load() && first.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			signed("ok")(w, r)
		}), "plain", "ready")
	}
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.waitServed("/read/")
	failing.Store(true)
	status, body, _ := host.call(http.MethodGet, "/read/", "r1", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
}

// events writes events with the IDs from first to last. If not complete, it then breaks the
// connection in the middle of the next event.
func events(w http.ResponseWriter, first, last int, complete bool) {
	standin.Sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token%d\n\n", i, i)
	}
	if !complete {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: tok", last+1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestStreamResumes guards against a stream that loses, repeats or merges events when its target
// drops the connection in the middle of one.
func TestStreamResumes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	for _, id := range []string{"i-1", "i-2"} {
		s.Register(newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
			if from := r.Header.Get("Last-Event-Id"); from != "" {
				is.Equal(from, "3")
				events(w, 4, 6, true)
				return
			}
			events(w, 1, 3, false)
		}), "model", "ready")
	}
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	var status int
	var body string
	host.wait(func() bool {
		status, body, _ = host.call(http.MethodPost, "/chat/", "s1", nil)
		return status == http.StatusOK
	})
	want := ""
	for i := 1; i <= 6; i++ {
		want += fmt.Sprintf("id: %d\ndata: token%d\n\n", i, i)
	}
	is.Equal(body, want)
}

// TestSlowStream guards against a slow but sound stream that is cut, or started again at another
// target, because its events come just within the longest pause.
func TestSlowStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	engines := []*standin.Target{}
	for _, id := range []string{"i-1", "i-2"} {
		e := newEngine(t, id, func(w http.ResponseWriter, _ *http.Request) {
			for i := 1; i <= 3; i++ {
				events(w, i, i, true)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(800 * time.Millisecond)
			}
		})
		engines = append(engines, e)
		s.Register(e, "model", "ready")
	}
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.wait(func() bool {
		_, body, _ := host.call(http.MethodPost, "/chat/", "s1", nil)
		return strings.HasSuffix(body, "token3\n\n")
	})
	is.Equal(len(engines[0].RequestIDs())+len(engines[1].RequestIDs()), 1)
}

// TestStreamWithoutEvents guards against a stalled stream that never ends because its target sends
// comments, a line without end or an event without end. Another target resumes it.
func TestStreamWithoutEvents(t *testing.T) {
	t.Parallel()
	for name, noise := range map[string]struct {
		text  string
		pause time.Duration
	}{
		"comments":          {":\n\n", 20 * time.Millisecond},
		"a byte at a time":  {"x", 20 * time.Millisecond},
		"line without end":  {strings.Repeat("x", 64<<10), 0},
		"event without end": {strings.Repeat("data: x\n", 8<<10), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			s.PublishConfig(1)
			for _, id := range []string{"i-1", "i-2"} {
				s.Register(newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Last-Event-Id") != "" {
						events(w, 4, 6, true)
						return
					}
					events(w, 1, 3, true)
					for r.Context().Err() == nil {
						if _, err := io.WriteString(w, noise.text); err != nil {
							return
						}
						w.(http.Flusher).Flush()
						time.Sleep(noise.pause)
					}
				}), "model", "ready")
			}
			host, _ := startHost(t, s, "e1")
			host.waitReady()
			host.wait(func() bool {
				_, body, _ := host.call(http.MethodPost, "/chat/", "s1", nil)
				is.True(len(body) < 64<<10)
				return strings.HasSuffix(body, "token6\n\n")
			})
		})
	}
}

// TestTargetsFullAfterRestart guards against requests that fail because the targets of their pieces are full for
// a moment, as after a restart of all hosts, when the targets still work for those of before.
func TestTargetsFullAfterRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	host, pieces, _ := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) })
	host.wait(func() bool {
		status, _, _ := host.call(http.MethodPost, "/talk/", "s1", standin.SetPieces)
		return status == http.StatusOK
	})
	const refused = 6
	pieces.RefuseCalls(refused)
	calls := len(pieces.RequestIDs())
	status, body, _ := host.call(http.MethodPost, "/talk/", "s2", standin.SetPieces)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasSuffix(body, "token2\n\n"))
	is.Equal(len(pieces.RequestIDs())-calls, refused+2) // two stages
}

// startStaged starts a host with a target for the pieces of stages and a target for the model.
func startStaged(t *testing.T, handle func(w http.ResponseWriter, r *http.Request)) (host *testHost, pieces, model *standin.Target) {
	s := newStore(t)
	s.PublishConfig(1)
	pieces, model = newEngine(t, "i-1", nil), newEngine(t, "i-2", handle)
	s.Register(pieces, "pieces", "ready")
	s.Register(model, "model", "ready")
	host, _ = startHost(t, s, "e1")
	host.waitReady()
	return host, pieces, model
}

// TestStages guards against pieces with wrong inputs, results that the model does not get, and
// results that are never released.
func TestStages(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	host, pieces, model := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) })
	host.wait(func() bool {
		status, _, _ := host.call(http.MethodPost, "/talk/", "s1", standin.SetPieces)
		return status == http.StatusOK
	})
	inputs := model.LastRequest().Header.Get("X-Inputs")
	want := []string{}
	for i := range 3 {
		want = append(want, fmt.Sprintf("%s/s1.1.%d.2", pieces.Address(), i)) // two inputs each
	}
	is.Equal(inputs, strings.Join(want, ","))
	host.wait(func() bool { return pieces.FreedResults() >= 5 })
}

// TestLostInputs guards against requests that fail because the inputs of a stage are gone though
// they can be produced again, and against stages that are rerun endlessly.
func TestLostInputs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	host, pieces, model := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) })
	host.wait(func() bool {
		status, _, _ := host.call(http.MethodPost, "/talk/", "s1", standin.SetPieces)
		return status == http.StatusOK
	})
	pieces.FailInputs(1)
	status, _, _ := host.call(http.MethodPost, "/talk/", "s2", standin.SetPieces)
	is.Equal(status, http.StatusOK)
	is.Equal(len(strings.Split(model.LastRequest().Header.Get("X-Inputs"), ",")), 3)
	pieces.FailInputs(10)
	status, _, h := host.call(http.MethodPost, "/talk/", "s3", standin.SetPieces)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(h.Get("Retry-After") != "")
	is.Equal(model.LastRequest().ID(), "s2")
}

// TestFullTargets guards against counting each piece of a call as a retry of its own when the
// target had no memory for the results. After the loss of all hosts, unreleased results still
// occupy the targets' memory, and requests then failed for lack of retry quota.
func TestFullTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	host, pieces, _ := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) })
	host.wait(func() bool {
		status, _, _ := host.call(http.MethodPost, "/talk/", "s1", standin.SetPieces)
		return status == http.StatusOK
	})
	// The host may retry 1.25 requests in 10 s; a call has up to 4 pieces.
	pieces.FailMemory(1)
	status, _, _ := host.call(http.MethodPost, "/talk/", "s2", func(r *http.Request) { standin.SetPieceCounts(r, 8, 3) })
	is.Equal(status, http.StatusOK)
}

// TestStreamResumesWithNewInputs guards against a stream that is cut off because its inputs were
// released when it started, and another target can't resume it without them.
func TestStreamResumesWithNewInputs(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PublishConfig(1)
	pieces := newEngine(t, "i-1", nil)
	s.Register(pieces, "pieces", "ready")
	// before is the number of calls for pieces when the stream broke.
	var before atomic.Int64
	for _, id := range []string{"i-2", "i-3"} {
		s.Register(newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
			calls := int64(len(pieces.RequestIDs()))
			switch {
			case r.Header.Get("Last-Event-Id") == "":
				before.Store(calls)
				events(w, 1, 2, false)
			case calls < before.Load()+2:
				standin.RefuseMissingInputs(w) // the two stages were not rerun
			default:
				events(w, 3, 4, true)
			}
		}), "model", "ready")
	}
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	n := 0
	host.wait(func() bool {
		n++
		_, body, _ := host.call(http.MethodPost, "/plan/", fmt.Sprintf("p%d", n), standin.SetPieces)
		return strings.HasSuffix(body, "token4\n\n")
	})
}

// TestBrokenStream guards against a broken stream of a route with one attempt that looks complete
// to its caller, or is started again.
func TestBrokenStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	host, _, model := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, false) })
	n := 0
	host.wait(func() bool {
		n++
		status, body, h := host.call(http.MethodPost, "/talk/", fmt.Sprintf("s%d", n), standin.SetPieces)
		is.True(status != http.StatusOK)
		return h != nil && strings.HasSuffix(body, "token2\n\n")
	})
	is.Equal(len(model.RequestIDs()), 1)
}

// TestCallerDisconnects guards against targets that keep working for a caller that disconnected.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	canceled := make(chan struct{})
	e := newEngine(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/read/slow" {
			signed("ok")(w, r)
			return
		}
		<-r.Context().Done()
		close(canceled)
	})
	s.Register(e, "plain", "ready")
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.waitServed("/read/")
	client := &http.Client{Timeout: 200 * time.Millisecond}
	r, err := http.NewRequest(http.MethodGet, "http://"+host.address+"/read/slow", nil)
	is.NoErr(err)
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Api-Key", "key")
	response, err := client.Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	is.True(err != nil)
	<-canceled
}

// TestRouteTimeout guards against requests that are held longer than the timeout of their route.
func TestRouteTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1, `{"name":"quick","host":"h.example","prefix":"/quick/","kind":"non_idempotent","timeoutMs":300,"sloMs":300,"service":"plain","maxAttempts":1}`)
	e := newEngine(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/quick/") {
			<-r.Context().Done()
			return
		}
		signed("ok")(w, r)
	})
	s.Register(e, "plain", "ready")
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.waitServed("/read/")
	status, _, _ := host.call(http.MethodPost, "/quick/", "c1", nil)
	is.Equal(status, http.StatusGatewayTimeout) // it may have run
	timeLeft := e.LastRequest().TimeLeft()
	is.True(timeLeft > "200" && timeLeft <= "300") // milliseconds
}

// TestLeavingTarget guards against requests to targets that are leaving or were removed.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	e1, e2 := newEngine(t, "i-1", signed("1")), newEngine(t, "i-2", signed("2"))
	s.Register(e1, "plain", "ready")
	s.Register(e2, "plain", "draining")
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.waitServed("/read/")
	is.Equal(len(e2.RequestIDs()), 0)
	s.Register(e2, "plain", "ready")
	host.wait(func() bool { _, body, _ := host.call(http.MethodGet, "/read/", "r", nil); return body == "2" })
	s.Put("servers/i-1", "")
	host.wait(func() bool {
		before := len(e1.RequestIDs())
		for range 20 {
			host.call(http.MethodGet, "/read/", "r", nil)
		}
		return len(e1.RequestIDs()) == before
	})
}

// TestRestartWhileStoreDown guards against a target that left, or a key that was withdrawn, in use
// again after the restart of a host that can't read the store.
func TestRestartWhileStoreDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	left, stays := newEngine(t, "i-1", signed("left")), newEngine(t, "i-2", signed("stays"))
	s.Register(left, "plain", "ready")
	s.Register(stays, "plain", "ready")
	host1, peer := startHost(t, s, "e1")
	host1.waitReady()
	host1.wait(func() bool { _, body, _ := host1.call(http.MethodGet, "/read/", "warm", nil); return body == "left" })
	s.ReplaceKey("new")
	s.PublishConfig(2)
	s.Put("servers/i-1", "")
	withKey := func(key string) func(r *http.Request) {
		return func(r *http.Request) { r.Header.Set("X-Api-Key", key) }
	}
	host1.wait(func() bool {
		status, _, _ := host1.call(http.MethodGet, "/read/", "warm", withKey("new"))
		return status == http.StatusOK
	})
	host1.wait(func() bool { // the removal is known as well
		before := len(left.RequestIDs())
		for range 20 {
			host1.call(http.MethodGet, "/read/", "warm", withKey("new"))
		}
		return len(left.RequestIDs()) == before
	})
	before := len(left.RequestIDs())
	brokenStore := newStore(t)
	brokenStore.SetBroken(true)
	host2, _ := startHost(t, brokenStore, "e2", peer)
	host2.wait(func() bool { status, _, _ := host2.call(http.MethodGet, "/read/", "r", nil); return status != 0 })
	host2.wait(func() bool {
		status, _, _ := host2.call(http.MethodGet, "/read/", "r", withKey("new"))
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
		withdrawn, _, _ := host2.call(http.MethodGet, "/read/", "r", nil)
		is.True(withdrawn == http.StatusUnauthorized || withdrawn == http.StatusServiceUnavailable)
		return status == http.StatusOK && withdrawn == http.StatusUnauthorized
	})
	for range 20 {
		_, body, _ := host2.call(http.MethodGet, "/read/", "r", withKey("new"))
		is.Equal(body, "stays")
	}
	is.Equal(len(left.RequestIDs()), before)
}

// TestConfigurations guards against a configuration that does not reach all hosts, including one
// that can't read the store, or that is replaced by an older one.
func TestConfigurations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(3)
	e := newEngine(t, "i-1", signed("ok"))
	s.Register(e, "plain", "ready")
	host1, peer := startHost(t, s, "e1")
	host1.waitReady()
	brokenStore := newStore(t)
	brokenStore.SetBroken(true)
	host2, _ := startHost(t, brokenStore, "e2", peer)
	host2.waitReady() // with the configuration of the other host
	added := `{"name":"new","host":"h.example","prefix":"/new/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2}`
	s.PublishConfig(5, added)
	host1.waitServed("/new/")
	host2.wait(func() bool {
		status, _, _ := host2.call(http.MethodGet, "/new/", "r", nil)
		return status != http.StatusNotFound
	})
	s.PublishConfig(4) // an older one
	time.Sleep(300 * time.Millisecond)
	status, _, _ := host1.call(http.MethodGet, "/new/", "r", nil)
	is.Equal(status, http.StatusOK)
	host1.wait(func() bool {
		r, err := http.Get("http://" + host1.directory + "/resolve?name=h.example&zone=a")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		body, _ := io.ReadAll(r.Body)
		return strings.Contains(string(body), host1.address) && strings.Contains(string(body), host2.address) && strings.Contains(string(body), `"ttlS":2`)
	})
}

// TestPlannedStop guards against requests that are cut off by a planned stop.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	release := make(chan struct{})
	e := newEngine(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/write/slow" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		signed("done")(w, r)
	})
	s.Register(e, "plain", "ready")
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.waitServed("/read/")
	statuses := make(chan int, 1)
	go func() {
		status, _, _ := host.call(http.MethodPost, "/write/slow", "c1", nil)
		statuses <- status
	}()
	host.wait(func() bool { return len(without(e.RequestIDs(), "warm")) == 1 })
	host.stop()
	host.wait(func() bool {
		r, err := http.Get("http://" + host.ready + "/readyz")
		if err != nil {
			return true
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusServiceUnavailable
	})
	// A caller with a cached address that would keep its connection open.
	c, err := net.Dial("tcp", host.address)
	is.NoErr(err)
	defer func() { is.NoErr(c.Close()) }()
	_, err = io.WriteString(c, "GET /read/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\nX-Api-Key: key\r\n\r\n")
	is.NoErr(err)
	raw, err := io.ReadAll(c)
	is.NoErr(err) // the host closes the connection
	is.True(strings.HasPrefix(string(raw), "HTTP/1.1 200 OK"))
	is.True(strings.Contains(string(raw), "Connection: close"))
	close(release)
	is.Equal(<-statuses, http.StatusOK)
}

// TestCrashingRequest guards against a request that crashes one target after another, also when
// its caller retries it at another host.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	var engines []*standin.Target
	for i := range 6 {
		var e *standin.Target
		e = newEngine(t, fmt.Sprintf("i-%d", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/write/poison" {
				signed("ok")(w, r)
				return
			}
			go e.Stop() // the target crashes
			panic(http.ErrAbortHandler)
		})
		engines = append(engines, e)
		s.Register(e, "plain", "ready")
	}
	host1, peer := startHost(t, s, "e1")
	host1.waitReady()
	host2, _ := startHost(t, s, "e2", peer)
	host2.waitReady()
	host1.waitServed("/read/")
	host2.waitServed("/read/")
	refused := false
	for n := 0; n < 40 && !refused; n++ {
		host := []*testHost{host1, host2}[n%2]
		status, _, _ := host.call(http.MethodPost, "/write/poison", fmt.Sprintf("p%d", n), nil)
		refused = status == http.StatusServiceUnavailable
		time.Sleep(100 * time.Millisecond)
	}
	is.True(refused)
	reached := 0
	for _, e := range engines {
		reached += len(without(e.RequestIDs(), "warm"))
	}
	is.True(reached <= 4)
	host2.waitServed("/read/") // other requests still run
}

// TestCallerWaitsAfterBody guards against a caller that is treated as disconnected because it
// waits for the response longer than it may take to send its body.
func TestCallerWaitsAfterBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	e := newEngine(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/write/slow" {
			time.Sleep(500 * time.Millisecond)
		}
		signed("done")(w, r)
	})
	s.Register(e, "plain", "ready")
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.waitServed("/read/")
	status, body, _ := host.call(http.MethodPost, "/write/slow", "c1", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	})
	is.Equal(status, http.StatusOK)
	is.Equal(body, "done")
}

// TestDisconnectsFreeTarget guards against requests that count as in flight forever after their
// caller disconnected in the middle of a stream: their target would look busy.
func TestDisconnectsFreeTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	var engines []*standin.Target
	for _, id := range []string{"i-1", "i-2"} {
		e := newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/chat/endless" {
				events(w, 1, 1, true)
				return
			}
			standin.Sign(w)
			for i := 1; r.Context().Err() == nil; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64<<10))
				_ = http.NewResponseController(w).Flush()
			}
		})
		engines = append(engines, e)
		s.Register(e, "model", "ready")
	}
	host, _ := startHost(t, s, "e1")
	host.waitReady()
	host.wait(func() bool {
		status, _, _ := host.call(http.MethodPost, "/chat/", "warm", standin.SetSharedPrompt)
		return status == http.StatusOK
	})
	host.call(http.MethodPost, "/chat/", "first", standin.SetSharedPrompt)
	preferred := engines[0]
	if !slices.Contains(preferred.RequestIDs(), "first") {
		preferred = engines[1]
	}
	for range 12 {
		c, err := net.Dial("tcp", host.address)
		is.NoErr(err)
		r, err := http.NewRequest(http.MethodPost, "http://"+host.address+"/chat/endless", nil)
		is.NoErr(err)
		standin.SetHeaders(r, "left")
		standin.SetSharedPrompt(r)
		is.NoErr(r.Write(c))
		_, err = c.Read(make([]byte, 1000))
		is.NoErr(err)
		is.NoErr(c.(*net.TCPConn).SetLinger(0))
		is.NoErr(c.Close())
	}
	host.wait(func() bool {
		return host.sharedServed("/chat/", "again") && slices.Contains(preferred.RequestIDs(), "again")
	})
}
