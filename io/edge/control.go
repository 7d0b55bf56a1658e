package edge

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/discovery"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/member"
	"sassafrasward/core/route"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/event"
	"sassafrasward/platform"
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
	// queueLen is the capacity of the queues of the control goroutine.
	queueLen = 64
)

// control owns the control state. Only its goroutine accesses the fields below tasks.
type control struct {
	*Edge

	// tasks has functions to run on the control goroutine.
	tasks chan func()

	members   *member.State
	targetSet *discovery.Set
	table     *route.Table
	version   config.Version
	// maxHosts is the largest number of live hosts that was known at a time, at least minHosts. The
	// retry slack is divided by it.
	maxHosts int
	// storeDown is set while the store does not respond.
	storeDown bool
	draining  bool
	serving   bool
	// announcements has the events whose state is not published yet.
	announcements *event.Deferred
	// listVersion is the version of the last list of targets that was sent to other hosts, and
	// leaving has the addresses of its leaving targets.
	listVersion uint64
	leaving     []string
	// reportedLeaving has the addresses of leaving targets that other hosts reported.
	reportedLeaving []string
}

// run is the control loop. It sends nil on done once the context has ended.
func (c *control) run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case task := <-c.tasks:
			task()
			c.publishChanges()
		case record := <-c.suspects.records:
			c.gossipCrash(record)
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
	c.targetSet.Tick(c.clock())
	c.members.SetLoadLevel(c.clock(), member.LoadLevel(int(c.running.Load())))
	c.node.Tick()
	c.publishChanges()
	c.conns.CloseIdle()
}

// Post implements gossip.EventLoop. It queues f to run on the control goroutine.
func (c *control) Post(ctx context.Context, f func()) {
	select {
	case c.tasks <- f:
	case <-ctx.Done():
	}
}

// Clock implements gossip.EventLoop.
func (c *control) Clock() time.Duration { return c.clock() }

// ApplyDocument implements gossip.EventLoop. It applies a configuration received from another host.
func (c *control) ApplyDocument(_ uint64, raw []byte) (accepted bool) {
	return c.applyConfig(raw, "host")
}

// onUpdate applies the result of a read of the store.
func (c *control) onUpdate(u update) {
	if c.storeDown {
		c.storeDown = false
		event.Log(c.log, event.StoreRecovered, "revision", u.revision)
	}
	c.targetSet.StoreUp(c.clock())
	for _, item := range u.configs {
		c.applyConfig(item.Value, "store")
	}
	c.applyTargets(u)
}

// onStoreError records that the store does not respond.
func (c *control) onStoreError(err error) {
	c.targetSet.StoreDown()
	if !c.storeDown {
		c.storeDown = true
		event.LogError(c.log, event.StoreLost, err)
	}
}

// applyConfig applies a configuration if it is newer than the current one. It returns false if
// the configuration is invalid.
func (c *control) applyConfig(raw []byte, source string) (accepted bool) {
	t, err := platform.DecodeConfig(raw)
	if err != nil {
		event.LogError(c.log, event.ConfigRejected, err, "source", source)
		return false
	}
	v := config.NewVersion(t.Version(), sha256.Sum256(raw))
	if c.table != nil && t.Version() <= c.table.Version() {
		return true
	}
	c.table, c.version = t, v
	c.announcements.Add(event.ConfigAccepted, "version", t.Version(), "source", source)
	c.node.SetDocument(raw, v)
	c.publishState()
	c.node.Tick()
	return true
}

// publishChanges updates the serving state of this host, and publishes a new state if targets or
// members have changed.
func (c *control) publishChanges() {
	serving := c.table != nil && !c.draining
	if serving != c.serving {
		c.serving = serving
		c.members.SetServing(c.clock(), serving)
		c.announcements.Add(event.HostServing, "serving", serving)
	}
	targetsChanged := c.targetSet.Changed()
	membersChanged := c.node.Publish()
	if targetsChanged {
		c.gossipTargets()
	}
	if !targetsChanged && !membersChanged {
		return
	}
	if membersChanged {
		c.reportedLeaving = c.members.LeavingAddresses()
		c.suspects.merge(c.node.Snapshot().Crashes())
		c.updateSlack()
	}
	c.publishState()
}

// gossipTargets sends the addresses of the leaving and the live targets to other hosts, for those
// that can't read the store.
func (c *control) gossipTargets() {
	leaving := c.targetSet.LeavingAddresses()
	var live []string
	for _, list := range c.targetSet.Targets() {
		for _, t := range list {
			if !t.Leaving {
				live = append(live, t.Address)
			}
		}
	}
	if slices.Equal(leaving, c.leaving) && len(c.reportedLeaving) == 0 {
		return
	}
	c.leaving = leaving
	c.listVersion = max(c.listVersion+1, c.targetSet.Revision())
	c.members.SetHostList(c.clock(), member.HostList{Version: c.listVersion, Leaving: leaving, Live: live})
	c.node.Tick()
}

// updateSlack sets this host's share of the retry slack.
func (c *control) updateSlack() {
	live := 0
	for _, m := range c.members.Members() {
		if m.Liveness != member.Dead {
			live++
		}
	}
	c.maxHosts = max(c.maxHosts, live, minHosts)
	slack := c.settings.Limits().RetryAllowance / float64(c.maxHosts)
	c.choosers.setSlack(slack)
	c.dispatcher.SetSlack(slack)
}

// publishState publishes a new state and configures the choosers and the dispatcher with it.
func (c *control) publishState() {
	s := &state{table: c.table, targets: c.targetSet.Targets(), zones: make(map[string]string), draining: c.draining}
	count := 0
	for name, list := range s.targets {
		for i, t := range list {
			s.zones[t.Address] = t.Zone
			if c.storeDown && slices.Contains(c.reportedLeaving, t.Address) {
				list[i].Leaving = true
			}
			count++
		}
		s.targets[name] = list
	}
	for _, m := range c.node.Snapshot().Members() {
		if m.Liveness == member.Dead || m.Lifecycle != member.Serving {
			continue
		}
		s.hosts = append(s.hosts, hostselect.Candidate{
			Host: m.Name, Address: m.Address, Zone: m.Zone, LoadLevel: m.LoadLevel, Suspected: m.Liveness == member.Suspected,
		})
		if m.Liveness == member.Alive {
			s.eligible = append(s.eligible, dispatch.Host{Name: m.Name, Zone: m.Zone})
		}
	}
	c.choosers.configure(s.targets)
	if c.table != nil {
		c.dispatcher.Configure(c.table, s.targets)
	}
	if old := c.state.Load(); old == nil || old.targetCount != count {
		c.announcements.Add(event.TargetsChanged, "targets", count, "revision", c.targetSet.Revision())
	}
	s.targetCount = count
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
