package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/config"
	"sassafrasward/core/diagnostic"
)

// Error is the class of all errors of this package.
var Error = errs.Class("trace")

const (
	maxLine     = 64 << 10 // bytes
	maxMistakes = 20
	wordConfig  = "config"
)

// Mistake is one thing that is wrong with a trace.
type Diagnostic struct {
	// line counts from 1; zero stands for the trace as a whole.
	line    int
	field   string
	value   string
	allowed string
}

// Line returns the number of the line, from 1; zero for the trace as a whole.
func (m Diagnostic) Line() int { return m.line }

// Field returns the field that the mistake is in.
func (m Diagnostic) Field() string { return m.field }

// Allowed states what would be right.
func (m Diagnostic) Allowed() string { return m.allowed }

// String returns the mistake on one line.
func (m Diagnostic) String() string {
	return fmt.Sprintf("line %d: %s %q: allowed: %s", m.line, m.field, m.value, m.allowed)
}

// Mistakes is the error that Parse returns for a trace with mistakes.
type Diagnostics = diagnostic.List[Diagnostic]

// draft is a trace while it is read.
type draft struct {
	trace    *Trace
	line     int
	mistakes Diagnostics
	// checks need the document, which is complete only after the last line.
	checks []check

	// The line that is being read.
	rate    ServiceModel
	request Request
	slow    SlowPeriod
	crash   Crash
	change  PresetSwitch
	expect  Objective
}

type check struct {
	mistake Diagnostic
	holds   func(d *draft) bool
}

// Parse checks and returns the trace in raw. The error holds a Mistakes value.
func Parse(raw []byte) (t *Trace, err error) {
	defer func() { err = Error.Wrap(err) }()
	d := &draft{trace: &Trace{rates: make(map[string]ServiceModel)}}
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() && len(d.mistakes) < maxMistakes {
		d.line++
		d.read(scanner.Text())
	}
	if scanner.Err() != nil {
		d.line++
		d.wrong("line", "", fmt.Sprintf("at most %d bytes", maxLine))
	}
	if len(d.mistakes) == 0 {
		d.link()
	}
	if len(d.mistakes) > 0 {
		return nil, d.mistakes
	}
	return d.trace, nil
}

func (d *draft) wrong(field, value, allowed string) {
	d.mistakes = append(d.mistakes, Diagnostic{line: d.line, field: field, value: value, allowed: allowed})
}

// later adds a check of the field that needs the document.
func (d *draft) later(field, value, allowed string, holds func(*draft) bool) {
	d.checks = append(d.checks, check{Diagnostic{d.line, field, value, allowed}, holds})
}

func (d *draft) read(line string) {
	if rest, ok := strings.CutPrefix(line, wordConfig+" "); ok {
		d.trace.config = append(d.trace.config, rest)
		return
	}
	words := strings.Fields(line)
	if len(words) == 0 || strings.HasPrefix(words[0], "#") {
		return
	}
	i := slices.IndexFunc(kinds, func(k LineKind) bool { return k.word == words[0] })
	if i < 0 {
		d.wrong("line", words[0], "a line that starts with "+kindWords())
		return
	}
	d.readKind(kinds[i], words[1:])
}

func kindWords() string {
	words := []string{wordConfig}
	for _, k := range kinds {
		words = append(words, k.word)
	}
	return strings.Join(words, ", ")
}

func (d *draft) readKind(k LineKind, values []string) {
	for i, f := range k.fields {
		if i >= len(values) {
			d.wrong(f.name, "", f.allowed+" (required)")
			return
		}
		if !f.set(d, values[i]) {
			d.wrong(f.name, values[i], f.allowed)
			return
		}
	}
	if len(values) > len(k.fields) {
		d.wrong("line", values[len(k.fields)], fmt.Sprintf("%d fields", len(k.fields)))
		return
	}
	k.keep(d)
}

func (d *draft) keepWindow(w Window) {
	if w.to < w.from {
		d.wrong("to", fmt.Sprint(w.to.Milliseconds()), "not before the start")
	}
}

func (d *draft) keepRequest() {
	q := d.request
	if n := len(d.trace.requests); n > 0 && q.at < d.trace.requests[n-1].at {
		d.wrong("arrival", fmt.Sprint(q.at.Milliseconds()), "not before the arrival of the request above")
	}
	d.trace.requests = append(d.trace.requests, q)
	d.later("deadline", fmt.Sprint(q.deadline.Milliseconds()), "at most the deadline of the pipeline", func(d *draft) bool {
		p, ok := d.trace.document.Pipeline(q.pipeline)
		return !ok || q.deadline <= p.Deadline()
	})
	d.later("consequence", fmt.Sprint(q.command), wordCommand+" if a stage of the pipeline may not be repeated, else "+wordIdempotent, func(d *draft) bool {
		p, ok := d.trace.document.Pipeline(q.pipeline)
		return !ok || q.command == p.Command()
	})
}

// link parses the document and runs the checks that need it.
func (d *draft) link() {
	doc, err := config.Parse([]byte(strings.Join(d.trace.config, "\n") + "\n"))
	if err != nil {
		d.line = 0
		d.wrong(wordConfig, err.Error(), "a configuration document")
		return
	}
	d.trace.document = doc
	for _, c := range d.checks {
		if len(d.mistakes) < maxMistakes && !c.holds(d) {
			d.mistakes = append(d.mistakes, c.mistake)
		}
	}
	for _, p := range doc.Pools() {
		if _, ok := d.trace.rates[p.Name()]; !ok {
			d.line = 0
			d.wrong("rate", p.Name(), "a rate line for each pool")
		}
	}
}

func (d *draft) hasPreset(name string) bool {
	return slices.Contains(d.trace.document.PresetNames(), name)
}

func milliseconds(t time.Duration) int64 { return t.Milliseconds() }
