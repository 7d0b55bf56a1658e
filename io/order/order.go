package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/config"
	"sassafrasward/core/order"
	"sassafrasward/io/event"
	"sassafrasward/io/metric"
)

// tick is how often the time slots are looked at.
const tick = 100 * time.Millisecond

// Controller gives orders to the engines of this host. It is safe for concurrent use.
type Controller struct {
	clock   func() time.Duration
	log     logr.Logger
	metrics *metric.Metrics
	client  *client

	mutex   sync.Mutex
	planner *order.Planner
	version config.Version
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

// New returns a controller for the host self. The clock returns the time since process start.
func New(self string, clock func() time.Duration, log logr.Logger, metrics *metric.Metrics) *Controller {
	c := &Controller{
		clock: clock, log: log, metrics: metrics, client: newClient(),
		planner: order.NewPlanner(self), taken: make(map[string]uint64),
		busy: make(map[string]bool),
	}
	c.current, c.cancel = context.WithCancel(context.Background())
	return c
}

// Configure puts a configuration and the names of the live entry hosts in force. Calls
// under an older configuration are cancelled.
func (c *Controller) Configure(d *config.Document, v config.Version, hosts []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if v != c.version {
		c.cancel()
		c.current, c.cancel = context.WithCancel(context.Background())
		c.version = v
	}
	c.planner.Configure(c.clock(), d, v, hosts)
}

// Run gives orders until the context ends; its end is reported on done.
func (c *Controller) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var calls sync.WaitGroup
	for {
		select {
		case <-ticker.C:
			due, current := c.due()
			for _, d := range due {
				calls.Go(func() {
					defer c.free(d.Engine())
					c.check(current, d)
				})
			}
		case <-ctx.Done():
			c.stop()
			calls.Wait()
			done <- nil
			return
		}
	}
}

func (c *Controller) due() (due []order.Desired, current context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, d := range c.planner.Due(c.clock()) {
		if !c.busy[d.Engine()] {
			c.busy[d.Engine()] = true
			due = append(due, d)
		}
	}
	return due, c.current
}

func (c *Controller) free(engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.busy, engine)
}

func (c *Controller) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancel()
}

// check compares the report of the engine with the desired state and gives the order if
// needed.
func (c *Controller) check(ctx context.Context, d order.Desired) {
	report, err := c.client.report(ctx, d.Address())
	if err != nil {
		c.fail(ctx, d, err)
		return
	}
	verdict := d.Compare(report)
	c.metrics.Counter("order." + verdict.String()).Inc(1)
	if verdict == order.Matched || verdict == order.Ahead {
		c.seen(d.Engine(), report.Fence())
		return
	}
	if c.seen(d.Engine(), report.Fence()) {
		c.metrics.Counter("order.late").Inc(1)
		event.Log(c.log, event.StaleOrderFound, "engine", d.Engine(), "fence", report.Fence(), "desired", d.Fence())
	}
	if err := c.client.give(ctx, d); err != nil {
		c.fail(ctx, d, err)
		return
	}
	c.seen(d.Engine(), d.Fence())
	event.Log(c.log, event.OrderGiven, "engine", d.Engine(), "fence", d.Fence(), "verdict", verdict.String())
}

// seen notes the token that an engine was seen with and reports whether a higher one was
// seen before. An engine that lost its state and reports no token at all took no late order.
func (c *Controller) seen(engine string, fence uint64) (lower bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lower = fence != 0 && fence < c.taken[engine]
	c.taken[engine] = fence
	return lower
}

func (c *Controller) fail(ctx context.Context, d order.Desired, err error) {
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, ErrFenced):
		c.metrics.Counter("order.fenced").Inc(1)
		event.LogError(c.log, event.OrderFenced, err, "engine", d.Engine(), "fence", d.Fence())
	default:
		c.metrics.Counter("order.failed").Inc(1)
		event.LogError(c.log, event.OrderFailed, err, "engine", d.Engine(), "fence", d.Fence())
	}
}
