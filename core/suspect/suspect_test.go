package suspect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/suspect"
)

// TestLevels guards against a third crash by the same request, and against innocent calls
// that stay suspects because they shared a target with the culprit.
func TestLevels(t *testing.T) {
	is := is.New(t)
	table := suspect.New("a", nil)
	is.Equal(table.Level(0, 1), suspect.Clear)
	table.RecordCrash(0, 1)
	table.RecordCrash(0, 2) // shared the target
	is.Equal(table.Level(0, 1), suspect.Isolated)
	is.Equal(table.Level(0, 2), suspect.Isolated)
	table.RecordCompletion(1, 2)
	is.Equal(table.Level(1, 2), suspect.Clear)
	table.RecordCrash(1, 1)
	is.Equal(table.Level(1, 1), suspect.Refused)
	table.RecordCrash(1, 2)
	is.Equal(table.Level(1, 2), suspect.Isolated) // the excused crash does not count
	is.Equal(table.Level(2*time.Hour, 1), suspect.Clear)
}

// TestFacts guards against hosts that disagree because facts came late, twice or out of
// order, and against crashes of two hosts that are counted as one.
func TestFacts(t *testing.T) {
	is := is.New(t)
	var facts []suspect.CrashRecord
	tell := func(f suspect.CrashRecord) { facts = append(facts, f) }
	a, b, c := suspect.New("a", tell), suspect.New("b", tell), suspect.New("c", nil)
	a.RecordCrash(0, 1)
	b.RecordCrash(0, 1)
	a.RecordCrash(0, 2)
	a.RecordCompletion(0, 2)
	for range 2 {
		for i := range facts {
			c.Merge(0, facts[len(facts)-1-i]) // the newest first, then once more
		}
	}
	is.Equal(c.Level(0, 1), suspect.Refused)
	is.Equal(c.Level(0, 2), suspect.Clear)
	is.Equal(a.Level(0, 1), suspect.Isolated)
	a.Merge(0, facts[1])
	is.Equal(a.Level(0, 1), suspect.Refused)
}

// TestBound guards against a table that grows with each new request that crashes a target.
func TestBound(t *testing.T) {
	is := is.New(t)
	table := suspect.New("a", nil)
	for i := range uint64(10_000) {
		table.RecordCrash(time.Duration(i), i)
	}
	is.Equal(table.Len(), 4096)
	is.Equal(table.Level(10_000, 9_999), suspect.Isolated)
}

// TestBreak guards against an innocent call that two cuts of the network make refused, and
// against a call that crashes targets which are restarted at once and is never refused.
func TestBreak(t *testing.T) {
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

// TestLife guards against a request that is refused for ever because callers keep sending
// it or hosts keep telling each other of it.
func TestLife(t *testing.T) {
	is := is.New(t)
	var facts []suspect.CrashRecord
	table := suspect.New("a", func(f suspect.CrashRecord) { facts = append(facts, f) })
	table.RecordCrash(0, 1)
	table.RecordCrash(0, 1)
	for minute := range 10 {
		now := time.Duration(minute) * time.Minute
		for _, f := range facts {
			table.Merge(now, f)
		}
		is.Equal(table.Level(now, 1), suspect.Refused)
	}
	is.Equal(table.Level(10*time.Minute+1, 1), suspect.Clear)
}

// TestProven guards against requests that many callers send being refused because targets that
// ran them were lost for another reason, on this host or on others.
func TestProven(t *testing.T) {
	is := is.New(t)
	var told []suspect.CrashRecord
	table := suspect.New("a", func(f suspect.CrashRecord) { told = append(told, f) })
	for range 3 {
		table.RecordCompletion(0, 7)
	}
	table.RecordCrash(time.Second, 7)
	table.RecordCrash(2*time.Second, 7)
	is.Equal(table.Level(2*time.Second, 7), suspect.Clear)
	is.Equal(len(told), 0)

	table.Merge(3*time.Second, suspect.NewCrashRecord(7, "b", 4, 0)) // a host that has not seen it complete
	is.Equal(table.Level(3*time.Second, 7), suspect.Isolated)
	table.RecordCompletion(4*time.Second, 7)
	is.Equal(told, []suspect.CrashRecord{suspect.NewCrashRecord(7, "b", 4, 4)}) // clears it everywhere

	table.RecordCrash(2*time.Minute, 7) // long after
	table.RecordCrash(2*time.Minute, 7)
	is.Equal(table.Level(2*time.Minute, 7), suspect.Refused)
	for id := range uint64(10_000) {
		table.RecordCompletion(2*time.Minute, 100+id)
	}
	is.Equal(table.Len(), 1)
}
