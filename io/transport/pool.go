package transport

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/httphead"
)

// Error is the error class of this package. Its messages begin with "link", for searches of logs.
var Error = errs.Class("link")

const (
	// idleTimeout is how long an idle connection is kept. It is shorter than the shortest idle
	// timeout of targets.
	idleTimeout = 900 * time.Millisecond
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 4
	// readBufferSize, in bytes, fits the status line and headers of a response.
	readBufferSize = 4 << 10
	// maxStrayResponses is the number of informational (1xx) responses and responses to other
	// requests after which a connection is given up.
	maxStrayResponses = 3
	// maxHeadBytes is the maximum size of the status line and headers of a response, maxStrayBody
	// that of the body of a response to another request.
	maxHeadBytes = 64 << 10
	maxStrayBody = 1 << 20
	// maxInlineBody is the size in bytes up to which a body is written before the response is
	// read. Larger bodies are written concurrently, because a target may respond early.
	maxInlineBody = 16 << 10
	// resetTimeout is how long after the end of a response a reset may arrive if the request is still being
	// written. It is far above a round trip between availability zones.
	resetTimeout = 500 * time.Millisecond
)

// ErrTooLong is returned if a target sends more bytes than a response may have where its head or
// the response to another request should end.
var ErrTooLong = errors.New("the target sends bytes without end")

// errUnidentified is returned for a response on a kept connection that names no request.
var errUnidentified = errors.New("a response on a kept connection does not name its request")

// Request is one request to a target.
type Request struct {
	// Method and URI are sent in the request line exactly as the caller sent them.
	Method, URI string
	// Host is the Host header.
	Host string
	// Header has all other headers except those that frame the message.
	Header http.Header
	// Body is sent with a Content-Length header; if nil, neither is sent.
	Body []byte
	// More has the parts of the body that follow Body.
	More [][]byte
	// NewConnection requests a new connection instead of an idle one.
	NewConnection bool
	// Match tells whether a response with the given status and headers belongs to this request; nil
	// accepts every response.
	Match func(status int, h http.Header) Match
}

// Match tells whether a response belongs to a request.
type Match int

// The matches.
const (
	// Belongs means that the response is that of the request.
	Belongs Match = iota
	// Stray means that the response is that of another request.
	Stray
	// Unidentified means that the response names no request. It is accepted on a new connection only:
	// on a kept one it may be a copy of an earlier response.
	Unidentified
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Framing -linecomment -output=framing_string.go

// Framing is how a response marks the end of its body.
type Framing int

// Framings of a response.
const (
	// FramedByLength means that a header states the length, or that there is no body.
	FramedByLength Framing = iota // length
	// FramedByChunks means that the last chunk is empty.
	FramedByChunks // chunks
	// FramedByClose means that the body ends with the connection, so that a body which the
	// target broke off in good order can't be told from a complete one.
	FramedByClose // close
)

// Response holds the status and headers of a response and a reader of its body. It must be
// closed.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Body ends with io.EOF only if the response is complete as far as its framing tells.
	Body io.Reader

	conn *conn
	pool *Pool
	// mustClose is set if the connection can't be reused: the target closes it, or the end of
	// the connection marks the end of the body.
	mustClose bool
	// stop detaches the connection from the request's context, see context.AfterFunc.
	stop func() bool
	// written receives the result of writing the request, once. Until Close takes it, whoever reads it puts it back.
	written chan error
	once    sync.Once
}

// Sent reports whether the request was written completely.
func (r *Response) Sent() bool { return len(r.written) > 0 }

// ExchangeError is the error of a request that got no response.
type ExchangeError struct {
	// MaybeSent is set if bytes of the request may have reached the target.
	MaybeSent bool
	Err       error
}

