package admit

import "time"

// backlogTTL is how long a reported backlog is valid. Queues change within a few calls.
const backlogTTL = time.Second

// BacklogCache holds the last backlogs that dispatching hosts reported. The targets of a pool
// may be divided into groups that are dispatched separately. It is not safe for concurrent use.
type BacklogCache struct {
	// pools holds the reports by pool and group.
	pools map[string]map[string]reportedBacklog
}

// reportedBacklog is a backlog with the time of its report.
type reportedBacklog struct {
	backlog    Backlog
	reportedAt time.Duration
}

// NewBacklogCache returns an empty cache.
func NewBacklogCache() *BacklogCache {
	return &BacklogCache{pools: make(map[string]map[string]reportedBacklog)}
}

// Update stores the reported backlog of a group.
func (c *BacklogCache) Update(now time.Duration, pool, group string, backlog Backlog) {
	if c.pools[pool] == nil {
		c.pools[pool] = make(map[string]reportedBacklog)
	}
	c.pools[pool][group] = reportedBacklog{backlog: backlog, reportedAt: now}
}

// Backlog returns the backlog of a group, or the mean of the pool's other groups if its last
// report has expired. With many hosts, a host rarely gets reports of each group, and a group
// without a report is unlikely to be idle while the others are not.
func (c *BacklogCache) Backlog(now time.Duration, pool, group string) (backlog Backlog) {
	if report, ok := c.pools[pool][group]; ok && now-report.reportedAt <= backlogTTL {
		return report.backlog
	}
	n := 0
	for name, report := range c.pools[pool] {
		if now-report.reportedAt > backlogTTL {
			delete(c.pools[pool], name)
			continue
		}
		n++
		backlog.OnTimeWait += report.backlog.OnTimeWait
		backlog.LateWait += report.backlog.LateWait
		backlog.Growth += report.backlog.Growth
	}
	if n == 0 {
		return Backlog{}
	}
	return Backlog{OnTimeWait: backlog.OnTimeWait / time.Duration(n), LateWait: backlog.LateWait / time.Duration(n), Growth: backlog.Growth / float64(n)}
}
