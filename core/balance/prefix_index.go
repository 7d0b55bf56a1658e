package balance

import (
	"slices"
	"time"
)

const (
	// maxGenerationPrefixes limits the prefixes in each of the two generations.
	maxGenerationPrefixes = 4_096
	// maxHolders limits the targets recorded per prefix.
	maxHolders = 4
	// holderTTL is how long a prefix is assumed to stay cached on a target without a new call
	// or event.
	holderTTL = 5 * time.Minute
	// gapGracePeriod is how long entries from before lost events are still used. Affinity is
	// only a preference, so a stale entry costs a cache miss and causes no error.
	gapGracePeriod = 10 * time.Second
)

// PrefixIndex tracks which targets have which prompt prefixes cached.
type PrefixIndex struct {
	// current and previous are two generations. When current is full, it replaces previous;
	// so unused prefixes are evicted without an LRU list.
	current, previous map[uint64][]holder
	eventStreams      map[string]*eventStream
}

// holder is a target that is assumed to have a prefix cached.
type holder struct {
	target string
	// lastSeen is when the target was last known to have the prefix cached.
	lastSeen time.Duration
}

// eventStream is the state of the cache events of one target.
type eventStream struct {
	// sequence is the sequence number of the last event applied.
	sequence uint64
	// gapAt is when events were last found to be missing; zero for never.
	gapAt time.Duration
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{current: make(map[uint64][]holder), previous: make(map[uint64][]holder), eventStreams: make(map[string]*eventStream)}
}

// Record records that the target has the prefix cached, as it ran a call with it.
func (c *PrefixIndex) Record(now time.Duration, prefix uint64, target string) {
	list := c.promote(prefix)
	list = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
	if len(list) >= maxHolders {
		list = list[1:]
	}
	c.current[prefix] = append(list, holder{target: target, lastSeen: now})
}

// promote prepares the current generation for a new entry of the prefix and returns the
// present holders. If they are in the previous generation, they are removed from it.
func (c *PrefixIndex) promote(prefix uint64) []holder {
	if list, ok := c.current[prefix]; ok {
		return list
	}
	if len(c.current) >= maxGenerationPrefixes {
		c.current, c.previous = make(map[uint64][]holder), c.current
	}
	list := c.previous[prefix]
	delete(c.previous, prefix)
	return list
}

// ApplyEvents applies a target's cache events up to a sequence number. Events that arrive
// late are dropped. After a gap in the sequence, older entries of the target are used only
// for gapGracePeriod.
func (c *PrefixIndex) ApplyEvents(now time.Duration, target string, sequence uint64, cached, evicted []uint64) {
	f, ok := c.eventStreams[target]
	if !ok {
		f = &eventStream{}
		c.eventStreams[target] = f
	}
	if sequence <= f.sequence {
		return
	}
	if f.sequence > 0 && sequence > f.sequence+uint64(len(cached)+len(evicted)) {
		f.gapAt = now
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
	for _, generation := range []map[uint64][]holder{c.current, c.previous} {
		if list, ok := generation[prefix]; ok {
			generation[prefix] = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
		}
	}
}

// Each calls f for the targets that are assumed to have the prefix cached, the most recent
// first, until f returns false.
func (c *PrefixIndex) Each(now time.Duration, prefix uint64, f func(target string) bool) {
	list, ok := c.current[prefix]
	if !ok {
		list = c.previous[prefix]
	}
	for _, h := range slices.Backward(list) {
		if c.valid(now, h) && !f(h.target) {
			return
		}
	}
}

func (c *PrefixIndex) valid(now time.Duration, h holder) bool {
	if now-h.lastSeen > holderTTL {
		return false
	}
	f, ok := c.eventStreams[h.target]
	return !ok || f.gapAt == 0 || h.lastSeen >= f.gapAt || now-f.gapAt < gapGracePeriod
}
