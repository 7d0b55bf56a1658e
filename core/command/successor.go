package command

import (
	"time"

	"sassafrasward/core/reason"
)

// DefaultMaxInherited limits the number of records that a host holds for stopped hosts.
const DefaultMaxInherited = 20_000

// Successor holds the finished records that stopped hosts handed over. It answers requests from
// them and never begins a command.
type Successor struct {
	// maxRecords is the maximum number of records.
	maxRecords int
	// owners holds the records of each stopped incarnation by the number of the key.
	owners map[owner]map[uint64]inheritedRecord
	count  int
}

// owner is a host incarnation.
type owner struct {
	host        string
	incarnation uint64
}

// inheritedRecord is a record with its expiry time on the clock of this host.
type inheritedRecord struct {
	record Record
	expiry time.Duration
}

// NewSuccessor returns a Successor that holds at most maxRecords records.
func NewSuccessor(maxRecords int) *Successor {
	return &Successor{maxRecords: maxRecords, owners: make(map[owner]map[uint64]inheritedRecord)}
}

// Len returns the number of records.
func (s *Successor) Len() int { return s.count }

// Import adds records and reports whether all of them fit. Records that do not fit are dropped;
// requests with their keys are then refused with reason.OwnerUnreachable, and their outcome is
// Unknown.
func (s *Successor) Import(now time.Duration, records []Record) bool {
	for _, r := range records {
		o := owner{host: r.key.host, incarnation: r.key.incarnation}
		if _, ok := s.owners[o][r.key.number]; ok {
			continue
		}
		if s.count >= s.maxRecords {
			return false
		}
		if s.owners[o] == nil {
			s.owners[o] = make(map[uint64]inheritedRecord)
		}
		s.owners[o][r.key.number] = inheritedRecord{record: r, expiry: now + r.ttl}
		s.count++
	}
	return true
}

// Holds reports whether this host holds records as the successor of the incarnation that issued
// the key.
func (s *Successor) Holds(k Key) bool {
	return s.owners[owner{host: k.host, incarnation: k.incarnation}] != nil
}

// Lookup decides on a request from the records. A key without a record is refused with
// reason.OwnerUnreachable, since only its owner knew whether the command ran.
func (s *Successor) Lookup(now time.Duration, k Key, workspace string, f Fingerprint) Decision {
	inherited, ok := s.owners[owner{host: k.host, incarnation: k.incarnation}][k.number]
	switch {
	case !ok:
		return Refuse(reason.OwnerUnreachable)
	case inherited.record.key != k:
		return Refuse(reason.ForgedKey)
	case inherited.record.workspace != workspace:
		return Refuse(reason.WrongWorkspace)
	case now >= inherited.expiry:
		return Refuse(reason.KeyExpired)
	case inherited.record.fingerprint != f:
		return Refuse(reason.BodyMismatch)
	}
	return Decision{status: Finished, result: inherited.record.result}
}

// Export returns the records in no particular order, with the remaining lifetimes of their keys.
func (s *Successor) Export(now time.Duration) (records []Record) {
	for _, owned := range s.owners {
		for _, inherited := range owned {
			if now < inherited.expiry {
				inherited.record.ttl = inherited.expiry - now
				records = append(records, inherited.record)
			}
		}
	}
	return records
}

// Expire removes records of expired keys.
func (s *Successor) Expire(now time.Duration) {
	for o, records := range s.owners {
		for n, inherited := range records {
			if now >= inherited.expiry {
				delete(records, n)
				s.count--
			}
		}
		if len(records) == 0 {
			delete(s.owners, o)
		}
	}
}
