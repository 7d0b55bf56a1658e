package suspect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/suspect"
)

// TestLevels guards against a third crash by the same request, and against harmless calls that
// stay isolated because they shared a target with the one that crashed it.
func TestLevels(t *testing.T) {
	is := is.New(t)
	table := suspect.New("a", nil)
	is.Equal(table.Level(0, 1), suspect.Clear)
	table.RecordCrash(0, 1)
	table.RecordCrash(0, 2) // ran on the same target
	is.Equal(table.Level(0, 1), suspect.Isolated)
	is.Equal(table.Level(0, 2), suspect.Isolated)
	table.RecordCompletion(1, 2)
	is.Equal(table.Level(1, 2), suspect.Clear)
	table.RecordCrash(1, 1)
	is.Equal(table.Level(1, 1), suspect.Refused)
	table.RecordCrash(1, 2)
	is.Equal(table.Level(1, 2), suspect.Isolated) // the cleared crash does not count
	is.Equal(table.Level(2*time.Hour, 1), suspect.Clear)
}

// TestMergeIsOrderIndependent guards against hosts that disagree because records arrived late,
// twice or out of order, and against crashes seen by two hosts that count as one.
func TestMergeIsOrderIndependent(t *testing.T) {
	is := is.New(t)
	var records []suspect.CrashRecord
	publish := func(r suspect.CrashRecord) { records = append(records, r) }
	a, b, c := suspect.New("a", publish), suspect.New("b", publish), suspect.New("c", nil)
	a.RecordCrash(0, 1)
	b.RecordCrash(0, 1)
	a.RecordCrash(0, 2)
	a.RecordCompletion(0, 2)
	for range 2 {
		for i := range records {
			c.Merge(0, records[len(records)-1-i]) // newest first, each of them twice
		}
	}
	is.Equal(c.Level(0, 1), suspect.Refused)
	is.Equal(c.Level(0, 2), suspect.Clear)
	is.Equal(a.Level(0, 1), suspect.Isolated)
	a.Merge(0, records[1])
	is.Equal(a.Level(0, 1), suspect.Refused)
}

// TestTableSizeLimit guards against a table that grows with each new request that crashes a
// target.
func TestTableSizeLimit(t *testing.T) {
	is := is.New(t)
	table := suspect.New("a", nil)
	for i := range uint64(10_000) {
		table.RecordCrash(time.Duration(i), i)
	}
	is.Equal(table.Len(), 4096)
	is.Equal(table.Level(10_000, 9_999), suspect.Isolated)
}

// TestDisconnects guards against a harmless call that is refused after two network failures, and
// against a call that is never refused because the targets that it crashes restart at once.
func TestDisconnects(t *testing.T) {
	is := is.New(t)
	table := suspect.New("a", nil)
	for range 3 {
		table.RecordDisconnect(0, 1)
		is.Equal(table.Level(0, 1), suspect.Isolated)
	}
	table.RecordCompletion(0, 1)
	is.Equal(table.Level(0, 1), suspect.Clear)
	for range 4 {
		table.RecordDisconnect(0, 1)
	}
	is.Equal(table.Level(0, 1), suspect.Refused)
}

// TestExpiry guards against a request that is refused forever because callers keep sending it or
// hosts keep exchanging its records.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	var records []suspect.CrashRecord
	table := suspect.New("a", func(r suspect.CrashRecord) { records = append(records, r) })
	table.RecordCrash(0, 1)
	table.RecordCrash(0, 1)
	for minute := range 10 {
		now := time.Duration(minute) * time.Minute
		for _, r := range records {
			table.Merge(now, r)
		}
		is.Equal(table.Level(now, 1), suspect.Refused)
	}
	is.Equal(table.Level(10*time.Minute+1, 1), suspect.Clear)
}

// TestTrustedFingerprint guards against refusing a request that many callers send because its
// targets went down for another reason, seen by this host or by others.
func TestTrustedFingerprint(t *testing.T) {
	is := is.New(t)
	var published []suspect.CrashRecord
	table := suspect.New("a", func(r suspect.CrashRecord) { published = append(published, r) })
	for range 3 {
		table.RecordCompletion(0, 7)
	}
	table.RecordCrash(time.Second, 7)
	table.RecordCrash(2*time.Second, 7)
	is.Equal(table.Level(2*time.Second, 7), suspect.Clear)
	is.Equal(len(published), 0)

	table.Merge(3*time.Second, suspect.NewCrashRecord(7, "b", 4, 0)) // from a host without a completed run
	is.Equal(table.Level(3*time.Second, 7), suspect.Clear)
	is.Equal(published, []suspect.CrashRecord{suspect.NewCrashRecord(7, "b", 4, 4)}) // clears it on all hosts
	table.Merge(4*time.Second, published[0])
	is.Equal(len(published), 1)

	restarted := suspect.New("b", nil) // it refuses the calls until others clear them
	restarted.RecordCrash(3*time.Second, 7)
	restarted.RecordCrash(3*time.Second, 7)
	is.Equal(restarted.Level(3*time.Second, 7), suspect.Refused)
	restarted.Merge(4*time.Second, published[0])
	is.Equal(restarted.Level(4*time.Second, 7), suspect.Clear)

	table.RecordCrash(2*time.Minute, 7) // the completed runs are too old
	table.RecordCrash(2*time.Minute, 7)
	is.Equal(table.Level(2*time.Minute, 7), suspect.Refused)
	for id := range uint64(10_000) {
		table.RecordCompletion(2*time.Minute, 100+id)
	}
	is.Equal(table.Len(), 1)
}
