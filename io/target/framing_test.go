package target_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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

// TestResetWhileWriting guards against the part of an answer that counts as completed, because its target reset the
// connection while the call was still being written.
func TestResetWhileWriting(t *testing.T) {
	const token = "event: token\ndata: {\"request\":\"r\",\"stage\":\"s\",\"attempt\":1,\"index\":0,\"text\":\"x\"}\n\n"
	end := answerBody("done")
	long := call
	long.Input = json.RawMessage(`"` + strings.Repeat("x", 8<<20) + `"`)
	for name, answer := range map[string]string{
		"half a stream":  framed(http.StatusOK, wire.ContentTypeEvents, "close", token),
		"half an answer": framed(http.StatusOK, wire.ContentTypeJSON, "close", end[:len(end)-1]),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(conn, answer) // the client may have gone
				time.Sleep(10 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}))
			defer s.Close()
			for range 4 {
				reply, _ := target.New().Run(context.Background(), strings.TrimPrefix(s.URL, "http://"), long, func(wire.Token) error { return nil })
				is.True(reply.Status() != schedule.Completed)
			}
		})
	}
}
