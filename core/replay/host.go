package replay

import (
	"math/rand/v2"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/schedule"
)

// tickInterval is the interval between scheduler ticks, as in the daemon.
const tickInterval = 100 * time.Millisecond

// host simulates an entry host with one scheduler per pool.
type host struct {
	run    *run
	zone   string
	preset config.Preset
	// poolNames holds the keys of pools in sorted order, so that ticks run in a fixed order.
	poolNames []string
	pools     map[string]*schedule.Scheduler
	// attempts holds the calls that are queued in or were started by a scheduler.
	attempts map[schedule.ID]*attempt
	lastID   schedule.ID
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
		s.SetShares(workspaceShares(r.trace.Document()))
		s.SetTargets(0, targets[p.Name()])
		h.poolNames = append(h.poolNames, p.Name())
		h.pools[p.Name()] = s
	}
	return h
}

func workspaceShares(d *config.Document) map[string]int {
	shares := make(map[string]int)
	for _, w := range d.Workspaces() {
		shares[w.Name()] = w.Share()
	}
	return shares
}

// nextID returns a new call ID.
func (h *host) nextID() schedule.ID {
	h.lastID++
	return h.lastID
}

// tick runs the periodic scheduling decisions of all pools.
func (h *host) tick() {
	for _, pool := range h.poolNames {
		h.apply(h.pools[pool].Tick(h.run.clock.now))
	}
}

func (h *host) setPreset(p config.Preset) {
	h.preset = p
	for _, pool := range h.poolNames {
		h.pools[pool].SetPolicy(h.run.variant.policy(p))
		h.apply(h.pools[pool].Tick(h.run.clock.now))
	}
}

// finish reports the end of a call to its scheduler and applies the resulting decisions.
func (h *host) finish(a *attempt, status schedule.CallStatus, options ...schedule.ResultOption) {
	delete(h.attempts, a.id)
	h.apply(h.pools[a.pool].Finish(h.run.clock.now, schedule.NewResult(a.id, status, options...)))
}

// apply carries out the decisions of a scheduler.
func (h *host) apply(actions schedule.Actions) {
	for _, start := range actions.Starts() {
		if start.Hedge() != 0 {
			h.startHedge(start)
		} else if a, ok := h.attempts[start.ID()]; ok {
			a.send(start.Target())
		}
	}
	for _, id := range actions.Cancels() {
		if a, ok := h.attempts[id]; ok {
			a.abort(schedule.Cancelled)
		}
	}
	for _, refusal := range actions.Refusals() {
		if a, ok := h.attempts[refusal.ID()]; ok {
			delete(h.attempts, a.id)
			a.flow.remove(a)
			a.flow.refuse(refusal.Reason())
		}
	}
}

// startHedge sends a duplicate of a running call to another target.
func (h *host) startHedge(start schedule.Start) {
	first, ok := h.attempts[start.Hedge()]
	if !ok {
		return
	}
	a := first.flow.newHedge(first, start.ID())
	h.attempts[a.id] = a
	a.send(start.Target())
}
