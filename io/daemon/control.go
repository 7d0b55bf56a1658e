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

// tick is the period of the work of the control goroutine.
const tick = 100 * time.Millisecond

// control owns the control state. Only its goroutine accesses the fields from members on.
type control struct {
	self  wire.Host
	clock func() time.Duration
	log   logr.Logger
	views *view.Holder
	pools *poolSet
	// metrics counts the diagnostics of refused documents.
	metrics *metric.Metrics
	orders  *order.Controller
	owner   *owner.Owner
	// suspects exchanges crash records between the pools and other hosts.
	suspects *suspectSync
	// running returns the number of running requests.
	running func() int
	// changes holds functions to run on the control goroutine.
	changes chan func()

	// watching reports whether this host watches the platform; status reads it.
	watching atomic.Bool

	members  *member.State
	node     *gossip.Node
	watcher  *watcher
	document *config.Document
	version  config.Version
	// leaving holds the addresses of leaving machines, and controllers the hosts that send model
	// orders, both as of the last configure.
	leaving, controllers []string
	draining             bool
	// stop is when a draining host cuts off the requests in progress.
	stop time.Time
	// serving reports whether the host takes requests, and everServed whether it ever did.
	serving, everServed bool
	// loggedMembers holds the members by incarnation as last logged.
	loggedMembers map[uint64]gossip.Member
	// announcements has the events whose state is not published yet.
	announcements *event.Deferred
}

// newControl returns the control state of the daemon's host. running returns the number of
// running requests.
func newControl(d *Daemon, self wire.Host, suspects *suspectSync, running func() int) *control {
	return &control{
		self: self, clock: d.clock, log: d.log, views: d.views, pools: d.pools, metrics: d.metrics,
		owner: d.owner, orders: d.orders, suspects: suspects, running: running,
		changes: make(chan func(), 16), loggedMembers: make(map[uint64]gossip.Member), announcements: event.NewDeferred(d.log),
	}
}

// run is the control goroutine. It returns when the context ends and sends nil on done.
func (c *control) run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case change := <-c.changes:
			change()
		case record := <-c.suspects.outgoing:
			c.reportCrash(record)
			c.applyMembership()
		case <-ticker.C:
			c.pools.tick()
			c.owner.Tick()
			c.tick(ctx)
		case <-ctx.Done():
			c.watcher.setRunning(ctx, false)
			c.watcher.running.Wait()
			done <- nil
			return
		}
	}
}

// tick runs the periodic work of the membership.
func (c *control) tick(ctx context.Context) {
	now := c.clock()
	c.members.SetLoadLevel(now, member.LoadLevel(c.running()))
	c.node.Tick()
	c.watching.Store(c.members.IsWatcher(now))
	c.watcher.setRunning(ctx, c.watching.Load() || !c.members.HasHostList())
	if c.members.FallbackReadDue(now) {
		c.watcher.readOnce(ctx)
	}
	c.applyMembership()
}

// Post implements gossip.EventLoop. The changes that f makes to the membership are applied by the
// next tick: while many hosts start, a new view per packet would cost more than all packets.
func (c *control) Post(ctx context.Context, f func()) { c.send(ctx, f) }

// Clock implements gossip.EventLoop.
func (c *control) Clock() time.Duration { return c.clock() }

// send queues a change for the control goroutine.
func (c *control) send(ctx context.Context, change func()) {
	select {
	case c.changes <- change:
	case <-ctx.Done():
	}
}

// heartbeat tells other hosts that this one reads the platform, if it is a watcher.
func (c *control) heartbeat() {
	if now := c.clock(); c.members.IsWatcher(now) {
		c.members.Heartbeat(now)
	}
}

// applyMembership updates the pools and the view if the membership has changed.
func (c *control) applyMembership() {
	defer c.announcements.Flush()
	serving := c.document != nil && c.members.Ready() && !c.draining
	if serving != c.serving {
		c.serving = serving
		c.everServed = c.everServed || serving
		c.members.SetServing(c.clock(), serving)
		if serving {
			c.configure()
			c.announcements.Add(event.HostServing, "host", c.self.Host, "version", c.version.String())
		}
	}
	if !c.node.Publish() {
		return
	}
	c.logMemberChanges()
	c.mergeCrashes()
	c.owner.SetHosts(c.entryHosts())
	leaving, controllers := c.members.LeavingAddresses(), c.orderControllers()
	if !slices.Equal(leaving, c.leaving) || !slices.Equal(controllers, c.controllers) {
		c.leaving, c.controllers = leaving, controllers
		c.configure()
	}
	c.publishView()
}

