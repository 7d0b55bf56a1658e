package report

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
)

// Error is the class of all errors of this package.
var Error = errs.Class("report")

// printer writes lines and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", values...)
	}
}

// Text writes the report of one run.
func WriteText(out io.Writer, r *replay.Result) (err error) {
	defer func() { err = Error.Wrap(err) }()
	p := &printer{out: out}
	p.head(r)
	p.attainment(r)
	p.latencies(r)
	p.stages(r)
	p.reasons(r)
	p.uses(r)
	p.seconds(r)
	return p.err
}

func (p *printer) head(r *replay.Result) {
	p.line("trace %s, policy %s, seed %d, %d hosts, %d requests, %.1f s", r.Trace().Name(), r.Variant(), r.Seed(), r.Hosts(), len(r.Records()), r.Length().Seconds())
	if w := r.Trace().Peak(); w.Length() > 0 {
		room, pool := r.Trace().Capacity(w)
		p.line("peak %.0f s to %.0f s: the pools can do %.1f requests/s of its mix (bound by %s), %.0f answers after the ramp; goodput %.1f%%",
			w.From().Seconds(), w.To().Seconds(), room, pool, r.Trace().MaxAnswers(w), 100*r.Goodput())
	}
}

// classes are the kinds of work that are reported apart.
var classes = []struct {
	name  string
	match func(replay.Record) bool
}{
	{"short", func(r replay.Record) bool { return !r.Long() && !r.Request().Command() }},
	{"command", func(r replay.Record) bool { return r.Request().Command() }},
	{"long", replay.Record.Long},
}

func (p *printer) attainment(r *replay.Result) {
	p.line("\nattainment (answered completely and in time), percent of requests")
	p.line("  %-12s %9s %9s %9s %9s", "workspace", "all", "short", "command", "long")
	names := []string{"all"}
	for _, w := range r.Trace().Document().Workspaces() {
		names = append(names, w.Name())
	}
	for _, name := range names {
		of := func(one replay.Record) bool { return name == "all" || one.Request().Workspace() == name }
		row := fmt.Sprintf("  %-12s %9s", name, percent(r, of))
		for _, c := range classes {
			row += fmt.Sprintf(" %9s", percent(r, func(one replay.Record) bool { return of(one) && c.match(one) }))
		}
		p.line("%s", row)
	}
	for o := outcome.Done; o <= outcome.Unknown; o++ {
		p.line("  outcome %-8s %d", o, len(filter(r, func(one replay.Record) bool { return one.Outcome() == o })))
	}
}

// percent returns the attainment of the matching requests, or a dash if there are none.
func percent(r *replay.Result, match func(replay.Record) bool) string {
	if len(filter(r, match)) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", 100*r.Attainment(match))
}

func filter(r *replay.Result, match func(replay.Record) bool) (list []replay.Record) {
	for _, one := range r.Records() {
		if match(one) {
			list = append(list, one)
		}
	}
	return list
}

func (p *printer) latencies(r *replay.Result) {
	p.line("\ntime to answer, ms (p99 strict: a request without an answer counts with its deadline)")
	p.line("  %-8s %8s %9s %9s %9s %11s", "class", "answers", "p50", "p99", "p99.9", "p99 strict")
	for _, long := range []bool{false, true} {
		h := r.Latencies(func(one replay.Record) bool { return one.Long() == long && one.InTime() })
		name := "short"
		if long {
			name = "long"
		}
		p.line("  %-8s %8d %9.1f %9.1f %9.1f %11.1f", name, h.TotalCount(), quantile(h, 50), quantile(h, 99), quantile(h, 99.9), r.P99(long))
	}
}

