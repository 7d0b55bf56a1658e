package trace

import (
	"time"

	"sassafrasward/core/config"
)

// Trace is a valid trace. It is immutable after Parse.
type Trace struct {
	name string
	// documentLines holds the lines of the configuration document.
	documentLines []string
	document      *config.Document
	network       Network
	serviceModels map[string]ServiceModel
	// requests holds the requests in order of arrival.
	requests       []Request
	slowPeriods    []SlowPeriod
	crashes        []Crash
	presetSwitches []PresetSwitch
	objectives     []Objective
	peak           Window
}

// Name returns the name of the trace.
func (t *Trace) Name() string { return t.name }

// Document returns the configuration that the trace runs with.
func (t *Trace) Document() *config.Document { return t.document }

// Network returns the network delays.
func (t *Trace) Network() Network { return t.network }

// ServiceModel returns the service model of the pool's targets.
func (t *Trace) ServiceModel(pool string) ServiceModel { return t.serviceModels[pool] }

// Requests returns the requests in order of arrival.
func (t *Trace) Requests() []Request { return t.requests }

// SlowPeriods returns the periods in which targets are slow.
func (t *Trace) SlowPeriods() []SlowPeriod { return t.slowPeriods }

// Crashes returns the crashes of targets.
func (t *Trace) Crashes() []Crash { return t.crashes }

// PresetSwitches returns the changes of the active preset.
func (t *Trace) PresetSwitches() []PresetSwitch { return t.presetSwitches }

// Objectives returns the objectives that a run is checked against.
func (t *Trace) Objectives() []Objective { return t.objectives }

// Peak returns the load peak. It is the zero Window if the trace states none.
func (t *Trace) Peak() Window { return t.peak }

// Window is a time interval since the start of the trace. It includes from but not to.
type Window struct{ from, to time.Duration }

// From returns the start of the window.
func (w Window) From() time.Duration { return w.from }

// To returns the end of the window.
func (w Window) To() time.Duration { return w.to }

// Length returns the duration of the window.
func (w Window) Length() time.Duration { return w.to - w.from }

// Contains reports whether the time is within the window.
func (w Window) Contains(at time.Duration) bool { return at >= w.from && at < w.to }

// Network holds the one-way network delays.
type Network struct {
	// zoneDelay is the delay between availability zones. The delay within a zone is a quarter.
	zoneDelay time.Duration
	// clientDelay is the delay between callers and entry hosts.
	clientDelay time.Duration
}

// sameZoneDivisor is the ratio of the delay between zones to the delay within a zone.
const sameZoneDivisor = 4

// ZoneDelay returns the one-way delay between hosts or targets in zones a and b.
func (n Network) ZoneDelay(a, b string) time.Duration {
	if a == b {
		return n.zoneDelay / sameZoneDivisor
	}
	return n.zoneDelay
}

// ClientDelay returns the one-way delay between callers and entry hosts.
func (n Network) ClientDelay() time.Duration { return n.clientDelay }

// ServiceModel states the service times of the targets of a pool.
type ServiceModel struct {
	pool string
	// baseTime is the part of the service time that does not depend on tokens.
	baseTime time.Duration
	// prefillRate and decodeRate are the tokens/s of a call that runs alone. They are zero if
	// the targets do not process prompts or generate tokens.
	prefillRate float64
	decodeRate  float64
	// batchSlowdownPercent is the slowdown that each additional running call causes.
	batchSlowdownPercent float64
	// prefixCacheSize is the number of prompt prefixes that a target caches.
	prefixCacheSize int
	// loadReportLag is the age of the load that targets report in their answers.
	loadReportLag time.Duration
}

// CachedPromptFraction is the fraction of a prompt that a cached prefix saves.
const CachedPromptFraction = 0.8

// ServiceTime returns the time that a call takes on a target on which it runs alone.
func (m ServiceModel) ServiceTime(q Request, cached bool) time.Duration {
	prompt := float64(q.promptTokens)
	if cached {
		prompt *= 1 - CachedPromptFraction
	}
	seconds := 0.0
	if m.prefillRate > 0 {
		seconds += prompt / m.prefillRate
	}
	if m.decodeRate > 0 {
		seconds += float64(q.outputTokens) / m.decodeRate
	}
	return m.baseTime + time.Duration(seconds*float64(time.Second))
}

