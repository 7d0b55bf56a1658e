package balance

import (
	"slices"
	"time"
)

const (
	// cacheBound limits the prefixes of each of the two generations of a view.
	cacheBound = 4_096
	// holderBound limits the targets remembered per prefix.
	holderBound = 4
	// cacheLife is how long a prefix is expected to stay cached without news.
	cacheLife = 5 * time.Minute
	// gapLife is how long older knowledge is still used after lost events. Affinity is
	// only a preference, so stale knowledge costs a cache miss and no error.
	gapLife = 10 * time.Second
)

// Cache is a view of which targets hold which prompt prefixes.
type PrefixIndex struct {
	// fresh and old are two generations: a full fresh one becomes the old one, so that
	// unused prefixes leave without a list of uses.
	fresh, old map[uint64][]holder
	feeds      map[string]*feed
}

type holder struct {
	target string
	// seen is when the target was last known to hold the prefix.
	seen time.Duration
}

// feed is the state of the cache events of one target.
type feed struct {
	sequence uint64
	// gap is when events were last found to be missing; zero for never.
	gap time.Duration
}

// NewCache returns an empty view.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{fresh: make(map[uint64][]holder), old: make(map[uint64][]holder), feeds: make(map[string]*feed)}
}

// Note takes that the target ran a call with the prefix.
func (c *PrefixIndex) Record(now time.Duration, prefix uint64, target string) {
	list := c.list(prefix)
	list = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
	if len(list) >= holderBound {
		list = list[1:]
	}
	c.fresh[prefix] = append(list, holder{target: target, seen: now})
}

// list moves the holders of a prefix to the fresh generation and returns them.
func (c *PrefixIndex) list(prefix uint64) []holder {
	if list, ok := c.fresh[prefix]; ok {
		return list
	}
	if len(c.fresh) >= cacheBound {
		c.fresh, c.old = make(map[uint64][]holder), c.fresh
	}
	list := c.old[prefix]
	delete(c.old, prefix)
	return list
}

// Take takes the cache events up to a sequence number of a target. Events that come late
// are dropped; after a gap, older knowledge of the target ends soon.
func (c *PrefixIndex) ApplyEvents(now time.Duration, target string, sequence uint64, cached, evicted []uint64) {
	f, ok := c.feeds[target]
	if !ok {
		f = &feed{}
		c.feeds[target] = f
	}
	if sequence <= f.sequence {
		return
	}
	if f.sequence > 0 && sequence > f.sequence+uint64(len(cached)+len(evicted)) {
		f.gap = now
	}
	f.sequence = sequence
	for _, prefix := range evicted {
		c.remove(prefix, target)
	}
	for _, prefix := range cached {
		c.Record(now, prefix, target)
	}
}

func (c *PrefixIndex) remove(prefix uint64, target string) {
	for _, generation := range []map[uint64][]holder{c.fresh, c.old} {
		if list, ok := generation[prefix]; ok {
			generation[prefix] = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
		}
	}
}

// Each calls f for the targets that are expected to hold the prefix, the newest first,
// until f returns false.
func (c *PrefixIndex) Each(now time.Duration, prefix uint64, f func(target string) bool) {
	list, ok := c.fresh[prefix]
	if !ok {
		list = c.old[prefix]
	}
	for _, h := range slices.Backward(list) {
		if c.valid(now, h) && !f(h.target) {
			return
		}
	}
}

func (c *PrefixIndex) valid(now time.Duration, h holder) bool {
	if now-h.seen > cacheLife {
		return false
	}
	f, ok := c.feeds[h.target]
	return !ok || f.gap == 0 || h.seen >= f.gap || now-f.gap < gapLife
}
