package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"syscall"
	"time"
)

func init() { cases["kept"] = keptCase }

// keptBody is the size of the bodies: those of the largest requests on the sheet have 110,000 bytes.
const keptBody = 100_000

// keptCase sends large bodies one after the other on kept connections. With TROUBLE=0, segments are as large as on an
// Ethernet link instead of those of the loopback interface.
func keptCase(r *run) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.publish(1)
	if err := r.startEngine(s, &engine{id: "i-55d0e2a0", service: "verleih", zone: "bern-a", slots: 6}); err != nil {
		return err
	}
	hosts, err := r.startHosts(1, s)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // longer than contactMs
	sent, unanswered := 0, 0
	for n := range 10 {
		d := net.Dialer{Timeout: time.Second}
		if !r.trouble {
			d.Control = func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460) })
			}
		}
		conn, err := d.Dial("tcp", hosts[0].front())
		if err != nil {
			return err
		}
		c := &caller{conn, bufio.NewReader(conn)}
		for i := range 5 {
			q := booking(100*n+i, 20*time.Millisecond)
			q.body = bytes.Repeat([]byte("b"), keptBody)
			a := c.do(q)
			r.log("sent %s, request %d of its connection; answered: %s", q.id, i+1, a)
			sent++
			if !a.complete {
				unanswered++
				break
			}
		}
		_ = c.conn.Close()
	}
	r.log("%d requests were sent, %d had no answer within 4 s", sent, unanswered)
	if unanswered > 0 {
		return fmt.Errorf("%w: %d requests were not answered", errBroken, unanswered)
	}
	return nil
}
