package trace

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Upper limits of fields.
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

// absent is written in place of an empty field.
const absent = "-"

// Values of the field consequence, which states whether the request is a command.
const (
	wordIdempotent = "idempotent"
	wordCommand    = "command"
)

// Comparison operators of an objective.
const (
	atLeast = ">="
	atMost  = "<="
)

// Field describes one field of a line.
type Field struct {
	name    string
	allowed string
	// set parses and stores the value. It returns false if the value is invalid.
	set func(d *draft, value string) bool
}

// Name returns the name of the field.
func (f Field) Name() string { return f.name }

// Allowed describes the range of the field in words.
func (f Field) Allowed() string { return f.allowed }

// LineKind describes one kind of line.
type LineKind struct {
	keyword string
	doc     string
	fields  []Field
	// store adds the parsed line to the trace.
	store func(d *draft)
}

// Keyword returns the word that lines of this kind start with.
func (k LineKind) Keyword() string { return k.keyword }

// Doc returns the meaning of the line.
func (k LineKind) Doc() string { return k.doc }

// Fields returns the fields in the order in which they appear.
func (k LineKind) Fields() []Field { return append([]Field(nil), k.fields...) }

// LineKinds returns all kinds of lines except config lines. The rest of a config line is
// one line of the configuration document.
func LineKinds() []LineKind { return append([]LineKind(nil), lineKinds...) }

var lineKinds = []LineKind{
	{"trace", "names the trace", []Field{
		{"name", "a name of one word", func(d *draft, v string) bool { d.trace.name = v; return true }},
	}, func(*draft) {}},
	{"network", "one-way delays", []Field{
		millisField("between", 0, maxDeadline, "between availability zones; a quarter of it within one", func(d *draft) *time.Duration { return &d.trace.network.zoneDelay }),
		millisField("client", 0, maxDeadline, "between callers and entry hosts", func(d *draft) *time.Duration { return &d.trace.network.clientDelay }),
	}, func(*draft) {}},
	{"rate", "how fast the targets of a pool work", []Field{
		referenceField("pool", "a pool of the configuration", func(d *draft) *string { return &d.serviceModel.pool }, func(d *draft, v string) bool {
			_, ok := d.trace.document.Pool(v)
			return ok
		}),
		millisField("base", 0, maxDeadline, "time of each call besides its tokens", func(d *draft) *time.Duration { return &d.serviceModel.baseTime }),
		numberField("prefill", 0, maxRate, "prompt tokens/s of a call that runs alone; 0: no prompt", func(d *draft) *float64 { return &d.serviceModel.prefillRate }),
		numberField("decode", 0, maxRate, "tokens/s of a call that runs alone; 0: no tokens", func(d *draft) *float64 { return &d.serviceModel.decodeRate }),
		numberField("batch", 0, maxPercent, "percent by which each further running call slows all", func(d *draft) *float64 { return &d.serviceModel.batchSlowdownPercent }),
		integerField("cache", maxCache, "prompt prefixes that a target keeps", func(d *draft) *int { return &d.serviceModel.prefixCacheSize }),
		millisField("lag", 0, maxDeadline, "age of the load that comes with answers", func(d *draft) *time.Duration { return &d.serviceModel.loadReportLag }),
	}, func(d *draft) { d.trace.serviceModels[d.serviceModel.pool] = d.serviceModel }},
	{"request", "one request; arrivals must not decrease", []Field{
		millisField("arrival", 0, maxTime, "not before the arrival of the line above", func(d *draft) *time.Duration { return &d.request.sendTime }),
		referenceField("workspace", "a workspace of the configuration", func(d *draft) *string { return &d.request.workspace }, func(d *draft, v string) bool {
			_, ok := d.trace.document.Workspace(v)
			return ok
		}),
		referenceField("pipeline", "a pipeline of the configuration", func(d *draft) *string { return &d.request.pipeline }, func(d *draft, v string) bool {
			_, ok := d.trace.document.Pipeline(v)
			return ok
		}),
		integerField("size", maxTokens, "tokens of the answer", func(d *draft) *int { return &d.request.outputTokens }),
		integerField("prompt", maxTokens, "tokens of the prompt", func(d *draft) *int { return &d.request.promptTokens }),
		millisField("deadline", time.Millisecond, maxDeadline, "at most the deadline of the pipeline", func(d *draft) *time.Duration { return &d.request.deadline }),
		{"prefix", "a name of one word, or " + absent, func(d *draft, v string) bool {
			d.request.prefix = strings.TrimPrefix(v, absent)
			return v == absent || !strings.HasPrefix(v, absent)
		}},
		{"consequence", wordIdempotent + " or " + wordCommand + ", as the pipeline's stages say", func(d *draft, v string) bool {
			d.request.command = v == wordCommand
			return v == wordCommand || v == wordIdempotent
		}},
	}, (*draft).storeRequest},
	{"slow", "a target whose work takes longer for a while", []Field{
		targetField(func(d *draft) *string { return &d.slowPeriod.target }),
		numberField("factor", 1, maxFactor, "times the usual work time", func(d *draft) *float64 { return &d.slowPeriod.factor }),
		millisField("from", 0, maxTime, "start", func(d *draft) *time.Duration { return &d.slowPeriod.from }),
		millisField("to", 0, maxTime, "end, not before the start", func(d *draft) *time.Duration { return &d.slowPeriod.to }),
	}, func(d *draft) {
		d.checkWindow(d.slowPeriod.Window)
		d.trace.slowPeriods = append(d.trace.slowPeriods, d.slowPeriod)
	}},
	{"crash", "a target that loses all its work and is back later", []Field{
		targetField(func(d *draft) *string { return &d.crash.target }),
		millisField("from", 0, maxTime, "start", func(d *draft) *time.Duration { return &d.crash.from }),
		millisField("to", 0, maxTime, "return, not before the start", func(d *draft) *time.Duration { return &d.crash.to }),
	}, func(d *draft) { d.checkWindow(d.crash.Window); d.trace.crashes = append(d.trace.crashes, d.crash) }},
	{"switch", "another preset comes in force", []Field{
		millisField("at", 0, maxTime, "time of the switch", func(d *draft) *time.Duration { return &d.presetSwitch.at }),
		referenceField("preset", "a preset of the configuration", func(d *draft) *string { return &d.presetSwitch.preset }, (*draft).hasPreset),
	}, func(d *draft) { d.trace.presetSwitches = append(d.trace.presetSwitches, d.presetSwitch) }},
	{"peak", "the load peak that goodput and recovery are measured on", []Field{
		millisField("from", 0, maxTime, "start", func(d *draft) *time.Duration { return &d.trace.peak.from }),
		millisField("to", 0, maxTime, "end, not before the start", func(d *draft) *time.Duration { return &d.trace.peak.to }),
	}, func(d *draft) { d.checkWindow(d.trace.peak) }},
	{"expect", "a stated outcome", []Field{
		{"measure", "one of " + measureNames(), func(d *draft, v string) (ok bool) {
			d.objective.measure, ok = parseMeasure(v)
			return ok
		}},
		{"subject", "a workspace of the configuration, or " + absent + " for all", func(d *draft, v string) bool {
			d.objective.subject = strings.TrimPrefix(v, absent)
			if v != absent {
				d.deferCheck("subject", v, "a workspace of the configuration, or "+absent+" for all", func(d *draft) bool {
					_, ok := d.trace.document.Workspace(v)
					return ok
				})
			}
			return v == absent || !strings.HasPrefix(v, absent)
		}},
		{"comparison", atLeast + " or " + atMost, func(d *draft, v string) bool {
			d.objective.isUpper = v == atMost
			return v == atLeast || v == atMost
		}},
		numberField("bound", 0, maxBound, "in the unit of the measure", func(d *draft) *float64 { return &d.objective.bound }),
	}, func(d *draft) { d.trace.objectives = append(d.trace.objectives, d.objective) }},
}

