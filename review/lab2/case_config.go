package main

import (
	"fmt"
	"time"
)

func init() { cases["config"] = configCase }

const (
	// applyTime is configApplyMs.
	applyTime = 2 * time.Second
	// newKey replaces apiKey.
	newKey = "jnbanfqasnmgkcuyj8pj"
)

// configCase withdraws a key by a configuration that also adds a route with two stages, the first of which needs the
// results of the second. Without the trouble, the same stages stand in the opposite order.
func configCase(r *run) error {
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
	hosts, err := r.startHosts(3, s)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // longer than contactMs
	n := 0
	book := func(h *host, key string) (request, answer) {
		n++
		q := booking(n, 20*time.Millisecond)
		q.key = key
		return q, send(h.front(), q)
	}
	for _, h := range hosts {
		q, a := book(h, apiKey)
		r.log("sent %s to %s with the key of version 1; answered: %s", q.id, h.settings["node"], a)
		if a.status != 200 {
			return fmt.Errorf("status %d before the change", a.status)
		}
	}

	first, second := []int{1}, []int{}
	if !r.trouble {
		first, second = []int{}, []int{0}
	}
	staged := route("staged", "/staged/", "streaming", "sprachwerk", 8000, 1400, 1)
	staged["stages"] = []map[string]any{
		{"service": "kundenkonto", "after": first, "bytes": 8000},
		{"service": "kundenkonto", "after": second, "bytes": 8000},
	}
	s.publishWithKey(2, newKey, staged)
	acknowledged := time.Now()
	r.log("version 2 is published: the key is replaced, and a route has stages with after %v and %v", first, second)
	time.Sleep(applyTime)
	broken := 0
	ran := make(map[string]string)
	for time.Since(acknowledged) < applyTime+4*time.Second {
		for _, h := range hosts {
			at := time.Since(acknowledged)
			q, a := book(h, apiKey)
			r.log("sent %s to %s with the withdrawn key %d ms after the acknowledgement; answered: %s", q.id, h.settings["node"], at.Milliseconds(), a)
			if a.status == 200 {
				ran[q.id] = h.settings["node"]
			}
			q, a = book(h, newKey)
			r.log("sent %s to %s with the new key; answered: %s", q.id, h.settings["node"], a)
			if a.status == 401 {
				broken++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	deposits := 0
	for _, e := range engines {
		for _, event := range e.events() {
			if _, ok := ran[event.ID]; ok && event.Event == "run" {
				deposits++
			}
		}
	}
	for _, h := range hosts {
		for _, line := range h.output("configuration refused") {
			r.log("%s: %.300s", h.settings["node"], line)
		}
	}
	r.log("%d bookings with the withdrawn key were run by engines, %d with the new one were refused with 401", deposits, broken)
	if deposits+broken > 0 {
		return fmt.Errorf("%w: CONFIG, %d bookings ran with a dropped key", errBroken, deposits)
	}
	return nil
}
