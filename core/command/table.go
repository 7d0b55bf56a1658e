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
	// DefaultMaxAnswerBytes limits the size of a kept answer. Answers of commands are
	// receipts, which are short. With this limit, the 10,000 records that a workspace may hold by
	// default take 41 MB.
	DefaultMaxAnswerBytes = 4 << 10
	// DefaultMaxBytes limits the memory of all records of a host. With the tables of 370 hosts, it
	// keeps a host below 32 MB; at 600 bytes per record it holds 13,900 commands for 24 h.
	DefaultMaxBytes = 8 << 20
	// recordOverheadBytes is the memory of a record without its answer, including its map entries.
	recordOverheadBytes = 256
	// expiryBucket is the granularity at which expired records are removed.
	expiryBucket = time.Minute
)

// Table holds the records of the commands that one host incarnation owns.
type Table struct {
	host        string
	incarnation uint64
	secret      []byte
	lifetime    time.Duration
	// maxAnswerBytes limits the size of a kept answer.
	maxAnswerBytes int
	// maxBytes limits usedBytes, the memory of the records with their answers. A running command
	// counts with the largest answer that may be kept.
	maxBytes  int
	usedBytes int
	// lastNumber is the number of the newest key.
	lastNumber uint64
	// records holds each command that began, by the number of its key, until the key expires or the
	// command ends with the outcome NotRun.
	records map[uint64]*record
	// countByWorkspace holds the number of records of each workspace.
	countByWorkspace map[string]int
	// buckets groups the keys of records by the issue time of the command's key.
	buckets map[int64]map[uint64]struct{}
}

// record is the record of a command that began.
type record struct {
	key         Key
	workspace   string
	fingerprint Fingerprint
	finished    bool
	// result is valid if finished is set.
	result Result
}

// Option configures a Table.
type Option func(*Table)

// WithLifetime sets how long keys are valid.
func WithLifetime(d time.Duration) Option { return func(t *Table) { t.lifetime = d } }

// WithMaxAnswerBytes limits the size of kept answers.
func WithMaxAnswerBytes(bytes int) Option { return func(t *Table) { t.maxAnswerBytes = bytes } }

// WithMaxBytes limits the memory of all records.
func WithMaxBytes(bytes int) Option { return func(t *Table) { t.maxBytes = bytes } }

// NewTable returns the empty table of a host incarnation. The incarnation and the secret must be
// random values that are new at each process start.
func NewTable(host string, incarnation uint64, secret []byte, options ...Option) *Table {
	t := &Table{
		host: host, incarnation: incarnation, secret: slices.Clone(secret),
		lifetime: DefaultLifetime, maxAnswerBytes: DefaultMaxAnswerBytes, maxBytes: DefaultMaxBytes,
		records: make(map[uint64]*record), countByWorkspace: make(map[string]int), buckets: make(map[int64]map[uint64]struct{}),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Lifetime returns how long keys are valid.
func (t *Table) Lifetime() time.Duration { return t.lifetime }

// UsedBytes returns the memory of the records with their answers in bytes.
func (t *Table) UsedBytes() int { return t.usedBytes }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Count returns the number of records of the workspace.
func (t *Table) Count(workspace string) int { return t.countByWorkspace[workspace] }

// Owns reports whether the key names this incarnation as its owner.
func (t *Table) Owns(k Key) bool { return k.host == t.host && k.incarnation == t.incarnation }

// Issue returns a new key for the workspace.
func (t *Table) Issue(now time.Duration, workspace string) Key {
	t.lastNumber++
	k := Key{host: t.host, incarnation: t.incarnation, number: t.lastNumber, issued: now.Truncate(time.Millisecond), workspaceHash: hashWorkspace(workspace)}
	k.mac = k.computeMAC(t.secret)
	return k
}

// Lookup decides on a request without beginning its command. The status is Begun if Begin would
// begin the command.
func (t *Table) Lookup(now time.Duration, k Key, workspace string, f Fingerprint) Decision {
	switch {
	case !t.Owns(k):
		return Refuse(reason.OwnerUnreachable)
	case !k.hasValidMAC(t.secret):
		return Refuse(reason.ForgedKey)
	case !k.BelongsTo(workspace):
		return Refuse(reason.WrongWorkspace)
	case now-k.issued >= t.lifetime:
		return Refuse(reason.KeyExpired)
	}
	r, ok := t.records[k.number]
	switch {
	case !ok:
		return Decision{status: Begun}
	case r.fingerprint != f:
		return Refuse(reason.BodyMismatch)
	case !r.finished:
		return Decision{status: Running}
	}
	return Decision{status: Finished, result: r.result}
}

// Begin decides on a request and creates a record if its command begins. The workspace may hold
// at most limit records.
func (t *Table) Begin(now time.Duration, k Key, workspace string, f Fingerprint, limit int) Decision {
	d := t.Lookup(now, k, workspace, f)
	if d.status != Begun {
		return d
	}
	if t.countByWorkspace[workspace] >= limit || t.usedBytes+recordOverheadBytes+t.maxAnswerBytes > t.maxBytes {
		return Refuse(reason.RecordsFull)
	}
	t.usedBytes += recordOverheadBytes + t.maxAnswerBytes
	t.records[k.number] = &record{key: k, workspace: workspace, fingerprint: f}
	t.countByWorkspace[workspace]++
	bucket := int64(k.issued / expiryBucket)
	if t.buckets[bucket] == nil {
		t.buckets[bucket] = make(map[uint64]struct{})
	}
	t.buckets[bucket][k.number] = struct{}{}
	return d
}

// Finish stores the result of a command that began. The record of a command that did not run is
// removed, so that its key may be used again; every other result is final for the key.
func (t *Table) Finish(k Key, result Result) {
	r, ok := t.records[k.number]
	if !ok || r.finished {
		return
	}
	if result.outcome == outcome.NotRun {
		t.remove(k.number)
		return
	}
	r.finished, r.result = true, result.withAnswerLimit(t.maxAnswerBytes)
	t.usedBytes -= t.maxAnswerBytes - len(r.result.answer)
}

// Expire removes records of expired keys.
func (t *Table) Expire(now time.Duration) {
	for bucket, numbers := range t.buckets {
		if time.Duration(bucket+1)*expiryBucket+t.lifetime > now {
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
	t.usedBytes -= recordOverheadBytes + t.maxAnswerBytes
	if r.finished {
		t.usedBytes += t.maxAnswerBytes - len(r.result.answer)
	}
	bucket := int64(r.key.issued / expiryBucket)
	if delete(t.buckets[bucket], number); len(t.buckets[bucket]) == 0 {
		delete(t.buckets, bucket)
	}
	if t.countByWorkspace[r.workspace]--; t.countByWorkspace[r.workspace] == 0 {
		delete(t.countByWorkspace, r.workspace)
	}
}

// Export returns the finished records in the order of their numbers.
func (t *Table) Export(now time.Duration) (records []Record) {
	for _, r := range t.records {
		ttl := r.key.issued + t.lifetime - now
		if r.finished && ttl > 0 {
			records = append(records, NewRecord(r.key, r.workspace, r.fingerprint, ttl, r.result))
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
