package suspect

import (
	"math"
	"time"
)

// Level is how calls with a fingerprint are treated.
type Level int

// Levels of treatment.
const (
	// Clear calls run anywhere.
	Clear Level = iota
	// Isolated calls run only on a target on which no other suspect runs.
	Isolated
	// Refused calls do not run.
	Refused
)

const (
	// RefuseThreshold is the evidence from which a fingerprint is refused: two crashes, or four
	// broken connections, without a completed run in between.
	RefuseThreshold = 4
	// crashEvidence and disconnectEvidence are the weights of a crash and of a broken
	// connection. Network failures break connections as well: with equal weights, two of them
	// caused a harmless request to be refused for an hour.
	crashEvidence      = 2
	disconnectEvidence = 1
	// entryTTL is how long a fingerprint is kept after its last evidence. Refusals do not extend
	// it: a request that many callers send would otherwise never be tried again after two
	// targets went down for another reason.
	entryTTL = 10 * time.Minute
	// maxFingerprints limits the number of entries; the least recently updated one is evicted.
	maxFingerprints = 4_096
	// A fingerprint with at least minTrustedRuns completed runs, each within trustDuration of
	// the next one or of now, is not taken for the cause of crashes: a call that crashes its
	// targets does not complete repeatedly.
	minTrustedRuns = 3
	trustDuration  = time.Minute
)

// CrashRecord holds the evidence of one origin host against a fingerprint, and how much of it
// is cleared. Both counts only grow.
type CrashRecord struct {
	fingerprint uint64
	origin      string
	evidence    int
	cleared     int
}

// NewCrashRecord returns a record that was received from another host.
func NewCrashRecord(fingerprint uint64, origin string, evidence, cleared int) CrashRecord {
	return CrashRecord{fingerprint: fingerprint, origin: origin, evidence: evidence, cleared: cleared}
}

// Fingerprint returns the fingerprint of the calls.
func (r CrashRecord) Fingerprint() uint64 { return r.fingerprint }

// Origin returns the host that observed the crashes.
func (r CrashRecord) Origin() string { return r.origin }

// Evidence returns the total evidence that the origin observed.
func (r CrashRecord) Evidence() int { return r.evidence }

// Cleared returns how much of the evidence was cleared by later completed runs.
func (r CrashRecord) Cleared() int { return r.cleared }

// Table holds the fingerprints known to one host. It is not safe for concurrent use.
type Table struct {
	host string
	// notify is called with each record that this host changes; it may be nil.
	notify  func(CrashRecord)
	entries map[uint64]*entry
	// recentRuns and olderRuns hold the completed runs by fingerprint. Once recentRuns has
	// maxFingerprints entries, it replaces olderRuns.
	recentRuns, olderRuns map[uint64]completedRuns
}

// completedRuns counts the completed runs of a fingerprint; last is the time of the last one.
type completedRuns struct {
	count int
	last  time.Duration
}

type entry struct {
	origins    map[string]originEvidence
	lastUpdate time.Duration
}

// originEvidence holds the counts of one origin; cleared is at most evidence.
type originEvidence struct{ evidence, cleared int }

// New returns an empty table for a host. The function notify is called with each record that
// has to be sent to other hosts; it may be nil and must not block.
func New(host string, notify func(CrashRecord)) *Table {
	return &Table{host: host, notify: notify, entries: make(map[uint64]*entry), recentRuns: make(map[uint64]completedRuns)}
}

// isTrusted reports whether calls with the fingerprint complete repeatedly on this host.
func (t *Table) isTrusted(now time.Duration, fingerprint uint64) bool {
	return t.validRuns(now, fingerprint).count >= minTrustedRuns
}

// validRuns returns the completed runs, or none if the last one is older than trustDuration.
func (t *Table) validRuns(now time.Duration, fingerprint uint64) completedRuns {
	c, ok := t.recentRuns[fingerprint]
	if !ok {
		c = t.olderRuns[fingerprint]
	}
	if now-c.last > trustDuration {
		return completedRuns{}
	}
	return c
}

func (t *Table) recordRun(now time.Duration, fingerprint uint64) {
	c := t.validRuns(now, fingerprint)
	if len(t.recentRuns) >= maxFingerprints {
		t.olderRuns, t.recentRuns = t.recentRuns, make(map[uint64]completedRuns)
	}
	t.recentRuns[fingerprint] = completedRuns{count: c.count + 1, last: now}
}

