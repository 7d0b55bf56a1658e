package main

import (
	"fmt"
	"time"
)

func init() { cases["crash"] = crashCase }

const (
	// crashHosts and crashEngines are the numbers of machines and of model engines on the sheet. Two of nine engines are
	// less than the share of 0.25 that crashes on its days.
	crashHosts, crashEngines = 6, 9
	// crashRounds is how often two engines crash, each time the next ones.
	crashRounds = 10
	// crashStreams is the number of streams in progress when engines crash: 24 a second, as on the sheet, that last 3 s.
	// crashEvents is that of their events.
	crashStreams, crashEvents = 72, 30
)

// crashCase kills two of nine engines, again and again, while they write streams that have no length and end with their
// connections.
func crashCase(r *run) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.publish(1)
	var engines []*engine
	for i := range crashEngines {
		e := &engine{id: fmt.Sprintf("i-7f3a91c%d", i), service: "sprachwerk", zone: "bern-a", slots: 64, args: []string{"--mode", "unframed"}}
		if err := r.startEngine(s, e); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	hosts, err := r.startHosts(crashHosts, s)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // longer than contactMs
	type result struct {
		request
		answer
	}
	broken := 0
	for round := range crashRounds {
		crashing := []*engine{engines[2*round%crashEngines], engines[(2*round+1)%crashEngines]}
		results := make(chan result, crashStreams)
		for n := range crashStreams {
			go func() {
				q := chat(1000*round+n, crashEvents, 100*time.Millisecond, 20*time.Second)
				results <- result{q, send(hosts[n%crashHosts].front(), q)}
			}()
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		before := []*process{crashing[0].process, crashing[1].process}
		if r.trouble {
			for _, e := range crashing {
				e.kill()
				r.log("engine %s killed", e.id)
			}
			time.Sleep(downTime)
			for _, e := range crashing {
				if err := r.startEngine(s, e); err != nil {
					return err
				}
			}
		}
		var answers []result
		for range crashStreams {
			answers = append(answers, <-results)
		}
		ran := make(map[string]bool)
		for _, p := range before {
			for _, event := range p.events() {
				ran[event.ID] = ran[event.ID] || event.Event == "run"
			}
		}
		whole, cut, short := 0, 0, 0
		for _, a := range answers {
			got := len(a.events())
			mark := ""
			switch {
			case a.status == 200 && a.complete && got < crashEvents:
				mark = " SHORT"
				short++
			case a.status == 200 && a.complete:
				whole++
			default:
				cut++
			}
			r.log("sent %s; answered: %s, %d of %d events; run by an engine that is killed: %t%s", a.id, a.answer, got, crashEvents, ran[a.id], mark)
		}
		r.log("round %d: %d streams whole, %d cut off, %d ended as complete before their last event", round, whole, cut, short)
		broken += short
		time.Sleep(time.Second)
	}
	if broken > 0 {
		return fmt.Errorf("%w: ORDER, %d streams ended as complete before their last event", errBroken, broken)
	}
	return nil
}
