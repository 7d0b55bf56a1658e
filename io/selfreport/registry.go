package selfreport

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/discovery"
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

	mutex sync.Mutex
	table *selfreport.Table
}

// New returns the empty registry of the host with the name.
func New(self string, clock func() time.Duration, log logr.Logger, metrics *metric.Metrics) *Registry {
	return &Registry{clock: clock, log: log, metrics: metrics, changed: make(chan struct{}, 1), table: selfreport.New(self)}
}

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
	if !outgoing {
		return
	}
	select {
	case r.changed <- struct{}{}:
	default: // the control goroutine has yet to take the records before
	}
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

// gate implements selfreport.Gate.
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
