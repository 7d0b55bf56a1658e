package trace

import (
	"time"

	"sassafrasward/core/config"
)

// Trace is a checked trace. It does not change after Parse.
type Trace struct {
	name string
	// config holds the lines of the document.
	config   []string
	document *config.Document
	network  Network
	rates    map[string]ServiceModel
	// requests are in the order of their arrival.
	requests []Request
	slows    []SlowPeriod
	crashes  []Crash
	switches []PresetSwitch
	expects  []Objective
	peak     Window
}

// Name returns the name of the trace.
func (t *Trace) Name() string { return t.name }

// Document returns the configuration that the trace runs under.
func (t *Trace) Document() *config.Document { return t.document }

// Network returns the delays between machines.
func (t *Trace) Network() Network { return t.network }

// Rate returns the rate of the pool's targets.
func (t *Trace) ServiceModel(pool string) ServiceModel { return t.rates[pool] }

// Requests returns the requests in the order of their arrival.
func (t *Trace) Requests() []Request { return t.requests }

// Slows returns the moments in which targets are slow.
func (t *Trace) SlowPeriods() []SlowPeriod { return t.slows }

// Crashes returns the crashes of targets.
func (t *Trace) Crashes() []Crash { return t.crashes }

// Switches returns the preset switches.
func (t *Trace) PresetSwitches() []PresetSwitch { return t.switches }

// Expects returns the stated outcomes.
func (t *Trace) Objectives() []Objective { return t.expects }

// Peak returns the load peak; empty if the trace states none.
func (t *Trace) Peak() Window { return t.peak }

// Window is a span of the trace.
type Window struct{ from, to time.Duration }

// From returns the start of the window.
func (w Window) From() time.Duration { return w.from }

// To returns the end of the window.
func (w Window) To() time.Duration { return w.to }

// Length returns the length of the window.
func (w Window) Duration() time.Duration { return w.to - w.from }

// Has reports whether the time is in the window.
func (w Window) Contains(at time.Duration) bool { return at >= w.from && at < w.to }

// Network states one-way delays.
type Network struct {
	// between is the delay between availability zones; within a zone it is a quarter.
	between time.Duration
	// client is the delay between callers and entry hosts.
	client time.Duration
}

// withinShare is the delay within a zone as a part of the delay between zones.
const withinShare = 4

// Hop returns the one-way delay between two zones.
func (n Network) ZoneDelay(a, b string) time.Duration {
	if a == b {
		return n.between / withinShare
	}
	return n.between
}

// Client returns the one-way delay between callers and entry hosts.
func (n Network) ClientDelay() time.Duration { return n.client }

// Rate says how fast the targets of a pool work.
type ServiceModel struct {
	pool string
	// base is the time that each call takes besides its tokens.
	base time.Duration
	// prefill and decode are tokens/s of one call that runs alone; zero if the pool does
	// not work on tokens.
	prefill float64
	decode  float64
	// batch is the slowdown of all running calls by each further one, in percent.
	batch float64
	// cache is the number of prompt prefixes that a target keeps.
	cache int
	// lag is the age of the load that comes with answers.
	lag time.Duration
}

// CachedShare is the part of a prompt that a cached prefix saves.
const CachedPromptFraction = 0.8

// Work returns the time that a call needs on a target on which it runs alone.
func (r ServiceModel) ServiceTime(q Request, cached bool) time.Duration {
	prompt := float64(q.prompt)
	if cached {
		prompt *= 1 - CachedPromptFraction
	}
	seconds := 0.0
	if r.prefill > 0 {
		seconds += prompt / r.prefill
	}
	if r.decode > 0 {
		seconds += float64(q.size) / r.decode
	}
	return r.base + time.Duration(seconds*float64(time.Second))
}

// Slowdown returns the factor by which n calls that run together slow each other.
func (r ServiceModel) Slowdown(n int) float64 { return 1 + r.batch/100*float64(max(n-1, 0)) }

// Cache returns the number of prompt prefixes that a target keeps.
func (r ServiceModel) PrefixCacheSize() int { return r.cache }

// Lag returns the age of the load that comes with answers.
func (r ServiceModel) LoadReportLag() time.Duration { return r.lag }

// Base returns the time that each call takes besides its tokens.
func (r ServiceModel) BaseTime() time.Duration { return r.base }

// Decode returns the tokens/s of one call that runs alone.
func (r ServiceModel) DecodeRate() float64 { return r.decode }

// Prefill returns the prompt tokens/s of one call that runs alone.
func (r ServiceModel) PrefillRate() float64 { return r.prefill }

// Batch returns the slowdown of all running calls by each further one, in percent.
func (r ServiceModel) BatchSlowdownPercent() float64 { return r.batch }

// Request is one request of a caller.
type Request struct {
	at        time.Duration
	workspace string
	pipeline  string
	size      int
	prompt    int
	deadline  time.Duration
	prefix    string
	command   bool
}

// At returns when the caller sends the request.
func (q Request) SendTime() time.Duration { return q.at }

// Workspace returns the workspace of the request.
func (q Request) Workspace() string { return q.workspace }

// Pipeline returns the pipeline to run.
func (q Request) Pipeline() string { return q.pipeline }

// Size returns the tokens of the answer.
func (q Request) OutputTokens() int { return q.size }

// Prompt returns the tokens of the prompt.
func (q Request) PromptTokens() int { return q.prompt }

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
	most  bool
	bound float64
}

// Measure returns what is measured.
func (e Objective) Measure() Measure { return e.measure }

// Subject returns the workspace that is measured; empty for all.
func (e Objective) Subject() string { return e.subject }

// Bound returns the bound.
func (e Objective) Bound() float64 { return e.bound }

// Met reports whether the measured value keeps the bound.
func (e Objective) Met(value float64) bool {
	if e.most {
		return value <= e.bound
	}
	return value >= e.bound
}
