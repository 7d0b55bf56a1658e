package command_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasward/core/command"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
)

const (
	lifetime = 10 * time.Minute
	limit    = 3
)

func newTable(incarnation uint64, secret string) *command.Table {
	return command.NewTable("a", incarnation, []byte(secret), command.WithLifetime(lifetime), command.WithMaxAnswerBytes(8))
}

// FuzzParse guards against a decoder that panics, takes two texts for one key, or fails
// with an untyped error.
func FuzzParse(f *testing.F) {
	key := newTable(7, "s").Issue(time.Hour, "thun").String()
	for _, seed := range []string{key, "", "a", strings.Repeat(".", 5), key + "A", strings.ToUpper(key), "a.7.1.-1.x.x", "a.07.1.1.x.x", strings.Repeat("a", 300)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, err := command.Parse(text)
		var fault *command.ParseError
		switch {
		case err == nil && k.String() != text:
			t.Fatalf("%q was read as %q", text, k)
		case err != nil && !errors.As(err, &fault):
			t.Fatalf("untyped error %v", err)
		}
	})
}

// TestParseFaults guards against faults of a key that are not told apart.
func TestParseFaults(t *testing.T) {
	key := newTable(7, "s").Issue(time.Hour, "thun").String()
	parts := strings.Split(key, ".")
	with := func(i int, part string) string {
		changed := append([]string(nil), parts...)
		changed[i] = part
		return strings.Join(changed, ".")
	}
	for text, want := range map[string]command.ParseErrorKind{
		strings.Repeat("a", 300): command.TooLong, "a.b": command.BadPartCount, with(0, ""): command.BadHost,
		with(1, "x"): command.BadIncarnation, with(2, "-"): command.BadNumber, with(3, "-1"): command.BadIssueTime,
		with(3, "1y2p0ij32e8e7"): command.BadIssueTime, with(4, "AAAA"): command.BadWorkspace, with(5, "AAAA"): command.BadMAC, with(1, "07"): command.NotCanonical,
	} {
		_, err := command.Parse(text)
		var fault *command.ParseError
		if !errors.As(err, &fault) || fault.Kind() != want {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// TestFingerprint guards against equal bodies that are refused as a mismatch, and
// different bodies that are taken as equal.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	of := func(pipeline, workspace, input string) command.Fingerprint {
		f, err := command.NewFingerprint(pipeline, workspace, json.RawMessage(input))
		is.NoErr(err)
		return f
	}
	base := of("deposit", "thun", `{"a":1,"b":[1,2]}`)
	is.Equal(base, of("deposit", "thun", ` { "b" : [1, 2], "a" : 1 } `))
	for _, other := range []command.Fingerprint{
		of("deposit", "thun", `{"a":1,"b":[2,1]}`), of("deposits", "thun", `{"a":1,"b":[1,2]}`),
		of("deposit", "biel", `{"a":1,"b":[1,2]}`), of("deposit", "thun", `{"a":10000000000000000000001,"b":[1,2]}`),
	} {
		is.True(base != other)
	}
	is.True(of("deposit", "thun", `10000000000000000000001`) != of("deposit", "thun", `10000000000000000000002`))
	_, err := command.NewFingerprint("p", "w", json.RawMessage(`1 2`))
	is.True(err != nil)
}

// modelKey is what a simple model knows of a key.
type modelKey struct {
	key       command.Key
	workspace string
	issued    time.Duration
	began     bool
	body      command.Fingerprint
	result    *command.Result
}

// model is the reference for the table: it never forgets anything.
type model struct {
	table *command.Table
	now   time.Duration
	keys  []*modelKey
}

func (m *model) issue(t *rapid.T) {
	w := rapid.SampledFrom([]string{"thun", "biel"}).Draw(t, "workspace")
	m.keys = append(m.keys, &modelKey{key: m.table.Issue(m.now, w), workspace: w, issued: m.now})
}

func (m *model) pick(t *rapid.T) *modelKey {
	if len(m.keys) == 0 {
		t.Skip("no key")
	}
	return rapid.SampledFrom(m.keys).Draw(t, "key")
}

// held counts the records that a workspace must have: those of keys that began and are
// not expired.
func (m *model) held(workspace string) (n int) {
	for _, k := range m.keys {
		if k.workspace == workspace && k.began && m.now-k.issued < lifetime {
			n++
		}
	}
	return n
}

// want returns the decision that the model expects for a begin.
func (m *model) want(k *modelKey, workspace string, f command.Fingerprint) (command.Status, reason.Reason) {
	switch {
	case workspace != k.workspace:
		return command.Refused, reason.WrongWorkspace
	case m.now-k.issued >= lifetime:
		return command.Refused, reason.KeyExpired
	case k.began && k.body != f:
		return command.Refused, reason.BodyMismatch
	case k.began && k.result == nil:
		return command.Running, reason.None
	case k.began:
		return command.Finished, reason.None
	}
	return command.Begun, reason.None
}

func (m *model) begin(t *rapid.T) {
	k := m.pick(t)
	w := rapid.SampledFrom([]string{"thun", "biel"}).Draw(t, "workspace")
	f := command.Fingerprint{rapid.Byte().Draw(t, "body") % 2}
	verdict, why := m.want(k, w, f)
	held := m.table.Count(w)
	if verdict == command.Begun && held >= limit {
		verdict, why = command.Refused, reason.RecordsFull
	}
	d := m.table.Begin(m.now, k.key, w, f, limit)
	if d.Status() != verdict || d.Reason() != why {
		t.Fatalf("begin of %v: %s %s, want %s %s", k.key, d.Status(), d.Reason(), verdict, why)
	}
	switch verdict {
	case command.Begun:
		k.began, k.body = true, f
	case command.Finished:
		if d.Result().Outcome() != k.result.Outcome() || (k.result.Size() <= 8) != (d.Result().Answer() != nil) {
			t.Fatalf("result of %v: %v", k.key, d.Result())
		}
	}
}

func (m *model) finish(t *rapid.T) {
	k := m.pick(t)
	if !k.began || k.result != nil {
		t.Skip("not running")
	}
	o := rapid.SampledFrom([]outcome.Outcome{outcome.Done, outcome.Failed, outcome.NotRun, outcome.Unknown}).Draw(t, "outcome")
	r := command.NewResult(o, reason.None, make([]byte, rapid.IntRange(1, 16).Draw(t, "size")))
	m.table.Finish(k.key, r)
	if k.result = &r; o == outcome.NotRun {
		k.began, k.result = false, nil
	}
}

func (m *model) forge(t *rapid.T) {
	k := m.pick(t)
	forged := newTable(7, "another secret").Issue(k.issued, k.workspace)
	if why := m.table.Begin(m.now, forged, k.workspace, command.Fingerprint{}, limit).Reason(); why != reason.ForgedKey {
		t.Fatalf("forged key: %s", why)
	}
	other := newTable(8, "s").Issue(k.issued, k.workspace)
	if why := m.table.Begin(m.now, other, k.workspace, command.Fingerprint{}, limit).Reason(); why != reason.OwnerUnreachable {
		t.Fatalf("key of another incarnation: %s", why)
	}
}

// handover checks that a successor tells the same of each finished key and never lets a
// command begin.
func (m *model) handover(t *rapid.T) {
	s := command.NewSuccessor(1000)
	later := m.now + rapid.SampledFrom([]time.Duration{0, lifetime / 2, lifetime}).Draw(t, "later")
	if !s.Import(m.now, m.table.Export(m.now)) {
		t.Fatal("records left out")
	}
	for _, k := range m.keys {
		d := s.Lookup(later, k.key, k.workspace, k.body)
		finished := k.result != nil && later-k.issued < lifetime
		if d.Status() == command.Begun || (d.Status() == command.Finished) != finished {
			t.Fatalf("successor on %v: %s", k.key, d.Status())
		}
	}
	if s.Expire(m.now + lifetime); s.Len() != 0 {
		t.Fatal("records outlive their keys")
	}
}

func (m *model) check(t *rapid.T) {
	for _, w := range []string{"thun", "biel"} {
		if m.table.Count(w) < m.held(w) {
			t.Fatalf("%s has %d records of %d valid keys", w, m.table.Count(w), m.held(w))
		}
	}
}

// TestModel guards against a key that begins twice, a record that is dropped before its
// key expires, and refusals that are not told apart, over random histories.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: newTable(7, "s")}
		t.Repeat(map[string]func(*rapid.T){
			"issue": m.issue, "begin": m.begin, "again": m.begin, "finish": m.finish, "forge": m.forge, "handover": m.handover,
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.Int64Range(0, int64(lifetime)).Draw(t, "time"))
				m.table.Expire(m.now)
			},
			"": m.check,
		})
		m.table.Expire(m.now + 2*lifetime)
		if m.table.Len() != 0 {
			t.Fatal("records outlive their keys")
		}
	})
}

