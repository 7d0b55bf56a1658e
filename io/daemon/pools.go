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

// poolSet holds the pools of the configuration in force. The control goroutine replaces them as
// a whole; request goroutines read them without waiting.
type poolSet struct {
	clock    func() time.Duration
	zone     string
	suspects *suspectSync
	current  atomic.Pointer[poolSnapshot]
}

// poolSnapshot holds the pools of one configuration and does not change once published. A pool
// that also exists in the next configuration keeps its scheduler and queue.
type poolSnapshot struct {
	schedulers map[string]*poolsched.Scheduler
	addresses  map[string]string
}

func newPoolSet(clock func() time.Duration, zone string, suspects *suspectSync) *poolSet {
	s := &poolSet{clock: clock, zone: zone, suspects: suspects}
	s.current.Store(&poolSnapshot{})
	return s
}

// Scheduler returns the scheduler of the pool, or nil if there is no such pool.
func (s *poolSet) Scheduler(pool string) *poolsched.Scheduler {
	return s.current.Load().schedulers[pool]
}

// Address returns the address of the target, or the empty string if it is unknown.
func (s *poolSet) Address(target string) string { return s.current.Load().addresses[target] }

// configure makes the pools match the document. leaving holds the addresses of leaving machines.
func (s *poolSet) configure(d *config.Document, leaving map[string]bool) {
	old := s.current.Load()
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
			scheduler = poolsched.New(s.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
				schedule.WithPolicy(newPolicy(d.ActivePreset())), schedule.WithZone(s.zone),
				schedule.WithSuspects(s.suspects.table()), schedule.WithParts(s.suspects.origin, s.suspects.parts()))
		}
		scheduler.SetShares(shares)
		scheduler.SetPolicy(newPolicy(d.ActivePreset()))
		scheduler.SetTargets(targets[p.Name()])
		next.schedulers[p.Name()] = scheduler
	}
	s.current.Store(next)
}

// mergeCrash passes a crash record to all pools. Its fingerprint occurs in one pool only; in the
// others the record has no effect.
func (s *poolSet) mergeCrash(record suspect.CrashRecord) {
	for _, scheduler := range s.current.Load().schedulers {
		scheduler.MergeCrash(record)
	}
}

// mergePart passes a record of a crash by a part of prompts to all pools.
func (s *poolSet) mergePart(age time.Duration, record suspect.PartRecord) {
	for _, scheduler := range s.current.Load().schedulers {
		scheduler.MergePart(age, record)
	}
}

// tick runs the periodic decisions of all pools.
func (s *poolSet) tick() {
	for _, scheduler := range s.current.Load().schedulers {
		scheduler.Tick()
	}
}

// newPolicy returns the scheduling policy of the preset.
func newPolicy(p config.Preset) schedule.Policy {
	return schedule.NewPolicy(
		schedule.WithAdmission(p.AdmissionControl()), schedule.WithLongWorkLimit(true, p.LongSlotPercent()),
		schedule.WithPrefixAffinity(p.PrefixAffinity()), schedule.WithBudgets(p.RetryBudget(), p.HedgeBudget()),
		schedule.WithQueueBound(p.QueueLimit()))
}

// report returns the state of all pools, sorted by name.
func (s *poolSet) report() (list []Pool) {
	current := s.current.Load()
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
