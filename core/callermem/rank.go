package callermem

import "time"

// rank orders the connections that may be evicted: a larger class goes first, within a class the larger time.
type rank struct {
	class class
	time  time.Duration
}

// class is a reason for which a connection may be evicted.
type class int

const (
	// keep: the connection is not evicted.
	keep class = iota
	// sending: the caller has begun to send a request not long ago.
	sending
	// reusable: the caller may still reuse the idle connection.
	reusable
	// stalled: the caller has not sent a head or a part of a body for stallTime.
	stalled
	// unused: the connection was idle for longer than callers reuse one.
	unused
	// closing: the caller had stallTime to read the last response.
	closing
)

// before reports whether a connection with the rank is evicted before one with the other rank.
func (r rank) before(o rank) bool {
	return r.class > o.class || r.class == o.class && r.time > o.time
}

// slowest returns the connection that is evicted first, nil if none may be.
func (l *Ledger) slowest(rankOf func(*Conn) rank) (first *Conn) {
	var best rank
	for _, c := range l.conns {
		if c.evicted || c.waiting > 0 {
			continue
		}
		if r := rankOf(c); r.class != keep && (first == nil || r.before(best)) {
			first, best = c, r
		}
	}
	return first
}

// rankOf returns the rank of a connection by its phase alone.
func rankOf(c *Conn, now, reuse time.Duration) rank {
	age := now - c.since
	switch c.phase {
	case Closing:
		if age < stallTime {
			return rank{sending, age} // the response may not have reached the caller
		}
		return rank{closing, age}
	case Idle:
		if age >= reuse {
			return rank{unused, age}
		}
		return rank{reusable, age}
	case Opened, Head, Body:
		if age >= stallTime {
			return rank{stalled, age}
		}
		return rank{sending, age}
	}
	return rank{}
}

// rankForConn returns the rank of a connection when there are too many.
func rankForConn(c *Conn, now, reuse time.Duration) rank {
	r := rankOf(c, now, reuse)
	if r.class == sending && c.phase == Body {
		return rank{} // it makes progress
	}
	return r
}

// rankForBytes returns the rank of a connection when another one needs memory: bodies are evicted only if they
// stall or are slower than that one, and connections that callers may still reuse are kept. So are those that hold
// little and end soon: the ones that are closing or have sent no long head.
func rankForBytes(c, needing *Conn, now, reuse time.Duration) rank {
	r := rankOf(c, now, reuse)
	switch {
	case c == needing || r.class == reusable || c.phase == Closing || (c.phase == Opened || c.phase == Head) && c.head == 0:
		return rank{}
	case r.class != sending:
		return r
	case c.phase != Body || needing.phase != Body || c.rate(now) >= needing.rate(now):
		return rank{}
	}
	// The slowest body first.
	return rank{sending, time.Duration(float64(time.Hour) / (1 + c.rate(now)))}
}

// rate returns the bytes a second at which the body has been received.
func (c *Conn) rate(now time.Duration) float64 {
	return float64(c.body-c.kept) / max(now-c.began, minRateTime).Seconds()
}
