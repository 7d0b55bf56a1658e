package edge

import (
	"sassafrasward/core/discovery"
	"sassafrasward/io/gossip"
)

// gossipReports tells all other hosts what targets have stated to this one.
func (c *control) gossipReports() {
	for _, record := range c.reports.TakeRecords() {
		c.members.PublishReport(c.clock(), gossip.ReportFact(record))
	}
	c.node.Tick()
}

// mergeNewReports adds what targets have stated to any host if there is something new.
func (c *control) mergeNewReports() {
	if c.members.ReportsChanged() {
		c.mergeReports()
	}
}

// mergeReports adds what the known targets have stated to any host.
func (c *control) mergeReports() {
	facts := c.members.Reports(c.clock())
	if len(facts) == 0 {
		return
	}
	targets := make(map[string]discovery.Target)
	for _, list := range c.targets {
		for _, t := range list {
			targets[t.ID] = t
		}
	}
	for _, fact := range facts {
		if t, ok := targets[fact.Target]; ok && t.StartID == fact.StartID {
			c.reports.Merge(t, gossip.ReportRecord(fact))
		}
	}
}
