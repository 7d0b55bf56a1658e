package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnswerCutAnywhere guards against an answer that its target broke off, anywhere in its head or body,
// and that reaches the caller as a success with an empty or short body.
func TestAnswerCutAnywhere(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ method, path, pool, body string }{
		{http.MethodGet, "/read/", "plain", "whole body"},
		{http.MethodPost, "/write/", "plain", "whole body"},
		{http.MethodPost, "/chat/", "model", eventText(1, 2)},
		{http.MethodPost, "/once/", "model", eventText(1, 2)},
	} {
		for _, framing := range []string{"length", "chunks", "close"} {
			t.Run(test.path+" "+framing, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				answer := func(r *http.Request) string {
					return framed(200, framing, test.body, signature, requestID(r), "Content-Type: text/event-stream")
				}
				var cut atomic.Int64
				cut.Store(1 << 30)
				s := newStore(t)
				s.PublishConfig(1, `{"name":"once","host":"h.example","prefix":"/once/","kind":"streaming","timeoutMs":3000,"sloMs":900,"service":"model","maxAttempts":1,"gapAimMs":400}`)
				e := newRawEngine(t, "i-1", func(w io.Writer, r *http.Request, _ int) bool {
					whole := answer(r)
					_, _ = io.WriteString(w, whole[:min(int(cut.Load()), len(whole))])
					return false
				})
				s.RegisterAt(e.Target, e.address, test.pool, "ready")
				host, _ := startHost(t, s, "e1")
				host.waitReady()
				n := 0
				call := func() (status int, body string) {
					n++
					// Equal requests would be refused as the cause of crashes.
					status, body, _ = host.call(test.method, fmt.Sprintf("%s?%d", test.path, n), fmt.Sprintf("r%06d", n), nil)
					return status, body
				}
				host.wait(func() bool { status, _ := call(); return status == http.StatusOK })
				r := &http.Request{Header: http.Header{"X-Request-Id": {"r000000"}}}
				whole := answer(r)
				headEnd := strings.Index(whole, "\r\n\r\n") + 4
				for at := range len(whole) {
					if framing == "close" && at >= headEnd {
						break // its end says nothing as long as the target lives on
					}
					if framing == "chunks" && at >= len(whole)-2 {
						break // all but the line after the last chunk was sent
					}
					cut.Store(int64(at))
					before := e.requests.Load()
					status, body := call()
					is.True(e.requests.Load() > before) // the target was asked
					is.True(status != http.StatusOK)
					is.True(status == 0 || body == "")
					is.True(status != http.StatusServiceUnavailable || at == 0 && test.path == "/read/") // it may have run
				}
			})
		}
	}
}

// TestResumedAnswerCutAnywhere guards against a stream that ends as if it were complete because the
// target that was to resume it broke off, anywhere in its head or body.
func TestResumedAnswerCutAnywhere(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"length", "chunks", "close"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rest := func(r *http.Request) string {
				return framed(200, framing, eventText(4, 5), signature, requestID(r), eventStream)
			}
			var cut atomic.Int64
			cut.Store(1 << 30)
			s := newStore(t)
			s.PublishConfig(1)
			for _, id := range []string{"i-1", "i-2"} {
				e := newRawEngine(t, id, func(w io.Writer, r *http.Request, _ int) bool {
					if r.Header.Get("Last-Event-Id") == "" {
						whole := framed(200, "chunks", eventText(1, 3)+"id: 4\ndata: tok", signature, requestID(r), eventStream)
						_, _ = io.WriteString(w, strings.TrimSuffix(whole, "0\r\n\r\n"))
						return false
					}
					whole := rest(r)
					_, _ = io.WriteString(w, whole[:min(int(cut.Load()), len(whole))])
					return false
				})
				s.RegisterAt(e.Target, e.address, "model", "ready")
			}
			host, _ := startHost(t, s, "e1")
			host.waitReady()
			host.wait(func() bool {
				status, _, _ := host.call(http.MethodPost, "/chat/", "r000000", nil)
				return status == http.StatusOK
			})
			whole := rest(&http.Request{Header: http.Header{"X-Request-Id": {"r000000"}}})
			headEnd := strings.Index(whole, "\r\n\r\n") + 4
			for at := range len(whole) {
				if framing == "close" && at >= headEnd+len(eventText(4, 4)) || framing == "chunks" && at >= len(whole)-2 {
					break
				}
				cut.Store(int64(at))
				// Retries may be used up for a moment; then the stream is cut earlier.
				status, body, _ := host.call(http.MethodPost, fmt.Sprintf("/chat/?%d", at), fmt.Sprintf("r%06d", at), nil)
				is.True(status != http.StatusOK)
				is.True(strings.HasPrefix(eventText(1, 5), body))
				time.Sleep(time.Millisecond)
			}
		})
	}
}
