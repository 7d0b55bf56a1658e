package transport

import (
	"bufio"
	"bytes"
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
)

// Error is the class of all errors of this package.
var Error = errs.Class("link")

const (
	// idleTime is how long a connection is kept without a request. It is below the shortest
	// idle time after which targets close connections.
	idleTime = 900 * time.Millisecond
	// idleMost bounds the kept connections to one target.
	idleMost = 4
	// readBuffer fits the head of an answer.
	readBuffer = 4 << 10
	// strayMost is how many answers of other requests are skipped before the connection is
	// given up.
	strayMost = 3
	// inlineBody is up to which length a body is written before the answer is read. Longer
	// ones are written meanwhile, because a target may answer early.
	inlineBody = 16 << 10
)

// Request is one request to a target.
type Request struct {
	// Method and URI form the request line as the caller sent it.
	Method, URI string
	// Host is the Host header.
	Host string
	// Header has all other headers but those of the framing.
	Header http.Header
	// Body is sent with its length; nil sends none.
	Body []byte
	// NewConnection asks for a new connection.
	NewConnection bool
	// Matches reports whether an answer with the given status and headers belongs to the request.
	Matches func(status int, h http.Header) bool
}

// Response is the head of an answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.Reader

	conn    *conn
	pool    *Pool
	unframe bool
	stop    func() bool
	written chan error
	once    sync.Once
}

// ExchangeError is the error of an exchange that brought no answer.
type ExchangeError struct {
	// MaybeSent holds if bytes of the request may have reached the target.
	MaybeSent bool
	Err       error
}

// Error implements error.
func (f *ExchangeError) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.Err }

// MaybeSent reports whether a request whose exchange failed with err may have reached its target.
func MaybeSent(err error) bool {
	var f *ExchangeError
	return !errors.As(err, &f) || f.MaybeSent
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	idle    time.Time
	// keep is how long the target keeps the connection; zero if it does not say.
	keep time.Duration
	// strays holds if an answer of another request arrived.
	strays bool
}

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	// dialled is called for each new connection.
	dialled func()

	mutex sync.Mutex
	idle  map[string][]*conn
}

// New returns an empty pool; dialled is called for each connection that is opened.
func New(dialled func()) *Pool { return &Pool{dialled: dialled, idle: make(map[string][]*conn)} }

// Do sends a request and returns the head of its answer. When the context ends, the
// connection is closed, which also ends the work at the target. An error is a *Failure.
func (p *Pool) Do(ctx context.Context, address string, r Request) (response *Response, err error) {
	c, err := p.take(ctx, address, r.NewConnection)
	if err != nil {
		return nil, &ExchangeError{Err: Error.Wrap(err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err = p.exchange(c, r, stop)
	if err != nil {
		stop()
		_ = c.Close() // the exchange has failed already
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &ExchangeError{MaybeSent: true, Err: Error.Wrap(err)}
	}
	return response, nil
}

func (p *Pool) exchange(c *conn, r Request, stop func() bool) (response *Response, err error) {
	written := make(chan error, 1)
	head := head(r)
	if len(r.Body) <= inlineBody {
		_, err := c.Write(append(head, r.Body...))
		written <- err
		if err != nil {
			return nil, err
		}
	} else {
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c)
			written <- err
		}()
	}
	for range strayMost {
		h, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if h.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(h.StatusCode, h.Header) {
			return &Response{
				Status: h.StatusCode, Header: h.Header, Body: h.Body, conn: c, pool: p, stop: stop, written: written,
				unframe: h.Close || h.ContentLength < 0 && len(h.TransferEncoding) == 0,
			}, nil
		}
		c.strays = true
		if _, err := io.Copy(io.Discard, h.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("the connection brought only answers of other requests")
}

// head returns the request line and headers.
func head(r Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // a bytes.Buffer takes all writes
	if r.Body != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Close ends the exchange. The connection is kept if the answer was read whole, nothing came
// after it and the target keeps it too.
func (r *Response) Close(whole bool) {
	r.once.Do(func() {
		stopped := r.stop()
		sent := false
		select {
		case err := <-r.written:
			sent = err == nil
		default: // the target answered before it read the whole body
		}
		c := r.conn
		if !whole || !stopped || !sent || r.unframe || c.strays || c.reader.Buffered() > 0 {
			_ = c.Close() // the exchange has ended
			return
		}
		c.keep = keepTime(r.Header)
		r.pool.put(c)
	})
}

// keepTime returns how long the target says that it keeps the connection.
func keepTime(h http.Header) time.Duration {
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

// take returns a kept connection or a new one.
func (p *Pool) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		limit := idleTime
		if c.keep > 0 {
			limit = min(limit, c.keep/2)
		}
		if time.Since(c.idle) < limit && c.quiet() {
			return c, nil
		}
		_ = c.Close() // it was idle
	}
	n, err := Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.dialled()
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, readBuffer), address: address}, nil
}

// quiet reports whether nothing has arrived on an idle connection, not even its end.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

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

func (p *Pool) put(c *conn) {
	c.idle = time.Now()
	p.mutex.Lock()
	list := p.idle[c.address]
	if len(list) < idleMost {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	p.mutex.Unlock()
	if c != nil {
		_ = c.Close() // enough connections are kept
	}
}

// CloseIdle closes connections that were idle for too long.
func (p *Pool) CloseIdle() {
	var old []*conn
	p.mutex.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idle) < idleTime {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, c := range old {
		_ = c.Close() // it was idle
	}
}
