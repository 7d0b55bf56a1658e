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

// errMissed is returned if a stated outcome of the trace was not reached.
var errMissed = errors.New("a stated outcome was missed")

// rerun replays a recorded trace.
type rerun struct {
	env     *environment
	Trace   string  `long:"trace" description:"trace file"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of all randomness"`
	Hosts   int     `long:"hosts" default:"6" description:"number of entry hosts, 1 to 1000"`
	Policy  string  `long:"policy" default:"full" description:"full, baseline, or no- and one mechanism"`
	Compare bool    `long:"compare" description:"run baseline, full and full without each mechanism"`
	Live    bool    `long:"live" description:"run against daemons and stand-ins over loopback, with the policy of the preset in force"`
	Scale   float64 `long:"scale" default:"1" description:"duration of a live run in parts of the trace's, 0.05 to 1"`
	Plot    string  `long:"plot" description:"write a plot (PNG) to this file"`
	Format  bool    `long:"format" description:"print the trace format, the scenarios and the policies"`
	Write   string  `long:"write" description:"write the generated scenario with this name to the trace file instead"`
}

const (
	maxHosts = 1_000
	// Below minScale the ticks of the daemons, which are not scaled, are too coarse for the
	// deadlines.
	minScale = 0.05
	maxScale = 1.0
)

// Execute implements flags.Commander.
func (r *rerun) Execute([]string) error {
	if r.Format {
		return reporting.WriteTraceFormat(r.env.out)
	}
	if r.Trace == "" {
		return wrongArgument("--trace: allowed: the name of a file (required)")
	}
	if r.Hosts < 1 || r.Hosts > maxHosts {
		return wrongArgument("--hosts %d: allowed: 1 to %d", r.Hosts, maxHosts)
	}
	if !(r.Scale >= minScale && r.Scale <= maxScale) {
		return wrongArgument("--scale %g: allowed: %g to %g", r.Scale, minScale, maxScale)
	}
	if r.Live && (r.Compare || r.Policy != replay.Full) {
		return wrongArgument("--live: allowed: without --compare and --policy")
	}
	variant, ok := replay.FindVariant(r.Policy)
	if !ok {
		return wrongArgument("--policy %q: allowed: %s", r.Policy, variantWords())
	}
	if r.Write != "" {
		return r.write()
	}
	raw, err := os.ReadFile(r.Trace)
	if err != nil {
		return fmt.Errorf("%w: %w", errMistakes, err)
	}
	t, err := trace.Parse(raw)
	if err != nil {
		return fmt.Errorf("%w: %w", errMistakes, err)
	}
	if r.Compare {
		return r.compare(t)
	}
	return r.once(t, variant)
}

func wrongArgument(format string, values ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, values...)}
}

func variantWords() (words string) {
	for i, v := range replay.Variants() {
		if i > 0 {
			words += ", "
		}
		words += v.Name()
	}
	return words
}

// write generates a scenario. The first line of the file says how it was made.
func (r *rerun) write() error {
	t, err := trace.Generate(r.Write, r.Seed)
	if err != nil {
		return fmt.Errorf("%w: %w", errMistakes, err)
	}
	head := fmt.Sprintf("# sassafrasward replay --write %s --seed %d --trace FILE\n", r.Write, r.Seed)
	return os.WriteFile(r.Trace, append([]byte(head), t.Bytes()...), 0o644)
}

func (r *rerun) run(t *trace.Trace, v replay.Variant) (*replay.Result, error) {
	if r.Live {
		return live.Run(r.env.ctx, t, r.Seed, r.Hosts, r.Scale)
	}
	return replay.Run(t, replay.WithSeed(r.Seed), replay.WithHosts(r.Hosts), replay.WithVariant(v)), nil
}

// judge measures the stated outcomes; references run with the same seed and policy.
func (r *rerun) judge(result *replay.Result, v replay.Variant) ([]reporting.ObjectiveResult, error) {
	return reporting.EvaluateObjectives(result, func(t *trace.Trace) (*replay.Result, error) { return r.run(t, v) })
}

func (r *rerun) once(t *trace.Trace, v replay.Variant) error {
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
	verdicts, err := r.judge(result, v)
	if err != nil {
		return err
	}
	return r.verdict(verdicts)
}

func (r *rerun) plot(result *replay.Result) (err error) {
	if r.Plot == "" {
		return nil
	}
	file, err := os.Create(r.Plot)
	if err != nil {
		return err
	}
	return errors.Join(reporting.WritePlot(file, result), file.Close())
}

func (r *rerun) verdict(verdicts []reporting.ObjectiveResult) error {
	met, err := reporting.WriteObjectives(r.env.out, verdicts)
	if err == nil && !met {
		err = errMissed
	}
	return err
}

func (r *rerun) compare(t *trace.Trace) error {
	var rows []reporting.ComparisonRow
	for _, v := range replay.Variants() {
		result, err := r.run(t, v)
		if err != nil {
			return err
		}
		verdicts, err := r.judge(result, v)
		if err != nil {
			return err
		}
		rows = append(rows, reporting.NewComparisonRow(result, verdicts))
	}
	return reporting.WriteComparison(r.env.out, rows)
}
