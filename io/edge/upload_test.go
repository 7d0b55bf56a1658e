package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

const (
	// uploadSize is more than the buffers of a connection take, in bytes.
	uploadSize = 8 << 20
	// uploads is how often a test sends one. Whether the writer or the reader of a connection is told of a reset
	// is up to the kernel.
	uploads = 20
	// partTime is the time between the part of an answer and the reset.
	partTime = 10 * time.Millisecond
)

// resetUploads answers each large upload on a connection at once with the part of an answer that has neither a
// length nor chunks, and resets the connection. Other requests get the answer of the stand-in.
func (e *rawEngine) resetUploads(conn net.Conn, part string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.ContentLength < uploadSize {
			_, _ = io.WriteString(conn, e.sound(r)) // the host may have gone
			continue
		}
		e.requests.Add(1)
		_, _ = io.WriteString(conn, framed(http.StatusOK, "close", part, requestID(r), signature, eventStream))
		time.Sleep(partTime)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
}

// TestResetWhileUploading guards against the part of an answer that reaches the caller as the whole, because its
// target reset the connection while the request was still being written.
func TestResetWhileUploading(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ path, pool, kind, part, whole string }{
		{"/up-once/", "plain", "non_idempotent", "half", ""},
		{"/up-again/", "plain", "idempotent", "half", eventText(1, 2)},
		{"/up-stream/", "model", "streaming", eventText(1, 1), ""},
	} {
		t.Run(test.path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			s.SetMaxBody(uploadSize)
			s.PublishConfig(1, fmt.Sprintf(`{"name":"up","host":"h.example","prefix":%q,"kind":%q,"timeoutMs":3000,"sloMs":900,"service":%q,"maxAttempts":2,"gapAimMs":400}`, test.path, test.kind, test.pool))
			e := newConnEngine(t, "i-1", func(e *rawEngine, conn net.Conn) { e.resetUploads(conn, test.part) })
			s.RegisterAt(e.Target, e.address, test.pool, "ready")
			if test.whole != "" {
				s.Register(newEngine(t, "i-2", signed(test.whole)), test.pool, "ready")
			}
			host, _ := startHost(t, s, "e1")
			host.waitReady()
			host.wait(func() bool {
				status, _, _ := host.call(http.MethodPost, test.path, "warm", nil)
				return status == http.StatusOK
			})
			for n := range uploads {
				status, body, _ := host.call(http.MethodPost, fmt.Sprintf("%s?%d", test.path, n), fmt.Sprintf("u%d", n), func(r *http.Request) {
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", uploadSize))), uploadSize
					standin.SetTimeout(r, 3*time.Second)
				})
				is.True(status != http.StatusOK || body == test.whole)
			}
			is.True(e.requests.Load() > 0)
		})
	}
}
