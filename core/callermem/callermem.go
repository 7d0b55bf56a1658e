package callermem

import "time"

const (
	// ConnBytes is what an open connection costs in bytes: the stacks of its goroutine, the two buffers of
	// 4 KB of the HTTP server, its state, and a head of usual size (headAllowance).
	ConnBytes = 24 << 10
	// headFactor is how many bytes each byte of a head takes, which is held as read and as strings.
	// headerBytes is what each line takes in addition: an entry of the map of headers.
	headFactor  = 2
	headerBytes = 128
	// headAllowance is the cost in bytes of a head that ConnBytes covers.
	headAllowance = 8 << 10
	// smallBody is the size in bytes up to which a body belongs to a small request.
	smallBody = 16 << 10
	// largeLimit is the share of the memory up to which large bodies are granted memory, and connLimit that up
	// to which connections are opened. The rest is kept for connections and small requests, so that large
	// bodies don't keep them out.
	largeLimit = 0.85
	connLimit  = 0.95
	// connShare is the share that connections alone may take, so that they don't keep out bodies.
	connShare = 0.45
	// stallTime is how long a sender may take for a head or for one part of a body before it counts as
	// stalled: a part of 64 KB in this time is 1 Mbit/s.
	stallTime = 500 * time.Millisecond
	// minRateTime is the shortest time from which the rate of a body is computed. In less time the rate says
	// little about the sender.
	minRateTime = 100 * time.Millisecond
)

// Phase is what a connection is doing.
type Phase int

const (
	// Opened means that nothing was received yet.
	Opened Phase = iota
	// Head means that a part of a head was received.
	Head
	// Body means that a body is being read.
	Body
	// Serving means that a request was read whole and is in progress.
	Serving
	// Closing means that the last response was sent, and the rest of what the caller sends is discarded.
	Closing
	// Idle means that the connection waits for another request.
	Idle
)

// Limits are the bounds of a Ledger; zero stands for none.
type Limits struct {
	// Bytes bounds the memory of all connections, Conns their number.
	Bytes int64
	Conns int
}

// Conn is the account of one connection.
type Conn struct {
	// Owner is the caller's own value.
	Owner any
	phase Phase
	// since is when the phase began, or when the last part of a body was complete. began is when the body
	// began.
	since, began time.Duration
	// headBytes and headLines are the size of the head so far; head and body are the bytes that are charged
	// for them.
	headBytes, headLines, head, body int64
	// kept is the part of body that is not released with the body, see Keep.
	kept int64
	// waiting is the number of bytes for which the connection waits, 0 once they are granted.
	waiting int64
	// evicted is set once the connection must be closed. leaving has the bytes that it will release at once: its
	// body if that is being read, otherwise all. They count until they are released.
	evicted bool
	leaving int64
	// index is the position in Ledger.conns, -1 once closed.
	index int
}

// Phase returns what the connection is doing.
func (c *Conn) Phase() Phase { return c.phase }

// BodyBytes returns what the connection is charged for the body.
func (c *Conn) BodyBytes() int64 { return c.body }

// Evicted reports whether the connection must be closed.
func (c *Conn) Evicted() bool { return c.evicted }

// cost returns the bytes that the connection is charged for.
func (c *Conn) cost() int64 { return ConnBytes + c.head + c.body }

// Ledger has the accounts of all connections. It is not safe for concurrent use.
type Ledger struct {
	limits Limits
	conns  []*Conn
	// used is the sum of the costs, leaving the sum of the bytes that evicted connections will release, and
	// waiting the sum of the bytes that connections wait for.
	used, leaving, waiting int64
	// queue has the connections that wait for memory, in order.
	queue []*Conn
}

// New returns a ledger without connections.
func New(limits Limits) *Ledger {
	if limits.Bytes > 0 {
		conns := max(int(connShare*float64(limits.Bytes))/ConnBytes, 1)
		if limits.Conns == 0 || limits.Conns > conns {
			limits.Conns = conns
		}
	}
	return &Ledger{limits: limits}
}

// Limits returns the bounds in force. The number of connections is also bounded by their memory.
func (l *Ledger) Limits() Limits { return l.limits }

// Bytes returns the memory that is accounted for, Conns the number of connections.
func (l *Ledger) Bytes() int64 { return l.used }

