package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
	"sassafrasward/io/live"
	reporting "sassafrasward/io/report"
)

// errMissed is returned if an objective of the trace was missed or not measured. Reports and the
// trace format call an objective a stated outcome.
var errMissed = errors.New("a stated outcome was missed")

// replayCommand replays a recorded trace, in virtual time or live.
type replayCommand struct {
	env     *environment
	Trace   string  `long:"trace" description:"trace file"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of the random numbers"`
	Hosts   int     `long:"hosts" default:"6" description:"number of entry hosts, 1 to 1000"`
	Policy  string  `long:"policy" default:"full" description:"full, baseline, or full without one mechanism, such as no-hedge"`
	Compare bool    `long:"compare" description:"run baseline, full and full without each mechanism"`
	Live    bool    `long:"live" description:"run against daemons and stand-ins over loopback, with the policy of the active preset"`
	Scale   float64 `long:"scale" default:"1" description:"duration of a live run as a fraction of the trace's, 0.05 to 1"`
	Plot    string  `long:"plot" description:"write a plot (PNG) to this file"`
	Format  bool    `long:"format" description:"print the trace format, the scenarios and the policies"`
	Write   string  `long:"write" description:"write the generated scenario with this name to the trace file instead"`
}

const (
	maxHosts = 1_000
	// Below minScale, the timer intervals of the daemons, which are not scaled, are too
	// coarse for the scaled deadlines.
	minScale = 0.05
	maxScale = 1.0
)

// Execute implements flags.Commander.
func (r *replayCommand) Execute([]string) error {
	if r.Format {
		return reporting.WriteTraceFormat(r.env.out)
	}
	if r.Trace == "" {
		return usageError("--trace: allowed: the name of a file (required)")
	}
	if r.Hosts < 1 || r.Hosts > maxHosts {
		return usageError("--hosts %d: allowed: 1 to %d", r.Hosts, maxHosts)
	}
	if !(r.Scale >= minScale && r.Scale <= maxScale) {
		return usageError("--scale %g: allowed: %g to %g", r.Scale, minScale, maxScale)
	}
	if r.Live && (r.Compare || r.Policy != replay.Full) {
		return usageError("--live: allowed: without --compare and --policy")
	}
	variant, ok := replay.FindVariant(r.Policy)
	if !ok {
		return usageError("--policy %q: allowed: %s", r.Policy, variantNames())
	}
	if r.Write != "" {
		return r.write()
	}
	raw, err := os.ReadFile(r.Trace)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidInput, err)
	}
	t, err := trace.Parse(raw)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidInput, err)
	}
	if r.Compare {
		return r.compare(t)
	}
	return r.runOnce(t, variant)
}

func usageError(format string, values ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, values...)}
}

func variantNames() (names string) {
	for i, v := range replay.Variants() {
		if i > 0 {
			names += ", "
		}
		names += v.Name()
	}
	return names
}

// write generates a scenario and writes it to the trace file. The first line of the file is a
// comment with the command that generates it.
func (r *replayCommand) write() error {
	t, err := trace.Generate(r.Write, r.Seed)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidInput, err)
	}
	head := fmt.Sprintf("# sassafrasward replay --write %s --seed %d --trace FILE\n", r.Write, r.Seed)
	return os.WriteFile(r.Trace, append([]byte(head), t.Bytes()...), 0o644)
}

func (r *replayCommand) run(t *trace.Trace, v replay.Variant) (*replay.Result, error) {
	if r.Live {
		return live.Run(r.env.ctx, t, r.Seed, r.Hosts, r.Scale)
	}
	return replay.Run(t, replay.WithSeed(r.Seed), replay.WithHosts(r.Hosts), replay.WithVariant(v)), nil
}

// evaluate measures the objectives of the trace. Reference traces run with the same seed and
// policy.
func (r *replayCommand) evaluate(result *replay.Result, v replay.Variant) ([]reporting.ObjectiveResult, error) {
	return reporting.EvaluateObjectives(result, func(t *trace.Trace) (*replay.Result, error) { return r.run(t, v) })
}

func (r *replayCommand) runOnce(t *trace.Trace, v replay.Variant) error {
	result, err := r.run(t, v)
	if err != nil {
		return err
	}
	if err := reporting.WriteText(r.env.out, result); err != nil {
		return err
	}
	if err := r.plot(result); err != nil {
		return err
	}
	results, err := r.evaluate(result, v)
	if err != nil {
		return err
	}
	return r.writeObjectives(results)
}

func (r *replayCommand) plot(result *replay.Result) (err error) {
	if r.Plot == "" {
		return nil
	}
	file, err := os.Create(r.Plot)
	if err != nil {
		return err
	}
	return errors.Join(reporting.WritePlot(file, result), file.Close())
}

func (r *replayCommand) writeObjectives(results []reporting.ObjectiveResult) error {
	met, err := reporting.WriteObjectives(r.env.out, results)
	if err == nil && !met {
		err = errMissed
	}
	return err
}

func (r *replayCommand) compare(t *trace.Trace) error {
	var rows []reporting.ComparisonRow
	for _, v := range replay.Variants() {
		result, err := r.run(t, v)
		if err != nil {
			return err
		}
		objectives, err := r.evaluate(result, v)
		if err != nil {
			return err
		}
		rows = append(rows, reporting.NewComparisonRow(result, objectives))
	}
	return reporting.WriteComparison(r.env.out, rows)
}
