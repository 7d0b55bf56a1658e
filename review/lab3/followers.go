package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// link is the path of one host to the store.
type link struct {
	listener net.Listener
	to       string

	mutex sync.Mutex
	// cutOff is set while the path carries nothing; mended is closed and replaced when that ends.
	cutOff bool
	mended chan struct{}
	// asked is when the host last asked for changes of the engines' entries.
	asked time.Time
}

func newLink(to string) *link {
	l := &link{listener: listen("127.0.0.1:0"), to: to, mended: make(chan struct{})}
	go func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l
}

// carry connects one connection of the host with the store.
func (l *link) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	l.wait()
	s, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		l.pump(s, c, true)
		_ = s.Close()
	}()
	l.pump(c, s, false)
}

// pump copies bytes while the path is not cut, and holds them back while it is.
func (l *link) pump(to io.Writer, from io.Reader, calls bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			l.wait()
			if calls && bytes.Contains(b[:n], []byte("/kv-watch?")) && bytes.Contains(b[:n], []byte("servers")) {
				l.mutex.Lock()
				l.asked = time.Now()
				l.mutex.Unlock()
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait waits until the path is not cut.
func (l *link) wait() {
	for {
		l.mutex.Lock()
		cut, mended := l.cutOff, l.mended
		l.mutex.Unlock()
		if !cut {
			return
		}
		<-mended
	}
}

func (l *link) cut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cutOff = cut
	if !cut {
		close(l.mended)
		l.mended = make(chan struct{})
	}
}

// reads reports whether the host has read the engines' entries lately.
func (l *link) reads() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Since(l.asked) < 4*time.Second
}

// followers checks that hosts which reach the store stop using an engine that leaves, while those that read the store
// for them are partitioned from it.
func followers() {
	const (
		fleet   = 24
		cutTime = 12 * time.Second
		// drainBound is drainMs of the grown site.
		drainBound = 3 * time.Second
	)
	s := newStore()
	s.put("op/config", configOf(10, []string{"alpha"}, routeOf("pay", "/pay/", "idempotent", "alpha", plainRest)))
	engines := make(map[string]*engine)
	for _, id := range []string{"a1", "a2", "a3", "a4"} {
		engines[id] = newEngine(id, "alpha", "z1", nil)
		s.put(engines[id].entry("ready", 0))
	}
	links := make(map[string]*link)
	for n := range fleet {
		name, zone := fmt.Sprintf("edge%d", n+1), fmt.Sprintf("z%d", n%2+1)
		links[name] = newLink(s.address())
		hosts = append(hosts, newHost(name, hostOptions{
			memoryMB: 536, store: links[name].listener.Addr().String(), contact: 4000, leave: 3000, apply: 3000, zone: zone, zones: "z1:here,z2:here",
		}))
	}
	for _, h := range hosts {
		h.options.seeds = []string{hosts[0].control, hosts[1].control, hosts[2].control}
	}
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.awaitReady()
	}
	time.Sleep(15 * time.Second)
	var readers []string
	for _, h := range hosts {
		if links[h.name].reads() {
			readers = append(readers, h.name)
		}
	}
	note("hosts that read the store: %s", strings.Join(readers, " "))
	if len(readers) == 0 || len(readers)*100 > 35*fleet {
		cannotRun("%d of %d hosts read the store", len(readers), fleet)
	}
	clients := newClient()
	done := clients.traffic(hosts, time.Now().Add(24*time.Second), 2500*time.Microsecond, "GET", "/pay/", nil)
	time.Sleep(3 * time.Second)
	if trouble {
		for _, name := range readers {
			links[name].cut(true)
		}
		note("%d of %d hosts are partitioned from the store", len(readers), fleet)
	}
	mend := time.Now().Add(cutTime)
	time.Sleep(100 * time.Millisecond)
	acked, revision := s.put(engines["a1"].entry("draining", 0))
	note("engine a1 is draining, acknowledged at revision %d; it goes on serving", revision)
	time.Sleep(time.Until(mend))
	for _, name := range readers {
		links[name].cut(false)
	}
	note("the partition has ended")
	<-done
	from := make(map[string]string)
	for _, c := range clients.all() {
		from[c.id] = c.host
	}
	late, by := 0, make(map[string]bool)
	var last time.Duration
	for _, r := range engines["a1"].taken() {
		after := r.at.Sub(acked)
		if trouble && strings.Contains(" "+strings.Join(readers, " ")+" ", " "+from[r.id]+" ") {
			continue // this host was not in touch
		}
		if after > drainBound {
			late, last = late+1, max(last, after)
			by[from[r.id]] = true
			note("request %s reached engine a1 at %.3f s from %s, %v after its leaving was acknowledged", r.id, r.at.Sub(began).Seconds(), from[r.id], after.Round(time.Millisecond))
		}
	}
	verdict(late > 0, "DRAIN", fmt.Sprintf("%d requests of %d hosts in touch reached engine a1 later than 3 s after its leaving was acknowledged, the last one %v after it", late, len(by), last.Round(time.Millisecond)))
}
