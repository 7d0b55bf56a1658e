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
	// digest has the checksums of all facts.
	digest Digest
	// urgent and pending count the facts that are still to be flooded, and to be sent by regular
	// packets.
	urgent, pending int
	// nextExpiry is not after the first expiry of a fact; zero if no fact expires.
	nextExpiry time.Duration
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
			s.nextExpiry = min(s.nextExpiry, old.expiresAt)
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
	if ok {
		s.uncount(old)
	}
	s.rows.Put(f.key(), next)
	s.count(next)
	return true
}

// count adds a row to the digest and the counters, and uncount removes it.
func (s *store[K, F]) count(r *row[F]) {
	s.addChecksum(r.fact)
	if r.urgent {
		s.urgent++
	}
	if r.sendsLeft > 0 {
		s.pending++
	}
	if r.expiresAt > 0 && (s.nextExpiry == 0 || r.expiresAt < s.nextExpiry) {
		s.nextExpiry = r.expiresAt
	}
}

func (s *store[K, F]) uncount(r *row[F]) {
	s.addChecksum(r.fact) // a second addition cancels the first
	if r.urgent {
		s.urgent--
	}
	if r.sendsLeft > 0 {
		s.pending--
	}
}

// addChecksum adds the checksum of a fact to its bucket of the digest.
func (s *store[K, F]) addChecksum(f F) {
	if sum := f.checksum(); sum != 0 {
		s.digest[bucket(f)] ^= uint32(sum >> 32)
	}
}

// expire removes the expired facts and returns them.
func (s *store[K, F]) expire(now time.Duration) (removed []F) {
	if s.nextExpiry == 0 || now < s.nextExpiry {
		return nil
	}
	s.nextExpiry = 0
	var expired []*row[F]
	for _, r := range s.rows.All() {
		switch {
		case r.expiresAt == 0:
		case now >= r.expiresAt:
			expired = append(expired, r)
		case s.nextExpiry == 0 || r.expiresAt < s.nextExpiry:
			s.nextExpiry = r.expiresAt
		}
	}
	for _, r := range expired {
		s.remove(r.fact.key())
		removed = append(removed, r.fact)
	}
	return removed
}

// remove removes the fact with the key.
func (s *store[K, F]) remove(k K) {
	if r, ok := s.rows.Get(k); ok {
		s.uncount(r)
		s.rows.Delete(k)
	}
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
	if s.pending == 0 {
		return nil
	}
	return s.collect(now, limit, func(r *row[F]) bool {
		if r.sendsLeft == 0 {
			return false
		}
		if r.sendsLeft--; r.sendsLeft == 0 {
			s.pending--
		}
		return true
	})
}

// takeUrgent returns the facts to flood to all neighbours, and marks them as flooded.
func (s *store[K, F]) takeUrgent(now time.Duration) []F {
	if s.urgent == 0 {
		return nil
	}
	return s.collect(now, -1, func(r *row[F]) bool {
		if !r.urgent {
			return false
		}
		r.urgent = false
		s.urgent--
		return true
	})
}

func (s *store[K, F]) hasUrgent() bool { return s.urgent > 0 }

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

// allBuckets is the mask of all buckets.
const allBuckets = 1<<DigestBuckets - 1

// Digest holds a checksum of the tables for each bucket.
type Digest [DigestBuckets]uint32

// add adds the checksums of another table.
func (d *Digest) add(o Digest) {
	for i, sum := range o {
		d[i] ^= sum
	}
}

// differ returns a bit mask of the buckets in which two digests differ.
func (d Digest) differ(o Digest) (mask uint32) {
	for i := range d {
		if d[i] != o[i] {
			mask |= 1 << i
		}
	}
	return mask
}
