package callermem_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/callermem"
)

const (
	reuse = 12 * time.Second
	// memory is the memory of callers of a host with 144 MB.
	memory = 57_600_000
	part   = 64 << 10
)

// openIdle opens a connection that is idle since the time.
func openIdle(l *callermem.Ledger, now time.Duration) *callermem.Conn {
	c, _ := l.Open(now, reuse, nil)
	l.SetIdle(c, now)
	return c
}

// TestEvictionOrder guards against closing a connection that a caller may reuse, or one of a fast sender, while
// there are others to close: those idle for longer than callers reuse one, and those that stall.
func TestEvictionOrder(t *testing.T) {
	is := is.New(t)
	const now = 30 * time.Second
	l := callermem.New(callermem.Limits{Conns: 6})
	reusable := openIdle(l, now-reuse/2)
	unused := openIdle(l, now-2*reuse)
	older := openIdle(l, now-reuse/2-time.Second)
	serving, _ := l.Open(now-20*time.Second, reuse, nil)
	l.Serve(serving)
	slow, _ := l.Open(now-3*time.Second, reuse, nil)
	slower, _ := l.Open(now-4*time.Second, reuse, nil)
	for _, want := range []*callermem.Conn{unused, slower, slow, older, reusable} {
		c, victims := l.Open(now, reuse, nil)
		is.True(c != nil)
		l.Serve(c)
		is.Equal(len(victims), 1)
		is.True(victims[0] == want)
		l.Close(want)
	}
	c, victims := l.Open(now, reuse, nil)
	is.True(c == nil && len(victims) == 0) // all serve requests
	is.Equal(l.Conns(), 6)
}

// fill opens connections that read a body until no more memory is granted without a wait.
func fill(l *callermem.Ledger, now time.Duration) (conns []*callermem.Conn) {
	for {
		c, _ := l.Open(now, reuse, nil)
		conns = append(conns, c)
		for range 4 {
			if g, _ := l.Reserve(c, now, reuse, part); g != callermem.Granted {
				return conns
			}
		}
	}
}

// TestSmallRequestsBesideLargeOnes guards against slow large bodies that keep out small requests.
func TestSmallRequestsBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	l := callermem.New(callermem.Limits{Bytes: memory})
	fill(l, 0)
	c, _ := l.Open(0, reuse, nil)
	is.True(c != nil)
	for range 10 { // heads of 4 KB with many lines, and a body
		ok, victims := l.ReadHead(c, 0, reuse, 4<<10, 50)
		is.True(ok)
		is.Equal(len(victims), 0)
	}
	grant, victims := l.Reserve(c, 0, reuse, 16<<10)
	is.Equal(grant, callermem.Granted)
	is.Equal(len(victims), 0)
}

// TestStalledBodiesYield guards against large bodies that stop short of their end and keep out others, and
// against memory that is given away before it is released.
func TestStalledBodiesYield(t *testing.T) {
	is := is.New(t)
	l := callermem.New(callermem.Limits{Bytes: memory})
	held := fill(l, 0)
	later := 600 * time.Millisecond
	c, victims := l.Open(later, reuse, nil)
	is.Equal(len(victims), 0)
	before := l.Bytes()
	grant, victims := l.Reserve(c, later, reuse, 2*part)
	is.Equal(grant, callermem.Waiting)
	is.True(len(victims) >= 1)
	is.Equal(l.Bytes(), before)
	is.True(victims[0].Evicted())
	is.True(!l.FinishBody(victims[0])) // it must be refused
	var granted []*callermem.Conn
	for _, v := range victims {
		granted = append(granted, l.StartClosing(v, later)...)
	}
	is.Equal(len(granted), 1)
	is.True(granted[0] == c)
	is.True(l.Cancel(c))
	is.True(len(victims) < len(held))
}

// TestSlowestBodyYields guards against a burst of large bodies of which none ends, because each takes
// memory that the others need: the slower one is refused.
func TestSlowestBodyYields(t *testing.T) {
	is := is.New(t)
	l := callermem.New(callermem.Limits{Bytes: memory})
	held := fill(l, 0)
	slow, fast := held[len(held)-1], held[0] // the last one got less
	grant, victims := l.Reserve(slow, 100*time.Millisecond, reuse, part)
	is.Equal(grant, callermem.Refused)
	is.Equal(len(victims), 0)
	l.DropBody(slow)
	for range 2 * 4 {
		if grant, victims = l.Reserve(fast, 100*time.Millisecond, reuse, part); grant != callermem.Granted {
			break
		}
	}
	is.Equal(grant, callermem.Waiting)
	is.True(len(victims) > 0)
}

// TestRandomHistories guards, over random histories of connections, against memory or connections beyond
// the bounds, the eviction of a request that is in progress, waits that never end, and sums that don't match.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &history{T: t, random: rand.New(rand.NewPCG(seed, 1)), conns: make(map[*callermem.Conn]bool), waiting: make(map[*callermem.Conn]bool)}
			h.limits = callermem.Limits{Bytes: 4_000_000 + h.random.Int64N(memory), Conns: 20 + h.random.IntN(2000)}
			h.ledger = callermem.New(h.limits)
			for range 20_000 {
				h.now += time.Duration(h.random.ExpFloat64() * float64(3*time.Millisecond))
				h.step()
				h.check()
			}
			for c := range h.conns {
				h.close(c)
			}
			if l := h.ledger; l.Bytes() != 0 || l.Conns() != 0 || len(h.waiting) > 0 {
				t.Fatalf("%d bytes, %d connections, %d waiting after the end", l.Bytes(), l.Conns(), len(h.waiting))
			}
		})
	}
}

