package selfreport

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/discovery"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/io/event"
	"sassafrasward/io/metric"
)

// Registry has the statements of all targets. It is safe for concurrent use.
type Registry struct {
	clock   func() time.Duration
	log     logr.Logger
	metrics *metric.Metrics
	// changed receives a value when there are records to send to other hosts.
	changed chan struct{}
	// size is the number of targets that have stated anything. While it is zero, no request waits for
	// the mutex.
	size atomic.Int64

	// onBack is called when a target answers again after its process had ended.
	onBack func(target discovery.Target, senders selfreport.Senders)

	mutex sync.Mutex
	table *selfreport.Table
}

// New returns the empty registry of the host with the name.
func New(self string, clock func() time.Duration, log logr.Logger, metrics *metric.Metrics, options ...selfreport.Option) *Registry {
	return &Registry{
		clock: clock, log: log, metrics: metrics, changed: make(chan struct{}, 1), table: selfreport.New(self, options...),
		onBack: func(discovery.Target, selfreport.Senders) {},
	}
}

// OnBack sets the function that is called when a target answers again after its process had ended. It is set
// before the registry is used, and must not block.
func (r *Registry) OnBack(f func(target discovery.Target, senders selfreport.Senders)) { r.onBack = f }

// Changed receives a value when there are records to send to other hosts.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Observe records what an answer of a target states.
func (r *Registry) Observe(target discovery.Target, s selfreport.Statement) {
	if s.Unreadable > 0 {
		r.metrics.Counter("target.stated.unreadable").Inc(int64(s.Unreadable))
	}
	if s == (selfreport.Statement{}) && r.size.Load() == 0 {
		return
	}
	r.mutex.Lock()
	changes := r.table.Observe(r.clock(), target, s)
	r.size.Store(int64(r.table.Len()))
	outgoing := r.table.HasRecords()
	r.mutex.Unlock()
	r.record(changes, "answer")
	r.announce(outgoing)
}

// announce tells the control goroutine if there are records to send.
func (r *Registry) announce(outgoing bool) {
	if !outgoing {
		return
	}
	select {
	case r.changed <- struct{}{}:
	default: // the control goroutine has yet to take the records before
	}
}

// update changes the table, and logs and announces what follows.
func (r *Registry) update(source string, change func(now time.Duration) []selfreport.Change) {
	r.mutex.Lock()
	changes := change(r.clock())
	r.size.Store(int64(r.table.Len()))
	outgoing := r.table.HasRecords()
	r.mutex.Unlock()
	r.record(changes, source)
	r.announce(outgoing)
}

// Refused records that a target refuses connections, so that its process has ended.
func (r *Registry) Refused(target discovery.Target) {
	r.update("refusal", func(now time.Duration) []selfreport.Change { return r.table.Refused(now, target) })
}

// Answered records that a target, and not another process at its address, answered a request.
func (r *Registry) Answered(target discovery.Target, senders selfreport.Senders) {
	if r.size.Load() == 0 {
		return
	}
	r.mutex.Lock()
	back := r.table.Answered(r.clock(), target)
	r.mutex.Unlock()
	if !back {
		return
	}
	r.announce(true)
	r.metrics.Counter("target.back").Inc(1)
	event.Log(r.log, event.TargetBack, "target", target.ID, "pool", target.Pool)
	r.onBack(target, senders)
}

// MustAsk reports whether this host is still to ask a target that is back how long it is cold.
func (r *Registry) MustAsk(target discovery.Target) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.table.MustAsk(target)
}

// ObserveHealth records the cold time that a target states in its answer to a health check.
func (r *Registry) ObserveHealth(target discovery.Target, s selfreport.Statement) {
	r.update("answer", func(now time.Duration) []selfreport.Change { return r.table.ObserveHealth(now, target, s) })
}

// StartCold makes targets count as cold for the whole cold time of their pool, on this host. It is for
// events that all hosts learn of by themselves, such as the end of an evacuation.
func (r *Registry) StartCold(targets []discovery.Target) {
	r.update("zone", func(now time.Duration) []selfreport.Change { return r.table.StartCold(now, targets) })
}

// SetFleet sets the hosts among which the rates of cold targets are shared.
func (r *Registry) SetFleet(f selfreport.Fleet) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.SetFleet(f)
}

