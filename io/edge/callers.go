package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"

	"sassafrasward/core/callermem"
	"sassafrasward/io/event"
	"sassafrasward/io/metric"
	"sassafrasward/io/setting"
)

const (
	// unreadFraction is the fraction of the memory limit for bytes that the kernel has received from callers
	// and that were not read yet. They are no part of the Go heap.
	unreadFraction = 0.2
	// receiveBuffer is the receive buffer of a connection, and largeReceiveBuffer that of one with a large
	// body, in bytes. The kernel doubles them; unreadBytes and largeUnreadBytes are what it holds at most. The
	// default grows to 32 MB on each connection. A larger one lets a body arrive faster over a long distance.
	receiveBuffer      = 16 << 10
	unreadBytes        = 2 * receiveBuffer
	largeReceiveBuffer = 64 << 10
	largeUnreadBytes   = 2 * largeReceiveBuffer
	// backlogFraction times the bound on connections, at least minBacklog, is how many more may wait to be
	// accepted. They have receive buffers as well, and the usual backlog of 4,096 could fill 100 MB on a host
	// without processor time.
	backlogFraction = 0.25
	minBacklog      = 16
	// largeBody is the size in bytes from which on a body gets the large receive buffer.
	largeBody = middlePart + largePart
	// callerDescriptors is the fraction of the descriptors for connections of callers: each request in
	// progress may take one to a target as well, and the rest is for idle connections to targets, other hosts
	// and the store.
	callerDescriptors = 0.4
	// directoryDescriptors and statusDescriptors are the fractions for the directory, which callers ask, and for
	// the readiness check and the metrics each. directoryMemory and statusMemory are those of the memory limit.
	directoryDescriptors = 0.1
	directoryMemory      = 0.05
	statusDescriptors    = 0.02
	statusMemory         = 0.01
	// minStatusConns is the least number of connections of each of these listeners.
	minStatusConns = 8
	// maxStatusHeader is the largest head in bytes of a request to one of these listeners.
	maxStatusHeader = 16 << 10
	// memoryWait is how long a body waits for the memory of those that were interrupted for it. They release it
	// as soon as they get processor time.
	memoryWait = 1 * time.Second
	// reuseFraction is the fraction of the idle timeout for which callers reuse a connection.
	reuseFraction = 0.8
	// evictLogInterval is the least time between two log lines on closed connections.
	evictLogInterval = 10 * time.Second
)

// errEvicted is returned for reads of a connection that is closed to make room for others.
var errEvicted = errors.New("connection closed to make room for others")

// callers has the connections of one listener and the memory that they hold.
type callers struct {
	clock, reuse     func() time.Duration
	log              logr.Logger
	evicted, refused func(n int)
	// boundUnread is set if the receive buffers of the connections are bounded.
	boundUnread bool

	mutex  sync.Mutex
	ledger *callermem.Ledger
	// evictions is the number of connections that were closed since loggedAt, when the last line was logged.
	evictions int
	loggedAt  time.Duration
}

// callerLimits returns the bounds for the connections of callers.
func callerLimits(s setting.Settings) callermem.Limits {
	l := callermem.Limits{Bytes: int64(callerFraction * float64(s.MemoryLimit())), Conns: int(callerDescriptors * float64(s.Descriptors()))}
	if unread := int(unreadFraction * float64(s.MemoryLimit()) / unreadBytes); unread > 0 && (l.Conns == 0 || unread < l.Conns) {
		l.Conns = unread
	}
	return l
}

// statusLimits returns the bounds for the connections of a listener other than that of callers, with its
// fractions of the descriptors and of the memory limit.
func statusLimits(s setting.Settings, descriptors, memory float64) (l callermem.Limits) {
	if s.Descriptors() > 0 {
		l.Conns = max(int(descriptors*float64(s.Descriptors())), minStatusConns)
	}
	if s.MemoryLimit() > 0 {
		conns := max(int(memory*float64(s.MemoryLimit())/(callermem.ConnBytes+unreadBytes)), minStatusConns)
		if l.Conns == 0 || conns < l.Conns {
			l.Conns = conns
		}
	}
	return l
}

// newCallers returns the connections of one listener; nil without bounds.
func (e *Edge) newCallers(limits callermem.Limits) *callers {
	if limits == (callermem.Limits{}) {
		return nil
	}
	return &callers{
		clock: e.clock, reuse: e.reuseTime, log: e.log, ledger: callermem.New(limits), boundUnread: e.settings.MemoryLimit() > 0,
		evicted: e.counter("callers.evicted"), refused: e.counter("callers.refused"),
	}
}

