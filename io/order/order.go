package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/document"
	"sassafrasward/core/order"
	"sassafrasward/io/event"
	"sassafrasward/io/metric"
)

// tick is how often the time slots are looked at.
const tick = 100 * time.Millisecond

// Giver gives orders to the engines of this host. It is safe for concurrent use.
type Giver struct {
	clock   func() time.Duration
	log     logr.Logger
	metrics *metric.Metrics
	client  *client

	mutex   sync.Mutex
	planner *order.Planner
	version document.Version
	// cancel ends the calls that belong to the configuration before the present one.
	cancel context.CancelFunc
	// current is the context of calls under the present configuration.
	current context.Context
	// taken is the highest fencing token that each engine was seen with; a report with a
	// lower one shows that the engine took a late order.
	taken map[string]uint64
	// busy has the engines that are being checked; one check runs for each at a time.
	busy map[string]bool
}

// New returns a giver for the host self. The clock returns the time since process start.
func New(self string, clock func() time.Duration, log logr.Logger, metrics *metric.Metrics) *Giver {
	g := &Giver{
		clock: clock, log: log, metrics: metrics, client: newClient(),
		planner: order.NewPlanner(self), taken: make(map[string]uint64),
		busy: make(map[string]bool),
	}
	g.current, g.cancel = context.WithCancel(context.Background())
	return g
}

// Configure puts a configuration and the names of the live entry hosts in force. Calls
// under an older configuration are cancelled.
func (g *Giver) Configure(d *document.Document, v document.Version, hosts []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if v != g.version {
		g.cancel()
		g.current, g.cancel = context.WithCancel(context.Background())
		g.version = v
	}
	g.planner.Configure(g.clock(), d, v, hosts)
}

// Run gives orders until the context ends; its end is reported on done.
func (g *Giver) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var calls sync.WaitGroup
	for {
		select {
		case <-ticker.C:
			due, current := g.due()
			for _, d := range due {
				calls.Go(func() {
					defer g.free(d.Engine())
					g.check(current, d)
				})
			}
		case <-ctx.Done():
			g.stop()
			calls.Wait()
			done <- nil
			return
		}
	}
}

func (g *Giver) due() (due []order.Desired, current context.Context) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, d := range g.planner.Due(g.clock()) {
		if !g.busy[d.Engine()] {
			g.busy[d.Engine()] = true
			due = append(due, d)
		}
	}
	return due, g.current
}

func (g *Giver) free(engine string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.busy, engine)
}

func (g *Giver) stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cancel()
}

// check compares the report of the engine with the desired state and gives the order if
// needed.
func (g *Giver) check(ctx context.Context, d order.Desired) {
	report, err := g.client.report(ctx, d.Address())
	if err != nil {
		g.fail(ctx, d, err)
		return
	}
	verdict := d.Compare(report)
	g.metrics.Counter("order." + verdict.String()).Inc(1)
	if verdict == order.Matched || verdict == order.Ahead {
		g.seen(d.Engine(), report.Fence())
		return
	}
	if g.seen(d.Engine(), report.Fence()) {
		g.metrics.Counter("order.late").Inc(1)
		event.Log(g.log, event.OrderLate, "engine", d.Engine(), "fence", report.Fence(), "desired", d.Fence())
	}
	if err := g.client.give(ctx, d); err != nil {
		g.fail(ctx, d, err)
		return
	}
	g.seen(d.Engine(), d.Fence())
	event.Log(g.log, event.OrderGiven, "engine", d.Engine(), "fence", d.Fence(), "verdict", verdict.String())
}

// seen notes the token that an engine was seen with and reports whether a higher one was
// seen before. An engine that lost its state and reports no token at all took no late order.
func (g *Giver) seen(engine string, fence uint64) (lower bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lower = fence != 0 && fence < g.taken[engine]
	g.taken[engine] = fence
	return lower
}

func (g *Giver) fail(ctx context.Context, d order.Desired, err error) {
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, ErrFenced):
		g.metrics.Counter("order.fenced").Inc(1)
		event.Fail(g.log, event.OrderFenced, err, "engine", d.Engine(), "fence", d.Fence())
	default:
		g.metrics.Counter("order.failed").Inc(1)
		event.Fail(g.log, event.OrderFailed, err, "engine", d.Engine(), "fence", d.Fence())
	}
}
