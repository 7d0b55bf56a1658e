package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["restart"] = restartCase }

const (
	// freezeTime is how long the host stands still, downTime how long the engine is down.
	freezeTime = 4 * time.Second
	downTime   = 2 * time.Second
)

// restartCase freezes a host for some seconds while one of four engines crashes and comes back under the id that it had,
// in the middle of streams that have no length and end with their connections.
func restartCase(r *run) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.publish(1)
	var engines []*engine
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-7f3a91c%d", i), service: "sprachwerk", zone: "bern-a", slots: 64, args: []string{"--mode", "unframed"}}
		if err := r.startEngine(s, e); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	crashing := engines[0]
	hosts, err := r.startHosts(1, s)
	if err != nil {
		return err
	}
	h := hosts[0]
	time.Sleep(4 * time.Second) // longer than contactMs
	const streams, events = 40, 30
	type result struct {
		request
		answer
	}
	results := make(chan result, streams)
	for n := range streams {
		go func() {
			q := chat(n, events, 100*time.Millisecond, 20*time.Second)
			results <- result{q, send(h.front(), q)}
		}()
	}
	time.Sleep(time.Second)
	first := crashing.process
	if r.trouble {
		h.signal(syscall.SIGSTOP)
		r.log("host stopped")
		time.Sleep(300 * time.Millisecond)
		crashing.kill()
		r.log("engine %s killed", crashing.id)
		time.Sleep(downTime)
		if err := r.startEngine(s, crashing); err != nil {
			return err
		}
		time.Sleep(freezeTime - downTime - 300*time.Millisecond)
		h.signal(syscall.SIGCONT)
		r.log("host continued")
	}
	ran := make(map[string]bool)
	whole := make(map[string]bool)
	broken := 0
	for range streams {
		a := <-results
		for _, e := range first.events() {
			ran[e.ID] = ran[e.ID] || e.Event == "run"
			whole[e.ID] = whole[e.ID] || e.Event == "whole"
		}
		got := len(a.events())
		r.log("sent %s; answered: %s, %d of %d events; run by the engine that crashed: %t, whole: %t", a.id, a.answer, got, events, ran[a.id], whole[a.id])
		if a.status == 200 && a.complete && got < events {
			broken++
		}
	}
	for _, e := range append([]*engine{{process: first, id: crashing.id + " before the crash"}}, engines...) {
		for _, event := range e.events() {
			r.log("engine %s: %s %s %s", e.id, event.Event, event.ID, event.Detail)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: ORDER, %d streams ended as complete before their last event", errBroken, broken)
	}
	return nil
}
