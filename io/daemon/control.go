package daemon

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/config"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/member"
	"sassafrasward/core/reason"
	"sassafrasward/io/event"
	"sassafrasward/io/gossip"
	"sassafrasward/io/metric"
	"sassafrasward/io/order"
	"sassafrasward/io/owner"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

// tick is the period of the control systems.
const tick = 100 * time.Millisecond

// control owns the control state. Only its goroutine touches the fields below events.
type control struct {
	self  wire.Host
	clock func() time.Duration
	log   logr.Logger
	views *view.Holder
	gates *gates
	// metrics counts the mistakes of refused documents.
	metrics *metric.Metrics
	orders  *order.Controller
	owner   *owner.Owner
	// suspects passes crash suspects between pools and other hosts.
	suspects *suspects
	// running returns the number of running requests.
	running func() int
	// events carries changes to the goroutine; each runs on it.
	events chan func()

	// watching is read by the status.
	watching atomic.Bool

	members  *member.State
	node     *gossip.Node
	watcher  *watcher
	document *config.Document
	version  config.Version
	// leaving holds the leaving addresses, and controllers the hosts that give model orders, as
	// last passed on.
	leaving, controllers []string
	draining             bool
	// serving holds if the host takes requests; served if it ever did.
	serving, served bool
	// phases holds the members as last logged.
	phases map[uint64]gossip.Member
}

// newControl returns the control state of the daemon's host; running returns the number of
// running requests.
func newControl(d *Daemon, self wire.Host, known *suspects, running func() int) *control {
	return &control{
		self: self, clock: d.clock, log: d.log, views: d.views, gates: d.gates, metrics: d.metrics,
		owner: d.owner, orders: d.orders, suspects: known, running: running,
		events: make(chan func(), 16), phases: make(map[uint64]gossip.Member),
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
		case f := <-c.suspects.told:
			c.tellSuspect(f)
			c.settle()
		case <-ticker.C:
			c.gates.tick()
			c.owner.Tick()
			c.tick(ctx)
		case <-ctx.Done():
			c.watcher.set(ctx, false)
			c.watcher.running.Wait()
			done <- nil
			return
		}
	}
}

// tick runs the systems of membership.
func (c *control) tick(ctx context.Context) {
	now := c.clock()
	c.members.SetLoadLevel(now, member.LoadLevel(c.running()))
	c.node.Tick()
	c.watching.Store(c.members.IsWatcher(now))
	c.watcher.set(ctx, c.watching.Load() || !c.members.HasHostList())
	if c.members.FallbackReadDue(now) {
		c.watcher.once(ctx)
	}
	c.settle()
}

// Post implements gossip.Owner. What f changes is settled by the next tick: while many
// hosts start, a view for each packet would cost more than all packets.
func (c *control) Post(ctx context.Context, f func()) { c.send(ctx, f) }

// Clock implements gossip.Owner.
func (c *control) Clock() time.Duration { return c.clock() }

// send passes a change to the control goroutine.
func (c *control) send(ctx context.Context, change func()) {
	select {
	case c.events <- change:
	case <-ctx.Done():
	}
}

// beat tells other hosts that this one reads the platform, if it is a watcher.
func (c *control) beat() {
	if now := c.clock(); c.members.IsWatcher(now) {
		c.members.Heartbeat(now)
	}
}

// settle derives gates and view from the membership if it has changed.
func (c *control) settle() {
	serving := c.document != nil && c.members.Ready() && !c.draining
	if serving != c.serving {
		c.serving = serving
		c.served = c.served || serving
		c.members.SetServing(c.clock(), serving)
		if serving {
			c.configure()
			event.Log(c.log, event.HostServing, "host", c.self.Host, "version", c.version.String())
		}
	}
	if !c.node.Publish() {
		return
	}
	c.note()
	c.learnSuspects()
	c.owner.SetHosts(c.entries())
	leaving, controllers := c.members.LeavingAddresses(), c.orderControllers()
	if !slices.Equal(leaving, c.leaving) || !slices.Equal(controllers, c.controllers) {
		c.leaving, c.controllers = leaving, controllers
		c.configure()
	}
	c.publish()
}

