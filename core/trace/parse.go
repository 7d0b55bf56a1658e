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
	maxLine        = 64 << 10 // bytes
	maxDiagnostics = 20
	keywordConfig  = "config"
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
	trace       *Trace
	line        int
	diagnostics Diagnostics
	// checks need the document, which is complete only after the last line.
	referenceChecks []referenceCheck

	// The line that is being read.
	serviceModel ServiceModel
	request      Request
	slowPeriod   SlowPeriod
	crash        Crash
	presetSwitch PresetSwitch
	objective    Objective
}

type referenceCheck struct {
	diagnostic Diagnostic
	holds      func(d *draft) bool
}

// Parse checks and returns the trace in raw. The error holds a Mistakes value.
func Parse(raw []byte) (t *Trace, err error) {
	defer func() { err = Error.Wrap(err) }()
	d := &draft{trace: &Trace{serviceModels: make(map[string]ServiceModel)}}
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() && len(d.diagnostics) < maxDiagnostics {
		d.line++
		d.readLine(scanner.Text())
	}
	if scanner.Err() != nil {
		d.line++
		d.report("line", "", fmt.Sprintf("at most %d bytes", maxLine))
	}
	if len(d.diagnostics) == 0 {
		d.resolveReferences()
	}
	if len(d.diagnostics) > 0 {
		return nil, d.diagnostics
	}
	return d.trace, nil
}

func (d *draft) report(field, value, allowed string) {
	d.diagnostics = append(d.diagnostics, Diagnostic{line: d.line, field: field, value: value, allowed: allowed})
}

// later adds a check of the field that needs the document.
func (d *draft) deferCheck(field, value, allowed string, holds func(*draft) bool) {
	d.referenceChecks = append(d.referenceChecks, referenceCheck{Diagnostic{d.line, field, value, allowed}, holds})
}

func (d *draft) readLine(line string) {
	if rest, ok := strings.CutPrefix(line, keywordConfig+" "); ok {
		d.trace.documentLines = append(d.trace.documentLines, rest)
		return
	}
	words := strings.Fields(line)
	if len(words) == 0 || strings.HasPrefix(words[0], "#") {
		return
	}
	i := slices.IndexFunc(lineKinds, func(k LineKind) bool { return k.keyword == words[0] })
	if i < 0 {
		d.report("line", words[0], "a line that starts with "+lineKeywords())
		return
	}
	d.readFields(lineKinds[i], words[1:])
}

func lineKeywords() string {
	words := []string{keywordConfig}
	for _, k := range lineKinds {
		words = append(words, k.keyword)
	}
	return strings.Join(words, ", ")
}

func (d *draft) readFields(k LineKind, values []string) {
	for i, f := range k.fields {
		if i >= len(values) {
			d.report(f.name, "", f.allowed+" (required)")
			return
		}
		if !f.set(d, values[i]) {
			d.report(f.name, values[i], f.allowed)
			return
		}
	}
	if len(values) > len(k.fields) {
		d.report("line", values[len(k.fields)], fmt.Sprintf("%d fields", len(k.fields)))
		return
	}
	k.store(d)
}

func (d *draft) checkWindow(w Window) {
	if w.to < w.from {
		d.report("to", fmt.Sprint(w.to.Milliseconds()), "not before the start")
	}
}

func (d *draft) storeRequest() {
	q := d.request
	if n := len(d.trace.requests); n > 0 && q.sendTime < d.trace.requests[n-1].sendTime {
		d.report("arrival", fmt.Sprint(q.sendTime.Milliseconds()), "not before the arrival of the request above")
	}
	d.trace.requests = append(d.trace.requests, q)
	d.deferCheck("deadline", fmt.Sprint(q.deadline.Milliseconds()), "at most the deadline of the pipeline", func(d *draft) bool {
		p, ok := d.trace.document.Pipeline(q.pipeline)
		return !ok || q.deadline <= p.Deadline()
	})
	d.deferCheck("consequence", fmt.Sprint(q.command), wordCommand+" if a stage of the pipeline may not be repeated, else "+wordIdempotent, func(d *draft) bool {
		p, ok := d.trace.document.Pipeline(q.pipeline)
		return !ok || q.command == p.Command()
	})
}

// link parses the document and runs the checks that need it.
func (d *draft) resolveReferences() {
	doc, err := config.Parse([]byte(strings.Join(d.trace.documentLines, "\n") + "\n"))
	if err != nil {
		d.line = 0
		d.report(keywordConfig, err.Error(), "a configuration document")
		return
	}
	d.trace.document = doc
	for _, c := range d.referenceChecks {
		if len(d.diagnostics) < maxDiagnostics && !c.holds(d) {
			d.diagnostics = append(d.diagnostics, c.diagnostic)
		}
	}
	for _, p := range doc.Pools() {
		if _, ok := d.trace.serviceModels[p.Name()]; !ok {
			d.line = 0
			d.report("rate", p.Name(), "a rate line for each pool")
		}
	}
}

func (d *draft) hasPreset(name string) bool {
	return slices.Contains(d.trace.document.PresetNames(), name)
}

func milliseconds(t time.Duration) int64 { return t.Milliseconds() }
