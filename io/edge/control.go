package edge

import (
	"context"
	"slices"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/discovery"
	"sassafrasward/core/feed"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/member"
	"sassafrasward/core/revision"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/event"
	iofeed "sassafrasward/io/feed"
)

const (
	// tickInterval is the period of the control loop.
	tickInterval = 100 * time.Millisecond
	// gossipInterval is the time between two regular gossip rounds. It is short so that a failed
	// host leaves the address responses before many callers wait for it.
	gossipInterval = 400 * time.Millisecond
	// minHosts is the minimum number of hosts by which the retry slack is divided, for a host
	// that doesn't know of all the others yet.
	minHosts = 8
	// publishInterval is the minimum time between two publications of changes of the members, each
	// of which takes work that grows with the fleet.
	publishInterval = 300 * time.Millisecond
	// settleTime is the time after the start within which a host learns of the others.
	settleTime = 3 * time.Second
	// queueLen is the capacity of the queues of the control goroutine.
	queueLen = 64
)

// control owns the control state. Only its goroutine accesses the fields below tasks.
type control struct {
	*Edge

	// tasks has functions to run on the control goroutine.
	tasks   chan func()
	decoder decoder

	members   *member.State
	targetSet *discovery.Set
	// targets and zones are those of the published state. They are not changed any more.
	targets map[string][]discovery.Target
	zones   map[string]string
	table   *route.Table
	version config.Version
	// maxHosts is the largest number of live hosts that was known at a time, at least minHosts. The
	// retry slack is divided by it.
	maxHosts int
	// storeRevision is the newest revision of the store that the targets reflect, publishedRevision that of
	// the published ones.
	storeRevision, publishedRevision revision.Revision
	// settled is set from settleTime on.
	settled  bool
	draining bool
	serving  bool
	// nextPublish is when changes of the members may be published again.
	nextPublish time.Duration
	// announcements has the events whose state is not published yet.
	announcements *event.Deferred
}

// run is the control loop. It sends nil on done once the context has ended.
func (c *control) run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case task := <-c.tasks:
			task()
			if len(c.tasks) == 0 { // packets that wait are read before
				c.mergeNewReports()
			}
		case <-c.suspects.changed:
			c.gossipCrashes()
		case <-c.reports.Changed():
			c.gossipReports()
		case <-ticker.C:
			c.tick()
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

// tick does the periodic work of the control loop.
func (c *control) tick() {
	c.pauses.Tick(wallClock())
	c.targetSet.Tick(c.clock())
	for zone, targets := range c.targetSet.EndedEvacuations(c.clock()) {
		c.zoneRestored(zone, targets, c.storeRevision)
	}
	c.exchangeEstimates()
	c.node.Tick()
	c.publishChanges()
	c.conns.CloseIdle()
}

// Post implements gossip.EventLoop. It queues f to run on the control goroutine. The changes that f
// makes to the membership are applied by the next tick: while many hosts start, a new state per
// packet would cost more than all packets. Reports about targets need no new state and are merged at once.
func (c *control) Post(ctx context.Context, f func()) {
	select {
	case c.tasks <- f:
	case <-ctx.Done():
	}
}

// Clock implements gossip.EventLoop.
func (c *control) Clock() time.Duration { return c.clock() }

// PrepareDocument implements gossip.EventLoop.
func (c *control) PrepareDocument(_ uint64, raw []byte) (apply func() (accepted bool)) {
	return c.prepareConfig(raw, "host")
}

// OnVersion implements feed.Handler.
func (c *control) OnVersion(ctx context.Context, address string, v config.Version) {
	c.Post(ctx, func() { c.node.Announced(v, address) })
}

// OnChanges implements feed.Handler.
func (c *control) OnChanges(ctx context.Context, changes []feed.Item, at revision.Revision) {
	c.Post(ctx, func() {
		if known := c.storeRevision; known.Era() < at.Era() && !known.IsZero() {
			c.announcements.Add(event.StoreRestored, "entries", "targets", "era", known.Era(), "revision", known.Number(), "newera", at.Era(), "newrevision", at.Number())
			c.targetSet.Restored(c.clock(), at)
		}
		c.storeRevision = revision.Max(c.storeRevision, at)
		c.applyChanges(changes)
		c.publishChanges()
	})
}

