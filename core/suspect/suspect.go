package suspect

import (
	"maps"
	"slices"
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
	// maxEntries limits the number of fingerprints or parts of prompts.
	maxEntries = 4_096
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
	notify func(CrashRecord)
	// entries has the evidence of each origin by fingerprint.
	entries expiring[originSet]
	runs    *runLog
}

// originSet has the evidence by origin host.
type originSet map[string]originEvidence

// originEvidence holds the counts of one origin; cleared is at most evidence.
type originEvidence struct{ evidence, cleared int }

// New returns an empty table for a host. The function notify is called with each record that
// has to be sent to other hosts; it may be nil and must not block.
func New(host string, notify func(CrashRecord)) *Table {
	return &Table{host: host, notify: notify, entries: newExpiring[originSet](), runs: newRunLog()}
}

// isTrusted reports whether calls with the fingerprint complete repeatedly on this host.
func (t *Table) isTrusted(now time.Duration, fingerprint uint64) bool {
	return t.runs.get(now, fingerprint).count >= minTrustedRuns
}

// Level returns how calls with the fingerprint are treated now.
func (t *Table) Level(now time.Duration, fingerprint uint64) Level {
	origins, _ := t.entries.get(now, fingerprint)
	switch n := origins.evidence(); {
	case n >= RefuseThreshold && !t.isTrusted(now, fingerprint):
		return Refused
	case n > 0:
		return Isolated
	}
	return Clear
}

func (s originSet) evidence() (n int) {
	for _, c := range s {
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
	origins := t.update(now, fingerprint)
	c := origins[t.host]
	c.evidence += evidence
	origins[t.host] = c
	t.publish(fingerprint, t.host, c)
}

// RecordCompletion records that a call with the fingerprint completed and clears its evidence.
func (t *Table) RecordCompletion(now time.Duration, fingerprint uint64) {
	t.runs.record(now, fingerprint)
	origins, _ := t.entries.get(now, fingerprint)
	for _, origin := range slices.Sorted(maps.Keys(origins)) {
		c := origins[origin]
		if c.cleared == c.evidence {
			continue
		}
		c.cleared = c.evidence
		origins[origin] = c
		t.publish(fingerprint, origin, c)
	}
}

// Merge merges a record from another host. A record without new counts does not extend the time
// for which the fingerprint is kept. Evidence against calls that complete repeatedly on this host is
// cleared for all hosts: the other one may have started a moment ago, and may get no completed run
// any more once it refuses them.
func (t *Table) Merge(now time.Duration, r CrashRecord) {
	if origins, ok := t.entries.get(now, r.fingerprint); ok {
		if c, ok := origins[r.origin]; ok && c.evidence >= r.evidence && c.cleared >= r.cleared {
			return
		}
	}
	origins := t.update(now, r.fingerprint)
	c := origins[r.origin]
	c.evidence = max(c.evidence, r.evidence)
	c.cleared = min(max(c.cleared, r.cleared), c.evidence)
	trusted := c.cleared < c.evidence && t.isTrusted(now, r.fingerprint)
	if trusted {
		c.cleared = c.evidence
	}
	origins[r.origin] = c
	if trusted {
		t.publish(r.fingerprint, r.origin, c)
	}
}

// Len returns the number of fingerprints with an entry.
func (t *Table) Len() int { return t.entries.len() }

func (t *Table) publish(fingerprint uint64, origin string, c originEvidence) {
	if t.notify != nil {
		t.notify(CrashRecord{fingerprint: fingerprint, origin: origin, evidence: c.evidence, cleared: c.cleared})
	}
}

// update returns the evidence of a fingerprint, which is about to change.
func (t *Table) update(now time.Duration, fingerprint uint64) originSet {
	origins, ok := t.entries.get(now, fingerprint)
	if !ok {
		origins = make(originSet)
	}
	t.entries.put(now, fingerprint, origins)
	return origins
}
