package transport_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/httphead"
	"sassafrasward/io/transport"
)

// startServer starts a TCP server on loopback. It calls handle for each connection with the
// number of the connection, from 1, and counts the connections in accepted.
func startServer(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) (address string, accepted *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(accepted.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), accepted
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(request.Body)
	return request, body, err
}

// respond writes a response to the request with the id.
func respond(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// request returns a GET request with the id, which matches only responses with the same id.
func request(id string) transport.Request {
	return transport.Request{
		Method: http.MethodGet, URI: "/a%2fb/../c?x=%20", Host: "h.example", Header: http.Header{"Id": {id}},
		Match: matchHeader("Id", id),
	}
}

// matchHeader accepts only responses whose header has the value.
func matchHeader(name, value string) func(int, http.Header) transport.Match {
	return func(_ int, h http.Header) transport.Match {
		if h.Get(name) == value {
			return transport.Belongs
		}
		return transport.Stray
	}
}

// get sends one request and returns the response body.
func get(p *transport.Pool, address string, r transport.Request) (body string, err error) {
	response, err := p.Do(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(response.Body)
	response.Close(err == nil)
	return string(raw), err
}

// echo responds to each request with its request line, host and body.
func echo(_ int, c net.Conn, r *bufio.Reader) {
	for {
		request, body, err := readRequest(r)
		if err != nil {
			return
		}
		respond(c, request.Header.Get("Id"), request.Method+" "+request.RequestURI+" "+request.Host+" "+string(body))
	}
}

// TestRequestLine guards against request lines that are normalized or escaped, and bodies that
// are changed.
func TestRequestLine(t *testing.T) {
	is := is.New(t)
	address, accepted := startServer(t, echo)
	p := transport.New(func() {})
	for range 3 {
		body, err := get(p, address, request("1"))
		is.NoErr(err)
		is.Equal(body, "GET /a%2fb/../c?x=%20 h.example ")
	}
	is.Equal(accepted.Load(), int64(1)) // the connection is reused
	r := request("2")
	r.Method, r.Body, r.NewConnection = http.MethodPost, []byte("b\x00dy"), true
	body, err := get(p, address, r)
	is.NoErr(err)
	is.Equal(body, "POST /a%2fb/../c?x=%20 h.example b\x00dy")
	is.Equal(accepted.Load(), int64(2)) // NewConnection dials again
}

// TestExtraResponse guards against a response to an earlier request that is taken for the
// response to a later one on the same connection.
func TestExtraResponse(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	address, accepted := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			request, _, err := readRequest(r)
			if err != nil {
				return
			}
			if n == 1 && request.Header.Get("Id") == "2" {
				respond(c, "1", "again")
			}
			respond(c, request.Header.Get("Id"), "for "+request.Header.Get("Id"))
			if n == 1 {
				close(arrived)
				arrived = make(chan struct{})
			}
		}
	})
	p := transport.New(func() {})
	for _, id := range []string{"1", "2", "3"} {
		body, err := get(p, address, request(id))
		is.NoErr(err)
		is.Equal(body, "for "+id)
	}
	is.Equal(accepted.Load(), int64(2)) // the connection with the extra response is not reused
}

// TestNoImplicitRetry guards against a request that is sent again when its connection breaks.
func TestNoImplicitRetry(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int64
	address, _ := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			seen.Add(1)
		}
	})
	p := transport.New(func() {})
	_, err := get(p, address, request("1"))
	is.True(err != nil)
	is.True(transport.MaybeSent(err)) // it may have run
	is.Equal(seen.Load(), int64(1))
}

// TestRefusedConnection guards against a request that is reported as possibly sent though the
// connection was refused.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = get(transport.New(func() {}), address, request("1"))
	is.True(err != nil)
	is.True(!transport.MaybeSent(err))
}

// TestEarlyResponse guards against the reuse of a connection whose target responded before it
// read the whole body: the target would read the next request as the rest of that body.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	rest := make(chan struct{})
	t.Cleanup(func() { close(rest) })
	address, accepted := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(n, c, r)
			return
		}
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		respond(c, request.Header.Get("Id"), "early")
		<-rest
	})
	p := transport.New(func() {})
	long := request("1")
	long.Method, long.Body = http.MethodPost, largeBody
	body, err := get(p, address, long)
	is.NoErr(err)
	is.Equal(body, "early")
	_, err = get(p, address, request("2"))
	is.NoErr(err)
	is.Equal(accepted.Load(), int64(2))
}

