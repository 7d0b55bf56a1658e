package command

import (
	"slices"
	"time"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
)

const (
	// DefaultLifetime is how long a key is valid.
	DefaultLifetime = 24 * time.Hour
	// DefaultAnswer bounds a kept answer in bytes. Answers of commands are receipts; at the
	// bound, the 10,000 records that a workspace may hold by default take 41 MB.
	DefaultMaxAnswerBytes = 4 << 10
	// DefaultBytes bounds the memory of all records of a host. With the tables of 370 hosts
	// it keeps a host below 32 MB; at 600 bytes it holds 13,900 commands for 24 h.
	DefaultMaxBytes = 8 << 20
	// recordBytes is what a record takes beside its answer, with its share of the maps.
	recordBytes = 256
	// bucket is the grain in which expired records are removed.
	bucket = time.Minute
)

// Table has the records of the commands that one host incarnation owns.
type Table struct {
	host        string
	incarnation uint64
	secret      []byte
	lifetime    time.Duration
	// answer bounds a kept answer in bytes.
	answer int
	// total bounds used, which is the memory of records with their answers in bytes. A
	// running command counts with the largest answer that may be kept.
	total int
	used  int
	// last is the number of the newest key.
	last uint64
	// records has an entry for each command that began and did not end as not run, until
	// its key expires.
	records map[uint64]*record
	// counts has the number of entries of records for each workspace.
	counts map[string]int
	// buckets has exactly the keys of records, by the issue time of the command's key.
	buckets map[int64]map[uint64]struct{}
}

// record is a command that began.
type record struct {
	key         Key
	workspace   string
	fingerprint Fingerprint
	finished    bool
	// result holds if finished.
	result Result
}

// Option configures a Table.
type Option func(*Table)

// WithLifetime sets how long keys are valid.
func WithLifetime(d time.Duration) Option { return func(t *Table) { t.lifetime = d } }

// WithAnswer bounds kept answers in bytes.
func WithMaxAnswerBytes(bytes int) Option { return func(t *Table) { t.answer = bytes } }

// WithBytes bounds the memory of all records.
func WithMaxBytes(total int) Option { return func(t *Table) { t.total = total } }

// NewTable returns the empty table of a host incarnation. The incarnation and the secret
// are random values that are new at each process start.
func NewTable(host string, incarnation uint64, secret []byte, options ...Option) *Table {
	t := &Table{
		host: host, incarnation: incarnation, secret: slices.Clone(secret),
		lifetime: DefaultLifetime, answer: DefaultMaxAnswerBytes, total: DefaultMaxBytes,
		records: make(map[uint64]*record), counts: make(map[string]int), buckets: make(map[int64]map[uint64]struct{}),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Lifetime returns how long keys are valid.
func (t *Table) Lifetime() time.Duration { return t.lifetime }

// Used returns the memory of the records with their answers in bytes.
func (t *Table) UsedBytes() int { return t.used }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Count returns the number of records of the workspace.
func (t *Table) Count(workspace string) int { return t.counts[workspace] }

// Owns reports whether the key names this incarnation as its owner.
func (t *Table) Owns(k Key) bool { return k.host == t.host && k.incarnation == t.incarnation }

// Issue returns a new key for the workspace.
func (t *Table) Issue(now time.Duration, workspace string) Key {
	t.last++
	k := Key{host: t.host, incarnation: t.incarnation, number: t.last, issued: now.Truncate(time.Millisecond), tag: tagOf(workspace)}
	k.mac = k.sum(t.secret)
	return k
}

// Lookup decides on a request without beginning its command: the verdict is Begun if
// Begin would begin it.
func (t *Table) Lookup(now time.Duration, k Key, workspace string, f Fingerprint) Decision {
	switch {
	case !t.Owns(k):
		return Refuse(reason.OwnerUnreachable)
	case !k.genuine(t.secret):
		return Refuse(reason.ForgedKey)
	case !k.BelongsTo(workspace):
		return Refuse(reason.WrongWorkspace)
	case now-k.issued >= t.lifetime:
		return Refuse(reason.KeyExpired)
	}
	r, ok := t.records[k.number]
	switch {
	case !ok:
		return Decision{verdict: Begun}
	case r.fingerprint != f:
		return Refuse(reason.BodyMismatch)
	case !r.finished:
		return Decision{verdict: Running}
	}
	return Decision{verdict: Finished, result: r.result}
}

// Begin decides on a request and creates the record of a command that begins. The
// workspace may hold at most limit records.
func (t *Table) Begin(now time.Duration, k Key, workspace string, f Fingerprint, limit int) Decision {
	d := t.Lookup(now, k, workspace, f)
	if d.verdict != Begun {
		return d
	}
	if t.counts[workspace] >= limit || t.used+recordBytes+t.answer > t.total {
		return Refuse(reason.RecordsFull)
	}
	t.used += recordBytes + t.answer
	t.records[k.number] = &record{key: k, workspace: workspace, fingerprint: f}
	t.counts[workspace]++
	at := int64(k.issued / bucket)
	if t.buckets[at] == nil {
		t.buckets[at] = make(map[uint64]struct{})
	}
	t.buckets[at][k.number] = struct{}{}
	return d
}

// Finish states the end of a command that began. A command that did not run loses its
// record, so that its key may be sent again; each other end is final for the key.
func (t *Table) Finish(k Key, result Result) {
	r, ok := t.records[k.number]
	if !ok || r.finished {
		return
	}
	if result.outcome == outcome.NotRun {
		t.remove(k.number)
		return
	}
	r.finished, r.result = true, result.bounded(t.answer)
	t.used -= t.answer - len(r.result.answer)
}

// Expire removes records of expired keys.
func (t *Table) Expire(now time.Duration) {
	for at, numbers := range t.buckets {
		if time.Duration(at+1)*bucket+t.lifetime > now {
			continue
		}
		for n := range numbers {
			t.remove(n)
		}
	}
}

func (t *Table) remove(number uint64) {
	r, ok := t.records[number]
	if !ok {
		return
	}
	delete(t.records, number)
	t.used -= recordBytes + t.answer
	if r.finished {
		t.used += t.answer - len(r.result.answer)
	}
	at := int64(r.key.issued / bucket)
	if delete(t.buckets[at], number); len(t.buckets[at]) == 0 {
		delete(t.buckets, at)
	}
	if t.counts[r.workspace]--; t.counts[r.workspace] == 0 {
		delete(t.counts, r.workspace)
	}
}

// Export returns the finished records in the order of their numbers.
func (t *Table) Export(now time.Duration) (records []Record) {
	for _, r := range t.records {
		left := r.key.issued + t.lifetime - now
		if r.finished && left > 0 {
			records = append(records, NewRecord(r.key, r.workspace, r.fingerprint, left, r.result))
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.key.number < b.key.number {
			return -1
		}
		return 1
	})
	return records
}
