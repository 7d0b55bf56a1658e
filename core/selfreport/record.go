package selfreport

import "time"

const (
	// A limit is forgotten limitTTL after it was last stated to any host. Hosts tell each other again
	// when refreshInterval has passed.
	limitTTL        = time.Minute
	refreshInterval = 20 * time.Second
	// leavingTTL is how long a target that has stated that it leaves gets no requests. By then its
	// process has ended; otherwise it is asked again.
	leavingTTL = 2 * time.Minute
)

// Record is what one host tells the others of a target.
type Record struct {
	// id and startID identify the incarnation of the target.
	id      string
	startID int64
	// version orders the records of one target; any host may raise it.
	version uint64
	leaving bool
	// limit is in requests per second; negative for none.
	limit float64
	// cold is the remaining cold time when the target stated it; zero if it is not known.
	cold time.Duration
	// age is the time since the target stated it, as far as the host that has the record knows.
	age time.Duration
}

// NewRecord returns a record of the target with the ID, whose process has the start ID. The limit is in
// requests per second, and negative for none. Cold is the remaining cold time at the given age, zero if it is
// not known.
func NewRecord(id string, startID int64, version uint64, leaving bool, limit float64, cold, age time.Duration) Record {
	return Record{id: id, startID: startID, version: version, leaving: leaving, limit: limit, cold: cold, age: age}
}

// ID returns the ID of the target.
func (r Record) ID() string { return r.id }

// StartID identifies the process of the target.
func (r Record) StartID() int64 { return r.startID }

// Version orders the records of one target.
func (r Record) Version() uint64 { return r.version }

// Leaving reports whether the target leaves.
func (r Record) Leaving() bool { return r.leaving }

// Limit returns the limit in requests per second; negative for none.
func (r Record) Limit() float64 { return r.limit }

// Cold returns the remaining cold time when the target stated it; zero if it is not known.
func (r Record) Cold() time.Duration { return r.cold }
