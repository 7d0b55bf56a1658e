package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestRefusalOnceMore guards against a refusal that a target writes once more on a kept connection, and
// that is taken for the answer to the next request: its caller would be told that the request did not
// run, while the target runs it.
func TestRefusalOnceMore(t *testing.T) {
	t.Parallel()
	for _, status := range []int{400, 408, 409, 421, 429, 503} {
		for _, identified := range []bool{true, false} {
			for _, late := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d, identified %v, late %v", status, identified, late), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					refusal := framed(status, "length", "no", notExecuted)
					if identified {
						refusal = framed(status, "length", "no", notExecuted, "X-Request-Id: earlier")
					}
					host, e := startRaw(t, "plain", func(w io.Writer, r *http.Request, number int) bool {
						answer := framed(200, "length", r.Header.Get("X-Request-Id"), signature, requestID(r))
						switch {
						case number == 0 && !late:
							answer += refusal // before the next request
						case number > 0 && late:
							answer = refusal + answer // after the next request was sent
						}
						_, _ = io.WriteString(w, answer)
						return true
					})
					host.waitServed("/read/")
					for n := range 6 {
						id := fmt.Sprintf("r%d", n)
						before := e.requests.Load()
						status, body, _ := host.call(http.MethodGet, "/read/", id, nil)
						ran := e.requests.Load() > before
						is.True(status == http.StatusOK && body == id || ran && status == http.StatusBadGateway) // never "not run"
					}
				})
			}
		}
	}
}

// TestRefusalOnceMoreForCommands guards against a refusal of an earlier request that is taken for that
// of a command or of a stream, which may run once only.
func TestRefusalOnceMoreForCommands(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ path, pool, body string }{{"/write/", "plain", "done"}, {"/once/", "model", eventText(1, 2)}, {"/chat/", "model", eventText(1, 2)}} {
		for _, status := range []int{400, 408, 409, 421, 429, 503} {
			t.Run(fmt.Sprintf("%s %d", test.path, status), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newStore(t)
				s.PublishConfig(1, `{"name":"once","host":"h.example","prefix":"/once/","kind":"streaming","timeoutMs":3000,"sloMs":900,"service":"model","maxAttempts":2,"gapAimMs":400}`)
				e := newRawEngine(t, "i-1", func(w io.Writer, r *http.Request, number int) bool {
					refusal := framed(status, "length", "no", notExecuted, "X-Request-Id: earlier")
					_, _ = io.WriteString(w, refusal+framed(200, "length", test.body, signature, requestID(r), eventStream)+refusal)
					return true
				})
				s.RegisterAt(e.Target, e.address, test.pool, "ready")
				host, _ := startHost(t, s, "e1")
				host.waitReady()
				for n := range 4 {
					host.wait(func() bool {
						status, body, _ := host.call(http.MethodPost, test.path, fmt.Sprintf("c%d", n), nil)
						if e.requests.Load() == 0 {
							return false // the target is not known yet
						}
						is.Equal(status, http.StatusOK)
						is.Equal(body, test.body)
						return true
					})
				}
				is.True(e.connections.Load() >= 4) // none is used for two of them
			})
		}
	}
}
