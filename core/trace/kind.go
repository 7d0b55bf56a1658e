package trace

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Bounds of the fields.
const (
	maxTime     = 24 * time.Hour
	maxDeadline = time.Hour
	maxTokens   = 1_000_000
	maxFactor   = 1_000
	maxRate     = 1e9 // tokens/s
	maxPercent  = 1_000
	maxCache    = 100_000 // prefixes
	maxBound    = 1e9
)

// absent stands for an empty field.
const absent = "-"

// Words of the last field of a request.
const (
	wordIdempotent = "idempotent"
	wordCommand    = "command"
)

// Comparisons of a stated outcome.
const (
	least = ">="
	most  = "<="
)

// Field is one field of a kind of line.
type Field struct {
	name    string
	allowed string
	set     func(d *draft, value string) bool
}

// Name returns the name of the field.
func (f Field) Name() string { return f.name }

// Allowed states the range of the field in words.
func (f Field) Allowed() string { return f.allowed }

// Kind is one kind of line.
type LineKind struct {
	word   string
	doc    string
	fields []Field
	// keep takes the draft's line over into the trace.
	keep func(d *draft)
}

// Word returns the word that the line starts with.
func (k LineKind) Keyword() string { return k.word }

// Doc returns the meaning of the line.
func (k LineKind) Doc() string { return k.doc }

// Fields returns the fields in order.
func (k LineKind) Fields() []Field { return append([]Field(nil), k.fields...) }

// Kinds returns the registry of lines. The kind config is not in it: the rest of a config
// line is one line of the configuration document.
func LineKinds() []LineKind { return append([]LineKind(nil), kinds...) }

var kinds = []LineKind{
	{"trace", "names the trace", []Field{
		{"name", "a name of one word", func(d *draft, v string) bool { d.trace.name = v; return true }},
	}, func(*draft) {}},
	{"network", "one-way delays", []Field{
		millis("between", 0, maxDeadline, "between availability zones; a quarter of it within one", func(d *draft) *time.Duration { return &d.trace.network.between }),
		millis("client", 0, maxDeadline, "between callers and entry hosts", func(d *draft) *time.Duration { return &d.trace.network.client }),
	}, func(*draft) {}},
	{"rate", "how fast the targets of a pool work", []Field{
		reference("pool", "a pool of the configuration", func(d *draft) *string { return &d.rate.pool }, func(d *draft, v string) bool {
			_, ok := d.trace.document.Pool(v)
			return ok
		}),
		millis("base", 0, maxDeadline, "time of each call besides its tokens", func(d *draft) *time.Duration { return &d.rate.base }),
		number("prefill", 0, maxRate, "prompt tokens/s of a call that runs alone; 0: no prompt", func(d *draft) *float64 { return &d.rate.prefill }),
		number("decode", 0, maxRate, "tokens/s of a call that runs alone; 0: no tokens", func(d *draft) *float64 { return &d.rate.decode }),
		number("batch", 0, maxPercent, "percent by which each further running call slows all", func(d *draft) *float64 { return &d.rate.batch }),
		integer("cache", maxCache, "prompt prefixes that a target keeps", func(d *draft) *int { return &d.rate.cache }),
		millis("lag", 0, maxDeadline, "age of the load that comes with answers", func(d *draft) *time.Duration { return &d.rate.lag }),
	}, func(d *draft) { d.trace.rates[d.rate.pool] = d.rate }},
	{"request", "one request; arrivals must not decrease", []Field{
		millis("arrival", 0, maxTime, "not before the arrival of the line above", func(d *draft) *time.Duration { return &d.request.at }),
		reference("workspace", "a workspace of the configuration", func(d *draft) *string { return &d.request.workspace }, func(d *draft, v string) bool {
			_, ok := d.trace.document.Workspace(v)
			return ok
		}),
		reference("pipeline", "a pipeline of the configuration", func(d *draft) *string { return &d.request.pipeline }, func(d *draft, v string) bool {
			_, ok := d.trace.document.Pipeline(v)
			return ok
		}),
		integer("size", maxTokens, "tokens of the answer", func(d *draft) *int { return &d.request.size }),
		integer("prompt", maxTokens, "tokens of the prompt", func(d *draft) *int { return &d.request.prompt }),
		millis("deadline", time.Millisecond, maxDeadline, "at most the deadline of the pipeline", func(d *draft) *time.Duration { return &d.request.deadline }),
		{"prefix", "a name of one word, or " + absent, func(d *draft, v string) bool {
			d.request.prefix = strings.TrimPrefix(v, absent)
			return v == absent || !strings.HasPrefix(v, absent)
		}},
		{"consequence", wordIdempotent + " or " + wordCommand + ", as the pipeline's stages say", func(d *draft, v string) bool {
			d.request.command = v == wordCommand
			return v == wordCommand || v == wordIdempotent
		}},
	}, (*draft).keepRequest},
	{"slow", "a target whose work takes longer for a while", []Field{
		target(func(d *draft) *string { return &d.slow.target }),
		number("factor", 1, maxFactor, "times the usual work time", func(d *draft) *float64 { return &d.slow.factor }),
		millis("from", 0, maxTime, "start", func(d *draft) *time.Duration { return &d.slow.from }),
		millis("to", 0, maxTime, "end, not before the start", func(d *draft) *time.Duration { return &d.slow.to }),
	}, func(d *draft) { d.keepWindow(d.slow.Window); d.trace.slows = append(d.trace.slows, d.slow) }},
	{"crash", "a target that loses all its work and is back later", []Field{
		target(func(d *draft) *string { return &d.crash.target }),
		millis("from", 0, maxTime, "start", func(d *draft) *time.Duration { return &d.crash.from }),
		millis("to", 0, maxTime, "return, not before the start", func(d *draft) *time.Duration { return &d.crash.to }),
	}, func(d *draft) { d.keepWindow(d.crash.Window); d.trace.crashes = append(d.trace.crashes, d.crash) }},
	{"switch", "another preset comes in force", []Field{
		millis("at", 0, maxTime, "time of the switch", func(d *draft) *time.Duration { return &d.change.at }),
		reference("preset", "a preset of the configuration", func(d *draft) *string { return &d.change.preset }, (*draft).hasPreset),
	}, func(d *draft) { d.trace.switches = append(d.trace.switches, d.change) }},
	{"peak", "the load peak that goodput and recovery are measured on", []Field{
		millis("from", 0, maxTime, "start", func(d *draft) *time.Duration { return &d.trace.peak.from }),
		millis("to", 0, maxTime, "end, not before the start", func(d *draft) *time.Duration { return &d.trace.peak.to }),
	}, func(d *draft) { d.keepWindow(d.trace.peak) }},
	{"expect", "a stated outcome", []Field{
		{"measure", "one of " + measureWords(), func(d *draft, v string) (ok bool) {
			d.expect.measure, ok = parseMeasure(v)
			return ok
		}},
		{"subject", "a workspace of the configuration, or " + absent + " for all", func(d *draft, v string) bool {
			d.expect.subject = strings.TrimPrefix(v, absent)
			if v != absent {
				d.later("subject", v, "a workspace of the configuration, or "+absent+" for all", func(d *draft) bool {
					_, ok := d.trace.document.Workspace(v)
					return ok
				})
			}
			return v == absent || !strings.HasPrefix(v, absent)
		}},
		{"comparison", least + " or " + most, func(d *draft, v string) bool {
			d.expect.most = v == most
			return v == least || v == most
		}},
		number("bound", 0, maxBound, "in the unit of the measure", func(d *draft) *float64 { return &d.expect.bound }),
	}, func(d *draft) { d.trace.expects = append(d.trace.expects, d.expect) }},
}