func quantile(h interface{ ValueAtQuantile(float64) int64 }, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// cost sums up one stage of one pipeline.
type cost struct {
	count, attempts int
	wait, elapsed   time.Duration
}

func (p *printer) stages(r *replay.Result) {
	p.line("\ncost by stage, means per request that reached the stage")
	p.line("  %-14s %-12s %8s %9s %12s %12s", "pipeline", "stage", "requests", "calls", "waiting ms", "target ms")
	for _, pipeline := range r.Trace().Document().Pipelines() {
		costs := make(map[string]*cost)
		for _, one := range r.Records() {
			if one.Request().Pipeline() == pipeline.Name() {
				add(costs, one)
			}
		}
		for _, s := range pipeline.Stages() {
			if c, ok := costs[s.Name()]; ok {
				n := float64(c.count)
				p.line("  %-14s %-12s %8d %9.3f %12.1f %12.1f", pipeline.Name(), s.Name(), c.count, float64(c.attempts)/n, 1000*c.wait.Seconds()/n, 1000*c.elapsed.Seconds()/n)
			}
		}
	}
}

func add(costs map[string]*cost, one replay.Record) {
	for _, s := range one.Stages() {
		c, ok := costs[s.Name()]
		if !ok {
			c = &cost{}
			costs[s.Name()] = c
		}
		c.count++
		c.attempts += s.Attempts()
		c.wait += s.Wait()
		c.elapsed += s.Elapsed()
	}
}

func (p *printer) reasons(r *replay.Result) {
	p.line("\nrefusals and failures by reason")
	for _, rule := range reason.Entries() {
		n := len(filter(r, func(one replay.Record) bool { return one.Reason() == rule.Reason() }))
		if n > 0 && rule.Reason() != reason.None {
			p.line("  %-12s %d", rule.Reason(), n)
		}
	}
	p.line("repeated stage calls by reason")
	for _, why := range reason.Retries() {
		if n := r.Retries(why); n > 0 {
			p.line("  %-12s %d", why, n)
		}
	}
}

func (p *printer) uses(r *replay.Result) {
	if len(r.PoolUsages()) == 0 {
		p.line("\nslot use: not measured in this run")
		return
	}
	p.line("\nslot use, percent of slots over the run; repeated and wasted in percent of the use")
	p.line("  %-12s %6s %8s %10s %8s", "pool", "slots", "use", "repeated", "wasted")
	for _, u := range r.PoolUsages() {
		whole := float64(u.Slots()) * r.Length().Seconds()
		p.line("  %-12s %6d %8.1f %10.2f %8.2f", u.Pool(), u.Slots(), 100*ratio(u.Busy().Seconds(), whole), 100*ratio(u.Repeated().Seconds(), u.Busy().Seconds()), 100*ratio(u.Wasted().Seconds(), u.Busy().Seconds()))
	}
	p.line("  load added by retries and hedges: %.2f%%", 100*r.RetryOverhead())
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// bin is one second of a run.
type bin struct {
	arrivals, answers, queue int
	preset                   string
}

// bins returns the run second by second.
func bins(r *replay.Result) []bin {
	list := make([]bin, int(r.Length()/time.Second)+1)
	for _, one := range r.Records() {
		list[min(int(one.Request().SendTime()/time.Second), len(list)-1)].arrivals++
		if one.InTime() {
			list[int(one.End()/time.Second)].answers++
		}
	}
	for i := range list {
		if i < len(r.QueueLengths()) {
			list[i].queue = r.QueueLengths()[i]
		}
		list[i].preset = presetAt(r.Trace(), time.Duration(i)*time.Second)
	}
	return list
}

func presetAt(t *trace.Trace, at time.Duration) string {
	name := t.Document().ActivePreset().Name()
	for _, s := range t.PresetSwitches() {
		if s.At() <= at {
			name = s.Preset()
		}
	}
	return name
}

// seconds prints the run second by second: the load peak with two seconds around it, or
// everything up to the last arrival if the trace states no peak.
func (p *printer) seconds(r *replay.Result) {
	const around = 2
	list := bins(r)
	from, to := 0, len(list)
	if last := slices.IndexFunc(list, func(b bin) bool { return b.arrivals == 0 }); last > 0 {
		to = last
	}
	if w := r.Trace().Peak(); w.Length() > 0 {
		from, to = max(int(w.From().Seconds())-around, 0), min(int(w.To().Seconds())+around+1, len(list))
	}
	p.line("\nsecond by second")
	p.line("  %6s %9s %9s %8s  %s", "second", "arrivals", "in time", "waiting", "preset")
	for i := from; i < to; i++ {
		p.line("  %6d %9d %9d %8d  %s", i, list[i].arrivals, list[i].answers, list[i].queue, list[i].preset)
	}
}
