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
func (x *PrefixIndex) Record(now time.Duration, prefix uint64, target string) {
	list := x.promote(prefix)
	list = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
	if len(list) >= maxHolders {
		list = list[1:]
	}
	x.current[prefix] = append(list, holder{target: target, lastSeen: now})
}

// promote prepares the current generation for a new entry of the prefix and returns the
// present holders. If they are in the previous generation, they are removed from it.
func (x *PrefixIndex) promote(prefix uint64) []holder {
	if list, ok := x.current[prefix]; ok {
		return list
	}
	if len(x.current) >= maxGenerationPrefixes {
		x.current, x.previous = make(map[uint64][]holder), x.current
	}
	list := x.previous[prefix]
	delete(x.previous, prefix)
	return list
}

// ApplyEvents applies a target's cache events up to a sequence number. Events that arrive
// late are dropped. After a gap in the sequence, older entries of the target are used only
// for gapGracePeriod.
func (x *PrefixIndex) ApplyEvents(now time.Duration, target string, sequence uint64, cached, evicted []uint64) {
	stream, ok := x.eventStreams[target]
	if !ok {
		stream = &eventStream{}
		x.eventStreams[target] = stream
	}
	if sequence <= stream.sequence {
		return
	}
	if stream.sequence > 0 && sequence > stream.sequence+uint64(len(cached)+len(evicted)) {
		stream.gapAt = now
	}
	stream.sequence = sequence
	for _, prefix := range evicted {
		x.remove(prefix, target)
	}
	for _, prefix := range cached {
		x.Record(now, prefix, target)
	}
}

func (x *PrefixIndex) remove(prefix uint64, target string) {
	for _, generation := range []map[uint64][]holder{x.current, x.previous} {
		if list, ok := generation[prefix]; ok {
			generation[prefix] = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
		}
	}
}

// Each calls f for the targets that are assumed to have the prefix cached, the most recent
// first, until f returns false.
func (x *PrefixIndex) Each(now time.Duration, prefix uint64, f func(target string) bool) {
	list, ok := x.current[prefix]
	if !ok {
		list = x.previous[prefix]
	}
	for _, h := range slices.Backward(list) {
		if x.valid(now, h) && !f(h.target) {
			return
		}
	}
}

func (x *PrefixIndex) valid(now time.Duration, h holder) bool {
	if now-h.lastSeen > holderTTL {
		return false
	}
	stream, ok := x.eventStreams[h.target]
	return !ok || stream.gapAt == 0 || h.lastSeen >= stream.gapAt || now-stream.gapAt < gapGracePeriod
}