// history drives a ledger as the connections of a host do.
type history struct {
	*testing.T

	random *rand.Rand
	limits callermem.Limits
	ledger *callermem.Ledger
	now    time.Duration
	// conns has the open connections, waiting those that wait for memory.
	conns, waiting map[*callermem.Conn]bool
}

// step does one random operation.
func (h *history) step() {
	if h.random.IntN(4) == 0 || len(h.conns) == 0 {
		c, victims := h.ledger.Open(h.now, reuse, nil)
		for _, v := range victims {
			h.checkVictim(v)
			h.close(v)
		}
		if c != nil {
			h.conns[c] = true
		}
		return
	}
	c := h.pick()
	if h.waiting[c] {
		if h.random.IntN(20) == 0 {
			h.ledger.Cancel(c)
			delete(h.waiting, c)
		}
		return
	}
	switch c.Phase() {
	case callermem.Opened, callermem.Head, callermem.Idle:
		if h.random.IntN(3) == 0 {
			h.ledger.Serve(c)
			return
		}
		ok, victims := h.ledger.ReadHead(c, h.now, reuse, h.random.IntN(4096), h.random.IntN(300))
		for _, v := range victims { // closed whatever they do
			h.checkVictim(v)
			h.close(v)
		}
		if !ok {
			h.close(c)
		}
	case callermem.Body, callermem.Serving:
		h.proceed(c)
	case callermem.Closing:
		h.close(c)
	}
}

// proceed reads another part of a body or ends the request.
func (h *history) proceed(c *callermem.Conn) {
	switch n := h.random.IntN(20); {
	case c.Evicted():
		h.wake(h.ledger.StartClosing(c, h.now))
	case n == 0 && c.Phase() == callermem.Serving:
		h.wake(h.ledger.SetIdle(c, h.now))
	case n == 0:
		h.ledger.FinishBody(c)
	case n == 1:
		h.close(c)
	case c.Phase() == callermem.Body || n == 2:
		if n == 3 {
			h.ledger.Keep(c, min(c.BodyBytes(), 2*part))
		}
		grant, victims := h.ledger.Reserve(c, h.now, reuse, 1+h.random.Int64N(part))
		if grant == callermem.Waiting {
			h.waiting[c] = true
		}
		h.evict(victims)
		switch grant {
		case callermem.Waiting:
			h.settle()
		case callermem.Refused:
			h.wake(h.ledger.StartClosing(c, h.now))
		}
	}
}

// settle lets evicted bodies release their memory now and then.
func (h *history) settle() {
	if h.random.IntN(2) == 0 {
		return
	}
	for c := range h.conns {
		if c.Evicted() {
			h.wake(h.ledger.StartClosing(c, h.now))
		}
	}
	if len(h.waiting) > 0 {
		h.Fatalf("%d connections wait after all evicted ones released their memory", len(h.waiting))
	}
}

// pick returns a random connection.
func (h *history) pick() *callermem.Conn {
	for c := range h.conns {
		return c // the order of a map is random
	}
	return nil
}

// evict closes the victims that are not reading a body, as a host does.
func (h *history) evict(victims []*callermem.Conn) {
	for _, v := range victims {
		h.checkVictim(v)
		if v.Phase() != callermem.Body {
			h.close(v)
		}
	}
}

func (h *history) close(c *callermem.Conn) {
	delete(h.conns, c)
	delete(h.waiting, c)
	h.wake(h.ledger.Close(c))
}

func (h *history) wake(granted []*callermem.Conn) {
	for _, c := range granted {
		if !h.waiting[c] {
			h.Fatal("memory was granted to a connection that does not wait")
		}
		delete(h.waiting, c)
	}
}

// checkVictim checks that a connection may be evicted.
func (h *history) checkVictim(c *callermem.Conn) {
	if c.Phase() == callermem.Serving || h.waiting[c] {
		h.Fatalf("a connection in phase %d was evicted, waiting %t", c.Phase(), h.waiting[c])
	}
}

// check checks the bounds.
func (h *history) check() {
	l := h.ledger
	if l.Bytes() > h.limits.Bytes || l.Conns() > h.limits.Conns || l.Conns() != len(h.conns) {
		h.Fatalf("%d of %d bytes, %d of %d connections, %d open", l.Bytes(), h.limits.Bytes, l.Conns(), h.limits.Conns, len(h.conns))
	}
}

// BenchmarkSmallRequest measures the accounting of one small request on an open connection.
func BenchmarkSmallRequest(b *testing.B) {
	l := callermem.New(callermem.Limits{Bytes: memory, Conns: 1000})
	c, _ := l.Open(0, reuse, nil)
	b.ReportAllocs()
	for b.Loop() {
		l.ReadHead(c, 0, reuse, 400, 8)
		l.Serve(c)
		l.Reserve(c, 0, reuse, 1<<10)
		l.FinishBody(c)
		l.SetIdle(c, 0)
	}
}