func measureWords() string {
	words := make([]string, 0, last)
	for _, m := range Measures() {
		words = append(words, m.String())
	}
	return strings.Join(words, ", ")
}

// millis is a field that holds a whole number of milliseconds.
func millis(name string, low, high time.Duration, doc string, to func(*draft) *time.Duration) Field {
	return Field{name, fmt.Sprintf("%d to %d (ms): %s", low.Milliseconds(), high.Milliseconds(), doc), func(d *draft, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < low.Milliseconds() || n > high.Milliseconds() {
			return false
		}
		*to(d) = time.Duration(n) * time.Millisecond
		return true
	}}
}

// integer is a field that holds a whole number from zero.
func integer(name string, high int, doc string, to func(*draft) *int) Field {
	return Field{name, fmt.Sprintf("0 to %d: %s", high, doc), func(d *draft, v string) bool {
		n, err := strconv.Atoi(v)
		*to(d) = n
		return err == nil && n >= 0 && n <= high
	}}
}

// number is a field that holds a decimal number.
func number(name string, low, high float64, doc string, to func(*draft) *float64) Field {
	return Field{name, fmt.Sprintf("%g to %g: %s", low, high, doc), func(d *draft, v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		*to(d) = n
		return err == nil && !math.IsNaN(n) && n >= low && n <= high
	}}
}

// reference is a field that names something in the configuration.
func reference(name, allowed string, to func(*draft) *string, known func(*draft, string) bool) Field {
	return Field{name, allowed, func(d *draft, v string) bool {
		*to(d) = v
		d.later(name, v, allowed, func(d *draft) bool { return known(d, v) })
		return true
	}}
}

func target(to func(*draft) *string) Field {
	return reference("target", "a target of the configuration", to, func(d *draft, v string) bool {
		for _, t := range d.trace.document.Targets() {
			if t.Name() == v {
				return true
			}
		}
		return false
	})
}