// OnStoreUp implements feed.Handler.
func (c *control) OnStoreUp(ctx context.Context, outage bool) {
	c.Post(ctx, func() {
		if outage {
			c.targetSet.StoreUp(c.clock())
		} else {
			c.targetSet.StoreReached()
		}
		event.Log(c.log, event.StoreRecovered, "revision", c.storeRevision.Number(), "outage", outage)
	})
}

// OnStoreDown implements feed.Handler.
func (c *control) OnStoreDown(ctx context.Context, err error) {
	c.Post(ctx, func() {
		c.targetSet.StoreDown()
		event.LogError(c.log, event.StoreLost, err)
	})
}

// prepareConfig decodes a configuration. It is called outside the control goroutine, which would handle
// nothing else meanwhile. The returned function is for the control goroutine: it applies the configuration if
// it is newer than the current one, and returns false if it is invalid.
func (c *control) prepareConfig(raw []byte, source string) (apply func() (accepted bool)) {
	t, v, err := c.decoder.decode(raw)
	if err != nil {
		event.LogError(c.log, event.ConfigRejected, err, "source", source)
		return func() bool { return false }
	}
	return func() bool {
		c.applyConfig(raw, t, v, source)
		return true
	}
}

// applyConfig applies a configuration if it is newer than the current one.
func (c *control) applyConfig(raw []byte, t *route.Table, v config.Version, source string) {
	if c.table != nil && t.Version() <= c.table.Version() {
		return
	}
	c.table, c.version = t, v
	c.announcements.Add(event.ConfigAccepted, "version", t.Version(), "source", source)
	c.node.SetDocument(raw, v)
	c.hub.SetVersion(v)
	c.publishTargets()
	c.node.Tick()
}

// publishChanges updates the serving state of this host, and publishes a new state if targets or
// members have changed.
func (c *control) publishChanges() {
	serving := c.table != nil && !c.storeRevision.IsZero() && !c.draining
	servingChanged := serving != c.serving
	if servingChanged {
		c.serving = serving
		c.members.SetServing(c.clock(), serving)
		c.announcements.Add(event.HostServing, "serving", serving)
	}
	if c.members.CrashesChanged() {
		c.suspects.merge(c.members.Crashes(c.clock()))
	}
	c.mergeNewReports()
	targetsChanged, membersChanged := c.targetSet.Changed(), false
	if now := c.clock(); servingChanged || now >= c.nextPublish {
		membersChanged = c.node.Publish()
		c.nextPublish = now + publishInterval
	}
	if membersChanged || !c.settled && c.clock() >= settleTime {
		c.updatePlan()
	}
	if !targetsChanged && !membersChanged {
		return
	}
	if membersChanged {
		c.updateSlack()
	}
	if targetsChanged {
		c.publishTargets()
	} else {
		c.publishState()
	}
}

// updatePlan decides whether this host reads the store, and which hosts it follows otherwise. Until
// settleTime after its start, when it may not know the others yet, it leaves the store to the seeds.
func (c *control) updatePlan() {
	var hosts []feed.Host
	for _, m := range c.node.Snapshot().Members() {
		if m.Liveness == member.Alive && m.Lifecycle != member.Draining {
			hosts = append(hosts, feed.Host{Name: m.Name, Zone: m.Zone, Address: m.Peer})
		}
	}
	self := feed.Host{Name: c.settings.Host(), Zone: c.settings.Zone(), Address: c.settings.PeerAddress()}
	seeds := c.settings.Seeds()
	readers := feed.Readers(hosts)
	c.settled = c.settled || c.clock() >= settleTime
	c.updateFleet()
	first := len(seeds) == 0 || slices.Contains(seeds, self.Address)
	reader := first && !c.settled || c.settled && slices.ContainsFunc(readers, func(h feed.Host) bool { return h.Name == self.Name })
	c.watcher.reader.Store(reader)
	c.follower.SetPlan(iofeed.Plan{Reader: reader, Upstreams: feed.Upstreams(self, readers, seeds)})
}

