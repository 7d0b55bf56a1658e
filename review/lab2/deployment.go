package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"
)

// apiKey is the key of the only workspace.
const apiKey = "9dnn2ctnfzs989anu6ws"

// heartbeat is how often engines write their entries.
const heartbeat = 1200 * time.Millisecond

// engine is an engine as the case knows it.
type engine struct {
	*process

	id, address, service, zone string
	args                       []string
	slots                      int
}

// startEngine starts an engine and publishes its entry.
func (r *run) startEngine(s *store, e *engine) (err error) {
	if e.address == "" {
		e.address = freeAddress()
	}
	e.process, err = r.startProcess(e.id, nil, "target/review-2/lab2", append([]string{"engine", "--listen", e.address, "--id", e.id}, e.args...)...)
	if err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", e.address, time.Second)
		if err == nil {
			_ = conn.Close()
			break
		}
		if time.Now().After(end) {
			return err
		}
	}
	r.log("start engine %s at %s", e.id, e.address)
	go e.beat(s, e.process, time.Now().UnixMilli())
	return nil
}

// beat writes the entry of an engine as long as its process runs, and removes it after three intervals of silence.
func (e *engine) beat(s *store, p *process, born int64) {
	for n := 1; ; n++ {
		s.put("servers/"+e.id, map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "coldRemainingMs": 0,
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": n, "born": born,
		})
		select {
		case <-p.ended:
			time.Sleep(3 * heartbeat)
			if e.process == p {
				s.put("servers/"+e.id, nil)
			}
			return
		case <-time.After(heartbeat):
		}
	}
}

// events returns the recorded events of the process of an engine.
func (p *process) events() (list []engineEvent) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, line := range p.lines {
		var e engineEvent
		if json.Unmarshal([]byte(line), &e) == nil && e.Event != "" {
			list = append(list, e)
		}
	}
	return list
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, sloMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "pule25.example", "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": sloMs, "priority": 1, "service": service,
		"maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "gapAimMs": 400,
	}
}

// publish writes a configuration with the routes and services of all cases.
func (s *store) publish(version int, routes ...map[string]any) {
	s.publishWithKey(version, apiKey, routes...)
}

// publishWithKey writes a configuration like publish, in which the workspace has another key.
func (s *store) publishWithKey(version int, key string, routes ...map[string]any) {
	routes = append(routes,
		route("chat", "/chat/", "streaming", "sprachwerk", 20000, 1900, 1),
		route("booking", "/booking/", "non_idempotent", "verleih", 2000, 300, 1),
		route("lookup", "/lookup/", "idempotent", "verleih", 2000, 300, 2),
	)
	s.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "sprachwerk", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvTokens": 357587}},
			{"name": "verleih", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
			{"name": "kundenkonto", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 200.0, "itemMs": 21.0, "roomMb": 18.0, "handleS": 4.0, "linkMbps": 10000}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": []string{key}, "priority": 1}},
	})
}

// chatPatience is the longest of two seconds, four times the objective of the route and eight times its pause.
const chatPatience = 4 * 1900 * time.Millisecond

// booking returns a request that must not be repeated and keeps its engine at work for a time.
func booking(n int, work time.Duration) request {
	return request{
		id: fmt.Sprintf("book%08d", n), method: "POST", path: "/booking/a?work=" + work.String(), deadline: 4 * time.Second, body: []byte("book one camera"),
	}
}

// chat returns a request for a stream of events.
func chat(n, events int, gap, deadline time.Duration) request {
	return request{
		id: fmt.Sprintf("chat%08d", n), method: "POST", path: "/chat/a?events=" + strconv.Itoa(events) + "&gap=" + gap.String(), deadline: deadline, patience: chatPatience, body: []byte("prompt"),
		header: map[string]string{"X-Model": "m", "X-Token-Usage": "540,250", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:103,91bd3f06:69,%x:368", n)},
	}
}
