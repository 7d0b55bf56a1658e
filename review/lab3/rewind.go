package main

import (
	"fmt"
	"strings"
	"time"
)

// The bounds of the deployments, as the settings and the rules have them.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	drainTime   = 2 * time.Second
)

// drill is a small deployment whose store comes back from a copy that is three seconds old.
type drill struct {
	store   *store
	clients *client
	engines map[string]*engine
}

// publish publishes a configuration.
func (d *drill) publish(version int, service string, idle int) (acked time.Time) {
	routes := []string{routeOf("pay", "/pay/", "idempotent", service, plainRest)}
	for n := range idle {
		routes = append(routes, routeOf(fmt.Sprintf("idle%d", n), fmt.Sprintf("/idle%d/", n), "idempotent", "alpha", plainRest))
	}
	text := configOf(version, []string{"alpha", "beta"}, routes...)
	acked, revision := d.store.put("op/config", text)
	note("operator: version %d, /pay/ goes to %s, acknowledged at revision %d", version, service, revision)
	return acked
}

func (d *drill) register(id, state string, coldMs int) {
	key, value := d.engines[id].entry(state, coldMs)
	_, revision := d.store.put(key, value)
	note("engine %s: %s, cold for %d ms, acknowledged at revision %d", id, state, coldMs, revision)
}

// newDrill starts the deployment and its clients.
func newDrill() *drill {
	d := &drill{store: newStore(), clients: newClient(), engines: make(map[string]*engine)}
	for _, e := range []*engine{newEngine("a1", "alpha", "z1", nil), newEngine("a2", "alpha", "z1", nil), newEngine("a3", "alpha", "z1", nil), newEngine("a4", "alpha", "z1", nil), newEngine("b1", "beta", "z1", nil)} {
		d.engines[e.id] = e
	}
	d.publish(10, "alpha", 1)
	for _, id := range []string{"a1", "a2", "b1"} {
		d.register(id, "ready", 0)
	}
	o := hostOptions{memoryMB: 284, store: d.store.address(), contact: 3000, leave: 2000, apply: 2000, zone: "z1", zones: "z1:here"}
	for n := range 3 {
		hosts = append(hosts, newHost(fmt.Sprintf("edge%d", n+1), o))
	}
	for _, h := range hosts {
		for _, seed := range hosts {
			h.options.seeds = append(h.options.seeds, seed.control)
		}
	}
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.awaitReady()
	}
	time.Sleep(contact)
	d.clients.traffic(hosts, time.Now().Add(25*time.Second), 40*time.Millisecond, "GET", "/pay/", nil)
	time.Sleep(time.Second)
	return d
}

// restore makes the store come back from a copy.
func (d *drill) restore(c copyOf) {
	d.store.setAway(true)
	note("drill: the store is away")
	time.Sleep(300 * time.Millisecond)
	d.store.restore(c)
	d.store.setAway(false)
	note("drill: the store is back from the copy of revision %d", c.revision)
}

// rewindConfig checks that a configuration that is published after the drill comes into force. All that the store lost
// is written again: by the operator at once, and by the engines with their next heartbeat.
func rewindConfig() {
	d := newDrill()
	copied := d.store.copy()
	note("the store's copy is of revision %d", copied.revision)
	time.Sleep(500 * time.Millisecond)
	d.publish(11, "alpha", 2)
	time.Sleep(700 * time.Millisecond)
	d.register("a3", "ready", 0)
	d.register("a4", "ready", 0)
	time.Sleep(700 * time.Millisecond)
	d.publish(12, "alpha", 3)
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		d.restore(copied)
		time.Sleep(200 * time.Millisecond)
		d.publish(11, "alpha", 2)
		d.publish(12, "alpha", 3)
	}
	back := time.Now()
	time.Sleep(300 * time.Millisecond)
	acked := d.publish(13, "beta", 3)
	time.Sleep(600 * time.Millisecond)
	if trouble {
		d.register("a3", "ready", 0)
		d.register("a4", "ready", 0)
	}
	time.Sleep(14 * time.Second)
	late, old := 0, 0
	for _, c := range d.clients.all() {
		if c.sent.Before(acked.Add(configApply)) || c.sent.Before(back.Add(2*contact)) || c.status != 200 {
			continue
		}
		late++
		if strings.HasPrefix(c.body, "done by a") {
			old++
		}
	}
	verdict(old > 0, "CONFIG", fmt.Sprintf("of %d requests that were served, and sent later than 2 s after version 13 was acknowledged and 6 s after the store's return, %d were run by the service of version 12", late, old))
}

// rewindRemoval checks that an engine whose entry is removed after the drill gets no more requests.
func rewindRemoval() {
	d := newDrill()
	copied := d.store.copy()
	note("the store's copy is of revision %d", copied.revision)
	time.Sleep(500 * time.Millisecond)
	d.publish(11, "alpha", 2)
	for _, cold := range []int{800, 400, 0} { // engine a3 starts
		d.register("a3", "ready", cold)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	d.publish(12, "alpha", 3)
	time.Sleep(time.Second)
	if trouble {
		d.restore(copied)
		time.Sleep(500 * time.Millisecond)
		d.register("a3", "ready", 0)
		d.publish(12, "alpha", 3)
	}
	time.Sleep(2 * contact)
	acked, revision := d.store.remove("servers/a2")
	note("engine a2: its entry is removed, acknowledged at revision %d; it goes on serving", revision)
	time.Sleep(10 * time.Second)
	count := 0
	var last time.Time
	for _, r := range d.engines["a2"].taken() {
		if r.at.After(acked.Add(drainTime)) {
			count++
			last = r.at
			note("request %s reached engine a2 at %.3f s, %v after its entry was removed", r.id, r.at.Sub(began).Seconds(), r.at.Sub(acked).Round(time.Millisecond))
		}
	}
	text := fmt.Sprintf("%d requests reached engine a2 later than 2 s after the removal of its entry was acknowledged", count)
	if count > 0 {
		text += fmt.Sprintf(", the last one %v after it", last.Sub(acked).Round(time.Millisecond))
	}
	verdict(count > 0, "DRAIN", text)
}
