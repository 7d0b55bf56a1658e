package member

import (
	"cmp"
	"time"

	"sassafrasward/core/sortedmap"
)

// fact is implemented by each type of fact. K is the type of its key.
type fact[K cmp.Ordered, F any] interface {
	comparable
	Merge(o F) F
	key() K
	// initialTTL is the time to live of a new fact; zero for a fact that never expires.
	initialTTL() time.Duration
	remainingTTL() time.Duration
	withTTL(ttl time.Duration) F
	// checksum is the contribution of the fact to the digest; zero if it has none.
	checksum() uint64
}

// store is the table of one type of fact.
type store[K cmp.Ordered, F fact[K, F]] struct {
	rows *sortedmap.Map[K, *row[F]]
	// retransmits is how many regular packets carry a new fact.
	retransmits int
}

// row is a fact with the state that this host needs to gossip it.
type row[F any] struct {
	// fact has no TTL set; expiresAt replaces it.
	fact F
	// firstSeen is when this host first learned of the key.
	firstSeen time.Duration
	// expiresAt is when the fact is removed; zero for never.
	expiresAt time.Duration
	// sendsLeft is how many more regular packets carry the fact.
	sendsLeft int
	// urgent is set until the fact has been flooded to all neighbours.
	urgent bool
}

func newStore[K cmp.Ordered, F fact[K, F]](retransmits int) *store[K, F] {
	return &store[K, F]{rows: sortedmap.New[K, *row[F]](), retransmits: retransmits}
}

func (s *store[K, F]) get(k K) (f F, ok bool) {
	r, ok := s.rows.Get(k)
	if !ok {
		return f, false
	}
	return r.fact, true
}

// put merges a fact and reports whether it was new. A bulk fact is one of many that other
// hosts already know; it is sent in one regular packet and not flooded.
func (s *store[K, F]) put(now time.Duration, f F, bulk bool) bool {
	expiresAt := time.Duration(0)
	if ttl := f.initialTTL(); ttl > 0 {
		if left := f.remainingTTL(); left > 0 && left < ttl {
			ttl = left
		}
		expiresAt = now + ttl
	}
	f = f.withTTL(0)
	old, ok := s.rows.Get(f.key())
	if ok && old.fact.Merge(f) == old.fact {
		if old.fact == f && expiresAt > 0 {
			old.expiresAt = min(old.expiresAt, expiresAt)
		}
		return false
	}
	if ok {
		f = old.fact.Merge(f)
	}
	next := &row[F]{fact: f, firstSeen: now, expiresAt: expiresAt, sendsLeft: s.retransmits, urgent: !bulk}
	if bulk {
		next.sendsLeft = 1
	}
	if ok {
		next.firstSeen = old.firstSeen
	}
	s.rows.Put(f.key(), next)
	return true
}

// expire removes the expired facts and returns them.
func (s *store[K, F]) expire(now time.Duration) (removed []F) {
	for _, r := range s.rows.All() {
		if r.expiresAt > 0 && now >= r.expiresAt {
			removed = append(removed, r.fact)
		}
	}
	for _, f := range removed {
		s.rows.Delete(f.key())
	}
	return removed
}

// collect returns up to limit matching facts with their remaining TTLs. A negative limit
// means no limit.
func (s *store[K, F]) collect(now time.Duration, limit int, match func(r *row[F]) bool) (facts []F) {
	for _, r := range s.rows.All() {
		if limit >= 0 && len(facts) >= limit {
			break
		}
		if !match(r) {
			continue
		}
		f := r.fact
		if r.expiresAt > 0 {
			f = f.withTTL(max(r.expiresAt-now, 1))
		}
		facts = append(facts, f)
	}
	return facts
}

// takePending returns up to limit facts that regular packets still have to carry, and counts them
// as sent once more.
func (s *store[K, F]) takePending(now time.Duration, limit int) []F {
	return s.collect(now, limit, func(r *row[F]) bool {
		if r.sendsLeft == 0 {
			return false
		}
		r.sendsLeft--
		return true
	})
}

// takeUrgent returns the facts to flood to all neighbours, and marks them as flooded.
func (s *store[K, F]) takeUrgent(now time.Duration) []F {
	return s.collect(now, -1, func(r *row[F]) bool {
		if !r.urgent {
			return false
		}
		r.urgent = false
		return true
	})
}

func (s *store[K, F]) hasUrgent() bool {
	for _, r := range s.rows.All() {
		if r.urgent {
			return true
		}
	}
	return false
}

// addToDigest adds the checksums of the facts to their buckets.
func (s *store[K, F]) addToDigest(buckets *Digest) {
	for _, r := range s.rows.All() {
		if sum := r.fact.checksum(); sum != 0 {
			buckets[bucket(r.fact)] ^= uint32(sum >> 32)
		}
	}
}

// inBuckets returns the facts in the buckets of the mask.
func (s *store[K, F]) inBuckets(now time.Duration, mask uint32) []F {
	return s.collect(now, -1, func(r *row[F]) bool { return mask&(1<<bucket(r.fact)) != 0 })
}

// bucket returns the digest bucket of a fact. It depends only on the key.
func bucket[K cmp.Ordered, F fact[K, F]](f F) int {
	switch k := any(f.key()).(type) {
	case uint64:
		return int(hash("", k) >> 8 % DigestBuckets)
	case string:
		return int(hash(k) >> 8 % DigestBuckets)
	}
	return 0
}

// DigestBuckets is the number of buckets of a digest. A repair sends only the buckets that
// differ.
const DigestBuckets = 16

// Digest holds a checksum of the tables for each bucket.
type Digest [DigestBuckets]uint32

// differ returns a bit mask of the buckets in which two digests differ.
func (d Digest) differ(o Digest) (mask uint32) {
	for i := range d {
		if d[i] != o[i] {
			mask |= 1 << i
		}
	}
	return mask
}