// drain makes the host refuse new requests and returns when the view says so.
func (c *control) drain(ctx context.Context) {
	done := make(chan struct{})
	c.send(ctx, func() {
		c.draining = true
		c.members.Drain(c.clock())
		c.node.Tick()
		c.settle()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Take implements gossip.Owner: it puts a document in force if it is valid and newer.
func (c *control) Take(number uint64, raw []byte) (accepted bool) {
	d, err := config.Parse(raw)
	if err != nil {
		c.countFaults(err)
		event.LogError(c.log, event.ConfigRejected, err, "version", number)
		return false
	}
	v := config.VersionOf(number, d)
	if !v.Newer(c.version) {
		return true
	}
	c.document, c.version = d, v
	event.Log(c.log, event.ConfigAccepted, "version", v.String(), "preset", d.ActivePreset().Name())
	c.configure()
	c.node.Hold(d.Raw(), v)
	c.node.Tick()
	c.settle()
	return true
}

// countFaults raises the counter of each kind of mistake in a refused document once.
func (c *control) countFaults(err error) {
	var mistakes config.Diagnostics
	_ = errors.As(err, &mistakes)
	seen := make(map[config.Code]bool)
	for _, m := range mistakes {
		if !seen[m.Code()] {
			c.metrics.Counter("document." + m.Code().String()).Inc(1)
		}
		seen[m.Code()] = true
	}
}

func (c *control) takeHosts(list wire.HostList) {
	event.Log(c.log, event.HostListRead, "version", list.Version, "hosts", len(list.Hosts))
	c.members.SetHostList(c.clock(), listOf(list))
	c.node.Tick()
}

// listOf returns what membership needs of a host list.
func listOf(list wire.HostList) member.HostList {
	l := member.HostList{Version: list.Version}
	for _, h := range list.Hosts {
		leaving := h.State == wire.StateLeaving
		if leaving {
			l.Leaving = append(l.Leaving, h.Address)
		} else {
			l.Live = append(l.Live, h.Address)
		}
		if h.Kind == wire.KindEntry {
			l.Entries = append(l.Entries, member.HostEntry{Host: h.Host, Address: h.Address, Peer: h.Peer, Leaving: leaving})
		}
	}
	return l
}

// configure makes the gates and the orders match the document and the members.
func (c *control) configure() {
	if c.document == nil {
		return
	}
	leaving := make(map[string]bool)
	for _, a := range c.leaving {
		leaving[a] = true
	}
	c.gates.configure(c.document, leaving)
	c.suspects.known = nil // pools that are new know no suspects
	c.learnSuspects()
	if c.serving {
		c.orders.Configure(c.document, c.version, c.controllers)
	}
}

func (c *control) publish() {
	why := reason.None
	switch {
	case c.draining && c.served:
		why = reason.Draining
	case !c.serving:
		why = reason.Joining
	}
	c.views.Publish(view.New(c.document, c.version, c.candidates(), why))
}

// candidates returns the hosts that callers may use.
func (c *control) candidates() (hosts []hostselect.Candidate) {
	for _, m := range c.node.Snapshot().Members() {
		if m.Liveness != member.Dead && m.Lifecycle == member.Serving && !c.members.IsLeaving(m.Address) {
			hosts = append(hosts, hostselect.Candidate{
				Host: m.Name, Address: m.Address, Zone: m.Zone, LoadLevel: m.Level,
				Suspected: m.Liveness == member.Suspected,
			})
		}
	}
	return hosts
}

// entries returns the live members in the shape of a host list, by name.
func (c *control) entries() (list wire.HostList) {
	for _, m := range c.node.Snapshot().Members() {
		if m.Liveness == member.Dead {
			continue
		}
		state := wire.StateLive
		if m.Lifecycle == member.Draining || c.members.IsLeaving(m.Address) {
			state = wire.StateLeaving
		}
		list.Hosts = append(list.Hosts, wire.HostEntry{
			Host: m.Name, Address: m.Address, Peer: c.members.PeerAddress(m.Incarnation, m.Peer),
			Zone: m.Zone, Kind: wire.KindEntry, State: state,
		})
	}
	slices.SortStableFunc(list.Hosts, func(a, b wire.HostEntry) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// orderControllers returns the names of the hosts that give model orders: those that
// serve. A host that joins may hold an old configuration.
func (c *control) orderControllers() (names []string) {
	for _, h := range c.candidates() {
		names = append(names, h.Host)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// note logs the members that have changed.
func (c *control) note() {
	known := make(map[uint64]gossip.Member)
	for _, m := range c.node.Snapshot().Members() {
		known[m.Incarnation] = m
		old, ok := c.phases[m.Incarnation]
		if m.Name == c.self.Host || (ok && old.Liveness == m.Liveness && old.Lifecycle == m.Lifecycle) {
			continue
		}
		event.Log(c.log, event.MemberChanged, "host", m.Name, "phase", m.Liveness.String(), "stage", m.Lifecycle.String())
	}
	c.phases = known
}
