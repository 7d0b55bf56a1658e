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

// text returns the whole report of a run.
func text(t *testing.T, one *trace.Trace, options ...replay.Option) string {
	t.Helper()
	var b bytes.Buffer
	if err := report.Text(&b, replay.Run(one, options...)); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestSameSeed guards against anything but the seed, such as map order or a clock, that
// reaches a decision: two runs must give the same report to the byte.
func TestSameSeed(t *testing.T) {
	is := is.New(t)
	for _, s := range trace.Scenarios() {
		one, err := trace.Generate(s.Name(), 3)
		is.NoErr(err)
		first := text(t, one, replay.WithSeed(7))
		is.Equal(first, text(t, one, replay.WithSeed(7)))
		is.True(first != text(t, one, replay.WithSeed(8))) // the seed has an effect
	}
}

// TestAllEnd guards against a request that is lost: under every policy each request of a
// trace with crashes must have an end, and a reason unless it is done.
func TestAllEnd(t *testing.T) {
	is := is.New(t)
	one, err := trace.Generate("rush", 5)
	is.NoErr(err)
	for _, v := range replay.Variants() {
		r := replay.Run(one, replay.WithVariant(v))
		is.Equal(len(r.Records()), len(one.Requests()))
		for _, record := range r.Records() {
			is.True(record.Elapsed() > 0)
			is.True(record.Outcome() == outcome.Done || record.Reason() != 0)
		}
	}
}

// alone is one engine with 2 slots on one host; calls do not slow each other.
const alone = `config [document]
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

func run(t *testing.T, lines ...string) []replay.Record {
	t.Helper()
	one, err := trace.Parse([]byte(alone + strings.Join(lines, "\n") + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	return replay.Run(one, replay.WithHosts(1)).Records()
}

// TestStandIn guards against a stand-in that does not keep its stated rates. The expected
// times follow from the lines: 10 ms to the host and back twice, 1 ms to the target twice,
// then 100 ms base, prompt at 1000 tokens/s and answer at 100 tokens/s.
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
		{"slow moment over half of the work", []string{
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

// TestOutcomes guards against an end that the runner would tell differently: a command
// whose target crashed is unknown, an idempotent call is repeated until the attempt bound,
// or refused as a suspect after its second crash, and a deadline ends a call that waits and
// one that runs with different reasons. Without measurements, a call is given up after half
// of the time left and repeated.
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

// TestCancel guards against a call that goes on to hold a slot after it was given up: the
// third call gets the slot of the first, which is given up after three quarters of its 200 ms.
func TestCancel(t *testing.T) {
	is := is.New(t)
	records := run(t, "rate engines 1000 0 0 0 0 0",
		"request 0 thun summary 0 0 200 - idempotent", "request 0 thun summary 0 0 3000 - idempotent", "request 0 thun summary 0 0 3000 - idempotent")
	is.Equal(records[0].Outcome(), outcome.Failed)
	is.Equal(records[2].Outcome(), outcome.Done)
	is.Equal(records[2].Elapsed().Round(time.Millisecond), 1172*time.Millisecond)
}

// TestMaintenance guards against a preset that takes no requests but is ignored, and
// against a switch that cuts off a running request.
func TestMaintenance(t *testing.T) {
	is := is.New(t)
	records := run(t, "rate engines 1200 0 0 0 0 0", "switch 100 maintenance",
		"request 0 thun summary 0 0 3000 - idempotent", "request 1200 thun summary 0 0 3000 - idempotent")
	is.Equal(records[0].Outcome(), outcome.Done)
	is.Equal(records[1].Outcome(), outcome.NotRun)
	is.Equal(records[1].Reason(), reason.PresetClosed)
}

// TestHedge guards against duplicates that the scheduler starts but the replay drops, or
// that it counts as first calls.
func TestHedge(t *testing.T) {
	is := is.New(t)
	one, err := trace.Generate("slow", 1)
	is.NoErr(err)
	for _, v := range replay.Variants() {
		r := replay.Run(one, replay.WithVariant(v))
		hedged := v.Name() != replay.Baseline && v.Name() != "no-hedge"
		is.Equal(r.Retries(reason.RetryHedge) > 0, hedged)
		is.True(r.RetryOverhead() > 0 || !hedged)
	}
}
