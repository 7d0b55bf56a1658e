package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestErrorInsteadOfRest guards against the text of an error in the middle of a stream, and against a
// stream that ends as if it were complete: the first target broke off, and the one that was to resume
// answers with an error.
func TestErrorInsteadOfRest(t *testing.T) {
	t.Parallel()
	const text = "id: 9\ndata: error text\n\n"
	for _, status := range []int{200, 204, 206, 301, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
		for _, framing := range []string{"length", "chunks", "close"} {
			for name, headers := range map[string][]string{"signed": {signature}, "unsigned": nil, "not run": {notExecuted}} {
				if status == 200 && name == "signed" {
					headers = []string{signature, "Content-Type: text/plain"}
				}
				t.Run(fmt.Sprintf("%d %s %s", status, framing, name), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newStore(t)
					s.PublishConfig(1)
					var resumed atomic.Int64
					for _, id := range []string{"i-1", "i-2"} {
						e := newRawEngine(t, id, func(w io.Writer, r *http.Request, _ int) bool {
							if r.Header.Get("Last-Event-Id") == "" {
								whole := framed(200, "chunks", eventText(1, 3)+"id: 4\ndata: tok", signature, requestID(r), eventStream)
								_, _ = io.WriteString(w, strings.TrimSuffix(whole, "0\r\n\r\n"))
								return false
							}
							resumed.Add(1)
							body := text
							if status == 204 {
								body = ""
							}
							_, _ = io.WriteString(w, framed(status, framing, body, append(headers, requestID(r))...))
							return false
						})
						s.RegisterAt(e.Target, e.address, "model", "ready")
					}
					host, _ := startHost(t, s, "e1")
					host.waitReady()
					host.wait(func() bool {
						status, body, h := host.call(http.MethodPost, "/chat/", "s1", nil)
						if h == nil || resumed.Load() == 0 {
							return false // the targets are not known yet
						}
						is.Equal(status, 0) // the stream is cut
						is.Equal(body, eventText(1, 3))
						return true
					})
				})
			}
		}
	}
}