// Level returns how calls with the fingerprint are treated now.
func (t *Table) Level(now time.Duration, fingerprint uint64) Level {
	e, ok := t.entries[fingerprint]
	if !ok {
		return Clear
	}
	if now-e.lastUpdate > entryTTL {
		delete(t.entries, fingerprint)
		return Clear
	}
	switch n := e.evidence(); {
	case n >= RefuseThreshold && !t.isTrusted(now, fingerprint):
		return Refused
	case n > 0:
		return Isolated
	}
	return Clear
}

func (e *entry) evidence() (n int) {
	for _, c := range e.origins {
		n += c.evidence - c.cleared
	}
	return n
}

// RecordCrash records that a target went down while it ran a call with the fingerprint.
func (t *Table) RecordCrash(now time.Duration, fingerprint uint64) {
	t.addEvidence(now, fingerprint, crashEvidence)
}

// RecordDisconnect records that a connection broke while a call with the fingerprint ran on a
// target that still answers. The target may have been restarted, or the network failed.
func (t *Table) RecordDisconnect(now time.Duration, fingerprint uint64) {
	t.addEvidence(now, fingerprint, disconnectEvidence)
}

func (t *Table) addEvidence(now time.Duration, fingerprint uint64, evidence int) {
	if t.isTrusted(now, fingerprint) {
		return
	}
	e := t.entry(now, fingerprint)
	c := e.origins[t.host]
	c.evidence += evidence
	e.origins[t.host] = c
	t.publish(fingerprint, t.host, c)
}

// RecordCompletion records that a call with the fingerprint completed and clears its evidence.
func (t *Table) RecordCompletion(now time.Duration, fingerprint uint64) {
	t.recordRun(now, fingerprint)
	if t.Level(now, fingerprint) == Clear {
		return
	}
	e := t.entries[fingerprint]
	for origin, c := range e.origins {
		if c.cleared == c.evidence {
			continue
		}
		c.cleared = c.evidence
		e.origins[origin] = c
		t.publish(fingerprint, origin, c)
	}
}

// Merge merges a record from another host. A record without new counts does not extend the time
// for which the fingerprint is kept. Evidence against calls that complete repeatedly on this host is
// cleared for all hosts: the other one may have started a moment ago, and may get no completed run
// any more once it refuses them.
func (t *Table) Merge(now time.Duration, r CrashRecord) {
	if e, ok := t.entries[r.fingerprint]; ok {
		if c, ok := e.origins[r.origin]; ok && c.evidence >= r.evidence && c.cleared >= r.cleared {
			return
		}
	}
	e := t.entry(now, r.fingerprint)
	c := e.origins[r.origin]
	c.evidence = max(c.evidence, r.evidence)
	c.cleared = min(max(c.cleared, r.cleared), c.evidence)
	trusted := c.cleared < c.evidence && t.isTrusted(now, r.fingerprint)
	if trusted {
		c.cleared = c.evidence
	}
	e.origins[r.origin] = c
	if trusted {
		t.publish(r.fingerprint, r.origin, c)
	}
}

// Len returns the number of fingerprints with an entry.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) publish(fingerprint uint64, origin string, c originEvidence) {
	if t.notify != nil {
		t.notify(CrashRecord{fingerprint: fingerprint, origin: origin, evidence: c.evidence, cleared: c.cleared})
	}
}

func (t *Table) entry(now time.Duration, fingerprint uint64) *entry {
	e, ok := t.entries[fingerprint]
	if !ok {
		t.evict()
		e = &entry{origins: make(map[string]originEvidence)}
		t.entries[fingerprint] = e
	}
	e.lastUpdate = now
	return e
}

// evict removes the least recently updated entry if the table is full. Ties are broken by the
// fingerprint.
func (t *Table) evict() {
	if len(t.entries) < maxFingerprints {
		return
	}
	oldest, lastUpdate := uint64(0), time.Duration(math.MaxInt64)
	for fingerprint, e := range t.entries {
		if e.lastUpdate < lastUpdate || e.lastUpdate == lastUpdate && fingerprint < oldest {
			oldest, lastUpdate = fingerprint, e.lastUpdate
		}
	}
	delete(t.entries, oldest)
}
