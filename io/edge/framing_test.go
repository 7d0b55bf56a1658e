package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// writeUntilClose writes a signed stream that has neither a length nor chunks, and closes the
// connection in good order.
func writeUntilClose(w http.ResponseWriter, body string) {
	standin.Sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("\r\n" + body)
	_ = buffered.Flush() // fails if the host has closed the connection
	_ = conn.Close()
}

// startModels starts a host with two targets for the model.
func startModels(t *testing.T, handle func(w http.ResponseWriter, r *http.Request)) (host *testHost) {
	t.Helper()
	s := newStore(t)
	s.PublishConfig(1)
	for _, id := range []string{"i-1", "i-2"} {
		s.Register(newEngine(t, id, handle), "model", "ready")
	}
	host, _ = startHost(t, s, "e1")
	host.waitReady()
	return host
}

// eventText returns the events with the numbers from first to last as they are sent.
func eventText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token%d\n\n", i, i)
	}
	return b.String()
}

// lineRecorder is a log that keeps its lines.
type lineRecorder struct {
	mutex sync.Mutex
	lines []string
}

// logger returns a logger that writes to the recorder.
func (l *lineRecorder) logger() logr.Logger {
	return funcr.NewJSON(func(line string) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.lines = append(l.lines, line)
	}, funcr.Options{})
}

// has reports whether a line contains all the texts.
func (l *lineRecorder) has(texts ...string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, line := range l.lines {
		missing := false
		for _, text := range texts {
			missing = missing || !strings.Contains(line, text)
		}
		if !missing {
			return true
		}
	}
	return false
}

// TestEndOfStreamIsLogged guards against logs that don't tell a whole stream from one that broke off:
// how the target marked the end, and what came after the last whole event.
func TestEndOfStreamIsLogged(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PublishConfig(1)
	s.Register(newEngine(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		switch (standin.ReceivedRequest{Request: r}).ID() {
		case "length":
			events(w, 1, 2, true)
		case "chunks":
			events(w, 1, 2, true)
			_ = http.NewResponseController(w).Flush()
		case "close":
			writeUntilClose(w, eventText(1, 3))
		default:
			writeUntilClose(w, eventText(1, 3)+"id: 4\ndat")
		}
	}), "model", "ready")
	host := prepareHost(t, s, "e1")
	log := &lineRecorder{}
	host.run(context.Background(), log.logger())
	host.waitReady()
	for id, want := range map[string]string{
		"length": "2 events and 0 bytes framed by length",
		"chunks": "2 events and 0 bytes framed by chunks",
		"close":  "3 events and 0 bytes framed by close",
		"broken": "3 events and 9 bytes framed by close",
	} {
		host.wait(func() bool {
			host.call(http.MethodPost, "/chat/", id, nil)
			return log.has(`"event":1302`, `"request":"`+id+`"`, want)
		})
	}
}

// writeChunks writes a signed stream in chunks with a proper last one.
func writeChunks(w http.ResponseWriter, body string) {
	standin.Sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
}

// TestStreamEndsInsideEvent guards against a stream that its target broke off inside an event and
// that reaches the caller as complete, because its connection or its chunks ended in good order.
func TestStreamEndsInsideEvent(t *testing.T) {
	t.Parallel()
	for framing, write := range map[string]func(http.ResponseWriter, string){"close": writeUntilClose, "chunks": writeChunks} {
		for name, rest := range map[string]string{
			"in a name":             "i",
			"in the data":           "id: 4\ndata: tok",
			"before the empty line": "id: 4\ndata: token4\n",
		} {
			t.Run(framing+" "+name+", cut", func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				host, _, model := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { write(w, eventText(1, 3)+rest) })
				n := 0
				host.wait(func() bool {
					n++
					status, body, h := host.call(http.MethodPost, "/talk/", fmt.Sprintf("s%d", n), standin.SetPieces)
					is.True(status != http.StatusOK) // the connection to the caller is cut
					return h != nil && body == eventText(1, 3)
				})
				is.Equal(len(model.RequestIDs()), 1) // a stream that can't be resumed runs once
			})
			t.Run(framing+" "+name+", resumed", func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				host := startModels(t, func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Last-Event-Id") == "3" {
						write(w, eventText(4, 6))
						return
					}
					write(w, eventText(1, 3)+rest)
				})
				var status int
				var body string
				host.wait(func() bool {
					status, body, _ = host.call(http.MethodPost, "/chat/", "s1", nil)
					return status == http.StatusOK
				})
				is.Equal(body, eventText(1, 6))
			})
		}
	}
}

