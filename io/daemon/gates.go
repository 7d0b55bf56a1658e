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
	"sassafrasward/io/gate"
	"sassafrasward/io/wire"
)

// gates is the set of pools of the configuration in force. The control goroutine replaces
// it as a whole; traffic goroutines read it without waiting.
type gates struct {
	clock    func() time.Duration
	zone     string
	suspects *suspects
	current  atomic.Pointer[pools]
}

// pools does not change once published. Gates of pools that stay are kept, with their
// queues.
type pools struct {
	gates     map[string]*gate.Gate
	addresses map[string]string
}

func newGates(clock func() time.Duration, zone string, known *suspects) *gates {
	g := &gates{clock: clock, zone: zone, suspects: known}
	g.current.Store(&pools{})
	return g
}

// Gate returns the gate of the pool, or nil.
func (g *gates) Gate(pool string) *gate.Gate { return g.current.Load().gates[pool] }

// Address returns the address of the target, or the empty string.
func (g *gates) Address(target string) string { return g.current.Load().addresses[target] }

// configure makes the pools match the document.
func (g *gates) configure(d *config.Document, leaving map[string]bool) {
	old := g.current.Load()
	next := &pools{gates: make(map[string]*gate.Gate), addresses: make(map[string]string)}
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
		one, ok := old.gates[p.Name()]
		if !ok {
			one = gate.New(g.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
				schedule.WithPolicy(policyOf(d.ActivePreset())), schedule.WithZone(g.zone), schedule.WithSuspects(g.suspects.table()))
		}
		one.SetShares(shares)
		one.SetPolicy(policyOf(d.ActivePreset()))
		one.SetTargets(targets[p.Name()])
		next.gates[p.Name()] = one
	}
	g.current.Store(next)
}

// learn takes a fact about a crash suspect. A fingerprint belongs to one pool, and the
// others hold it without effect.
func (g *gates) learn(f suspect.CrashRecord) {
	for _, one := range g.current.Load().gates {
		one.Learn(f)
	}
}

// tick runs the periodic decisions of all pools.
func (g *gates) tick() {
	for _, one := range g.current.Load().gates {
		one.Tick()
	}
}

// policyOf returns the knobs that the preset sets.
func policyOf(p config.Preset) schedule.Policy {
	return schedule.NewPolicy(
		schedule.WithAdmission(p.AdmissionControl()), schedule.WithLongWorkLimit(true, p.LongSlotPercent()),
		schedule.WithPrefixAffinity(p.PrefixAffinity()), schedule.WithBudgets(p.RetryBudget(), p.HedgeBudget()),
		schedule.WithQueueBound(p.QueueLimit()))
}

// report returns the state of all pools by name.
func (g *gates) report() (list []Pool) {
	current := g.current.Load()
	for _, name := range slices.Sorted(maps.Keys(current.gates)) {
		snapshot := current.gates[name].Snapshot()
		pool := Pool{Pool: name, Queued: snapshot.Queued()}
		for _, t := range snapshot.Targets() {
			pool.Targets = append(pool.Targets, targetOf(t, current.addresses[t.Target().Name()]))
		}
		list = append(list, pool)
	}
	return list
}

func targetOf(t schedule.TargetSnapshot, address string) Target {
	state := wire.StateLive
	if t.Target().Leaving() {
		state = wire.StateLeaving
	}
	return Target{
		Target: t.Target().Name(), Address: address, Zone: t.Target().Zone(),
		State: state, Inflight: t.Inflight(), Slots: t.Target().Slots(),
	}
}
