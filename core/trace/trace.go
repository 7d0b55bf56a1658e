package trace

import (
	"time"

	"sassafrasward/core/config"
)

// Trace is a checked trace. It does not change after Parse.
type Trace struct {
	name string
	// config holds the lines of the document.
	documentLines []string
	document      *config.Document
	network       Network
	serviceModels map[string]ServiceModel
	// requests are in the order of their arrival.
	requests       []Request
	slowPeriods    []SlowPeriod
	crashes        []Crash
	presetSwitches []PresetSwitch
	objectives     []Objective
	peak           Window
}

// Name returns the name of the trace.
func (t *Trace) Name() string { return t.name }

// Document returns the configuration that the trace runs under.
func (t *Trace) Document() *config.Document { return t.document }

// Network returns the delays between machines.
func (t *Trace) Network() Network { return t.network }

// Rate returns the rate of the pool's targets.
func (t *Trace) ServiceModel(pool string) ServiceModel { return t.serviceModels[pool] }

// Requests returns the requests in the order of their arrival.
func (t *Trace) Requests() []Request { return t.requests }

// Slows returns the moments in which targets are slow.
func (t *Trace) SlowPeriods() []SlowPeriod { return t.slowPeriods }

// Crashes returns the crashes of targets.
func (t *Trace) Crashes() []Crash { return t.crashes }

// Switches returns the preset switches.
func (t *Trace) PresetSwitches() []PresetSwitch { return t.presetSwitches }

// Expects returns the stated outcomes.
func (t *Trace) Objectives() []Objective { return t.objectives }

// Peak returns the load peak; empty if the trace states none.
func (t *Trace) Peak() Window { return t.peak }

// Window is a span of the trace.
type Window struct{ from, to time.Duration }

// From returns the start of the window.
func (w Window) From() time.Duration { return w.from }

// To returns the end of the window.
func (w Window) To() time.Duration { return w.to }

// Length returns the length of the window.
func (w Window) Length() time.Duration { return w.to - w.from }

// Has reports whether the time is in the window.
func (w Window) Contains(at time.Duration) bool { return at >= w.from && at < w.to }

// Network states one-way delays.
type Network struct {
	// between is the delay between availability zones; within a zone it is a quarter.
	zoneDelay time.Duration
	// client is the delay between callers and entry hosts.
	clientDelay time.Duration
}

// withinShare is the delay within a zone as a part of the delay between zones.
const sameZoneDivisor = 4

// Hop returns the one-way delay between two zones.
func (n Network) ZoneDelay(a, b string) time.Duration {
	if a == b {
		return n.zoneDelay / sameZoneDivisor
	}
	return n.zoneDelay
}

// Client returns the one-way delay between callers and entry hosts.
func (n Network) ClientDelay() time.Duration { return n.clientDelay }

// Rate says how fast the targets of a pool work.
type ServiceModel struct {
	pool string
	// base is the time that each call takes besides its tokens.
	baseTime time.Duration
	// prefill and decode are tokens/s of one call that runs alone; zero if the pool does
	// not work on tokens.
	prefillRate float64
	decodeRate  float64
	// batch is the slowdown of all running calls by each further one, in percent.
	batchSlowdownPercent float64
	// cache is the number of prompt prefixes that a target keeps.
	prefixCacheSize int
	// lag is the age of the load that comes with answers.
	loadReportLag time.Duration
}

// CachedShare is the part of a prompt that a cached prefix saves.
const CachedPromptFraction = 0.8

// Work returns the time that a call needs on a target on which it runs alone.
func (r ServiceModel) ServiceTime(q Request, cached bool) time.Duration {
	prompt := float64(q.promptTokens)
	if cached {
		prompt *= 1 - CachedPromptFraction
	}
	seconds := 0.0
	if r.prefillRate > 0 {
		seconds += prompt / r.prefillRate
	}
	if r.decodeRate > 0 {
		seconds += float64(q.outputTokens) / r.decodeRate
	}
	return r.baseTime + time.Duration(seconds*float64(time.Second))
}

// Slowdown returns the factor by which n calls that run together slow each other.
func (r ServiceModel) Slowdown(n int) float64 {
	return 1 + r.batchSlowdownPercent/100*float64(max(n-1, 0))
}

// Cache returns the number of prompt prefixes that a target keeps.
func (r ServiceModel) PrefixCacheSize() int { return r.prefixCacheSize }

// Lag returns the age of the load that comes with answers.
func (r ServiceModel) LoadReportLag() time.Duration { return r.loadReportLag }

// Base returns the time that each call takes besides its tokens.
func (r ServiceModel) BaseTime() time.Duration { return r.baseTime }

// Decode returns the tokens/s of one call that runs alone.
func (r ServiceModel) DecodeRate() float64 { return r.decodeRate }

// Prefill returns the prompt tokens/s of one call that runs alone.
func (r ServiceModel) PrefillRate() float64 { return r.prefillRate }

// Batch returns the slowdown of all running calls by each further one, in percent.
func (r ServiceModel) BatchSlowdownPercent() float64 { return r.batchSlowdownPercent }

// Request is one request of a caller.
type Request struct {
	sendTime     time.Duration
	workspace    string
	pipeline     string
	outputTokens int
	promptTokens int
	deadline     time.Duration
	prefix       string
	command      bool
}

// At returns when the caller sends the request.
func (q Request) SendTime() time.Duration { return q.sendTime }

// Workspace returns the workspace of the request.
func (q Request) Workspace() string { return q.workspace }

// Pipeline returns the pipeline to run.
func (q Request) Pipeline() string { return q.pipeline }

// Size returns the tokens of the answer.
func (q Request) OutputTokens() int { return q.outputTokens }

// Prompt returns the tokens of the prompt.
func (q Request) PromptTokens() int { return q.promptTokens }

// Deadline returns the time limit.
func (q Request) Deadline() time.Duration { return q.deadline }

// Prefix returns the name of the shared prompt prefix; empty for none.
func (q Request) Prefix() string { return q.prefix }

// Command reports whether a stage of the request may not be repeated.
func (q Request) Command() bool { return q.command }

// Slow is a moment in which a target is slow.
type SlowPeriod struct {
	Window
	target string
	factor float64
}

// Target returns the slow target.
func (s SlowPeriod) Target() string { return s.target }

// Factor returns how many times longer its work takes.
func (s SlowPeriod) Factor() float64 { return s.factor }

// Crash is a crash of a target; it is back at the end of the window.
type Crash struct {
	Window
	target string
}

// Target returns the target that crashes.
func (c Crash) Target() string { return c.target }

// Switch puts another preset in force.
type PresetSwitch struct {
	at     time.Duration
	preset string
}

// At returns the time of the switch.
func (s PresetSwitch) At() time.Duration { return s.at }

// Preset returns the preset that comes in force.
func (s PresetSwitch) Preset() string { return s.preset }

// Expect is a stated outcome.
type Objective struct {
	measure Measure
	// subject names a workspace; empty for all.
	subject string
	// most is true if the bound is an upper one.
	isUpper bool
	bound   float64
}

// Measure returns what is measured.
func (e Objective) Measure() Measure { return e.measure }

// Subject returns the workspace that is measured; empty for all.
func (e Objective) Subject() string { return e.subject }

// Bound returns the bound.
func (e Objective) Bound() float64 { return e.bound }

// Met reports whether the measured value keeps the bound.
func (e Objective) Met(value float64) bool {
	if e.isUpper {
		return value <= e.bound
	}
	return value >= e.bound
}
