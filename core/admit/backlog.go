package admit

import "time"

// backlogLife is how long a backlog counts after it was told. Queues change within the
// duration of a few calls.
const backlogLife = time.Second

// Board has the backlogs that the dispatching hosts of pools last told. The targets of a pool
// may be dispatched in several groups. It is not safe for concurrent use.
type BacklogCache struct {
	// pools has what was told by pool and group.
	pools map[string]map[string]told
}

// told is a backlog and when it was told.
type told struct {
	backlog Backlog
	at      time.Duration
}

// NewBoard returns an empty board.
func NewBacklogCache() *BacklogCache { return &BacklogCache{pools: make(map[string]map[string]told)} }

// Tell notes the backlog of a group.
func (b *BacklogCache) Update(now time.Duration, pool, group string, backlog Backlog) {
	if b.pools[pool] == nil {
		b.pools[pool] = make(map[string]told)
	}
	b.pools[pool][group] = told{backlog: backlog, at: now}
}

// Backlog returns the backlog of a group: what was told lately, or else the mean of the other
// groups of the pool. In a large fleet a host hears from one group only now and then, and one
// that it has not heard of is not likely to be free while the others are not.
func (b *BacklogCache) Backlog(now time.Duration, pool, group string) (backlog Backlog) {
	if t, ok := b.pools[pool][group]; ok && now-t.at <= backlogLife {
		return t.backlog
	}
	n := 0
	for name, t := range b.pools[pool] {
		if now-t.at > backlogLife {
			delete(b.pools[pool], name)
			continue
		}
		n++
		backlog.OnTimeWait += t.backlog.OnTimeWait
		backlog.LateWait += t.backlog.LateWait
		backlog.Growth += t.backlog.Growth
	}
	if n == 0 {
		return Backlog{}
	}
	return Backlog{OnTimeWait: backlog.OnTimeWait / time.Duration(n), LateWait: backlog.LateWait / time.Duration(n), Growth: backlog.Growth / float64(n)}
}
