package target_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/schedule"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// startRaw starts a target that answers each request with bytes, and closes the connection unless keep
// is set. It counts the requests.
func startRaw(t *testing.T, keep bool, answer func(number int) string) (address string, requests *atomic.Int64) {
	t.Helper()
	return startRawNamed(t, keep, func(number int, _ string) string { return answer(number) })
}

// startRawNamed is startRaw with answers that depend on the identity of the request.
func startRawNamed(t *testing.T, keep bool, answer func(number int, request string) string) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for number := 0; number == 0 || keep; number++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			var run wire.Run
			_ = json.NewDecoder(r.Body).Decode(&run)
			_, _ = io.Copy(io.Discard, r.Body)
			requests.Add(1)
			_, _ = io.WriteString(conn, answer(number, run.Request))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), requests
}

// framed returns an answer in bytes.
func framed(status int, contentType, framing, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n", status, http.StatusText(status), contentType)
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunks":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n" + body
}

// TestAnswerCutAnywhere guards against an answer that a target broke off, anywhere in its head or body,
// and that counts as completed or as a refusal.
func TestAnswerCutAnywhere(t *testing.T) {
	const token = "event: token\ndata: {\"request\":\"r\",\"stage\":\"s\",\"attempt\":1,\"index\":0,\"text\":\"x\"}\n\n"
	for name, test := range map[string]struct {
		status            int
		contentType, body string
	}{
		"answer":  {200, wire.ContentTypeJSON, answerBody("done")},
		"refusal": {503, wire.ContentTypeJSON, answerBody("not-run")},
		"stream":  {200, wire.ContentTypeEvents, token + "event: end\ndata: " + answerBody("done") + "\n\n"},
	} {
		for _, framing := range []string{"length", "chunks", "close"} {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				whole := framed(test.status, test.contentType, framing, test.body)
				// The end of the answer proper; what follows is framing.
				end := strings.Index(whole, test.body) + len(strings.TrimRight(test.body, "\n"))
				if name == "stream" {
					end = strings.Index(whole, test.body) + len(test.body)
				}
				var cut atomic.Int64
				address, _ := startRaw(t, false, func(int) string { return whole[:cut.Load()] })
				client := target.New()
				for at := range end {
					cut.Store(int64(at))
					reply, _ := client.Run(context.Background(), address, call, func(wire.Token) error { return nil })
					is.True(reply.Status() != schedule.Completed && reply.Status() != schedule.Busy)
					reply, _ = client.Command(context.Background(), address, call, time.Hour)
					is.True(reply.Status() == schedule.Crashed && reply.Sent())
				}
				cut.Store(int64(len(whole)))
				reply, err := client.Run(context.Background(), address, call, func(wire.Token) error { return nil })
				is.NoErr(err)
				is.True(reply.Status() == schedule.Completed || reply.Status() == schedule.Busy)
			})
		}
	}
}

// TestEarlierAnswerOnceMore guards against a refusal or an answer that a target writes once more on a
// kept connection, and that is taken for the answer to the next call.
func TestEarlierAnswerOnceMore(t *testing.T) {
	for name, earlier := range map[string]string{
		"refusal":          framed(503, wire.ContentTypeJSON, "length", strings.Replace(answerBody("not-run"), `"r"`, `"earlier"`, 1)),
		"refusal, unnamed": framed(503, wire.ContentTypeJSON, "length", `{"outcome":"not-run"}`),
		"refusal, empty":   framed(503, wire.ContentTypeJSON, "length", ""),
		"answer":           framed(200, wire.ContentTypeJSON, "length", strings.Replace(answerBody("done"), `"r"`, `"earlier"`, 1)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, requests := startRawNamed(t, true, func(number int, request string) string {
				body := fmt.Sprintf(`{"request":%q,"stage":"s","attempt":1,"outcome":"done","output":%[1]q}`, request)
				own := framed(200, wire.ContentTypeJSON, "length", body)
				if number == 0 {
					return own
				}
				return earlier + own
			})
			client := target.New()
			completed := 0
			for n := range 6 {
				run := call
				run.Request = fmt.Sprintf("r%d", n) // no two calls have the same identity
				before := requests.Load()
				reply, _ := client.Run(context.Background(), address, run, nil)
				is.True(reply.Status() != schedule.Busy) // the target ran it
				if reply.Status() == schedule.Completed {
					is.Equal(string(reply.Output()), strconv.Quote(run.Request))
					completed++
				}
				for wait := 0; wait < 1000 && requests.Load() == before; wait++ {
					time.Sleep(time.Millisecond) // an earlier answer may come before the target has read the call
				}
				is.True(requests.Load() > before)
			}
			is.True(completed > 0)
		})
	}
}