// updateFleet sets the hosts among which the rates of cold targets are shared. A host without seeds that knows
// no other is a fleet of one from its start.
func (c *control) updateFleet() {
	var f selfreport.Fleet
	live := make(map[string]bool)
	members := c.node.Snapshot().Members()
	for _, m := range members {
		if m.Liveness != member.Dead {
			f.Live = append(f.Live, m.Name)
			live[m.Name] = true
		}
	}
	for _, m := range members {
		if m.Liveness == member.Dead && m.Lifecycle != member.Draining && !live[m.Name] {
			f.Dead = append(f.Dead, m.Name)
		}
	}
	f.Settled = c.settled || len(c.settings.Seeds()) == 0 && len(members) <= 1
	c.reports.SetFleet(f)
}

// updateSlowStarts sets the pools whose targets start slowly.
func (c *control) updateSlowStarts() {
	pools := make(map[string]route.SlowStart)
	for _, name := range c.table.Pools() {
		if p, _ := c.table.Pool(name); p.SlowStart != nil {
			pools[name] = *p.SlowStart
		}
	}
	c.reports.SetSlowStarts(pools)
}

// updateSlack sets this host's share of the retry slack.
func (c *control) updateSlack() {
	live := 0
	for _, m := range c.node.Snapshot().Members() {
		if m.Liveness != member.Dead {
			live++
		}
	}
	c.maxHosts = max(c.maxHosts, live, minHosts)
	slack := c.settings.Limits().RetryAllowance / float64(c.maxHosts)
	c.choosers.setSlack(slack)
	if c.settings.SharedEstimates() {
		c.choosers.setHosts(live)
	}
	c.dispatcher.SetSlack(slack)
}

// publishTargets configures the choosers and the dispatcher with the targets and the configuration,
// and publishes a new state.
func (c *control) publishTargets() {
	c.targets, c.zones = c.targetSet.Targets(), make(map[string]string)
	for _, list := range c.targets {
		for _, t := range list {
			c.zones[t.Address] = t.Zone
		}
	}
	if c.table != nil {
		c.updateSlowStarts()
	}
	c.reports.StartEntries(c.targets)
	c.choosers.configure(c.targets)
	c.reports.Retain(c.targets)
	c.mergeReports()
	c.mergeEstimates(c.members.Estimates(c.clock()))
	if c.table != nil {
		c.dispatcher.Configure(c.table, c.targets)
	}
	if c.publishedRevision != c.storeRevision {
		c.publishedRevision = c.storeRevision
		c.announcements.Add(event.TargetsChanged, "targets", len(c.zones), "revision", c.storeRevision.Number())
	}
	c.publishState()
}

// publishState publishes a new state with the targets of the last publishTargets.
func (c *control) publishState() {
	s := &state{table: c.table, targets: c.targets, zones: c.zones, targetsKnown: !c.storeRevision.IsZero(), draining: c.draining}
	var senders []string
	for _, m := range c.node.Snapshot().Members() {
		if m.Liveness == member.Dead || m.Lifecycle == member.Joining {
			continue
		}
		senders = append(senders, m.Name)
		if m.Lifecycle != member.Serving {
			continue
		}
		s.hosts = append(s.hosts, hostselect.Candidate{
			Host: m.Name, Address: m.Address, Zone: m.Zone, Suspected: m.Liveness == member.Suspected,
		})
		if m.Liveness == member.Alive {
			s.eligible = append(s.eligible, dispatch.Host{Name: m.Name, Zone: m.Zone})
		}
	}
	c.reports.SetHosts(senders)
	if old := c.state.Load(); slices.Equal(old.eligible, s.eligible) {
		s.eligible = old.eligible // keeps what is cached for this list
	}
	c.state.Store(s)
	c.announcements.Flush()
}

// drain starts draining the host and returns once the published state says so.
func (c *control) drain(ctx context.Context) {
	done := make(chan struct{})
	c.Post(ctx, func() {
		c.draining = true
		c.members.Drain(c.clock())
		c.node.Tick()
		c.publishChanges()
		c.publishState()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
