// Package revision orders the changes of a store that may be restored from a backup.
//
// A store numbers its changes. After a restore it gives out numbers of lost changes again, so that a number alone
// does not order changes. Each restore begins a new era, in which all changes are newer than those of the eras before.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a point in the history of a store. The zero value is before all others. Values are comparable.
type Revision struct {
	// era is the number of the era; zero if the store tells none.
	era uint64
	// number is the number of the change in its era.
	number uint64
}

// New returns the revision with a number in an era.
func New(era, number uint64) Revision { return Revision{era: era, number: number} }

// Era returns the era; zero if the store tells none.
func (r Revision) Era() uint64 { return r.era }

// Number returns the number of the change in its era.
func (r Revision) Number() uint64 { return r.number }

// IsZero reports whether r is the zero value, which is before all changes.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare returns a negative number if r is before other, zero if they are equal, and a positive number if r is
// after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// String returns the era and the number, for logs and tests.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.era, r.number) }

// Max returns the latest of the revisions.
func Max(first Revision, others ...Revision) (latest Revision) {
	latest = first
	for _, r := range others {
		if r.After(latest) {
			latest = r
		}
	}
	return latest
}

// Min returns the earlier of two revisions.
func Min(a, b Revision) Revision {
	if b.Before(a) {
		return b
	}
	return a
}
