package suspect

import (
	"math"
	"time"
)

// Level says how a fingerprint is treated.
type Level int

// The levels.
const (
	// Clear calls run anywhere.
	Clear Level = iota
	// Isolated calls run only on a target on which no other suspect runs.
	Isolated
	// Refused calls do not run.
	Refused
)

const (
	// RefuseAt is the evidence from which a fingerprint is refused: two crashes, or four
	// broken connections without a completed run between them.
	RefuseThreshold = 4
	// crashEvidence and breakEvidence are what a crash and a broken connection add. A cut
	// network breaks connections as well, and with one weight for both, two cuts refused an
	// innocent request for an hour.
	crashEvidence = 2
	breakEvidence = 1
	// life is how long a fingerprint is remembered after its last crash. Refusals do not
	// prolong it: a request that many callers send would otherwise never be tried again
	// after two targets went down for another reason.
	life = 10 * time.Minute
	// bound limits the fingerprints; the one that was used least recently is dropped.
	bound = 4_096
	// A fingerprint with provenRuns completed runs, none of them followed by trust without
	// another, is not taken for the cause of crashes: a call that crashes its targets does not
	// complete again and again.
	provenRuns = 3
	trust      = time.Minute
)

// Fact is what one origin host knows of a fingerprint. Both counts only grow.
type CrashRecord struct {
	fingerprint uint64
	origin      string
	evidence    int
	cleared     int
}

// NewFact returns a fact as received from another host.
func NewCrashRecord(fingerprint uint64, origin string, evidence, cleared int) CrashRecord {
	return CrashRecord{fingerprint: fingerprint, origin: origin, evidence: evidence, cleared: cleared}
}

// Fingerprint returns the fingerprint of the calls.
func (f CrashRecord) Fingerprint() uint64 { return f.fingerprint }

// Origin returns the host that saw the crashes.
func (f CrashRecord) Origin() string { return f.origin }

// Evidence returns the evidence of crashes that the origin saw.
func (f CrashRecord) Evidence() int { return f.evidence }

// Cleared returns how much of the evidence a later completed run excused.
func (f CrashRecord) Cleared() int { return f.cleared }

// Table holds the suspects known to one host. It is not safe for concurrent use.
type Table struct {
	self string
	// tell is called for each fact that changed on this host.
	tell func(CrashRecord)
	rows map[uint64]*row
	// runs has the completed runs of fingerprints. The older ones are dropped once there are
	// bound newer ones.
	runs, older map[uint64]completed
}

// completed counts the completed runs of a fingerprint up to the last one.
type completed struct {
	runs int
	last time.Duration
}

type row struct {
	origins map[string]count
	used    time.Duration
}

// count holds the evidence of one origin; cleared is at most evidence.
type count struct{ evidence, cleared int }

// New returns an empty table of the host self. The function tell gets each fact that is
// to be told to other hosts; it may be nil and must not block.
func New(self string, tell func(CrashRecord)) *Table {
	return &Table{self: self, tell: tell, rows: make(map[uint64]*row), runs: make(map[uint64]completed)}
}

// isProven reports whether calls with the fingerprint complete on this host.
func (t *Table) isProven(now time.Duration, fingerprint uint64) bool {
	return t.completed(now, fingerprint).runs >= provenRuns
}

// completed returns the runs that count now.
func (t *Table) completed(now time.Duration, fingerprint uint64) completed {
	c, ok := t.runs[fingerprint]
	if !ok {
		c = t.older[fingerprint]
	}
	if now-c.last > trust {
		return completed{}
	}
	return c
}

func (t *Table) prove(now time.Duration, fingerprint uint64) {
	c := t.completed(now, fingerprint)
	if len(t.runs) >= bound {
		t.older, t.runs = t.runs, make(map[uint64]completed)
	}
	t.runs[fingerprint] = completed{runs: c.runs + 1, last: now}
}

// Level returns how calls with the fingerprint are treated now.
func (t *Table) Level(now time.Duration, fingerprint uint64) Level {
	r, ok := t.rows[fingerprint]
	if !ok {
		return Clear
	}
	if now-r.used > life {
		delete(t.rows, fingerprint)
		return Clear
	}
	switch n := r.evidence(); {
	case n >= RefuseThreshold && !t.isProven(now, fingerprint):
		return Refused
	case n > 0:
		return Isolated
	}
	return Clear
}

func (r *row) evidence() (n int) {
	for _, c := range r.origins {
		n += c.evidence - c.cleared
	}
	return n
}

// Crash takes that a target went down while it ran a call with the fingerprint.
func (t *Table) RecordCrash(now time.Duration, fingerprint uint64) {
	t.add(now, fingerprint, crashEvidence)
}

// Break takes that a connection broke while a call with the fingerprint ran on a target
// that still answers. The target may have been restarted, or the network was cut.
func (t *Table) RecordDisconnect(now time.Duration, fingerprint uint64) {
	t.add(now, fingerprint, breakEvidence)
}

func (t *Table) add(now time.Duration, fingerprint uint64, evidence int) {
	if t.isProven(now, fingerprint) {
		return
	}
	r := t.row(now, fingerprint)
	c := r.origins[t.self]
	c.evidence += evidence
	r.origins[t.self] = c
	t.publish(fingerprint, t.self, c)
}

// Complete takes that a call with the fingerprint completed: it is not what crashed the
// targets.
func (t *Table) RecordCompletion(now time.Duration, fingerprint uint64) {
	t.prove(now, fingerprint)
	if t.Level(now, fingerprint) == Clear {
		return
	}
	r := t.rows[fingerprint]
	for origin, c := range r.origins {
		if c.cleared == c.evidence {
			continue
		}
		c.cleared = c.evidence
		r.origins[origin] = c
		t.publish(fingerprint, origin, c)
	}
}

// Learn takes a fact from another host. A fact that is known already does not prolong the
// time for which the fingerprint is remembered.
func (t *Table) Merge(now time.Duration, f CrashRecord) {
	if r, ok := t.rows[f.fingerprint]; ok {
		if c, ok := r.origins[f.origin]; ok && c.evidence >= f.evidence && c.cleared >= f.cleared {
			return
		}
	}
	r := t.row(now, f.fingerprint)
	c := r.origins[f.origin]
	c.evidence = max(c.evidence, f.evidence)
	c.cleared = min(max(c.cleared, f.cleared), c.evidence)
	r.origins[f.origin] = c
}

// Len returns the number of remembered fingerprints.
func (t *Table) Len() int { return len(t.rows) }

func (t *Table) publish(fingerprint uint64, origin string, c count) {
	if t.tell != nil {
		t.tell(CrashRecord{fingerprint: fingerprint, origin: origin, evidence: c.evidence, cleared: c.cleared})
	}
}

func (t *Table) row(now time.Duration, fingerprint uint64) *row {
	r, ok := t.rows[fingerprint]
	if !ok {
		t.evict()
		r = &row{origins: make(map[string]count)}
		t.rows[fingerprint] = r
	}
	r.used = now
	return r
}

// evict makes room for one more fingerprint; ties are broken by the fingerprint.
func (t *Table) evict() {
	if len(t.rows) < bound {
		return
	}
	oldest, at := uint64(0), time.Duration(math.MaxInt64)
	for fingerprint, r := range t.rows {
		if r.used < at || r.used == at && fingerprint < oldest {
			oldest, at = fingerprint, r.used
		}
	}
	delete(t.rows, oldest)
}