// Conns returns the number of open connections.
func (l *Ledger) Conns() int { return len(l.conns) }

// Grant is the answer to a request for memory.
type Grant int

const (
	// Granted means that the memory may be used.
	Granted Grant = iota
	// Waiting means that the memory will be granted once the evicted connections have released theirs.
	Waiting
	// Refused means that there is no memory.
	Refused
)

// Open adds a connection. victims must be closed at once to make room; c is nil if there is no room even so.
// reuse is the time for which callers reuse idle connections.
func (l *Ledger) Open(now, reuse time.Duration, owner any) (c *Conn, victims []*Conn) {
	for !l.roomForConn(victims) {
		v := l.slowest(func(c *Conn) rank { return rankForConn(c, now, reuse) })
		if v == nil {
			return nil, victims // what was evicted so far makes room for later connections
		}
		victims = append(victims, v)
		l.evict(v, true)
	}
	c = &Conn{Owner: owner, phase: Opened, since: now, index: len(l.conns)}
	l.conns = append(l.conns, c)
	l.used += c.cost()
	return c, victims
}

// roomForConn reports whether another connection fits once the victims are closed. While small requests use
// their share, one connection may take the place of another.
func (l *Ledger) roomForConn(victims []*Conn) bool {
	freed := int64(0)
	for _, v := range victims {
		freed += v.cost()
	}
	return (l.limits.Conns == 0 || len(l.conns)-len(victims) < l.limits.Conns) &&
		(l.limits.Bytes == 0 || l.used-freed+ConnBytes <= max(l.share(connLimit), l.used))
}

// share returns a share of the memory in bytes.
func (l *Ledger) share(of float64) int64 { return int64(of * float64(l.limits.Bytes)) }

// ReadHead records that bytes with a number of line ends were received of the head of a request. If ok is
// false, the connection must be closed. The victims must be closed at once.
func (l *Ledger) ReadHead(c *Conn, now, reuse time.Duration, bytes, lines int) (ok bool, victims []*Conn) {
	if c.index < 0 {
		return false, nil // closed by another one in the meantime
	}
	if c.phase != Head {
		c.phase, c.since, c.headBytes, c.headLines = Head, now, 0, 0
	}
	c.headBytes += int64(bytes)
	c.headLines += int64(lines)
	more := headFactor*c.headBytes + headerBytes*c.headLines - headAllowance - c.head
	if more <= 0 {
		return !c.evicted, nil
	}
	missing := l.missing(c, more)
	victims, ok = l.makeRoom(c, now, reuse, missing, true)
	if !ok {
		return false, nil
	}
	l.charge(c, &c.head, more)
	return !c.evicted, victims
}

// Serve records that a request without a body is in progress.
func (l *Ledger) Serve(c *Conn) (ok bool) {
	c.phase = Serving
	return !c.evicted
}

// Reserve asks for memory for the next part of a body. The victims release theirs when they are interrupted.
func (l *Ledger) Reserve(c *Conn, now, reuse time.Duration, bytes int64) (grant Grant, victims []*Conn) {
	if c.phase != Body {
		c.phase, c.began = Body, now
	}
	c.since = now
	if c.evicted {
		return Refused, nil
	}
	missing := l.missing(c, bytes)
	if missing <= 0 {
		l.charge(c, &c.body, bytes)
		return Granted, nil
	}
	victims, ok := l.makeRoom(c, now, reuse, missing-l.leaving, false)
	if !ok {
		return Refused, nil
	}
	c.waiting = bytes
	l.waiting += bytes
	l.queue = append(l.queue, c)
	return Waiting, victims
}

// charge adds bytes to the cost of a connection.
func (l *Ledger) charge(c *Conn, to *int64, bytes int64) {
	*to += bytes
	l.used += bytes
	if bytes < 0 {
		released := min(-bytes, c.leaving)
		c.leaving -= released
		l.leaving -= released
	}
}

// limitFor returns the bound of the sum of all costs for a request of bytes for a connection.
func (l *Ledger) limitFor(c *Conn, bytes int64) int64 {
	if c.phase == Body && c.body+bytes > smallBody {
		return l.share(largeLimit)
	}
	return l.limits.Bytes
}

