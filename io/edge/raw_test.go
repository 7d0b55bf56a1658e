package edge_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"sassafrasward/platform/standin"
)

// rawEngine is a target that writes its answers byte by byte.
type rawEngine struct {
	*standin.Target

	address string
	// requests is the number of requests that it has read, connections that of accepted connections.
	requests, connections atomic.Int64
}

// newRawEngine starts a target that calls answer for each request that it has read, with the number of
// the request on its connection from 0. It closes the connection if answer returns false.
func newRawEngine(t *testing.T, id string, answer func(w io.Writer, r *http.Request, number int) (keep bool)) (e *rawEngine) {
	t.Helper()
	return newConnEngine(t, id, func(e *rawEngine, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for number := 0; ; number++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body) // a caller that has gone sends less
			r.Body = io.NopCloser(bytes.NewReader(body))
			e.requests.Add(1)
			if !answer(conn, r, number) {
				return
			}
		}
	})
}

// newConnEngine starts a target that calls serve for each connection.
func newConnEngine(t *testing.T, id string, serve func(e *rawEngine, conn net.Conn)) (e *rawEngine) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e = &rawEngine{Target: newEngine(t, id, signed(eventText(1, 2))), address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			go serve(e, conn)
		}
	}()
	return e
}

// sound returns the response of the stand-in to a request in bytes.
func (e *rawEngine) sound(r *http.Request) string {
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, r)
	var headers []string
	for name := range recorder.Header() {
		headers = append(headers, name+": "+recorder.Header().Get(name))
	}
	return framed(recorder.Code, "length", recorder.Body.String(), headers...)
}

// startRaw starts a host with one target of the pool that writes its answers byte by byte.
func startRaw(t *testing.T, pool string, answer func(w io.Writer, r *http.Request, number int) (keep bool)) (host *testHost, e *rawEngine) {
	t.Helper()
	s := newStore(t)
	s.PublishConfig(1)
	e = newRawEngine(t, "i-1", answer)
	s.RegisterAt(e.Target, e.address, pool, "ready")
	host, _ = startHost(t, s, "e1")
	host.waitReady()
	return host, e
}

// framed returns a response in bytes; the framing is length, chunks or close.
func framed(status int, framing, body string, headers ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		head += h + "\r\n"
	}
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunks":
		if body == "" {
			return head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n" + body
}

// requestID returns the header that identifies the request of an answer.
func requestID(r *http.Request) string { return "X-Request-Id: " + r.Header.Get("X-Request-Id") }

const (
	signature   = "X-Response-Signature: sig"
	notExecuted = "X-Not-Executed: 1"
	eventStream = "Content-Type: text/event-stream"
)