// drain marks the host as draining until the deadline of the context, and returns when the published
// view says so.
func (c *control) drain(ctx context.Context) {
	done := make(chan struct{})
	c.send(ctx, func() {
		c.draining = true
		c.stop, _ = ctx.Deadline()
		c.members.Drain(c.clock())
		c.node.Tick()
		c.applyMembership()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// PrepareDocument implements gossip.EventLoop. It parses a configuration document outside the control
// goroutine; the returned function applies it if it is newer than the one in force.
func (c *control) PrepareDocument(number uint64, raw []byte) (apply func() (accepted bool)) {
	d, err := config.Parse(raw)
	if err != nil {
		c.countDiagnostics(err)
		event.LogError(c.log, event.ConfigRejected, err, "version", number)
		return func() bool { return false }
	}
	return func() bool {
		c.applyDocument(config.VersionOf(number, d), d)
		return true
	}
}

// applyDocument puts a configuration document in force if it is newer than the current one.
func (c *control) applyDocument(v config.Version, d *config.Document) {
	if !v.Newer(c.version) {
		return
	}
	c.document, c.version = d, v
	c.announcements.Add(event.ConfigAccepted, "version", v.String(), "preset", d.ActivePreset().Name())
	c.configure()
	c.node.SetDocument(d.Raw(), v)
	c.node.Tick()
	c.applyMembership()
}

// countDiagnostics increments, once per refused document, the counter of each diagnostic code
// that occurs in it.
func (c *control) countDiagnostics(err error) {
	var diagnostics config.Diagnostics
	_ = errors.As(err, &diagnostics)
	seen := make(map[config.Code]bool)
	for _, d := range diagnostics {
		if !seen[d.Code()] {
			c.metrics.Counter("document." + d.Code().String()).Inc(1)
		}
		seen[d.Code()] = true
	}
}

func (c *control) applyHosts(list wire.HostList) {
	event.Log(c.log, event.HostListRead, "version", list.Version, "hosts", len(list.Hosts))
	c.members.SetHostList(c.clock(), memberHostList(list))
	c.node.Tick()
}

// memberHostList converts a host list of the platform to that of the membership.
func memberHostList(list wire.HostList) member.HostList {
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

// configure makes the pools and the model orders match the document and the members.
func (c *control) configure() {
	if c.document == nil {
		return
	}
	leaving := make(map[string]bool)
	for _, a := range c.leaving {
		leaving[a] = true
	}
	c.pools.configure(c.document, leaving)
	c.suspects.lastCrashes = nil // new pools have no crash records yet
	c.mergeCrashes()
	if c.serving {
		c.orders.Configure(c.document, c.version, c.controllers)
	}
}

func (c *control) publishView() {
	why := reason.None
	switch {
	case c.draining && c.everServed:
		why = reason.Draining
	case !c.serving:
		why = reason.Joining
	}
	c.views.Publish(view.New(c.document, c.version, c.candidates(), why, view.WithStop(c.stop)))
}

// candidates returns the serving hosts that callers may use.
func (c *control) candidates() (hosts []hostselect.Candidate) {
	for _, m := range c.node.Snapshot().Members() {
		if m.Liveness != member.Dead && m.Lifecycle == member.Serving && !c.members.IsLeaving(m.Address) {
			hosts = append(hosts, hostselect.Candidate{
				Host: m.Name, Address: m.Address, Zone: m.Zone, LoadLevel: m.LoadLevel,
				Suspected: m.Liveness == member.Suspected,
			})
		}
	}
	return hosts
}

// entryHosts returns the members that are not dead as a host list, sorted by name.
func (c *control) entryHosts() (list wire.HostList) {
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

// orderControllers returns the names of the hosts that send model orders: those that serve. A
// joining host is left out because it may hold an old configuration.
func (c *control) orderControllers() (names []string) {
	for _, h := range c.candidates() {
		names = append(names, h.Host)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// logMemberChanges announces each other host whose liveness or lifecycle has changed.
func (c *control) logMemberChanges() {
	current := make(map[uint64]gossip.Member)
	for _, m := range c.node.Snapshot().Members() {
		current[m.Incarnation] = m
		old, ok := c.loggedMembers[m.Incarnation]
		if m.Name == c.self.Host || (ok && old.Liveness == m.Liveness && old.Lifecycle == m.Lifecycle) {
			continue
		}
		c.announcements.Add(event.MemberChanged, "host", m.Name, "phase", m.Liveness.String(), "stage", m.Lifecycle.String())
	}
	c.loggedMembers = current
}
