package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/document"
	"sassafrasward/core/reason"
	"sassafrasward/io/event"
	"sassafrasward/io/metric"
	"sassafrasward/io/order"
	"sassafrasward/io/owner"
	"sassafrasward/io/platform"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

// tick is the period of the control systems.
const tick = 100 * time.Millisecond

// control owns the control state. Only its goroutine touches the fields below events.
type control struct {
	self    wire.Host
	log     logr.Logger
	views   *view.Holder
	gates   *gates
	metrics *metric.Metrics
	orders  *order.Giver
	owner   *owner.Owner
	// events carries changes to the goroutine; each runs on it.
	events chan func()

	document *document.Document
	version  document.Version
	hosts    wire.Hosts
	draining bool
}

func newControl(self wire.Host, log logr.Logger, views *view.Holder, gates *gates, metrics *metric.Metrics, owner *owner.Owner, orders *order.Giver) *control {
	return &control{
		self: self, log: log, views: views, gates: gates, metrics: metrics, owner: owner, orders: orders,
		events: make(chan func(), 16),
	}
}

// run owns the state until the context ends; its end is reported on done.
func (c *control) run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case change := <-c.events:
			change()
		case <-ticker.C:
			c.gates.tick()
			c.owner.Tick()
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

// send passes a change to the control goroutine.
func (c *control) send(ctx context.Context, change func()) {
	select {
	case c.events <- change:
	case <-ctx.Done():
	}
}

// drain makes the host refuse new requests and returns when the view says so.
func (c *control) drain(ctx context.Context) {
	done := make(chan struct{})
	c.send(ctx, func() {
		c.draining = true
		c.publish()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// takeConfig puts a published configuration in force if it is valid and newer.
func (c *control) takeConfig(cfg platform.Config) {
	d, err := document.Parse(cfg.Raw())
	if err != nil {
		c.countFaults(err)
		event.Fail(c.log, event.DocumentRefused, err, "version", cfg.Number())
		return
	}
	v := document.NewVersion(cfg.Number(), d)
	if c.document != nil && !v.Newer(c.version) {
		return
	}
	first := c.document == nil
	c.document, c.version = d, v
	event.Log(c.log, event.DocumentTaken, "version", v.String(), "preset", d.Preset().Name())
	c.apply()
	if first {
		event.Log(c.log, event.HostServing, "host", c.self.Host)
	}
}

// countFaults raises the counter of each kind of mistake in a refused document once.
func (c *control) countFaults(err error) {
	var mistakes document.Mistakes
	_ = errors.As(err, &mistakes)
	seen := make(map[document.Fault]bool)
	for _, m := range mistakes {
		if !seen[m.Fault()] {
			c.metrics.Counter("document." + m.Fault().String()).Inc(1)
		}
		seen[m.Fault()] = true
	}
}

func (c *control) takeHosts(list wire.Hosts) {
	c.hosts = list
	c.owner.SetHosts(list)
	event.Log(c.log, event.HostsTaken, "version", list.Version, "hosts", len(list.Hosts))
	c.apply()
}

// apply derives gates and view from the state.
func (c *control) apply() {
	if c.document != nil {
		c.gates.configure(c.document, leaving(c.hosts))
		c.orders.Configure(c.document, c.version, givers(c.hosts))
	}
	c.publish()
}

func (c *control) publish() {
	why := reason.None
	switch {
	case c.draining:
		why = reason.Draining
	case c.document == nil:
		why = reason.Joining
	}
	c.views.Publish(view.New(c.document, c.version, c.entries(), why, view.WithMembers(c.hosts.Hosts)))
}

// entries returns the hosts that callers may use, this host first.
func (c *control) entries() []wire.Host {
	var hosts []wire.Host
	if !c.draining {
		hosts = append(hosts, c.self)
	}
	for _, h := range c.hosts.Hosts {
		if h.Kind == wire.KindEntry && h.State == wire.StateLive && h.Host != c.self.Host {
			hosts = append(hosts, wire.Host{Host: h.Host, Address: h.Address, Zone: h.Zone})
		}
	}
	return hosts
}

// givers returns the names of the hosts that give model orders.
func givers(list wire.Hosts) (names []string) {
	for _, h := range list.Hosts {
		if h.Kind == wire.KindEntry && h.State == wire.StateLive {
			names = append(names, h.Host)
		}
	}
	return names
}

// leaving returns the addresses of targets that the host list says are leaving.
func leaving(list wire.Hosts) map[string]bool {
	addresses := make(map[string]bool)
	for _, h := range list.Hosts {
		if h.Kind == wire.KindTarget && h.State == wire.StateLeaving {
			addresses[h.Address] = true
		}
	}
	return addresses
}
