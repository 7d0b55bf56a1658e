package admit

import (
	"maps"
	"slices"
	"time"

	"sassafrasward/core/batch"
)

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
	var others []Backlog
	for name, report := range c.pools[pool] {
		if now-report.reportedAt > backlogTTL {
			delete(c.pools[pool], name)
			continue
		}
		others = append(others, report.backlog)
	}
	return meanBacklog(others)
}

// Pool is a pool that reports its backlog, see batch.Dispatcher.
type Pool interface {
	Backlog(now time.Duration) (onTimeWait, lateWait time.Duration, growth float64)
	LevelBacklogs(now time.Duration) []batch.LevelBacklog
	Announced(now time.Duration) (pieces int)
	Scarce(now time.Duration) (callDuration time.Duration, scarce bool)
	WantsAnnouncements(now time.Duration) bool
}

// ReportOf returns the backlog of a pool with that of each of its priority levels.
func ReportOf(now time.Duration, pool Pool) (b Backlog) {
	b.OnTimeWait, b.LateWait, b.Growth = pool.Backlog(now)
	b.Announced = pool.Announced(now)
	for _, l := range pool.LevelBacklogs(now) {
		b.Levels = append(b.Levels, Level{Priority: l.Priority, OnTimeWait: l.OnTimeWait, LateWait: l.LateWait, Shed: 1 - l.Share, Protected: l.Protected, RetryAfter: l.RetryAfter})
	}
	b.CallDuration, b.Scarce = pool.Scarce(now)
	b.WantsAnnouncements = pool.WantsAnnouncements(now)
	return b
}

// meanBacklog returns the mean of backlogs; zero for none.
func meanBacklog(list []Backlog) (mean Backlog) {
	n := len(list)
	if n == 0 {
		return Backlog{}
	}
	priorities := make(map[int]bool)
	for _, b := range list {
		mean.OnTimeWait += b.OnTimeWait / time.Duration(n)
		mean.LateWait += b.LateWait / time.Duration(n)
		mean.Growth += b.Growth / float64(n)
		mean.Announced, mean.Scarce = max(mean.Announced, b.Announced), mean.Scarce || b.Scarce
		mean.WantsAnnouncements = mean.WantsAnnouncements || b.WantsAnnouncements
		mean.CallDuration = max(mean.CallDuration, b.CallDuration)
		for _, l := range b.Levels {
			priorities[l.Priority] = true
		}
	}
	for _, p := range slices.Sorted(maps.Keys(priorities)) {
		l := Level{Priority: p}
		for _, b := range list {
			own := b.At(p)
			l.OnTimeWait += own.OnTimeWait / time.Duration(n)
			l.LateWait += own.LateWait / time.Duration(n)
			l.Shed += own.Shed / float64(n)
			l.Protected += own.Protected / float64(n)
			l.RetryAfter += own.RetryAfter / time.Duration(n)
		}
		mean.Levels = append(mean.Levels, l)
	}
	return mean
}