// Error implements error.
func (e *ExchangeError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// MaybeSent reports whether a request that failed with err may have reached its target.
func MaybeSent(err error) bool {
	var e *ExchangeError
	return !errors.As(err, &e) || e.MaybeSent
}

// conn is a connection to the target at an address.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// headLeft is how many bytes of the current head may still be received; negative while a body
	// is read. Only the goroutine that reads uses it.
	headLeft int
	// checker checks the current head.
	checker httphead.Checker
	// idleSince is when the connection became idle.
	idleSince time.Time
	// keepAlive is the timeout in the target's last Keep-Alive header; zero if none.
	keepAlive time.Duration
	// sawStray is set once a response to another request arrived, kept if the connection has served
	// other requests before.
	sawStray, kept bool
}

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	// onDial is called for each new connection.
	onDial func()

	mutex sync.Mutex
	// idle has the idle connections by address, the most recently used last.
	idle map[string][]*conn
}

// New returns an empty pool; onDial is called for each connection that is opened.
func New(onDial func()) *Pool { return &Pool{onDial: onDial, idle: make(map[string][]*conn)} }

// Do sends a request and returns its response once the headers have arrived. When the context
// ends, the connection is closed, which also cancels the work at the target. Errors are of type
// *ExchangeError.
func (p *Pool) Do(ctx context.Context, address string, r Request) (response *Response, err error) {
	c, err := p.acquire(ctx, address, r.NewConnection)
	if err != nil {
		return nil, &ExchangeError{Err: Error.Wrap(err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err = p.roundTrip(c, r, stop)
	if err != nil {
		stop()
		_ = c.Close() // the request has failed already
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &ExchangeError{MaybeSent: true, Err: Error.Wrap(err)}
	}
	return response, nil
}

// roundTrip writes the request and reads the response headers. It skips informational
// responses and responses to other requests.
func (p *Pool) roundTrip(c *conn, r Request, stop func() bool) (response *Response, err error) {
	written := make(chan error, 1)
	head := head(r)
	if len(r.Body) <= maxInlineBody && len(r.More) == 0 {
		_, err := c.Write(append(head, r.Body...))
		written <- err
		if err != nil {
			return nil, err
		}
	} else {
		go func() {
			buffers := append(net.Buffers{head, r.Body}, r.More...)
			_, err := buffers.WriteTo(c)
			written <- err
		}()
	}
	for range maxStrayResponses {
		received, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if received.StatusCode < http.StatusOK {
			continue
		}
		match := Belongs
		if r.Match != nil {
			match = r.Match(received.StatusCode, received.Header)
		}
		if match == Unidentified && c.kept {
			return nil, errUnidentified
		}
		if match != Stray {
			return p.newResponse(received, c, stop, written), nil
		}
		c.sawStray = true
		if n, err := io.Copy(io.Discard, io.LimitReader(received.Body, maxStrayBody)); err != nil || n == maxStrayBody {
			return nil, cmp.Or(err, ErrTooLong)
		}
	}
	return nil, errors.New("received no response to this request on the connection")
}

// newResponse returns the response to a request on the connection, with the fields of Response.
func (p *Pool) newResponse(received *http.Response, c *conn, stop func() bool, written chan error) *Response {
	framing := framing(received)
	r := &Response{
		Status: received.StatusCode, Header: received.Header, Framing: framing, Body: received.Body, conn: c, pool: p, stop: stop, written: written,
		mustClose: received.Close || framing == FramedByClose,
	}
	if framing == FramedByClose {
		r.Body = &bodyUntilClose{body: received.Body, written: written}
	}
	return r
}

// bodyUntilClose is a body that ends with its connection.
type bodyUntilClose struct {
	body io.Reader
	// written is that of the Response.
	written chan error
}

// Read implements io.Reader. The kernel reports a reset once, to the reader or to the writer of the connection; if the
// writer was told, the reader sees an end in good order. A body therefore only ends well if the request was written.
func (b *bodyUntilClose) Read(p []byte) (n int, err error) {
	n, err = b.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	timer := time.NewTimer(resetTimeout)
	defer timer.Stop()
	select {
	case writeErr := <-b.written:
		b.written <- writeErr
		if writeErr != nil {
			return n, fmt.Errorf("the connection ended before the request was written: %w", writeErr)
		}
	case <-timer.C: // the target has ended its response, and neither reads on nor closes
	}
	return n, err
}

// framing returns how the response marks the end of its body.
func framing(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	case r.ContentLength < 0:
		return FramedByClose
	}
	return FramedByLength
}

// readHead reads the head of a response, which has at most maxHeadBytes and is well-formed.
func (c *conn) readHead(method string) (response *http.Response, err error) {
	c.headLeft, c.checker = maxHeadBytes, httphead.Checker{}
	defer func() { c.headLeft = -1 }()
	received, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	if _, err := c.checker.Check(received); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// Read implements io.Reader. It fails with ErrTooLong if a head has more than maxHeadBytes, and with an error
// of the class httphead.Error if it is malformed.
func (c *conn) Read(b []byte) (n int, err error) {
	if c.headLeft < 0 {
		return c.Conn.Read(b)
	}
	if c.headLeft == 0 {
		return 0, ErrTooLong
	}
	n, err = c.Conn.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	if _, headErr := c.checker.Check(b[:n]); headErr != nil {
		return 0, headErr // a line that it is part of would be taken for a whole one
	}
	return n, err
}

// head encodes the request line and headers.
func head(r Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // writes to a bytes.Buffer never fail
	if r.Body != nil {
		length := len(r.Body)
		for _, part := range r.More {
			length += len(part)
		}
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Close releases the connection. The connection is kept for reuse if the body was read to its
// end (whole), the request was written completely, the target keeps the connection open, and no
// other data was received on it.
func (r *Response) Close(whole bool) {
	r.once.Do(func() {
		stopped := r.stop()
		sent := false
		select {
		case err := <-r.written:
			sent = err == nil
		default: // the target responded before the whole body was written
		}
		c := r.conn
		if !whole || !stopped || !sent || r.mustClose || c.sawStray || c.reader.Buffered() > 0 {
			_ = c.Close() // nothing more is read or written
			return
		}
		c.keepAlive = keepAliveTimeout(r.Header)
		r.pool.put(c)
	})
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	const name = "timeout="
	v := h.Get("Keep-Alive")
	if len(v) <= len(name) || v[:len(name)] != name {
		return 0
	}
	seconds, err := strconv.Atoi(v[len(name):])
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// acquire returns an idle connection that is still usable, or dials a new one. A connection is
// usable for idleTimeout, or for half the timeout that the target announced if that is shorter.
func (p *Pool) acquire(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.pop(address)
		if c == nil {
			break
		}
		limit := idleTimeout
		if c.keepAlive > 0 {
			limit = min(limit, c.keepAlive/2)
		}
		if time.Since(c.idleSince) < limit && c.openAndSilent() {
			c.kept = true
			return c, nil
		}
		_ = c.Close() // unused since it became idle
	}
	n, err := Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.onDial()
	c := &conn{Conn: n, address: address, headLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// openAndSilent reports whether an idle connection has received neither data nor an end of file.
func (c *conn) openAndSilent() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	openAndSilent := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndSilent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && openAndSilent
}

// pop removes and returns the most recently used idle connection to an address, or nil.
func (p *Pool) pop(address string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if p.idle[address] = list[:len(list)-1]; len(list) == 1 {
		delete(p.idle, address)
	}
	return c
}

// put keeps an idle connection, or closes it if the pool has enough of them for its address.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mutex.Lock()
	list := p.idle[c.address]
	if len(list) < maxIdlePerTarget {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	p.mutex.Unlock()
	if c != nil {
		_ = c.Close() // maxIdlePerTarget is reached
	}
}

// CloseIdle closes the connections that were idle for longer than idleTimeout.
func (p *Pool) CloseIdle() {
	var expired []*conn
	p.mutex.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < idleTimeout {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, c := range expired {
		_ = c.Close() // unused since it became idle
	}
}
