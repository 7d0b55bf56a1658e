package headcheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"sassafrasward/core/httphead"
)

// Conn is a connection whose reads fail at the first malformed byte of a response head.
type Conn struct {
	net.Conn

	// expect is set if the next byte is the first one of a response.
	expect atomic.Bool
	// checker checks the current head. Only Read uses it.
	checker httphead.Checker
}

// NewConn returns a connection to a server that has not sent anything yet.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements io.Reader. The error of a malformed head is of the class httphead.Error. The bytes before it are
// returned: without any, http.Transport would send some requests again.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n > 0 && c.expect.Swap(false) {
		c.checker = httphead.Checker{}
	}
	if valid, headErr := c.checker.Check(b[:n]); headErr != nil {
		return valid, headErr
	}
	return n, err
}

// Transport is an http.RoundTripper that fails on malformed response heads. It is for http URLs only: of an encrypted
// connection, it would check the bytes before they are decrypted.
type Transport struct {
	// transport opens connections of type Conn.
	transport *http.Transport
}

// NewTransport returns a Transport that uses the connections of another one, which it changes.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{transport: transport}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	// The connection can't tell by itself where the body of its previous response ends.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.expect.Store(true)
		}
	}}
	return t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
