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
	// tick is the period of the control systems.
	tick = 100 * time.Millisecond
	// period is the time between two regular exchanges with other hosts. A host that fails
	// has to leave the address answers before callers wait for it often.
	period = 400 * time.Millisecond
	// fewest is the number of hosts that share the slack of repeats at least, for a host that
	// has not yet heard of all the others.
	fewest = 8
	// postBound is how many changes may wait for the control goroutine.
	postBound = 64
)

// control owns the control state. Only its goroutine touches the fields below events.
type control struct {
	*Edge

	// events carries changes to the goroutine; each runs on it.
	events chan func()

	members *member.State
	roster  *discovery.Set
	table   *route.Table
	version config.Version
	// hosts is the most members that were ever known at a time.
	hosts int
	// away holds while the store does not answer.
	away     bool
	draining bool
	serving  bool
	// lists numbers the lists of leaving targets that were told to other hosts.
	lists   uint64
	leaving []string
	// told has the leaving addresses that other hosts told of.
	told []string
}

// run owns the state until the context ends; its end is reported on done.
func (c *control) run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case change := <-c.events:
			change()
			c.settle()
		case f := <-c.suspects.told:
			c.tellSuspect(f)
		case <-ticker.C:
			c.tick()
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

func (c *control) tick() {
	c.roster.Tick(c.clock())
	c.members.SetLoadLevel(c.clock(), member.LoadLevel(int(c.running.Load())))
	c.node.Tick()
	c.settle()
	c.links.CloseIdle()
}

// Post implements gossip.Owner.
func (c *control) Post(ctx context.Context, f func()) {
	select {
	case c.events <- f:
	case <-ctx.Done():
	}
}

// Clock implements gossip.Owner.
func (c *control) Clock() time.Duration { return c.clock() }

// Take implements gossip.Owner: it puts a configuration of another host in force.
func (c *control) Take(_ uint64, raw []byte) (accepted bool) { return c.configure(raw, "host") }

// take handles what a read of the store brought.
func (c *control) take(n news) {
	if c.away {
		c.away = false
		event.Log(c.log, event.StoreFound, "revision", n.revision)
	}
	c.roster.StoreUp(c.clock())
	for _, i := range n.configs {
		c.configure(i.Value, "store")
	}
	c.takeTargets(n)
}

// lose notes that the store does not answer.
func (c *control) lose(err error) {
	c.roster.StoreDown()
	if !c.away {
		c.away = true
		event.Fail(c.log, event.StoreLost, err)
	}
}

// configure puts a configuration in force if it is newer.
func (c *control) configure(raw []byte, source string) (accepted bool) {
	t, err := platform.DecodeConfig(raw)
	if err != nil {
		event.Fail(c.log, event.DocumentRefused, err, "source", source)
		return false
	}
	v := config.NewVersion(t.Version(), sha256.Sum256(raw))
	if c.table != nil && t.Version() <= c.table.Version() {
		return true
	}
	c.table, c.version = t, v
	event.Log(c.log, event.DocumentTaken, "version", t.Version(), "source", source)
	c.node.Hold(raw, v)
	c.apply()
	c.node.Tick()
	return true
}

// settle derives the published state from what has changed.
func (c *control) settle() {
	serving := c.table != nil && !c.draining
	if serving != c.serving {
		c.serving = serving
		c.members.SetServing(c.clock(), serving)
		event.Log(c.log, event.HostServing, "serving", serving)
	}
	targets := c.roster.Changed()
	members := c.node.Publish()
	if targets {
		c.tell()
	}
	if !targets && !members {
		return
	}
	if members {
		c.told = c.members.LeavingAddresses()
		c.suspects.learn(c.node.Snapshot().Crashes())
		c.share()
	}
	c.apply()
}

// tell spreads the addresses of leaving targets, for hosts that cannot read the store.
func (c *control) tell() {
	leaving := c.roster.Leaving()
	var live []string
	for _, list := range c.roster.Targets() {
		for _, t := range list {
			if !t.Leaving {
				live = append(live, t.Address)
			}
		}
	}
	if slices.Equal(leaving, c.leaving) && len(c.told) == 0 {
		return
	}
	c.leaving = leaving
	c.lists = max(c.lists+1, c.roster.Revision())
	c.members.SetHostList(c.clock(), member.HostList{Version: c.lists, Leaving: leaving, Live: live})
	c.node.Tick()
}

// share sets this host's part of the slack of repeats.
func (c *control) share() {
	live := 0
	for _, m := range c.members.Members() {
		if m.Liveness != member.Dead {
			live++
		}
	}
	c.hosts = max(c.hosts, live, fewest)
	slack := c.settings.Bounds().Slack / float64(c.hosts)
	c.choosers.setSlack(slack)
	c.dispatcher.SetSlack(slack)
}

// apply publishes the state and passes it to choosers and dispatch.
func (c *control) apply() {
	s := &state{table: c.table, targets: c.roster.Targets(), zones: make(map[string]string), draining: c.draining}
	count := 0
	for name, list := range s.targets {
		for i, t := range list {
			s.zones[t.Address] = t.Zone
			if c.away && slices.Contains(c.told, t.Address) {
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
			Host: m.Name, Address: m.Address, Zone: m.Zone, LoadLevel: m.Level, Suspected: m.Liveness == member.Suspected,
		})
		if m.Liveness == member.Alive {
			s.eligible = append(s.eligible, dispatch.Host{Name: m.Name, Zone: m.Zone})
		}
	}
	c.choosers.configure(s.targets)
	if c.table != nil {
		c.dispatcher.Configure(c.table, s.targets)
	}
	if old := c.state.Load(); old == nil || old.count != count {
		event.Log(c.log, event.TargetsChanged, "targets", count, "revision", c.roster.Revision())
	}
	s.count = count
	c.state.Store(s)
}

// drain makes the host refuse new callers and returns when the state says so.
func (c *control) drain(ctx context.Context) {
	done := make(chan struct{})
	c.Post(ctx, func() {
		c.draining = true
		c.members.Drain(c.clock())
		c.node.Tick()
		c.settle()
		c.apply()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
