package report_test

import (
	"bytes"
	"image/png"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
	"sassafrasward/io/report"
)

// overloadResult returns a result of the trace overload in which the first requests, as many
// as done, are answered and all others refused.
func overloadResult(t *testing.T, done int) *replay.Result {
	t.Helper()
	tr, err := trace.Generate("overload", 1)
	if err != nil {
		t.Fatal(err)
	}
	var records []replay.Record
	for i, q := range tr.Requests() {
		if i < done {
			records = append(records, replay.NewRecord(q, false, 1e9, outcome.Done, reason.None, nil))
		} else {
			records = append(records, replay.NewRecord(q, false, 1e6, outcome.NotRun, reason.QueueFull, nil))
		}
	}
	return replay.NewResult(tr, replay.Full, 1, 6, records, nil, nil)
}

// TestWriteText guards against refusals that are missing from the report or that lower the
// tail latency: the strict p99 counts a refused request with its deadline.
func TestWriteText(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(report.WriteText(&b, overloadResult(t, 100)))
	is.True(strings.Contains(b.String(), "outcome done     100\n"))
	is.True(strings.Contains(b.String(), "overload     2503\n"))
	is.True(strings.Contains(b.String(), "   3000.3\n")) // strict p99, to the precision of the histogram
	is.True(strings.Contains(b.String(), "short         100    1000."))
}

// TestWriteObjectives guards against reporting an objective as met if it was missed or not
// measured.
func TestWriteObjectives(t *testing.T) {
	is := is.New(t)
	run := func(*trace.Trace) (*replay.Result, error) { return nil, nil }
	results, err := report.EvaluateObjectives(overloadResult(t, 100), run)
	is.NoErr(err)
	var b bytes.Buffer
	met, err := report.WriteObjectives(&b, results)
	is.NoErr(err)
	is.True(!met)
	is.Equal(strings.Count(b.String(), "MISSED"), 2) // goodput and recovery

	// Without pool usage, the load added by retries cannot be measured.
	tr, err := trace.Generate("slow", 1)
	is.NoErr(err)
	unmeasured := replay.NewResult(tr, replay.Full, 1, 6, nil, nil, nil)
	results, err = report.EvaluateObjectives(unmeasured, func(*trace.Trace) (*replay.Result, error) { return unmeasured, nil })
	is.NoErr(err)
	met, err = report.WriteObjectives(&b, results)
	is.NoErr(err)
	is.True(!met)
	is.True(strings.Contains(b.String(), "NOT MEASURED"))
}

// TestWritePlot guards against a plot that is not a PNG image or is too small.
func TestWritePlot(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(report.WritePlot(&b, overloadResult(t, 100)))
	image, err := png.Decode(&b)
	is.NoErr(err)
	is.True(image.Bounds().Dx() > 800)
	is.True(image.Bounds().Dy() > 600)
}
