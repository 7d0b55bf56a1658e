package replay_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
	"sassafrasward/io/report"
)

// reportText runs the trace and returns the printed report.
func reportText(t *testing.T, tr *trace.Trace, options ...replay.Option) string {
	t.Helper()
	var b bytes.Buffer
	if err := report.WriteText(&b, replay.Run(tr, options...)); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestDeterminism guards against decisions that depend on anything but the trace and the
// seed, such as map order or a clock: two runs must give the same report to the byte.
func TestDeterminism(t *testing.T) {
	is := is.New(t)
	for _, s := range trace.Scenarios() {
		tr, err := trace.Generate(s.Name(), 3)
		is.NoErr(err)
		first := reportText(t, tr, replay.WithSeed(7))
		is.Equal(first, reportText(t, tr, replay.WithSeed(7)))
		is.True(first != reportText(t, tr, replay.WithSeed(8))) // the seed has an effect
	}
}

// TestEveryRequestEnds guards against lost requests: under every policy, each request of a
// trace with crashes must end, with a reason unless its outcome is done.
func TestEveryRequestEnds(t *testing.T) {
	is := is.New(t)
	tr, err := trace.Generate("rush", 5)
	is.NoErr(err)
	for _, v := range replay.Variants() {
		r := replay.Run(tr, replay.WithVariant(v))
		is.Equal(len(r.Records()), len(tr.Requests()))
		for _, record := range r.Records() {
			is.True(record.Elapsed() > 0)
			is.True(record.Outcome() == outcome.Done || record.Reason() != 0)
		}
	}
}

// singleEngine is the start of a trace with one engine of 2 slots. Tests add rate, fault and
// request lines.
const singleEngine = `config [document]
config preset = ordinary
config [preset ordinary]
config [preset maintenance]
config accept = false
config [workspace thun]
config share = 1
config [pool engines]
config kind = engine
config [target engine1]
config pool = engines
config address = 127.0.0.1:20001
config zone = a
config slots = 2
config [stage generate]
config pool = engines
config [stage book]
config pool = engines
config command = true
config [pipeline summary]
config stages = generate
config deadline = 3s
config [pipeline report]
config stages = generate
config deadline = 1m
config long = true
config [pipeline booking]
config stages = book
config deadline = 3s
network 4 10
`

// run replays singleEngine with the given lines on one host.
func run(t *testing.T, lines ...string) []replay.Record {
	t.Helper()
	tr, err := trace.Parse([]byte(singleEngine + strings.Join(lines, "\n") + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	return replay.Run(tr, replay.WithHosts(1)).Records()
}

// TestStandIn guards against a stand-in whose service times differ from the rate line of the
// trace. The expected times are the network delays (10 ms between caller and host and 1 ms
// between host and target, in each direction), 100 ms base time, and the times for the
// prompt at 1000 tokens/s and the answer at 100 tokens/s.
func TestStandIn(t *testing.T) {
	const hops = 22 // ms
	for _, c := range []struct {
		name  string
		lines []string
		want  []int64 // ms
	}{
		{"alone", []string{"rate engines 100 1000 100 0 0 0", "request 0 thun summary 20 500 3000 - idempotent"}, []int64{800 + hops}},
		{"batch of two at 50 percent each", []string{
			"rate engines 100 1000 100 50 0 0",
			"request 0 thun summary 20 500 3000 - idempotent", "request 0 thun summary 20 500 3000 - idempotent",
		}, []int64{1200 + hops, 1200 + hops}},
		{"cached prefix saves 80 percent of the prompt", []string{
			"rate engines 100 1000 100 0 1 0",
			"request 0 thun summary 20 500 3000 p idempotent", "request 2000 thun summary 20 500 3000 p idempotent",
		}, []int64{800 + hops, 400 + hops}},
		{"evicted prefix", []string{
			"rate engines 100 1000 100 0 1 0",
			"request 0 thun summary 20 500 3000 p idempotent", "request 2000 thun summary 20 500 3000 q idempotent", "request 4000 thun summary 20 500 3000 p idempotent",
		}, []int64{800 + hops, 800 + hops, 800 + hops}},
		{"slow period over half of the work", []string{
			"rate engines 100 1000 100 0 0 0", "slow engine1 2 411 9000",
			"request 0 thun summary 20 500 3000 - idempotent",
		}, []int64{1200 + hops}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for i, record := range run(t, c.lines...) {
				is.Equal(record.Outcome(), outcome.Done)
				is.Equal(record.Elapsed().Round(time.Millisecond).Milliseconds(), c.want[i])
			}
		})
	}
}

// TestOutcomes guards against outcomes that differ from those of io/runner. A command whose
// target crashed ends with outcome unknown. An idempotent call is retried up to the attempt
// limit, or refused as a suspect after its second crash. A deadline ends a queued and a
// running call with different reasons. Without measurements, a call times out after half of
// the remaining time and is retried.
func TestOutcomes(t *testing.T) {
	const (
		rate   = "rate engines 100 0 0 0 0 0"
		filler = "request 0 thun summary 0 0 1000 - idempotent"
	)
	for _, c := range []struct {
		name  string
		lines []string
		want  string
	}{
		{"crash of a command", []string{rate, "crash engine1 50 2000", "request 0 thun booking 0 0 3000 - command"}, "unknown crashed 1"},
		{"crash of an idempotent call", []string{rate, "crash engine1 50 2000", "request 0 thun summary 0 0 3000 - idempotent"}, "failed crashed 4"},
		{"second crash of an idempotent call", []string{rate, "crash engine1 50 51", "crash engine1 80 81", "request 0 thun summary 0 0 3000 - idempotent"}, "failed suspect 3"},
		{"command to a target that is down", []string{rate, "crash engine1 0 2000", "request 60 thun booking 0 0 3000 - command"}, "not-run crashed 1"},
		{"return before a command", []string{rate, "crash engine1 0 50", "request 60 thun booking 0 0 3000 - command"}, "done none 1"},
		{"deadline while running", []string{rate, "request 0 thun summary 0 0 90 - idempotent"}, "failed silent 4"},
		{"deadline of a running command", []string{rate, "request 0 thun booking 0 0 90 - command"}, "unknown silent 1"},
		{"deadline while waiting", []string{
			rate, filler, filler, filler, filler, filler, "request 0 thun summary 0 0 90 - idempotent",
		}, "failed deadline 1"},
		{"deadline of a waiting command", []string{
			rate, filler, filler, filler, filler, filler, "request 0 thun booking 0 0 90 - command",
		}, "not-run deadline 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			records := run(t, c.lines...)
			last := records[len(records)-1]
			is.Equal(fmt.Sprintf("%s %s %d", last.Outcome(), last.Reason(), last.Stages()[0].Attempts()), c.want)
		})
	}
}

// TestCancelFreesSlot guards against a call that keeps holding a slot after it timed out. The
// third call gets the slot of the first, which times out after three quarters of its 200 ms.
func TestCancelFreesSlot(t *testing.T) {
	is := is.New(t)
	records := run(t, "rate engines 1000 0 0 0 0 0",
		"request 0 thun summary 0 0 200 - idempotent", "request 0 thun summary 0 0 3000 - idempotent", "request 0 thun summary 0 0 3000 - idempotent")
	is.Equal(records[0].Outcome(), outcome.Failed)
	is.Equal(records[2].Outcome(), outcome.Done)
	is.Equal(records[2].Elapsed().Round(time.Millisecond), 1172*time.Millisecond)
}

// TestMaintenance guards against requests that are accepted although the preset accepts
// none, and against a preset switch that aborts a running request.
func TestMaintenance(t *testing.T) {
	is := is.New(t)
	records := run(t, "rate engines 1200 0 0 0 0 0", "switch 100 maintenance",
		"request 0 thun summary 0 0 3000 - idempotent", "request 1200 thun summary 0 0 3000 - idempotent")
	is.Equal(records[0].Outcome(), outcome.Done)
	is.Equal(records[1].Outcome(), outcome.NotRun)
	is.Equal(records[1].Reason(), reason.PresetClosed)
}

// TestHedge guards against hedges that the scheduler starts but the replay does not send, or
// that it counts as first calls.
func TestHedge(t *testing.T) {
	is := is.New(t)
	tr, err := trace.Generate("slow", 1)
	is.NoErr(err)
	for _, v := range replay.Variants() {
		r := replay.Run(tr, replay.WithVariant(v))
		hedged := v.Name() != replay.Baseline && v.Name() != "no-hedge"
		is.Equal(r.Retries(reason.RetryHedge) > 0, hedged)
		is.True(r.RetryOverhead() > 0 || !hedged)
	}
}
