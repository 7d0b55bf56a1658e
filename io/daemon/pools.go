package daemon

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/schedule"
	"sassafrasward/core/suspect"
	"sassafrasward/io/poolsched"
	"sassafrasward/io/wire"
)

// gates is the set of pools of the configuration in force. The control goroutine replaces
// it as a whole; traffic goroutines read it without waiting.
type poolSet struct {
	clock    func() time.Duration
	zone     string
	suspects *suspectSync
	current  atomic.Pointer[poolSnapshot]
}

// pools does not change once published. Gates of pools that stay are kept, with their
// queues.
type poolSnapshot struct {
	schedulers map[string]*poolsched.Scheduler
	addresses  map[string]string
}

func newPoolSet(clock func() time.Duration, zone string, suspects *suspectSync) *poolSet {
	g := &poolSet{clock: clock, zone: zone, suspects: suspects}
	g.current.Store(&poolSnapshot{})
	return g
}

// Gate returns the gate of the pool, or nil.
func (g *poolSet) Scheduler(pool string) *poolsched.Scheduler {
	return g.current.Load().schedulers[pool]
}

// Address returns the address of the target, or the empty string.
func (g *poolSet) Address(target string) string { return g.current.Load().addresses[target] }

// configure makes the pools match the document.
func (g *poolSet) configure(d *config.Document, leaving map[string]bool) {
	old := g.current.Load()
	next := &poolSnapshot{schedulers: make(map[string]*poolsched.Scheduler), addresses: make(map[string]string)}
	targets := make(map[string][]schedule.Target)
	for _, t := range d.Targets() {
		next.addresses[t.Name()] = t.Address()
		targets[t.Pool()] = append(targets[t.Pool()], schedule.NewTarget(t.Name(), t.Zone(), t.Slots(), leaving[t.Address()]))
	}
	shares := make(map[string]int)
	for _, w := range d.Workspaces() {
		shares[w.Name()] = w.Share()
	}
	for _, p := range d.Pools() {
		scheduler, ok := old.schedulers[p.Name()]
		if !ok {
			scheduler = poolsched.New(g.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
				schedule.WithPolicy(newPolicy(d.ActivePreset())), schedule.WithZone(g.zone), schedule.WithSuspects(g.suspects.table()))
		}
		scheduler.SetShares(shares)
		scheduler.SetPolicy(newPolicy(d.ActivePreset()))
		scheduler.SetTargets(targets[p.Name()])
		next.schedulers[p.Name()] = scheduler
	}
	g.current.Store(next)
}

// learn takes a fact about a crash suspect. A fingerprint belongs to one pool, and the
// others hold it without effect.
func (g *poolSet) mergeCrash(f suspect.CrashRecord) {
	for _, scheduler := range g.current.Load().schedulers {
		scheduler.MergeCrash(f)
	}
}

// tick runs the periodic decisions of all pools.
func (g *poolSet) tick() {
	for _, scheduler := range g.current.Load().schedulers {
		scheduler.Tick()
	}
}

// policyOf returns the knobs that the preset sets.
func newPolicy(p config.Preset) schedule.Policy {
	return schedule.NewPolicy(
		schedule.WithAdmission(p.AdmissionControl()), schedule.WithLongWorkLimit(true, p.LongSlotShare()),
		schedule.WithPrefixAffinity(p.PrefixAffinity()), schedule.WithBudgets(p.RetryBudget(), p.HedgeBudget()),
		schedule.WithQueueBound(p.QueueLimit()))
}

// report returns the state of all pools by name.
func (g *poolSet) report() (list []Pool) {
	current := g.current.Load()
	for _, name := range slices.Sorted(maps.Keys(current.schedulers)) {
		snapshot := current.schedulers[name].Snapshot()
		pool := Pool{Pool: name, Queued: snapshot.Queued()}
		for _, t := range snapshot.Targets() {
			pool.Targets = append(pool.Targets, newTarget(t, current.addresses[t.Target().Name()]))
		}
		list = append(list, pool)
	}
	return list
}

func newTarget(t schedule.TargetSnapshot, address string) Target {
	state := wire.StateLive
	if t.Target().Leaving() {
		state = wire.StateLeaving
	}
	return Target{
		Target: t.Target().Name(), Address: address, Zone: t.Target().Zone(),
		State: state, Inflight: t.Inflight(), Slots: t.Target().Slots(),
	}
}
