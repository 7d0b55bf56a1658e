// Command 1 stops a host as planned while clients that still have its address send requests.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"review/lab"
)

const (
	// work is how long an engine works on a request, timeout the route's timeoutMs and the deadline of the
	// clients.
	work    = 2500 * time.Millisecond
	timeout = 4 * time.Second
	// excusedSends is the time after the SIGTERM up to which the rule excuses requests that are still
	// at work late in the grace period.
	excusedSends = 3 * time.Second
	gracePeriod  = 8 * time.Second
)

const config = `{"version":7,"routes":[
{"name":"deposit","host":"pule25.example","prefix":"/deposit/","kind":"non_idempotent","timeoutMs":4000,"sloMs":3000,"priority":2,"service":"verleih","maxAttempts":1,"public":false},
{"name":"stock","host":"pule25.example","prefix":"/stock/","kind":"idempotent","timeoutMs":4000,"sloMs":3000,"priority":2,"service":"verleih","maxAttempts":2,"public":false}],
"services":[{"name":"verleih","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],` + lab.Tail

func main() { lab.Main(run) }

func run(l *lab.Lab) (v lab.Verdict, err error) {
	l.Store.Put("op/config", config)
	engines := []*lab.Engine{
		{ID: "i-a1", Zone: "a", Service: "verleih", Slots: 6, Queue: 24, Work: work},
		{ID: "i-b1", Zone: "b", Service: "verleih", Slots: 6, Queue: 24, Work: work},
	}
	for _, e := range engines {
		if err := l.StartEngine(e); err != nil {
			return v, err
		}
	}
	hosts, err := l.StartHosts("a", "b", "b")
	if err != nil {
		return v, err
	}
	time.Sleep(4 * time.Second) // contactMs after the start, all hosts are in touch
	stopped, other := hosts[0], hosts[1]
	known, err := other.Resolve()
	if err != nil {
		return v, err
	}
	resolved := time.Now()
	if !slices.Contains(known.Addresses, stopped.Front) {
		return v, fmt.Errorf("the directory does not name %s", stopped.Name)
	}
	// Some clients keep an answer three times as long as it says.
	useUntil := resolved.Add(time.Duration(3 * known.TTL * float64(time.Second)))
	term := l.Record.Now()
	if l.Trouble {
		stopped.Signal(syscall.SIGTERM)
	}
	requests := []lab.Request{
		{Method: http.MethodPost, Path: "/deposit/1", Body: "hold", Deadline: timeout},
		{Method: http.MethodGet, Path: "/stock/1", Deadline: timeout},
	}
	var mutex sync.Mutex
	var results []lab.Result
	var clients sync.WaitGroup
	for n, after := range []time.Duration{300, 1000, 1700, 2400, 3100, 3600, 4000, 4400, 4800, 5200, 5400, 5500, 5600, 5700, 5800, 5850} {
		at := resolved.Add(after * time.Millisecond)
		if at.After(useUntil) {
			continue // the client would have asked again
		}
		clients.Go(func() {
			time.Sleep(time.Until(at))
			result := l.Send(stopped.Front, requests[n%2])
			mutex.Lock()
			defer mutex.Unlock()
			results = append(results, result)
		})
	}
	if l.Trouble {
		// The platform kills a process that has not ended after the grace period.
		select {
		case <-stopped.Ended():
		case <-time.After(gracePeriod):
			stopped.Signal(syscall.SIGKILL)
		}
	}
	clients.Wait()
	time.Sleep(time.Second) // for the engines to record what they drop
	v.Broken = check(results, engines, term)
	return v, nil
}

// check returns the requests that were passed on to an engine and ended without a complete answer,
// before the deadline of the client and the timeout of the route.
func check(results []lab.Result, engines []*lab.Engine, term time.Duration) (broken []string) {
	passed := make(map[string]string)
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if a.Ran {
				passed[a.ID] = e.ID
			}
		}
	}
	for _, r := range results {
		engine, ok := passed[r.ID]
		if !ok || r.Status != 0 || r.Ended-r.Sent >= timeout || r.Sent-term <= excusedSends {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: %s, sent %.3f s after SIGTERM, ran at %s; its connection ended after %.3f s without an answer",
			r.ID, (r.Sent-term).Seconds(), engine, (r.Ended-r.Sent).Seconds()))
	}
	return broken
}
