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

// Error is the class of all errors that this package returns.
var Error = errs.Class("trace")

const (
	maxLine        = 64 << 10 // bytes
	maxDiagnostics = 20
	keywordConfig  = "config"
)

// Diagnostic describes one validation error of a trace.
type Diagnostic struct {
	// line counts from 1; 0 means that the error concerns the trace as a whole.
	line    int
	field   string
	value   string
	allowed string
}

// Line returns the line number, counted from 1, or 0 if the error concerns the trace as a
// whole.
func (d Diagnostic) Line() int { return d.line }

// Field returns the field that contains the error.
func (d Diagnostic) Field() string { return d.field }

// Allowed describes the values that are accepted.
func (d Diagnostic) Allowed() string { return d.allowed }

// String returns the error on one line.
func (d Diagnostic) String() string {
	return fmt.Sprintf("line %d: %s %q: allowed: %s", d.line, d.field, d.value, d.allowed)
}

// Diagnostics is the error that Parse returns for an invalid trace.
type Diagnostics = diagnostic.List[Diagnostic]

// draft is a trace that is being parsed, with the state of the parser.
type draft struct {
	trace       *Trace
	line        int
	diagnostics Diagnostics
	// referenceChecks run after the last line, because they need the complete configuration.
	referenceChecks []referenceCheck

	// The following fields hold the line that is being parsed.
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

// Parse validates raw and returns the trace. If the trace is invalid, the error wraps a
// Diagnostics value with the validation errors.
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

// deferCheck adds a check of the field that runs once the configuration is complete.
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

// resolveReferences parses the configuration and runs the checks that depend on it.
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
