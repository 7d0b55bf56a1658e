package main

import (
	"fmt"
	"time"
)

func init() { cases["crash"] = crashCase }

const (
	// crashRounds is how often an engine crashes, each time another one.
	crashRounds = 10
	// crashStreams is the number of streams in progress when an engine crashes, crashEvents that of their events.
	crashStreams, crashEvents = 240, 30
)

// crashCase kills one of four engines, again and again, while they write streams that have no length and end with their
// connections.
func crashCase(r *run) error {
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
	hosts, err := r.startHosts(1, s)
	if err != nil {
		return err
	}
	h := hosts[0]
	time.Sleep(4 * time.Second) // longer than contactMs
	type result struct {
		request
		answer
	}
	broken := 0
	for round := range crashRounds {
		e := engines[round%len(engines)]
		results := make(chan result, crashStreams)
		for n := range crashStreams {
			go func() {
				q := chat(1000*round+n, crashEvents, 100*time.Millisecond, 20*time.Second)
				results <- result{q, send(h.front(), q)}
			}()
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		first := e.process
		if r.trouble {
			e.kill()
			r.log("engine %s killed", e.id)
			time.Sleep(downTime)
			if err := r.startEngine(s, e); err != nil {
				return err
			}
		}
		ran := make(map[string]bool)
		ended, cut, short := 0, 0, 0
		var answers []result
		for range crashStreams {
			answers = append(answers, <-results)
		}
		for _, event := range first.events() {
			ran[event.ID] = ran[event.ID] || event.Event == "run"
		}
		for _, a := range answers {
			got := len(a.events())
			mark := ""
			switch {
			case a.status == 200 && a.complete && got < crashEvents:
				mark = " SHORT"
				short++
			case a.status == 200 && a.complete:
				ended++
			default:
				cut++
			}
			r.log("sent %s; answered: %s, %d of %d events; run by %s: %t%s", a.id, a.answer, got, crashEvents, e.id, ran[a.id], mark)
		}
		r.log("round %d: %d streams whole, %d cut off, %d ended as complete before their last event", round, ended, cut, short)
		broken += short
		time.Sleep(time.Second)
	}
	if broken > 0 {
		return fmt.Errorf("%w: ORDER, %d streams ended as complete before their last event", errBroken, broken)
	}
	return nil
}
