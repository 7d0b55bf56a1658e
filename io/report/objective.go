package report

import (
	"io"
	"math"

	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
)

// ObjectiveResult is an objective of a trace and the value that a run measured for it.
type ObjectiveResult struct {
	objective trace.Objective
	value     float64
}

// Met reports whether the measured value satisfies the objective.
func (r ObjectiveResult) Met() bool { return r.objective.Met(r.value) }

// Value returns the measured value.
func (r ObjectiveResult) Value() float64 { return r.value }

// EvaluateObjectives measures the objectives of the trace. It calls run for the reference
// trace of each objective that compares the result with another run.
func EvaluateObjectives(r *replay.Result, run func(*trace.Trace) (*replay.Result, error)) (results []ObjectiveResult, err error) {
	defer func() { err = Error.Wrap(err) }()
	for _, o := range r.Trace().Objectives() {
		var reference *replay.Result
		if t := replay.ReferenceTrace(r.Trace(), o); t != nil {
			if reference, err = run(t); err != nil {
				return nil, err
			}
		}
		results = append(results, ObjectiveResult{objective: o, value: replay.Measure(o, r, reference)})
	}
	return results, nil
}

// WriteObjectives writes the objectives with their measured values and reports whether all
// were met. An objective that the run could not measure counts as missed. The output calls
// objectives stated outcomes, as the trace format does.
func WriteObjectives(out io.Writer, results []ObjectiveResult) (met bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	p := &printer{out: out}
	met = true
	p.line("\nstated outcomes")
	for _, r := range results {
		status := "met"
		switch {
		case math.IsNaN(r.value):
			status, met = "NOT MEASURED", false
		case !r.Met():
			status, met = "MISSED", false
		}
		p.line("  %-32s measured %10.4f  %s", r.objective, r.value, status)
	}
	return met, p.err
}

// ComparisonRow is one run in a comparison.
type ComparisonRow struct {
	result     *replay.Result
	objectives []ObjectiveResult
}

// NewComparisonRow returns the row of a run.
func NewComparisonRow(r *replay.Result, objectives []ObjectiveResult) ComparisonRow {
	return ComparisonRow{result: r, objectives: objectives}
}

// WriteComparison writes a table with one row per run. The runs must have the same trace and
// seed.
func WriteComparison(out io.Writer, rows []ComparisonRow) (err error) {
	defer func() { err = Error.Wrap(err) }()
	p := &printer{out: out}
	first := rows[0].result
	p.line("trace %s, seed %d, %d hosts, %d requests", first.Trace().Name(), first.Seed(), first.Hosts(), len(first.Records()))
	head := ""
	for _, o := range rows[0].objectives {
		head += " " + pad(o.objective.String())
	}
	p.line("%-12s %10s %10s %10s %8s%s", "policy", "attained %", "short p99", "long p99", "added %", head)
	for _, row := range rows {
		r := row.result
		cells := ""
		for _, o := range row.objectives {
			cells += " " + objectiveCell(o)
		}
		all := func(replay.Record) bool { return true }
		p.line("%-12s %10.2f %10.1f %10.1f %8.2f%s", r.Variant(), 100*r.Attainment(all), r.P99(false), r.P99(true), 100*r.RetryOverhead(), cells)
	}
	return p.err
}
