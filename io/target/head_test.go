package target_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/schedule"
	"sassafrasward/io/loopback"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// TestMalformedHead guards against an answer with a malformed head that counts as the answer to a call or to a
// command, or as a sign that its target is alive.
func TestMalformedHead(t *testing.T) {
	const token = "event: token\ndata: {\"request\":\"r\",\"stage\":\"s\",\"attempt\":1,\"index\":0,\"text\":\"x\"}\n\n"
	for name, test := range map[string]struct {
		status            int
		contentType, body string
	}{
		"answer":  {200, wire.ContentTypeJSON, answerBody("done")},
		"failure": {200, wire.ContentTypeJSON, answerBody("failed")},
		"refusal": {503, wire.ContentTypeJSON, answerBody("not-run")},
		"stream":  {200, wire.ContentTypeEvents, token + "event: end\ndata: " + answerBody("done") + "\n\n"},
	} {
		answer := framed(test.status, test.contentType, "length", test.body)
		for head, malformed := range map[string]string{
			"space in a name":               strings.Replace(answer, "\r\n", "\r\nX Bad: v\r\n", 1),
			"space after a name":            strings.Replace(answer, "Content-Length:", "Content-Length :", 1),
			"space before a name":           strings.Replace(answer, "Content-Length:", " Content-Length:", 1),
			"tab in a name":                 strings.Replace(answer, "\r\n", "\r\nX\tBad: v\r\n", 1),
			"LF before a name":              strings.Replace(answer, "\r\n\r\n", "\r\n\nX-Bad: v\r\n\r\n", 1),
			"status 000":                    "HTTP/1.1 000" + answer[len("HTTP/1.1 200"):],
			"status 600":                    "HTTP/1.1 600" + answer[len("HTTP/1.1 200"):],
			"status 103, then one with 000": "HTTP/1.1 103 Early Hints\r\n\r\n" + "HTTP/1.1 000" + answer[len("HTTP/1.1 200"):],
		} {
			t.Run(name+" "+head, func(t *testing.T) {
				is := is.New(t)
				address := loopback.ServeBytes(t, malformed)
				client := target.New()
				reply, err := client.Run(context.Background(), address, call, func(wire.Token) error { return nil })
				is.True(err != nil)
				is.Equal(reply.Status(), schedule.Crashed)
				reply, err = client.Command(context.Background(), address, call, time.Hour)
				is.True(err != nil)
				is.True(reply.Status() == schedule.Crashed && reply.Sent())
				is.True(!client.Alive(context.Background(), address))
			})
		}
		t.Run(name+" sound", func(t *testing.T) {
			is := is.New(t)
			reply, err := target.New().Run(context.Background(), loopback.ServeBytes(t, answer), call, func(wire.Token) error { return nil })
			is.NoErr(err)
			is.True(reply.Status() != schedule.Crashed)
		})
	}
}
