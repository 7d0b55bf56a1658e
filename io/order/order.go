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

// checkInterval is the time between two checks for time slots that have started.
const checkInterval = 100 * time.Millisecond

// Controller sends orders to the engines that this host controls. It is safe for concurrent use.
type Controller struct {
	clock   func() time.Duration
	log     logr.Logger
	metrics *metric.Metrics
	client  *client

	mutex   sync.Mutex
	planner *order.Planner
	version config.Version
	// cancel cancels callCtx when a new configuration replaces the present one.
	cancel context.CancelFunc
	// callCtx is the context of calls under the present configuration.
	callCtx context.Context
	// lastFence has the last known fencing token of each engine. A report with a lower one shows
	// that the engine accepted a late order.
	lastFence map[string]uint64
	// checking has the engines with a running check. At most one check runs per engine.
	checking map[string]bool
}

// New returns a controller for the host self. The clock returns the time since process start.
func New(self string, clock func() time.Duration, log logr.Logger, metrics *metric.Metrics) *Controller {
	c := &Controller{
		clock: clock, log: log, metrics: metrics, client: newClient(),
		planner: order.NewPlanner(self), lastFence: make(map[string]uint64),
		checking: make(map[string]bool),
	}
	c.callCtx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Configure sets the configuration and the names of the live entry hosts. If the version
// changes, calls under the previous configuration are cancelled.
func (c *Controller) Configure(d *config.Document, v config.Version, hosts []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if v != c.version {
		c.cancel()
		c.callCtx, c.cancel = context.WithCancel(context.Background())
		c.version = v
	}
	c.planner.Configure(c.clock(), d, v, hosts)
}

// Run sends orders until the context ends, and then sends nil to done.
func (c *Controller) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	for {
		select {
		case <-ticker.C:
			due, callCtx := c.due()
			for _, d := range due {
				calls.Go(func() {
					defer c.finishCheck(d.Engine())
					c.check(callCtx, d)
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

// due returns the orders whose time slot has started, without those of engines that are still being
// checked, and the context for their calls.
func (c *Controller) due() (due []order.Desired, callCtx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, d := range c.planner.Due(c.clock()) {
		if !c.checking[d.Engine()] {
			c.checking[d.Engine()] = true
			due = append(due, d)
		}
	}
	return due, c.callCtx
}

func (c *Controller) finishCheck(engine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.checking, engine)
}

func (c *Controller) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancel()
}

// check compares the report of the engine with the desired state and sends the order if they
// differ.
func (c *Controller) check(ctx context.Context, d order.Desired) {
	report, err := c.client.report(ctx, d.Address())
	if err != nil {
		c.recordFailure(ctx, d, err)
		return
	}
	state := d.Compare(report)
	c.metrics.Counter("order." + state.String()).Inc(1)
	if state == order.Matched || state == order.Ahead {
		c.recordFence(d.Engine(), report.Fence())
		return
	}
	if c.recordFence(d.Engine(), report.Fence()) {
		c.metrics.Counter("order.late").Inc(1)
		event.Log(c.log, event.StaleOrderFound, "engine", d.Engine(), "fence", report.Fence(), "desired", d.Fence())
	}
	if err := c.client.send(ctx, d); err != nil {
		c.recordFailure(ctx, d, err)
		return
	}
	c.recordFence(d.Engine(), d.Fence())
	event.Log(c.log, event.OrderGiven, "engine", d.Engine(), "fence", d.Fence(), "verdict", state.String())
}

// recordFence records the fencing token of an engine and reports whether it is lower than the
// last one. An engine that reports no token has lost its state and accepted no late order.
func (c *Controller) recordFence(engine string, fence uint64) (lower bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lower = fence != 0 && fence < c.lastFence[engine]
	c.lastFence[engine] = fence
	return lower
}

// recordFailure logs and counts a failed check, unless its context was cancelled.
func (c *Controller) recordFailure(ctx context.Context, d order.Desired, err error) {
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
