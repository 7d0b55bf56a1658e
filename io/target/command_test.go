package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// server answers each call with a status and a body and counts calls and connections.
type server struct {
	*httptest.Server
	calls, conns atomic.Int64
}

func newServer(t *testing.T, status int, body string) *server {
	s := &server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if body == "" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *server) address() string { return strings.TrimPrefix(s.URL, "http://") }

// readings returns a clock that returns the values in turn and then repeats the last one.
func readings(values ...time.Duration) func() time.Duration {
	return func() time.Duration {
		v := values[0]
		if len(values) > 1 {
			values = values[1:]
		}
		return v
	}
}

func answerBody(outcome string) string {
	return fmt.Sprintf(`{"request":"r","stage":"s","attempt":1,"outcome":%q}`, outcome)
}

var call = wire.Run{Request: "r", Stage: "s", Attempt: 1}

// TestCommandAnswers guards against inferring more from an answer than it says: a command counts
// as done, failed or not run only if the target's answer says so.
func TestCommandAnswers(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		end    schedule.CallStatus
	}{
		{200, answerBody("done"), schedule.Completed},
		{500, answerBody("done"), schedule.Crashed},
		{503, answerBody("not-run"), schedule.Busy},
		{200, answerBody("not-run"), schedule.Crashed},
		{500, answerBody("not-run"), schedule.Crashed},
		{200, answerBody("failed"), schedule.Rejected},
		{500, answerBody("failed"), schedule.Rejected},
		{200, answerBody("unknown"), schedule.Crashed},
		{200, answerBody("word"), schedule.Crashed},
		{200, strings.Replace(answerBody("done"), `"r"`, `"other"`, 1), schedule.Crashed},
		{503, strings.Replace(answerBody("not-run"), `"s"`, `"other"`, 1), schedule.Crashed},
		{503, "<html>", schedule.Crashed},
		{200, answerBody("done")[:20], schedule.Crashed},
		{200, "", schedule.Crashed},
	} {
		s := newServer(t, test.status, test.body)
		reply, err := target.New(target.WithClock(readings(0))).Command(context.Background(), s.address(), call, time.Minute)
		if reply.Status() != test.end || !reply.Sent() || s.calls.Load() != 1 {
			t.Errorf("status %d %q: %s, sent %t, %d calls, error %v", test.status, test.body, reply.Status(), reply.Sent(), s.calls.Load(), err)
		}
	}
}

// TestCommandChecks guards against a command that is written after its deadline or by a
// process that was paused.
func TestCommandChecks(t *testing.T) {
	for _, test := range []struct {
		clock func() time.Duration
		why   reason.Reason
	}{
		{readings(time.Minute), reason.DeadlineExceeded},
		{readings(time.Second, time.Minute), reason.DeadlineExceeded},
		{readings(time.Second, 2*time.Second), reason.HostPaused},
		{readings(time.Second, time.Second+time.Millisecond), reason.None},
	} {
		s := newServer(t, 200, answerBody("done"))
		reply, _ := target.New(target.WithClock(test.clock)).Command(context.Background(), s.address(), call, time.Minute)
		if sent := test.why == reason.None; reply.Refusal() != test.why || reply.Sent() != sent || (s.calls.Load() == 1) != sent {
			t.Errorf("%s, want %s; sent %t, %d calls", reply.Refusal(), test.why, reply.Sent(), s.calls.Load())
		}
	}
}

// TestCommandConnection guards against sending a command on an idle connection, which may be
// broken without notice, and against a false unknown outcome if no connection could be opened.
func TestCommandConnection(t *testing.T) {
	is := is.New(t)
	s := newServer(t, 200, answerBody("done"))
	c := target.New()
	for range 2 {
		_, err := c.Run(context.Background(), s.address(), call, nil)
		is.NoErr(err)
	}
	is.Equal(s.conns.Load(), int64(1)) // other calls share a connection
	for range 2 {
		reply, err := c.Command(context.Background(), s.address(), call, time.Minute)
		is.NoErr(err)
		is.Equal(reply.Status(), schedule.Completed)
	}
	is.Equal(s.conns.Load(), int64(3)) // each command has its own
	s.Close()
	reply, err := c.Command(context.Background(), s.address(), call, time.Minute)
	is.True(err != nil)
	is.True(!reply.Sent())
	is.Equal(reply.Refusal(), reason.Crashed)
}
