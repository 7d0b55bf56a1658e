package report

import (
	"io"
	"math"

	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
)

// Verdict is the measured value of one stated outcome.
type ObjectiveResult struct {
	expect trace.Objective
	value  float64
}

// Met reports whether the outcome was reached.
func (v ObjectiveResult) Met() bool { return v.expect.Met(v.value) }

// Value returns the measured value.
func (v ObjectiveResult) Value() float64 { return v.value }

// Judge measures the stated outcomes of the trace. Run gives the result of the reference
// traces that some outcomes compare with.
func EvaluateObjectives(r *replay.Result, run func(*trace.Trace) (*replay.Result, error)) (verdicts []ObjectiveResult, err error) {
	defer func() { err = Error.Wrap(err) }()
	for _, e := range r.Trace().Objectives() {
		var reference *replay.Result
		if t := replay.ReferenceTrace(r.Trace(), e); t != nil {
			if reference, err = run(t); err != nil {
				return nil, err
			}
		}
		verdicts = append(verdicts, ObjectiveResult{expect: e, value: replay.Measure(e, r, reference)})
	}
	return verdicts, nil
}

// Verdicts writes the stated outcomes with their measured values and reports whether all
// were met. One that the run could not measure is not met.
func WriteObjectives(out io.Writer, verdicts []ObjectiveResult) (met bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	p := &printer{out: out}
	met = true
	p.line("\nstated outcomes")
	for _, v := range verdicts {
		word := "met"
		switch {
		case math.IsNaN(v.value):
			word, met = "NOT MEASURED", false
		case !v.Met():
			word, met = "MISSED", false
		}
		p.line("  %-32s measured %10.4f  %s", v.expect, v.value, word)
	}
	return met, p.err
}

// Row is one line of a comparison.
type ComparisonRow struct {
	result   *replay.Result
	verdicts []ObjectiveResult
}

// NewRow returns the line of a run.
func NewComparisonRow(r *replay.Result, verdicts []ObjectiveResult) ComparisonRow {
	return ComparisonRow{result: r, verdicts: verdicts}
}

// Compare writes one table over the runs of the same trace and seed.
func WriteComparison(out io.Writer, rows []ComparisonRow) (err error) {
	defer func() { err = Error.Wrap(err) }()
	p := &printer{out: out}
	first := rows[0].result
	p.line("trace %s, seed %d, %d hosts, %d requests", first.Trace().Name(), first.Seed(), first.Hosts(), len(first.Records()))
	head := ""
	for _, v := range rows[0].verdicts {
		head += " " + pad(v.expect.String())
	}
	p.line("%-12s %10s %10s %10s %8s%s", "policy", "attained %", "short p99", "long p99", "added %", head)
	for _, row := range rows {
		r := row.result
		cells := ""
		for _, v := range row.verdicts {
			cells += " " + cell(v)
		}
		all := func(replay.Record) bool { return true }
		p.line("%-12s %10.2f %10.1f %10.1f %8.2f%s", r.Variant(), 100*r.Attainment(all), r.P99(false), r.P99(true), 100*r.RetryOverhead(), cells)
	}
	return p.err
}