// counter returns a function that adds to the counter with the name.
func (e *Edge) counter(name string) func(n int) {
	return func(n int) { e.metrics.Counter(name).Inc(int64(n)) }
}

// reuseTime returns the time for which callers reuse an idle connection.
func (e *Edge) reuseTime() time.Duration {
	timeout := idleTimeout
	if t := e.state.Load().table; t != nil && t.Limits().IdleTimeout > 0 {
		timeout = min(timeout, t.Limits().IdleTimeout)
	}
	return time.Duration(reuseFraction * float64(timeout))
}

// record sets the gauges of the memory and the connections.
func (l *callers) record(m *metric.Metrics) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	held, conns := l.ledger.Bytes(), l.ledger.Conns()
	l.mutex.Unlock()
	m.Gauge("callers.bytes").Update(held)
	m.Gauge("callers.connections").Update(int64(conns))
}

// callerListener accepts connections within the bounds.
type callerListener struct {
	net.Listener
	*callers
}

// listener returns the listener with the bounds applied.
func (l *callers) listener(inner net.Listener) net.Listener {
	if l == nil {
		return inner
	}
	if t, ok := inner.(*net.TCPListener); ok && l.boundUnread {
		setReceiveBuffer(t, receiveBuffer) // accepted connections inherit it
		setBacklog(t, max(int(backlogFraction*float64(l.ledger.Limits().Conns)), minBacklog))
	}
	return &callerListener{Listener: inner, callers: l}
}

// setReceiveBuffer sets the receive buffer of a socket in bytes. A failure leaves the buffer as it is.
func setReceiveBuffer(s syscall.Conn, size int) {
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		// The window of an open connection follows the buffer only if its bound is set as well.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
}

// setBacklog sets how many connections may wait to be accepted. A failure leaves the backlog as it is.
func setBacklog(s syscall.Conn, conns int) {
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.Listen(int(fd), conns) // on a socket that listens already it changes the backlog
	})
}

// Accept implements net.Listener. Connections without room are closed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: inner, callers: l.callers, granted: make(chan struct{}, 1)}
		l.mutex.Lock()
		account, victims := l.ledger.Open(l.clock(), l.reuse(), c)
		c.account = account
		l.mutex.Unlock()
		closeAll(victims)
		l.countEvicted(len(victims))
		if account != nil {
			return c, nil
		}
		l.refused(1)
		_ = inner.Close() // all connections are in use
	}
}

// countEvicted counts closed connections, and logs their number from time to time.
func (l *callers) countEvicted(n int) {
	if n == 0 {
		return
	}
	l.evicted(n)
	now := l.clock()
	l.mutex.Lock()
	l.evictions += n
	count, held, conns := l.evictions, l.ledger.Bytes(), l.ledger.Conns()
	due := l.loggedAt == 0 || now-l.loggedAt >= evictLogInterval
	if due {
		l.evictions, l.loggedAt = 0, now
	}
	l.mutex.Unlock()
	if due {
		event.Log(l.log, event.CallersEvicted, "count", count, "connections", conns, "bytes", held)
	}
}

// callerConn is a connection of a caller. Its methods other than those of net.Conn accept nil, a connection
// that is not accounted for.
type callerConn struct {
	net.Conn
	*callers

	account *callermem.Conn
	// granted receives a value when memory for which the connection waits was granted.
	granted chan struct{}
	// inRequest is set from the end of a head to the end of the response. Bytes that are read otherwise
	// belong to a head.
	inRequest atomic.Bool
	// hasLargeBuffer is set while the connection has the large receive buffer.
	hasLargeBuffer bool
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// connContext and connState are hooks of the HTTP server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connState(c net.Conn, s http.ConnState) {
	if c, ok := c.(*callerConn); ok && s == http.StateIdle {
		c.inRequest.Store(false)
		c.update(func(l *callermem.Ledger) []*callermem.Conn { return l.SetIdle(c.account, c.clock()) })
	}
}

// connOf returns the connection of a request, nil if it is not accounted for.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// update changes the ledger and wakes the connections that got memory by that.
func (l *callers) update(change func(*callermem.Ledger) []*callermem.Conn) {
	l.mutex.Lock()
	granted := change(l.ledger)
	l.mutex.Unlock()
	for _, g := range granted {
		g.Owner.(*callerConn).granted <- struct{}{}
	}
}

// Read implements net.Conn. It accounts for the heads of requests.
func (c *callerConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n == 0 || c.inRequest.Load() {
		return n, err
	}
	lines := bytes.Count(b[:n], []byte{'\n'})
	c.mutex.Lock()
	ok, victims := c.ledger.ReadHead(c.account, c.clock(), c.reuse(), n, lines)
	c.mutex.Unlock()
	closeAll(victims)
	c.countEvicted(len(victims))
	if !ok {
		c.countEvicted(1)
		// The server closes a connection without a response only after an error of this type.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errEvicted}
	}
	return n, err
}

