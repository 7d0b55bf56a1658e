package member

import (
	"cmp"
	"time"

	"sassafrasward/core/sortedmap"
)

// fact is a kind of fact. K is its key.
type fact[K cmp.Ordered, F any] interface {
	comparable
	Merge(o F) F
	key() K
	// life is the lifetime of a new fact; zero for a fact without end.
	life() time.Duration
	left() time.Duration
	withLeft(life time.Duration) F
	// sum is the part of the fact in the digest; zero for none.
	sum() uint64
}

// store is the table of one kind of fact.
type store[K cmp.Ordered, F fact[K, F]] struct {
	rows *sortedmap.Map[K, *row[F]]
	// sends is how many regular packets carry a new fact.
	sends int
}

// row is a fact with what this host needs to pass it on.
type row[F any] struct {
	// fact has no lifetime set; until holds it.
	fact F
	// since is when the key was first known here.
	since time.Duration
	// until is when the fact is removed; zero for never.
	until time.Duration
	// sends is how many more regular packets carry the fact.
	sends int
	// urgent facts have not yet been passed to all neighbours.
	urgent bool
}

func newStore[K cmp.Ordered, F fact[K, F]](sends int) *store[K, F] {
	return &store[K, F]{rows: sortedmap.New[K, *row[F]](), sends: sends}
}

func (s *store[K, F]) get(k K) (f F, ok bool) {
	r, ok := s.rows.Get(k)
	if !ok {
		return f, false
	}
	return r.fact, true
}

// put merges a fact and reports whether it was new. A bulk fact is one of many that
// others already know; it is passed on once, and not at once.
func (s *store[K, F]) put(now time.Duration, f F, bulk bool) bool {
	until := time.Duration(0)
	if life := f.life(); life > 0 {
		if left := f.left(); left > 0 && left < life {
			life = left
		}
		until = now + life
	}
	f = f.withLeft(0)
	old, ok := s.rows.Get(f.key())
	if ok && old.fact.Merge(f) == old.fact {
		if old.fact == f && until > 0 {
			old.until = min(old.until, until)
		}
		return false
	}
	if ok {
		f = old.fact.Merge(f)
	}
	next := &row[F]{fact: f, since: now, until: until, sends: s.sends, urgent: !bulk}
	if bulk {
		next.sends = 1
	}
	if ok {
		next.since = old.since
	}
	s.rows.Put(f.key(), next)
	return true
}

// expire removes the facts whose lifetime has ended.
func (s *store[K, F]) expire(now time.Duration) (removed []F) {
	for _, r := range s.rows.All() {
		if r.until > 0 && now >= r.until {
			removed = append(removed, r.fact)
		}
	}
	for _, f := range removed {
		s.rows.Delete(f.key())
	}
	return removed
}

// take returns the facts that match, with the rest of their lifetimes.
func (s *store[K, F]) take(now time.Duration, limit int, match func(r *row[F]) bool) (facts []F) {
	for _, r := range s.rows.All() {
		if limit >= 0 && len(facts) >= limit {
			break
		}
		if !match(r) {
			continue
		}
		f := r.fact
		if r.until > 0 {
			f = f.withLeft(max(r.until-now, 1))
		}
		facts = append(facts, f)
	}
	return facts
}

// fresh returns facts that are new, and counts them as sent.
func (s *store[K, F]) fresh(now time.Duration, limit int) []F {
	return s.take(now, limit, func(r *row[F]) bool {
		if r.sends == 0 {
			return false
		}
		r.sends--
		return true
	})
}

// urgent returns the facts to pass to all neighbours, and counts them as passed.
func (s *store[K, F]) urgent(now time.Duration) []F {
	return s.take(now, -1, func(r *row[F]) bool {
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

// digest adds the sums of the facts to their buckets.
func (s *store[K, F]) digest(buckets *Digest) {
	for _, r := range s.rows.All() {
		if sum := r.fact.sum(); sum != 0 {
			buckets[bucket(r.fact)] ^= uint32(sum >> 32)
		}
	}
}

// within returns the facts in the marked buckets.
func (s *store[K, F]) within(now time.Duration, mask uint32) []F {
	return s.take(now, -1, func(r *row[F]) bool { return mask&(1<<bucket(r.fact)) != 0 })
}

// bucket returns the bucket of a fact; it depends on the key only.
func bucket[K cmp.Ordered, F fact[K, F]](f F) int {
	switch k := any(f.key()).(type) {
	case uint64:
		return int(hash("", k) >> 8 % DigestBuckets)
	case string:
		return int(hash(k) >> 8 % DigestBuckets)
	}
	return 0
}

// Buckets is the number of parts that a repair can send alone.
const DigestBuckets = 16

// Digest is a short sum of the tables, by bucket.
type Digest [DigestBuckets]uint32

// differ returns the buckets in which two digests differ.
func (d Digest) differ(o Digest) (mask uint32) {
	for i := range d {
		if d[i] != o[i] {
			mask |= 1 << i
		}
	}
	return mask
}