// TestStreamEndsAfterEvent guards against a whole stream that is cut because it has neither a length
// nor chunks, or ends with a comment.
func TestStreamEndsAfterEvent(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]string{"event": "", "comment": ": end\n", "empty line": "\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			host, _, _ := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { writeUntilClose(w, eventText(1, 3)+end) })
			var body string
			host.wait(func() bool {
				status := 0
				status, body, _ = host.call(http.MethodPost, "/talk/", "s1", standin.SetPieces)
				return status == http.StatusOK
			})
			is.Equal(body, eventText(1, 3)+end)
		})
	}
}

// TestStreamOfComments guards against a stream without an event that reaches the caller as complete,
// because its target sent comments.
func TestStreamOfComments(t *testing.T) {
	t.Parallel()
	for framing, write := range map[string]func(http.ResponseWriter, string){"close": writeUntilClose, "chunks": writeChunks} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			host, _, _ := startStaged(t, func(w http.ResponseWriter, _ *http.Request) { write(w, ": wait\n\n") })
			host.wait(func() bool {
				status, body, h := host.call(http.MethodPost, "/talk/", "s1", standin.SetPieces)
				is.True(status != http.StatusOK) // the connection to the caller is cut
				return h != nil && body == ": wait\n\n"
			})
		})
	}
}

// TestResumedStreamWithoutEvents guards against a broken stream that reaches the caller as complete,
// because the target that was to resume it ended its response before the first event. Only if the
// stream broke after a whole event, and the response states that it has no more, is it complete.
func TestResumedStreamWithoutEvents(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		inside bool
		resume func(w http.ResponseWriter)
		status int
	}{
		"nothing until close":    {false, func(w http.ResponseWriter) { writeUntilClose(w, "") }, 0},
		"comment until close":    {false, func(w http.ResponseWriter) { writeUntilClose(w, ": wait\n\n") }, 0},
		"no chunk for the rest":  {true, func(w http.ResponseWriter) { writeChunks(w, "") }, 0},
		"no chunk after the end": {false, func(w http.ResponseWriter) { writeChunks(w, "") }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			host := startModels(t, func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Header.Get("Last-Event-Id") != "":
					test.resume(w)
				case test.inside:
					events(w, 1, 3, false)
				default:
					events(w, 1, 3, true)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			})
			host.wait(func() bool {
				status, body, h := host.call(http.MethodPost, "/chat/", "s1", nil)
				if h == nil || !strings.HasPrefix(body, eventText(1, 3)) {
					return false // the targets are not known yet
				}
				is.Equal(status, test.status)
				return true
			})
		})
	}
}

// TestUnframedAnswerOfCrashedTarget guards against an answer without length or chunks that reaches
// the caller as complete, although its target crashed after a part that looks whole.
func TestUnframedAnswerOfCrashedTarget(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		method, path, pool, part, whole string
		status                          int
	}{
		{http.MethodPost, "/chat/", "model", eventText(1, 3), eventText(1, 6), http.StatusOK},
		{http.MethodPost, "/once/", "model", eventText(1, 3), "", 0},
		{http.MethodGet, "/read/", "plain", "half", "half and half", http.StatusOK},
		{http.MethodPost, "/write/", "plain", "half", "", http.StatusBadGateway},
	} {
		t.Run(test.path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			s.PublishConfig(1, `{"name":"once","host":"h.example","prefix":"/once/","kind":"streaming","timeoutMs":3000,"sloMs":900,"service":"model","maxAttempts":2,"gapAimMs":400}`)
			var crashed atomic.Bool
			for _, id := range []string{"i-1", "i-2"} {
				var e *standin.Target
				e = newEngine(t, id, func(w http.ResponseWriter, r *http.Request) {
					if !crashed.Swap(true) {
						_ = e.Listener.Close()
						writeUntilClose(w, test.part)
						return
					}
					writeUntilClose(w, strings.TrimPrefix(test.whole, eventText(1, 3)))
				})
				s.Register(e, test.pool, "ready")
			}
			host, _ := startHost(t, s, "e1")
			host.waitReady()
			host.wait(func() bool {
				status, body, _ := host.call(test.method, test.path, "s1", nil)
				if !crashed.Load() {
					return false // the targets are not known yet
				}
				is.Equal(status, test.status)
				if status == http.StatusOK {
					is.Equal(body, test.whole)
				}
				return true
			})
		})
	}
}
