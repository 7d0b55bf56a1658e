package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	gracePeriod = 8 * time.Second
	contactTime = 3 * time.Second
	// stopFreeze is how long the host that is stopped stands still.
	stopFreeze = 3500 * time.Millisecond
	// stopMargin is for a signal that takes effect late.
	stopMargin = 100 * time.Millisecond
	// bookingTimeout is the timeoutMs of the route.
	bookingTimeout = 2 * time.Second
	// stopCallers is the number of callers that book, fewer than their engines have slots.
	stopCallers = 12
)

// sentBooking is a booking with its time, counted from SIGTERM, and its end.
type sentBooking struct {
	request
	answer

	at time.Duration
}

// stopCase stops a host with SIGTERM while it stands still, and kills it after the grace period. It is the
// only host, so that callers get no other address and go on with the one that they have.
func stopCase(r *run) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.publish(1)
	var engines []*engine
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-55d0e2a%d", i), service: "verleih", zone: "bern-a", slots: 6}
		if err := r.startEngine(s, e); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	hosts, err := r.startHosts(1, s)
	if err != nil {
		return err
	}
	h := hosts[0]
	time.Sleep(4 * time.Second) // longer than contactMs
	list, ttl := h.resolve()
	if len(list) != 1 || list[0] != h.front() {
		return fmt.Errorf("the directory gives the addresses %v", list)
	}
	r.log("the directory gives %v for %v", list, ttl)

	began := time.Now()
	if r.trouble {
		h.signal(syscall.SIGSTOP)
		r.log("host stands still")
	}
	time.Sleep(20 * time.Millisecond)
	h.signal(syscall.SIGTERM)
	term := time.Now()
	r.log("SIGTERM to the host")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if r.trouble {
			time.Sleep(time.Until(began.Add(stopFreeze)))
			h.signal(syscall.SIGCONT)
			r.log("host goes on")
		}
		select {
		case <-h.ended:
			r.log("host has ended, %d ms after SIGTERM", time.Since(term).Milliseconds())
		case <-time.After(time.Until(term.Add(gracePeriod))):
			h.signal(syscall.SIGKILL)
			r.log("SIGKILL to the host, %d ms after SIGTERM", time.Since(term).Milliseconds())
		}
	}()

	var callers sync.WaitGroup
	var mutex sync.Mutex
	var sent []sentBooking
	for n := range stopCallers {
		callers.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			for i := 0; time.Since(term) < gracePeriod; i++ {
				time.Sleep(rand.N(100 * time.Millisecond)) // so that callers don't keep step
				b := sentBooking{request: booking(1000*n+i, 400*time.Millisecond), at: time.Since(term)}
				b.answer = send(h.front(), b.request)
				mutex.Lock()
				sent = append(sent, b)
				mutex.Unlock()
				if b.status != 200 {
					time.Sleep(200 * time.Millisecond) // as a Retry-After says, or until a new connection is tried
				}
			}
		})
	}
	callers.Wait()
	<-ended
	ran := make(map[string]bool)
	for _, e := range engines {
		for _, event := range e.events() {
			ran[event.ID] = ran[event.ID] || event.Event == "run"
			r.log("engine %s: %s %s %s", e.id, event.Event, event.ID, event.Detail)
		}
	}
	lost := 0
	for _, b := range sent {
		mark := ""
		calm := !r.trouble || b.at >= time.Until(began.Add(stopFreeze+contactTime+stopMargin))+time.Since(term)
		if ran[b.id] && !b.complete && calm && b.elapsed < bookingTimeout {
			lost++
			mark = " LOST"
		}
		r.log("%s was sent %d ms after SIGTERM; run by an engine %t; answered: %s%s", b.id, b.at.Milliseconds(), ran[b.id], b.answer, mark)
	}
	r.log("%d bookings were sent, %d of them lost", len(sent), lost)
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d bookings that engines ran", errBroken, lost)
	}
	return nil
}