// missing returns by how many bytes a request of bytes exceeds the bound, not above 0 if it fits.
func (l *Ledger) missing(c *Conn, bytes int64) int64 {
	if l.limits.Bytes == 0 {
		return 0
	}
	return l.used + l.waiting + bytes - l.limitFor(c, bytes)
}

// makeRoom evicts connections for another one until they release at least the missing bytes. If they can't,
// none is evicted.
func (l *Ledger) makeRoom(c *Conn, now, reuse time.Duration, missing int64, whole bool) (victims []*Conn, ok bool) {
	for missing > 0 {
		v := l.slowest(func(o *Conn) rank { return rankForBytes(o, c, now, reuse) })
		if v == nil {
			for _, v := range victims {
				l.restore(v)
			}
			return nil, false
		}
		victims = append(victims, v)
		l.evict(v, whole)
		missing -= v.leaving
	}
	return victims, true
}

// evict marks a connection as one that must be closed: at once (whole), or by an interruption if its body is
// being read, so that it releases the body first.
func (l *Ledger) evict(c *Conn, whole bool) {
	c.evicted, c.leaving = true, c.cost()
	if c.phase == Body && !whole {
		c.leaving = c.body - c.kept
	}
	l.leaving += c.leaving
}

// restore takes back evict.
func (l *Ledger) restore(c *Conn) {
	l.leaving -= c.leaving
	c.evicted, c.leaving = false, 0
}

// FinishBody records that the body was read whole; the request may be served unless ok is false.
func (l *Ledger) FinishBody(c *Conn) (ok bool) {
	if ok = !c.evicted; ok {
		c.phase = Serving
	}
	return ok
}

// Keep sets the part of the memory for the body that is held until it is freed or the connection is closed, even
// if the request is refused: that of a large receive buffer.
func (l *Ledger) Keep(c *Conn, bytes int64) { c.kept = bytes }

// Free releases some of the memory for the body, at most all but the kept part, and returns the connections
// whose request for memory is granted by that.
func (l *Ledger) Free(c *Conn, bytes int64) (granted []*Conn) {
	if c.index >= 0 {
		l.charge(c, &c.body, -min(bytes, c.body-c.kept))
	}
	return l.grant()
}

// DropBody releases all of the memory for the body.
func (l *Ledger) DropBody(c *Conn) (granted []*Conn) { return l.Free(c, c.body) }

// StartClosing records that the connection will be closed after its last response, and releases the memory for
// its body.
func (l *Ledger) StartClosing(c *Conn, now time.Duration) (granted []*Conn) {
	c.phase, c.since = Closing, now
	return l.DropBody(c)
}

// SetIdle records that the request has ended.
func (l *Ledger) SetIdle(c *Conn, now time.Duration) (granted []*Conn) {
	c.phase, c.since = Idle, now
	if c.index >= 0 {
		l.charge(c, &c.head, -c.head)
	}
	return l.DropBody(c)
}

// Close removes a connection.
func (l *Ledger) Close(c *Conn) (granted []*Conn) {
	if c.index < 0 {
		return nil
	}
	l.unqueue(c)
	l.used -= c.cost()
	l.leaving -= c.leaving
	c.leaving = 0
	last := l.conns[len(l.conns)-1]
	l.conns[c.index], last.index = last, c.index
	l.conns[len(l.conns)-1] = nil
	l.conns = l.conns[:len(l.conns)-1]
	c.index = -1
	return l.grant()
}

// Cancel ends the wait of a connection, and reports whether its memory was granted before.
func (l *Ledger) Cancel(c *Conn) (granted bool) {
	granted = c.waiting == 0
	l.unqueue(c)
	return granted
}

// unqueue removes a connection from the queue.
func (l *Ledger) unqueue(c *Conn) {
	if c.waiting == 0 {
		return
	}
	l.waiting -= c.waiting
	c.waiting = 0
	for i, o := range l.queue {
		if o == c {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
}

// grant gives free memory to the connections that wait, in their order, and returns those that got it.
func (l *Ledger) grant() (granted []*Conn) {
	for len(l.queue) > 0 {
		c := l.queue[0]
		if l.used+c.waiting > l.limitFor(c, c.waiting) {
			break
		}
		bytes := c.waiting
		l.unqueue(c)
		l.charge(c, &c.body, bytes)
		granted = append(granted, c)
	}
	return granted
}
