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

// overload returns a result of the trace overload in which the first done requests are
// answered and all others refused.
func overload(t *testing.T, done int) *replay.Result {
	t.Helper()
	one, err := trace.Generate("overload", 1)
	if err != nil {
		t.Fatal(err)
	}
	var records []replay.Record
	for i, q := range one.Requests() {
		if i < done {
			records = append(records, replay.NewRecord(q, false, 1e9, outcome.Done, reason.None, nil))
		} else {
			records = append(records, replay.NewRecord(q, false, 1e6, outcome.NotRun, reason.QueueFull, nil))
		}
	}
	return replay.NewResult(one, replay.Full, 1, 6, records, nil, nil)
}

// TestText guards against refusals that are left out of the report or that improve the
// tail: the strict p99 counts a refused request with its deadline.
func TestWriteText(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(report.WriteText(&b, overload(t, 100)))
	is.True(strings.Contains(b.String(), "outcome done     100\n"))
	is.True(strings.Contains(b.String(), "overload     2503\n"))
	is.True(strings.Contains(b.String(), "   3000.3\n")) // strict p99, to the precision of the histogram
	is.True(strings.Contains(b.String(), "short         100    1000."))
}

// TestVerdicts guards against a missed outcome that is reported as met.
func TestWriteObjectives(t *testing.T) {
	is := is.New(t)
	run := func(*trace.Trace) (*replay.Result, error) { return nil, nil }
	verdicts, err := report.EvaluateObjectives(overload(t, 100), run)
	is.NoErr(err)
	var b bytes.Buffer
	met, err := report.WriteObjectives(&b, verdicts)
	is.NoErr(err)
	is.True(!met)
	is.Equal(strings.Count(b.String(), "MISSED"), 2) // goodput and recovery

	// A result without the use of slots says nothing of the load added.
	one, err := trace.Generate("slow", 1)
	is.NoErr(err)
	blind := replay.NewResult(one, replay.Full, 1, 6, nil, nil, nil)
	verdicts, err = report.EvaluateObjectives(blind, func(*trace.Trace) (*replay.Result, error) { return blind, nil })
	is.NoErr(err)
	met, err = report.WriteObjectives(&b, verdicts)
	is.NoErr(err)
	is.True(!met)
	is.True(strings.Contains(b.String(), "NOT MEASURED"))
}

// TestPlot guards against a plot that is not an image of the stated size.
func TestWritePlot(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(report.WritePlot(&b, overload(t, 100)))
	image, err := png.Decode(&b)
	is.NoErr(err)
	is.True(image.Bounds().Dx() > 800)
	is.True(image.Bounds().Dy() > 600)
}