// SetSlowStarts sets the pools whose targets start slowly.
func (r *Registry) SetSlowStarts(pools map[string]route.SlowStart) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.SetSlowStarts(pools)
}

// SoonestWarm returns the shortest rest of a cold time of the targets. It reports false if none is cold.
func (r *Registry) SoonestWarm(targets []discovery.Target) (rest time.Duration, ok bool) {
	if r.size.Load() == 0 {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock()
	for _, t := range targets {
		if cold := r.table.ColdFor(now, t); cold > 0 && (!ok || cold < rest) {
			rest, ok = cold, true
		}
	}
	return rest, ok
}

// MaySend reports whether a request to a target, booked at a time to be sent at the time due, may still be
// sent.
func (r *Registry) MaySend(target discovery.Target, booked, due time.Duration) bool {
	if r.size.Load() == 0 {
		return true
	}
	r.mutex.Lock()
	maySend := r.table.MaySend(r.clock(), target, booked, due)
	r.mutex.Unlock()
	if !maySend {
		r.metrics.Counter("target.cold.missed").Inc(1)
	}
	return maySend
}

// Merge records what another host was told by a target.
func (r *Registry) Merge(target discovery.Target, record selfreport.Record) {
	r.mutex.Lock()
	changes := r.table.Merge(r.clock(), target, record)
	r.size.Store(int64(r.table.Len()))
	r.mutex.Unlock()
	r.record(changes, "host")
}

// TakeRecords returns the records to send to other hosts, and forgets them.
func (r *Registry) TakeRecords() []selfreport.Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.table.TakeRecords()
}

// SetHosts sets the names of the hosts that send requests.
func (r *Registry) SetHosts(names []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.SetHosts(names)
}

// StartEntries starts the cold times that new entries of the targets state. It is called before any of them can be
// chosen.
func (r *Registry) StartEntries(targets map[string][]discovery.Target) {
	r.update("entry", func(now time.Duration) []selfreport.Change { return r.table.StartEntries(now, targets) })
}

// Retain removes the statements of all targets that are not in the lists.
func (r *Registry) Retain(targets map[string][]discovery.Target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.Retain(targets)
	r.size.Store(int64(r.table.Len()))
}

// record logs and counts changes that come from an answer or from another host.
func (r *Registry) record(changes []selfreport.Change, source string) {
	for _, c := range changes {
		r.metrics.Counter("target.stated." + c.Fact().String()).Inc(1)
		event.Log(r.log, event.TargetStated, "target", c.Target().ID, "pool", c.Target().Pool, "fact", c.Fact().String(), "value", c.Value(),
			"age", c.Age().Milliseconds(), "source", source)
	}
}

// Gate returns the gate of the targets to which the given hosts send requests.
func (r *Registry) Gate(senders selfreport.Senders) selfreport.Gate {
	return gate{registry: r, senders: senders}
}

// gate implements selfreport.ColdGate.
type gate struct {
	registry *Registry
	senders  selfreport.Senders
}

// Wait implements selfreport.Gate.
func (g gate) Wait(now time.Duration, t discovery.Target) time.Duration {
	if g.registry.size.Load() == 0 {
		return 0
	}
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	return g.registry.table.Wait(now, t, g.senders)
}

// Paused implements selfreport.Gate.
func (g gate) Paused(now time.Duration, t discovery.Target) time.Duration {
	if g.registry.size.Load() == 0 {
		return 0
	}
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	return g.registry.table.Paused(now, t)
}

// Take implements selfreport.Gate.
func (g gate) Take(now time.Duration, t discovery.Target) {
	if g.registry.size.Load() == 0 {
		return
	}
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	g.registry.table.Take(now, t, g.senders)
}

// Rate implements selfreport.Gate.
func (g gate) Rate(now time.Duration, t discovery.Target) float64 {
	if g.registry.size.Load() == 0 {
		return math.Inf(1)
	}
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	return g.registry.table.Rate(now, t, g.senders)
}

// Cold implements selfreport.ColdGate.
func (g gate) Cold(now time.Duration, t discovery.Target) bool {
	if g.registry.size.Load() == 0 {
		return false
	}
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	return g.registry.table.ColdFor(now, t) > 0
}
