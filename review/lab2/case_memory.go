package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["events"] = func(r *run) error { return memoryCase(r, "--mode", "endless-event", "--rate", "163840") }
	cases["heads"] = func(r *run) error { return memoryCase(r, "--mode", "endless-head", "--rate", "9000") }
}

const (
	// memoryLimit is limits.memoryMb of the settings in bytes.
	memoryLimit = 284_000_000
	// engineCount is the number of model engines, badEngines that of those in trouble.
	engineCount, badEngines = 9, 4
	// streamCount is the number of streams in progress at a time: more than the slots of the engines, fewer than the slots
	// and their queues.
	streamCount = 90 * engineCount
	// bookingCallers is the number of callers that book all the time, fewer than their engines have slots.
	bookingCallers = 16
	// allowedLost is the number of requests that the rule LOST allows.
	allowedLost = 3
)

// memoryCase has many streams in progress on one host while some of the model engines send bytes that are no answer and
// don't end. The host is killed if it exceeds its memory, as the platform does. Ordinary callers book meanwhile at
// engines that are sound.
func memoryCase(r *run, trouble ...string) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.publish(1)
	for i := range engineCount {
		e := &engine{id: fmt.Sprintf("i-7f3a91c%d", i), service: "sprachwerk", zone: "bern-a", slots: 64}
		if i < badEngines && r.trouble {
			e.args = trouble
			r.log("engine %s will send bytes without end", e.id)
		}
		if err := r.startEngine(s, e); err != nil {
			return err
		}
	}
	var sound []*engine
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-55d0e2a%d", i), service: "verleih", zone: "bern-a", slots: 6}
		if err := r.startEngine(s, e); err != nil {
			return err
		}
		sound = append(sound, e)
	}
	hosts, err := r.startHosts(1, s)
	if err != nil {
		return err
	}
	h := hosts[0]
	var most atomic.Int64
	var killed atomic.Bool
	watched := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(watched)
		for !h.hasEnded() {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			rss := h.residentBytes()
			most.Store(max(most.Load(), rss))
			if rss > memoryLimit {
				killed.Store(true)
				h.signal(syscall.SIGKILL)
				r.log("host has %d bytes of memory, more than %d: killed as by the platform", rss, memoryLimit)
				return
			}
		}
	}()
	var bookers sync.WaitGroup
	lost := make(chan request, bookingCallers)
	var answered atomic.Int64
	for n := range bookingCallers {
		bookers.Go(func() {
			c, err := connect(h.front())
			if err != nil {
				return
			}
			defer func() { _ = c.conn.Close() }()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				q := booking(1000*n+i, 300*time.Millisecond)
				a := c.do(q)
				if a.status != 0 && a.complete {
					r.log("sent %s on a kept connection (%t); answered: %s", q.id, i > 0, a)
					answered.Add(1)
					continue
				}
				r.log("sent %s on a kept connection (%t); not answered: %v", q.id, i > 0, a.err)
				if i > 0 && a.status == 0 {
					lost <- q
				}
				return
			}
		})
	}
	time.Sleep(time.Second)
	var streams sync.WaitGroup
	for n := range streamCount {
		time.Sleep(2 * time.Millisecond)
		streams.Go(func() {
			q := chat(n, 20, 400*time.Millisecond, 20*time.Second)
			a := send(h.front(), q)
			r.log("sent %s; answered: %s, %d events", q.id, a, len(a.events()))
		})
	}
	r.log("%d streams are sent", streamCount)
	streams.Wait()
	close(stop)
	<-watched
	bookers.Wait()
	close(lost)
	r.log("most memory %d bytes, killed %t, %d bookings answered", most.Load(), killed.Load(), answered.Load())
	ran := make(map[string]string)
	for _, e := range sound {
		for _, event := range e.events() {
			if event.Event == "run" {
				ran[event.ID] = e.id
			}
		}
	}
	count := 0
	for q := range lost {
		if id, ok := ran[q.id]; ok {
			count++
			r.log("%s was run by the sound engine %s, and its kept connection was closed without an answer", q.id, id)
		}
	}
	if answered.Load() == 0 {
		return fmt.Errorf("no booking was answered")
	}
	if killed.Load() && count > allowedLost {
		return fmt.Errorf("%w: LOST, %d requests on kept connections", errBroken, count)
	}
	return nil
}
