package command

import (
	"time"

	"sassafrasward/core/reason"
)

// DefaultInherited bounds the records that a host holds for stopped hosts.
const DefaultMaxInherited = 20_000

// Successor has the finished records that stopped hosts handed over. It only answers from
// them.
type Successor struct {
	// bound is the largest number of records.
	bound int
	// owners has the records of each stopped incarnation by number.
	owners map[owner]map[uint64]inherited
	count  int
}

// owner is a host incarnation.
type owner struct {
	host        string
	incarnation uint64
}

// inherited is a record with its expiry on the clock of this host.
type inherited struct {
	record Record
	expiry time.Duration
}

// NewSuccessor returns an empty set of at most bound records.
func NewSuccessor(bound int) *Successor {
	return &Successor{bound: bound, owners: make(map[owner]map[uint64]inherited)}
}

// Len returns the number of records.
func (s *Successor) Len() int { return s.count }

// Take adds records and reports whether all of them fit. Records that do not fit are left
// out; their keys are answered as unknown.
func (s *Successor) Import(now time.Duration, records []Record) bool {
	for _, r := range records {
		o := owner{host: r.key.host, incarnation: r.key.incarnation}
		if _, ok := s.owners[o][r.key.number]; ok {
			continue
		}
		if s.count >= s.bound {
			return false
		}
		if s.owners[o] == nil {
			s.owners[o] = make(map[uint64]inherited)
		}
		s.owners[o][r.key.number] = inherited{record: r, expiry: now + r.left}
		s.count++
	}
	return true
}

// Holds reports whether the host is the successor of the incarnation that owned the key.
func (s *Successor) Holds(k Key) bool {
	return s.owners[owner{host: k.host, incarnation: k.incarnation}] != nil
}

// Lookup decides on a request from the records. A key without a record is refused as
// Owner, since only its owner knew whether it ran.
func (s *Successor) Lookup(now time.Duration, k Key, workspace string, f Fingerprint) Decision {
	i, ok := s.owners[owner{host: k.host, incarnation: k.incarnation}][k.number]
	switch {
	case !ok:
		return Refuse(reason.OwnerUnreachable)
	case i.record.key != k:
		return Refuse(reason.ForgedKey)
	case i.record.workspace != workspace:
		return Refuse(reason.WrongWorkspace)
	case now >= i.expiry:
		return Refuse(reason.KeyExpired)
	case i.record.fingerprint != f:
		return Refuse(reason.BodyMismatch)
	}
	return Decision{verdict: Finished, result: i.record.result}
}

// Export returns the records, in no order, with what is left of their keys' lifetimes.
func (s *Successor) Export(now time.Duration) (records []Record) {
	for _, held := range s.owners {
		for _, i := range held {
			if now < i.expiry {
				i.record.left = i.expiry - now
				records = append(records, i.record)
			}
		}
	}
	return records
}

// Expire removes records of expired keys.
func (s *Successor) Expire(now time.Duration) {
	for o, records := range s.owners {
		for n, i := range records {
			if now >= i.expiry {
				delete(records, n)
				s.count--
			}
		}
		if len(records) == 0 {
			delete(s.owners, o)
		}
	}
}