// interrupt interrupts those of the evicted connections whose body is being read, so that their requests are
// refused, and returns the others, which must be closed. The mutex is held, so that the deadline can't replace
// the one that boundRest sets.
func interrupt(victims []*callermem.Conn) (closing []*callermem.Conn) {
	for _, v := range victims {
		if v.Phase() != callermem.Body {
			closing = append(closing, v)
			continue
		}
		_ = v.Owner.(*callerConn).SetReadDeadline(time.Unix(1, 0)) // a time that has passed; without deadlines it ends with bodyTimeout
	}
	return closing
}

// closeAll closes evicted connections.
func closeAll(victims []*callermem.Conn) {
	for _, v := range victims {
		_ = v.Owner.(*callerConn).Close()
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.update(func(l *callermem.Ledger) []*callermem.Conn { return l.Close(c.account) })
	return err
}

// CloseWrite tells the caller that no more is sent. The HTTP server uses it before it closes a connection whose
// caller may still be sending.
func (c *callerConn) CloseWrite() error {
	c.startClosing()
	if inner, ok := c.Conn.(*net.TCPConn); ok {
		return inner.CloseWrite()
	}
	return nil
}

// startRequest records that a head was read.
func (c *callerConn) startRequest() {
	if c == nil {
		return
	}
	c.inRequest.Store(true)
	c.mutex.Lock()
	c.ledger.Serve(c.account)
	c.mutex.Unlock()
}

// reserve asks for memory for the next part of a body of which some bytes were read, and reports whether the
// part may be read.
func (c *callerConn) reserve(read, size int64) (ok bool) {
	if c == nil {
		return true
	}
	enlarge := read >= largeBody && !c.hasLargeBuffer && c.boundUnread
	if enlarge {
		size += largeUnreadBytes
	}
	c.mutex.Lock()
	grant, victims := c.ledger.Reserve(c.account, c.clock(), c.reuse(), size)
	closing := interrupt(victims)
	c.mutex.Unlock()
	closeAll(closing)
	c.countEvicted(len(victims))
	if ok = grant == callermem.Granted || grant == callermem.Waiting && c.awaitMemory(); ok && enlarge {
		c.resizeBuffer(true)
	}
	return ok
}

// awaitMemory waits for memory that evicted connections release, and reports whether it was granted.
func (c *callerConn) awaitMemory() (granted bool) {
	timer := time.NewTimer(memoryWait)
	defer timer.Stop()
	select {
	case <-c.granted:
		return true
	case <-timer.C:
	}
	c.mutex.Lock()
	granted = c.ledger.Cancel(c.account)
	c.mutex.Unlock()
	if granted {
		<-c.granted
	}
	return granted
}

// resizeBuffer sets the receive buffer to its large or its usual size.
func (c *callerConn) resizeBuffer(large bool) {
	c.hasLargeBuffer = large
	size, kept := receiveBuffer, int64(0)
	if large {
		size, kept = largeReceiveBuffer, largeUnreadBytes
	}
	if inner, ok := c.Conn.(*net.TCPConn); ok {
		setReceiveBuffer(inner, size)
	}
	c.update(func(l *callermem.Ledger) []*callermem.Conn {
		l.Keep(c.account, kept)
		return l.Free(c.account, largeUnreadBytes-kept)
	})
}

// finishBody records that the body was read whole, and reports whether the request may be served.
func (c *callerConn) finishBody() (ok bool) {
	if c == nil {
		return true
	}
	if c.hasLargeBuffer {
		c.resizeBuffer(false)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.FinishBody(c.account)
}

// isEvicted reports whether the connection must be closed.
func (c *callerConn) isEvicted() bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.account.Evicted()
}

// startClosing records that the connection will be closed.
func (c *callerConn) startClosing() {
	if c == nil {
		return
	}
	// A large receive buffer is kept, and counts: a smaller one would stop a caller that is still sending.
	c.update(func(l *callermem.Ledger) []*callermem.Conn { return l.StartClosing(c.account, c.clock()) })
}

// discard reads and drops what the caller sends, at most the given number of bytes.
func (c *callerConn) discard(bytes int64) {
	if c != nil {
		_, _ = io.CopyN(io.Discard, c.Conn, bytes) // it ends when the caller closes the connection
	}
}

// dropBody releases the memory of the body.
func (c *callerConn) dropBody() {
	if c != nil {
		c.update(func(l *callermem.Ledger) []*callermem.Conn { return l.DropBody(c.account) })
	}
}