// Slowdown returns the factor by which n concurrent calls slow each other down.
func (m ServiceModel) Slowdown(n int) float64 {
	return 1 + m.batchSlowdownPercent/100*float64(max(n-1, 0))
}

// PrefixCacheSize returns the number of prompt prefixes that a target caches.
func (m ServiceModel) PrefixCacheSize() int { return m.prefixCacheSize }

// LoadReportLag returns the age of the load that targets report in their answers.
func (m ServiceModel) LoadReportLag() time.Duration { return m.loadReportLag }

// BaseTime returns the part of the service time that does not depend on tokens.
func (m ServiceModel) BaseTime() time.Duration { return m.baseTime }

// DecodeRate returns the generated tokens/s of a call that runs alone.
func (m ServiceModel) DecodeRate() float64 { return m.decodeRate }

// PrefillRate returns the prompt tokens/s of a call that runs alone.
func (m ServiceModel) PrefillRate() float64 { return m.prefillRate }

// BatchSlowdownPercent returns the slowdown that each additional running call causes for
// all running calls.
func (m ServiceModel) BatchSlowdownPercent() float64 { return m.batchSlowdownPercent }

// Request is one request from a caller.
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

// SendTime returns the time at which the caller sends the request, since the start of the
// trace.
func (q Request) SendTime() time.Duration { return q.sendTime }

// Workspace returns the workspace that the request belongs to.
func (q Request) Workspace() string { return q.workspace }

// Pipeline returns the name of the pipeline that the request runs.
func (q Request) Pipeline() string { return q.pipeline }

// OutputTokens returns the number of tokens of the answer.
func (q Request) OutputTokens() int { return q.outputTokens }

// PromptTokens returns the number of tokens of the prompt.
func (q Request) PromptTokens() int { return q.promptTokens }

// Deadline returns the time limit, counted from the arrival at the host.
func (q Request) Deadline() time.Duration { return q.deadline }

// Prefix returns the name of the shared prompt prefix, or "" if there is none.
func (q Request) Prefix() string { return q.prefix }

// Command reports whether the request has a stage that may not be repeated.
func (q Request) Command() bool { return q.command }

// SlowPeriod is an interval during which a target is slow.
type SlowPeriod struct {
	Window
	target string
	factor float64
}

// Target returns the slow target.
func (s SlowPeriod) Target() string { return s.target }

// Factor returns the factor by which the target's work takes longer.
func (s SlowPeriod) Factor() float64 { return s.factor }

// Crash is a crash of a target. The target is down during the window.
type Crash struct {
	Window
	target string
}

// Target returns the target that crashes.
func (c Crash) Target() string { return c.target }

// PresetSwitch is a change of the active preset.
type PresetSwitch struct {
	at     time.Duration
	preset string
}

// At returns the time of the switch.
func (s PresetSwitch) At() time.Duration { return s.at }

// Preset returns the preset that becomes active.
func (s PresetSwitch) Preset() string { return s.preset }

// Objective is a bound on a measure of a run.
type Objective struct {
	measure Measure
	// subject names the workspace that the measure refers to. If it is empty, the measure
	// covers all workspaces.
	subject string
	// isUpper is true for an upper bound and false for a lower bound.
	isUpper bool
	bound   float64
}

// Measure returns the quantity that is bounded.
func (o Objective) Measure() Measure { return o.measure }

// Subject returns the workspace that the measure refers to, or "" for all workspaces.
func (o Objective) Subject() string { return o.subject }

// Bound returns the bound in the unit of the measure.
func (o Objective) Bound() float64 { return o.bound }

// Met reports whether the measured value satisfies the bound.
func (o Objective) Met(value float64) bool {
	if o.isUpper {
		return value <= o.bound
	}
	return value >= o.bound
}
