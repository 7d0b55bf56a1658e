package headcheck_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/headcheck"
)

const (
	sound    = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\nHTTP/1.1 000 \r\na b: c\r\n\r\n"
	hints    = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	unknown  = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"
	chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n\r\n\r\n  \r\n0\r\n\r\n"
	notFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
)

// serveInTurn answers the requests on each connection with the responses in turn.
func serveInTurn(t *testing.T, responses ...string) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, response := range responses {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response) // the client may have gone
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
	return "http://" + listener.Addr().String()
}

// TestTransport guards against malformed heads that reach a client, be it on a new connection, on a kept
// one or after informational responses, and against sound responses that don't.
func TestTransport(t *testing.T) {
	for name, responses := range map[string][]string{
		"new connection":      {unknown},
		"kept connection":     {sound, chunked, notFound, unknown},
		"after informational": {hints + hints + sound, hints + unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := serveInTurn(t, responses...)
			client := &http.Client{Transport: headcheck.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			for i := range responses {
				response, err := client.Get(url)
				if i == len(responses)-1 {
					is.True(err != nil)
					break
				}
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			}
		})
	}
}
