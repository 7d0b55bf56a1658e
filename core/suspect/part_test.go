package suspect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/suspect"
)

// refused reports whether calls with the parts are refused.
func refused(p *suspect.Parts, now time.Duration, parts ...uint64) bool {
	_, refused := p.Refused(now, parts)
	return refused
}

// TestPartIsRefused guards against a part of prompts that crashes target after target, because the
// calls that have it differ in everything else.
func TestPartIsRefused(t *testing.T) {
	is := is.New(t)
	p := suspect.NewParts(nil)
	const bad = 9
	for n := range uint64(3) {
		is.True(!refused(p, time.Duration(n)*time.Second, 100+n, bad))
		p.RecordCrash(time.Duration(n)*time.Second, n, suspect.Begun, []uint64{100 + n, bad})
	}
	is.True(refused(p, 3*time.Second, 200, bad))
	is.True(refused(p, 3*time.Second, bad, 200))
	is.True(!refused(p, 3*time.Second, 100))
	is.True(!refused(p, 3*time.Second, 100, 200))
	is.True(!refused(p, time.Hour, 200, bad)) // it may have been something else
}

// TestProgress guards against blaming calls that a target had worked on for a while, and against a
// part that is never found because its calls crash their targets before the headers of the answer.
func TestProgress(t *testing.T) {
	is := is.New(t)
	p := suspect.NewParts(nil)
	for n := range uint64(6) {
		now := time.Duration(n) * time.Second
		is.True(!refused(p, now, 1))
		p.RecordCrash(now, n, suspect.Underway, []uint64{2})
		p.RecordCrash(now, n, suspect.Unclear, []uint64{1})
	}
	is.True(refused(p, 6*time.Second, 1))
	is.True(!refused(p, 6*time.Second, 2))
}

// TestTargetsEndTogether guards against a part of many prompts that is refused because many targets
// ended at the same moment, as when a rack loses power.
func TestTargetsEndTogether(t *testing.T) {
	is := is.New(t)
	p := suspect.NewParts(nil)
	for n := range uint64(40) {
		p.RecordCrash(time.Duration(n)*time.Millisecond, n, suspect.Begun, []uint64{1, 100 + n})
	}
	is.True(!refused(p, time.Second, 1, 500))
}

// TestCompletedParts guards against sound calls that are refused because they share a part with calls
// that crash targets: what completes, on this host or another one, is not the cause.
func TestCompletedParts(t *testing.T) {
	is := is.New(t)
	const first, bad = 1, 9
	var published []suspect.PartRecord
	sees := suspect.NewParts(func(r suspect.PartRecord) { published = append(published, r) })
	serves := suspect.NewParts(func(r suspect.PartRecord) { published = append(published, r) })
	serves.RecordCompletion(0, []uint64{first, 50})
	for n := range uint64(3) {
		now := time.Duration(n+1) * time.Second
		sees.RecordCrash(now, n, suspect.Begun, []uint64{first, bad})
		for _, r := range published {
			serves.Merge(now, 0, r)
			sees.Merge(now, 0, r)
		}
	}
	is.Equal(len(published), 9) // two parts in three crashes, the first part cleared in each
	for _, p := range []*suspect.Parts{sees, serves} {
		is.True(refused(p, 4*time.Second, first, bad))
		is.True(refused(p, 4*time.Second, 2, bad))
		is.True(!refused(p, 4*time.Second, first, 50))
	}
	sees.RecordCompletion(5*time.Second, []uint64{bad})
	is.True(!refused(sees, 5*time.Second, first, bad))
	sees.RecordCrash(6*time.Second, 7, suspect.Begun, []uint64{bad})
	is.True(!refused(sees, 6*time.Second, first, bad)) // it completed a second ago
}

// TestCompanions guards against sound calls that are refused because they share a part with all calls
// that crashed targets so far, before a completed call could clear it.
func TestCompanions(t *testing.T) {
	is := is.New(t)
	const first, bad, mine = 1, 9, 50
	p := suspect.NewParts(nil)
	for n := range uint64(3) {
		p.RecordCrash(time.Duration(n)*time.Second, n, suspect.Begun, []uint64{first, bad})
		p.RecordCrash(time.Duration(n)*time.Second, n, suspect.Unclear, []uint64{mine, 60}) // waited there
	}
	is.True(refused(p, 3*time.Second, first, bad, mine))
	is.True(!refused(p, 3*time.Second, first, mine)) // one of the two is the cause
	is.True(!refused(p, 3*time.Second, 2, bad))
	p.RecordCrash(4*time.Second, 4, suspect.Begun, []uint64{2, bad})
	is.True(refused(p, 5*time.Second, 3, bad)) // this one
	is.True(!refused(p, 5*time.Second, first, mine))
}

// TestPartRecords guards against hosts that disagree because records arrived late, twice or out of
// order, and against a crash that counts once for each host that saw it.
func TestPartRecords(t *testing.T) {
	is := is.New(t)
	var records []suspect.PartRecord
	publish := func(r suspect.PartRecord) { records = append(records, r) }
	a, b, c := suspect.NewParts(publish), suspect.NewParts(publish), suspect.NewParts(nil)
	for n := range uint64(2) {
		now := time.Duration(n) * time.Second
		a.RecordCrash(now, n, suspect.Begun, []uint64{1})
		b.RecordCrash(now, n, suspect.Unclear, []uint64{1})
	}
	ages := []time.Duration{3 * time.Second, 3 * time.Second, 2 * time.Second, 2 * time.Second}
	for range 2 {
		for i := len(records) - 1; i >= 0; i-- {
			c.Merge(3*time.Second, ages[i], records[i])
		}
	}
	is.True(!refused(c, 3*time.Second, 1))
	c.RecordCrash(3*time.Second, 2, suspect.Begun, []uint64{1})
	is.True(refused(c, 3*time.Second, 1))
	first := records[0]
	is.Equal([]int{int(first.Part()), int(first.Crash()), first.Evidence(), first.Cleared()}, []int{1, 0, int(suspect.Begun), 0})
	late := suspect.NewParts(nil) // a host that started after the crashes
	late.Merge(time.Second, 30*time.Second, suspect.NewPartRecord(1, 1, 2, 0))
	late.Merge(time.Second, 20*time.Second, suspect.NewPartRecord(1, 2, 2, 0))
	late.Merge(time.Second, 40*time.Second, suspect.NewPartRecord(1, 3, 2, 0))
	is.True(refused(late, time.Second, 1))
}

// TestPartLimits guards against tables that grow with each part of a prompt and each crash.
func TestPartLimits(t *testing.T) {
	is := is.New(t)
	p := suspect.NewParts(nil)
	for n := range uint64(10_000) {
		p.RecordCrash(time.Duration(n)*time.Second/100, n, suspect.Begun, []uint64{1, 100 + n})
	}
	is.Equal(p.Len(), 4096)
	is.True(refused(p, 100*time.Second, 1))
}