// TestSuccessorFaults guards against a successor that answers a foreign, forged or
// mismatched request, or holds more records than its bound.
func TestSuccessorFaults(t *testing.T) {
	is := is.New(t)
	table := newTable(7, "s")
	for i := range 3 {
		k := table.Issue(0, "thun")
		is.Equal(table.Begin(0, k, "thun", command.Fingerprint{}, limit).Status(), command.Begun)
		table.Finish(k, command.NewResult(outcome.Done, reason.None, fmt.Append(nil, i)))
	}
	records := table.Export(0)
	s := command.NewSuccessor(2)
	is.True(!s.Import(0, records))
	is.Equal(s.Len(), 2)
	k := records[0].Key()
	forged := newTable(7, "x").Issue(0, "thun")
	is.Equal(s.Lookup(0, k, "biel", command.Fingerprint{}).Reason(), reason.WrongWorkspace)
	is.Equal(s.Lookup(0, forged, "thun", command.Fingerprint{}).Reason(), reason.ForgedKey)
	is.Equal(s.Lookup(0, k, "thun", command.Fingerprint{1}).Reason(), reason.BodyMismatch)
	is.Equal(s.Lookup(0, records[2].Key(), "thun", command.Fingerprint{}).Reason(), reason.OwnerUnreachable)
	is.Equal(string(s.Lookup(0, k, "thun", command.Fingerprint{}).Result().Answer()), "0")
}

