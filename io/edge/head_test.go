package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// malformedHeads change a sound response so that its head is malformed.
var malformedHeads = map[string]func(sound string) string{
	"status 000":                    withStatus("000"),
	"status 099":                    withStatus("099"),
	"status +20":                    withStatus("+20"),
	"status 600":                    withStatus("600"),
	"status 999":                    withStatus("999"),
	"status 000, then a sound one":  func(sound string) string { return "HTTP/1.1 000 \r\n\r\n" + sound },
	"status 000, then one with 000": func(sound string) string { return "HTTP/1.1 000 \r\n\r\n" + withStatus("000")(sound) },
	"status 103, then one with 000": func(sound string) string { return "HTTP/1.1 103 \r\n\r\n" + withStatus("000")(sound) },
	"space in a name":               withField("X Bad: v"),
	"space after a name":            withField("X-Bad : v"),
	"tab in a name":                 withField("X\tBad: v"),
	"NUL in a name":                 withField("X\x00Bad: v"),
	"DEL in a name":                 withField("X\x7fBad: v"),
	"CR before a name":              withField("\rX-Bad: v"),
	"CR in a name":                  withField("X\rBad: v"),
	"LF before a name":              withField("\nX-Bad: v"),
	"LF in a name":                  withField("X\nBad: v"),
	"space before a name":           withField(" X-Bad: v"),
	"tab before a name":             withField("\tX-Bad: v"),
	"empty name":                    withField(": v"),
	"space before the first name":   func(sound string) string { return strings.Replace(sound, "\r\n", "\r\n X-Bad: v\r\n", 1) },
	"space after Content-Length":    func(sound string) string { return strings.Replace(sound, "Content-Length:", "Content-Length :", 1) },
	"space before Content-Length":   func(sound string) string { return strings.Replace(sound, "Content-Length:", " Content-Length:", 1) },
	"space after Transfer-Encoding": func(sound string) string { return inChunks(sound, "Transfer-Encoding : chunked") },
	"space before Transfer-Encoding": func(sound string) string {
		return inChunks(sound, " Transfer-Encoding: chunked")
	},
	"space in the name of a hint": func(sound string) string { return "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + sound },
}

// withStatus replaces the status of a response.
func withStatus(status string) func(sound string) string {
	return func(sound string) string { return strings.Replace(sound, " 200 ", " "+status+" ", 1) }
}

// withField adds a line to the end of the head of a response.
func withField(line string) func(sound string) string {
	return func(sound string) string { return strings.Replace(sound, "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1) }
}

// inChunks replaces the length of a response by the line, and its body by one in a chunk.
func inChunks(sound, line string) (chunked string) {
	head, body, _ := strings.Cut(sound, "\r\n\r\n")
	head = strings.Replace(head, fmt.Sprintf("Content-Length: %d", len(body)), line, 1)
	return fmt.Sprintf("%s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

// TestMalformedHead guards against a response with a malformed head that reaches the caller as the answer,
// whole or in part, or counts as the answer to the call of a stage.
func TestMalformedHead(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		method, path, pool string
		change             func(r *http.Request)
	}{
		{http.MethodGet, "/read/", "plain", nil},
		{http.MethodPost, "/write/", "plain", nil},
		{http.MethodPost, "/chat/", "model", nil},
		{http.MethodPost, "/talk/", "model", standin.SetPieces},
		{http.MethodPost, "/talk/", "pieces", standin.SetPieces},
	} {
		for name, malform := range malformedHeads {
			t.Run(test.path+" "+test.pool+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newStore(t)
				s.PublishConfig(1)
				var malformed atomic.Bool
				for _, pool := range []string{"plain", "model", "pieces"} {
					var e *rawEngine
					e = newRawEngine(t, "i-"+pool, func(w io.Writer, r *http.Request, _ int) bool {
						response := e.sound(r)
						if pool == test.pool && malformed.Load() {
							response = malform(response)
						}
						_, _ = io.WriteString(w, response)
						return !malformed.Load()
					})
					s.RegisterAt(e.Target, e.address, pool, "ready")
				}
				host, _ := startHost(t, s, "e1")
				host.waitReady()
				n := 0
				call := func() (status int, body string) {
					n++
					// Equal requests would be refused as the cause of crashes.
					status, body, _ = host.call(test.method, fmt.Sprintf("%s?%d", test.path, n), fmt.Sprintf("r%06d", n), test.change)
					return status, body
				}
				host.wait(func() bool { status, _ := call(); return status == http.StatusOK })
				malformed.Store(true)
				for range 3 {
					status, body := call()
					is.True(status >= 500 && status < 600) // the host's own refusal
					is.True(!strings.Contains(body, "token"))
				}
				malformed.Store(false)
				host.wait(func() bool { status, body := call(); return status == http.StatusOK && body == eventText(1, 2) })
			})
		}
	}
}
