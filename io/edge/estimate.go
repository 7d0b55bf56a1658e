package edge

import (
	"sassafrasward/core/capacity"
	"sassafrasward/core/discovery"
	"sassafrasward/core/member"
	"sassafrasward/core/pick"
	"sassafrasward/io/event"
	"sassafrasward/io/gossip"
)

// exchangeEstimates takes in what other hosts have estimated of the targets, and publishes what this host
// has.
func (c *control) exchangeEstimates() {
	c.mergeEstimates(c.members.TakeEstimates(c.clock()))
	facts := c.choosers.takeFacts()
	c.metrics.Counter("estimate.sent").Inc(int64(len(facts)))
	for _, f := range facts {
		c.members.PublishEstimate(c.clock(), gossip.EstimateFact(f))
	}
	c.choosers.visitShared(c.recordShared)
}

// mergeEstimates merges facts into the estimates of their pools.
func (c *control) mergeEstimates(facts []member.Estimate) {
	merged := 0
	for _, f := range facts {
		if c.choosers.mergeFact(gossip.CapacityFact(f)) {
			merged++
		}
	}
	c.metrics.Counter("estimate.merged").Inc(int64(merged))
}

// recordShared logs a change of the way in which the targets of a pool are chosen, and counts the choices
// since the last call.
func (c *control) recordShared(name string, p *pool) {
	if shared := p.chooser.Shared(); shared != p.shared {
		p.shared = shared
		event.Log(c.log, event.EstimatesShared, "pool", name, "shared", shared, "hosts", c.choosers.hosts)
	}
	stats := p.chooser.SharedStats()
	if stats == p.stats {
		return
	}
	c.metrics.Counter("estimate.choices.warm").Inc(stats.Warm - p.stats.Warm)
	c.metrics.Counter("estimate.choices.overflow").Inc(stats.Overflow - p.stats.Overflow)
	c.metrics.Counter("estimate.choices.moved").Inc(stats.Moved - p.stats.Moved)
	c.metrics.Counter("estimate.choices.free").Inc(stats.Free - p.stats.Free)
	p.stats = stats
}

// setHosts sets the number of live hosts.
func (c *choosers) setHosts(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hosts = n
	for _, p := range c.pools {
		p.chooser.SetHosts(n)
	}
}

// firstEvent records the time to the first event of a request at a target of the pool.
func (c *choosers) firstEvent(name string, t discovery.Target, r pick.Request, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(name).chooser.FirstEvent(c.clock(), t, r, slowdown)
}

// mergeFact takes in a fact of another host, and reports whether it is about a target of this host's pools.
func (c *choosers) mergeFact(f capacity.Fact) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.pools {
		if p.chooser.MergeFact(c.clock(), f) {
			return true
		}
	}
	return false
}

// takeFacts returns the facts for other hosts.
func (c *choosers) takeFacts() (facts []capacity.Fact) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	shared := 0
	for _, p := range c.pools {
		if p.chooser.Shared() {
			shared++
		}
	}
	for _, p := range c.pools {
		facts = append(facts, p.chooser.TakeFacts(c.clock(), shared)...)
	}
	return facts
}

// visitShared calls f for each pool.
func (c *choosers) visitShared(f func(name string, p *pool)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, p := range c.pools {
		f(name, p)
	}
}
