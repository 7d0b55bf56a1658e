package replay

import (
	"math/rand/v2"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/schedule"
)

// tick is the period of the scheduler ticks; the same as the daemon's.
const tick = 100 * time.Millisecond

// host is an entry host with a scheduler per pool.
type host struct {
	run    *run
	zone   string
	preset config.Preset
	// order has the pools in the order of their names, so that ticks run in that order.
	order []string
	pools map[string]*schedule.Scheduler
	// attempts has the calls that wait in or were started by a scheduler.
	attempts map[schedule.ID]*attempt
	last     schedule.ID
}

func newHost(r *run, zone string) *host {
	h := &host{run: r, zone: zone, preset: r.trace.Document().ActivePreset(), pools: make(map[string]*schedule.Scheduler), attempts: make(map[schedule.ID]*attempt)}
	targets := make(map[string][]schedule.Target)
	for _, t := range r.trace.Document().Targets() {
		targets[t.Pool()] = append(targets[t.Pool()], schedule.NewTarget(t.Name(), t.Zone(), t.Slots(), false))
	}
	for _, p := range r.trace.Document().Pools() {
		random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
		s := schedule.New(random, schedule.WithPolicy(r.variant.policy(h.preset)), schedule.WithZone(zone))
		s.SetShares(shares(r.trace.Document()))
		s.SetTargets(0, targets[p.Name()])
		h.order = append(h.order, p.Name())
		h.pools[p.Name()] = s
	}
	return h
}

func shares(d *config.Document) map[string]int {
	list := make(map[string]int)
	for _, w := range d.Workspaces() {
		list[w.Name()] = w.Share()
	}
	return list
}

// id returns a new identity for a call.
func (h *host) id() schedule.ID {
	h.last++
	return h.last
}

// tick runs the periodic decisions of all pools.
func (h *host) tick() {
	for _, pool := range h.order {
		h.apply(h.pools[pool].Tick(h.run.clock.now))
	}
}

func (h *host) setPreset(p config.Preset) {
	h.preset = p
	for _, pool := range h.order {
		h.pools[pool].SetPolicy(h.run.variant.policy(p))
		h.apply(h.pools[pool].Tick(h.run.clock.now))
	}
}

// finish reports the end of a call to its scheduler.
func (h *host) finish(a *attempt, end schedule.CallStatus, options ...schedule.ResultOption) {
	delete(h.attempts, a.id)
	h.apply(h.pools[a.pool].Finish(h.run.clock.now, schedule.NewResult(a.id, end, options...)))
}

// apply carries out what a scheduler decided.
func (h *host) apply(step schedule.Actions) {
	for _, start := range step.Starts() {
		if start.Hedge() != 0 {
			h.hedge(start)
		} else if a, ok := h.attempts[start.ID()]; ok {
			a.send(start.Target())
		}
	}
	for _, id := range step.Cancels() {
		if a, ok := h.attempts[id]; ok {
			a.withdraw(schedule.Cancelled)
		}
	}
	for _, refusal := range step.Refusals() {
		if a, ok := h.attempts[refusal.ID()]; ok {
			delete(h.attempts, a.id)
			a.flow.drop(a)
			a.flow.refuse(refusal.Reason())
		}
	}
}

// hedge starts the duplicate of a running call.
func (h *host) hedge(start schedule.Start) {
	first, ok := h.attempts[start.Hedge()]
	if !ok {
		return
	}
	a := first.flow.duplicate(first, start.ID())
	h.attempts[a.id] = a
	a.send(start.Target())
}