// TestBytes guards against records that together take more memory than the host may use,
// and against a bound that drops a record early or is not freed when records expire.
func TestBytes(t *testing.T) {
	is := is.New(t)
	const slot = 256 + 8 // a record with the largest answer
	table := command.NewTable("a", 1, []byte("secret"), command.WithLifetime(lifetime), command.WithMaxAnswerBytes(8), command.WithMaxBytes(2*slot))
	begin := func(now time.Duration, workspace string) (command.Key, command.Decision) {
		k := table.Issue(now, workspace)
		return k, table.Begin(now, k, workspace, command.Fingerprint{}, 10)
	}
	first, d := begin(0, "one")
	is.Equal(d.Status(), command.Begun)
	_, d = begin(0, "two")
	is.Equal(d.Status(), command.Begun)
	_, d = begin(0, "three")
	is.Equal(d.Reason(), reason.RecordsFull)

	table.Finish(first, command.NewResult(outcome.Done, reason.None, []byte("1234")))
	is.Equal(table.UsedBytes(), 2*slot-4)
	is.Equal(table.Lookup(0, first, "one", command.Fingerprint{}).Status(), command.Finished)
	table.Expire(lifetime + time.Hour)
	is.Equal(table.UsedBytes(), 0)
	_, d = begin(lifetime+time.Hour, "three")
	is.Equal(d.Status(), command.Begun)
}