// TestTruncatedResponse guards against a truncated body that is taken for a complete one, for
// each way of framing a body.
func TestTruncatedResponse(t *testing.T) {
	for _, test := range []struct {
		name, raw string
		whole     bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort", false},
		{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", false},
		{"whole chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n", true},
		{"no framing", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nshort", true},
		{"malformed", "nonsense\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, test.raw)
				}
			})
			_, err := get(transport.New(func() {}), address, request("1"))
			is.Equal(err == nil, test.whole)
		})
	}
}

// TestResetResponse guards against a body without a length that is taken for complete though
// the connection was reset.
func TestResetResponse(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nshort")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := get(transport.New(func() {}), address, request("1"))
	is.True(err != nil)
}

// TestCancelClosesConnection guards against a canceled request whose connection stays open, so
// that the target keeps working on it.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	got := make(chan struct{})
	address, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		close(got)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	_, err := transport.New(func() {}).Do(ctx, address, request("1"))
	is.True(errors.Is(err, context.Canceled))
	<-closed
}

// TestMalformedHead guards against a response with a malformed head that counts as the response to a request,
// be it on a new connection, on a kept one, or after responses that are skipped.
func TestMalformedHead(t *testing.T) {
	const malformed = "HTTP/1.1 000 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"
	for name, test := range map[string]struct {
		first, second string
	}{
		"on a new connection": {"", malformed},
		"on a kept one":       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", malformed},
		"after a hint":        {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + malformed},
		"after a stray":       {"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok" + malformed},
		"before a sound one":  {"", "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, accepted := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for _, response := range []string{test.first, test.second} {
					if response == "" {
						continue
					}
					if _, _, err := readRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, response) // the client may have gone
				}
			})
			p := transport.New(func() {})
			if test.first != "" {
				_, err := get(p, address, request("1"))
				is.NoErr(err)
			}
			_, err := get(p, address, request("2"))
			is.True(httphead.Error.Has(err))
			is.True(transport.MaybeSent(err)) // it may have run
			is.Equal(accepted.Load(), int64(1))
		})
	}
}

// largeBody is more than the buffers of a connection take.
var largeBody = []byte(strings.Repeat("x", 32<<20))

// TestResetWhileWriting guards against a body without a length that is taken for complete though the connection
// was reset while the request was still being written, so that the writer was told and the reader was not.
func TestResetWhileWriting(t *testing.T) {
	for name, closeConn := range map[string]func(c net.Conn, r *bufio.Reader){
		"reset": func(c net.Conn, _ *bufio.Reader) { _ = c.(*net.TCPConn).SetLinger(0) },
		"closed, then reset": func(c net.Conn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, 1<<20)
			_ = c.(*net.TCPConn).CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			partRead := make(chan struct{})
			address, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				<-partRead
				closeConn(c, r)
			})
			long := request("1")
			long.Method, long.Body = http.MethodPost, largeBody
			response, err := transport.New(func() {}).Do(context.Background(), address, long)
			is.NoErr(err)
			defer response.Close(false)
			_, err = io.ReadFull(response.Body, make([]byte, len("part")))
			is.NoErr(err)
			close(partRead)
			for !response.Sent() { // the writer has met the reset
				time.Sleep(time.Millisecond)
			}
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
		})
	}
}

// TestEarlyEnd guards against a whole body without a length that counts as broken off, because the target ended it
// before it had read the whole request.
func TestEarlyEnd(t *testing.T) {
	for name, read := range map[string]bool{"the rest is read": true, "the rest is not read": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			done := make(chan struct{})
			t.Cleanup(func() { close(done) })
			address, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
				_ = c.(*net.TCPConn).CloseWrite()
				if read {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				<-done
			})
			long := request("1")
			long.Method, long.Body = http.MethodPost, largeBody
			body, err := get(transport.New(func() {}), address, long)
			is.NoErr(err)
			is.Equal(body, "whole")
		})
	}
}
