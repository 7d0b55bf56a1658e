package target_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/schedule"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// TestUnframedAnswers guards against an answer that breaks off, and counts as complete because it has
// neither a length nor chunks and its connection was closed in good order.
func TestUnframedAnswers(t *testing.T) {
	const token = "event: token\ndata: {\"request\":\"r\",\"stage\":\"s\",\"attempt\":1,\"index\":0,\"text\":\"x\"}\n\n"
	end := answerBody("done")
	for name, test := range map[string]struct {
		contentType, body string
		completed         bool
	}{
		"whole stream":                 {wire.ContentTypeEvents, token + "event: end\ndata: " + end + "\n\n", true},
		"stream without its last line": {wire.ContentTypeEvents, token + "event: end\ndata: " + end + "\n", false},
		"stream after an event":        {wire.ContentTypeEvents, token, false},
		"stream inside an event":       {wire.ContentTypeEvents, token + token[:20], false},
		"whole answer":                 {wire.ContentTypeJSON, end, true},
		"half an answer":               {wire.ContentTypeJSON, end[:len(end)-1], false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Type: " + test.contentType + "\r\n\r\n" + test.body)
				_ = buffered.Flush()
				_ = conn.Close()
			}))
			defer s.Close()
			reply, _ := target.New().Run(context.Background(), strings.TrimPrefix(s.URL, "http://"), call, func(wire.Token) error { return nil })
			is.Equal(reply.Status() == schedule.Completed, test.completed)
		})
	}
}
