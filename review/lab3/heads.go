package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryLimit is the memory of a machine in MB.
const memoryLimit = 284

// platform ends a process that exceeds the memory of its machine and starts it again after a second.
type platform struct {
	ends map[string]*atomic.Int64
	peak map[string]float64
}

func newPlatform() *platform {
	return &platform{ends: make(map[string]*atomic.Int64), peak: make(map[string]float64)}
}

// watch looks at the memory of the hosts until the time.
func (p *platform) watch(until time.Time) {
	var running sync.WaitGroup
	var mutex sync.Mutex
	for _, h := range hosts {
		p.ends[h.name] = &atomic.Int64{}
	}
	for _, h := range hosts {
		running.Go(func() {
			for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				mb, alive := h.residentMB(), h.alive()
				mutex.Lock()
				p.peak[h.name] = max(p.peak[h.name], mb)
				mutex.Unlock()
				if alive && mb <= memoryLimit {
					continue
				}
				n := p.ends[h.name].Add(1)
				note("platform: %s has %.0f MB, limit %d MB, alive %t: it ends for the %d. time and starts again", h.name, mb, memoryLimit, alive, n)
				h.kill()
				time.Sleep(time.Second)
				h.start()
			}
		})
	}
	running.Wait()
}

// hostile is a client that sends heads and bodies inside the limits and stops before the end of the body.
type hostile struct {
	head string
	sent atomic.Int64
}

func newHostile() *hostile {
	const limit = 16384 // maxHeaderBytes
	head := "POST /pay/1 HTTP/1.1\r\nHost: " + hostName + "\r\nX-Api-Key: " + apiKey + "\r\nX-Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\nX-Request-Id: %016x\r\nX-Prefix-Hash: "
	room := limit - len(head) - 16
	return &hostile{head: head + strings.TrimSuffix(strings.Repeat("a:1,", room/4), ",") + "\r\n\r\n"}
}

// hold keeps one connection in the state until the time, and opens another one when it is closed.
func (c *hostile) hold(address string, until time.Time) {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		_, err = fmt.Fprintf(conn, c.head+"10\r\n0123456789abcdef\r\n10\r\n01234567", c.sent.Add(1)+1<<32)
		if err == nil {
			_ = conn.SetReadDeadline(until)
			_, _ = conn.Read(make([]byte, 512)) // until the host answers or closes
		}
		_ = conn.Close()
		time.Sleep(300 * time.Millisecond)
	}
}

// heads plays clients outside control: many chunked bodies that stop short of their end, behind long heads.
func heads() {
	const connections = 1600
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Max < 2*connections+200 {
		cannotRun("the case needs %d open files", 2*connections+200)
	}
	s := newStore()
	s.put("op/config", configOf(10, []string{"alpha"}, routeOf("pay", "/pay/", "non_idempotent", "alpha", plainRest)))
	for _, id := range []string{"a1", "a2", "a3"} {
		key, value := newEngine(id, "alpha", "z1", nil).entry("ready", 0)
		s.put(key, value)
	}
	o := hostOptions{memoryMB: memoryLimit, store: s.address(), contact: 3000, leave: 2000, apply: 2000, zone: "z1", zones: "z1:here"}
	hosts = []*host{newHost("edge1", o), newHost("edge2", o)}
	for _, h := range hosts {
		h.options.seeds = []string{hosts[0].control, hosts[1].control}
	}
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.awaitReady()
	}
	end := time.Now().Add(60 * time.Second)
	p := newPlatform()
	ordinary := newClient()
	done := ordinary.traffic(hosts, end, 100*time.Millisecond, "POST", "/pay/", []byte("a booking"))
	time.Sleep(4 * time.Second)
	if trouble {
		c := newHostile()
		note("clients outside control: %d connections to each host, heads of %d bytes", connections, len(c.head)+10)
		for _, h := range hosts {
			for range connections {
				go c.hold(h.front, end)
			}
		}
	}
	p.watch(end)
	<-done
	answered, failed := 0, 0
	for _, c := range ordinary.all() {
		if c.status == 200 {
			answered++
		} else {
			failed++
		}
	}
	broken := true
	text := fmt.Sprintf("ordinary requests: %d served, %d not", answered, failed)
	for _, h := range hosts {
		n := p.ends[h.name].Load()
		broken = broken && n >= 3
		text += fmt.Sprintf("; %s ended %d times by its memory, most %.0f MB of %d MB", h.name, n, p.peak[h.name], memoryLimit)
	}
	verdict(broken, "Fault", text)
}