func measureNames() string {
	words := make([]string, 0, measureCount)
	for _, m := range Measures() {
		words = append(words, m.String())
	}
	return strings.Join(words, ", ")
}

// millisField returns a field that holds an integer number of milliseconds.
func millisField(name string, low, high time.Duration, doc string, dest func(*draft) *time.Duration) Field {
	return Field{name, fmt.Sprintf("%d to %d (ms): %s", low.Milliseconds(), high.Milliseconds(), doc), func(d *draft, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < low.Milliseconds() || n > high.Milliseconds() {
			return false
		}
		*dest(d) = time.Duration(n) * time.Millisecond
		return true
	}}
}

// integerField returns a field that holds a non-negative integer.
func integerField(name string, high int, doc string, dest func(*draft) *int) Field {
	return Field{name, fmt.Sprintf("0 to %d: %s", high, doc), func(d *draft, v string) bool {
		n, err := strconv.Atoi(v)
		*dest(d) = n
		return err == nil && n >= 0 && n <= high
	}}
}

// numberField returns a field that holds a decimal number.
func numberField(name string, low, high float64, doc string, dest func(*draft) *float64) Field {
	return Field{name, fmt.Sprintf("%g to %g: %s", low, high, doc), func(d *draft, v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		*dest(d) = n
		return err == nil && !math.IsNaN(n) && n >= low && n <= high
	}}
}

// referenceField returns a field that holds the name of a configuration entity. It checks
// that the entity exists after the configuration is complete.
func referenceField(name, allowed string, dest func(*draft) *string, exists func(*draft, string) bool) Field {
	return Field{name, allowed, func(d *draft, v string) bool {
		*dest(d) = v
		d.deferCheck(name, v, allowed, func(d *draft) bool { return exists(d, v) })
		return true
	}}
}

func targetField(dest func(*draft) *string) Field {
	return referenceField("target", "a target of the configuration", dest, func(d *draft, v string) bool {
		for _, t := range d.trace.document.Targets() {
			if t.Name() == v {
				return true
			}
		}
		return false
	})
}
