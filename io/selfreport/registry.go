package selfreport

import (
	"sync"
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

	mutex sync.Mutex
	table *selfreport.Table
}

// New returns an empty registry.
func New(clock func() time.Duration, log logr.Logger, metrics *metric.Metrics) *Registry {
	return &Registry{clock: clock, log: log, metrics: metrics, table: selfreport.New()}
}

// Observe records what an answer of a target states.
func (r *Registry) Observe(target discovery.Target, s selfreport.Statement) {
	if s.Unreadable > 0 {
		r.metrics.Counter("target.stated.unreadable").Inc(int64(s.Unreadable))
	}
	r.mutex.Lock()
	changes := r.table.Observe(r.clock(), target, s)
	r.mutex.Unlock()
	r.record(changes, "answer")
}

// Retain removes the statements of all targets that are not in the list.
func (r *Registry) Retain(targets map[string][]discovery.Target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.Retain(targets)
}

// record logs and counts changes that come from an answer or from another host.
func (r *Registry) record(changes []selfreport.Change, source string) {
	for _, c := range changes {
		r.metrics.Counter("target.stated." + c.Fact().String()).Inc(1)
		event.Log(r.log, event.TargetStated, "target", c.Target().ID, "pool", c.Target().Pool, "fact", c.Fact().String(), "value", c.Value(),
			"age", c.Age().Milliseconds(), "source", source)
	}
}
