package schedule

import (
	"sassafrasward/core/reason"
	"sassafrasward/core/suspect"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=CallStatus,Verdict -linecomment -output=result_string.go

// Verdict says whether an offered call was started, queued or refused.
type Verdict int

// The possible verdicts.
const (
	Started Verdict = iota // started
	Queued                 // queued
	Refused                // refused
)

// Decision is the answer to an offer.
type Decision struct {
	verdict Verdict
	target  string
	reason  reason.Reason
}

// Verdict returns whether the call was started, queued or refused.
func (d Decision) Verdict() Verdict { return d.verdict }

// Target returns the target of a started call.
func (d Decision) Target() string { return d.target }

// Reason returns why a call was refused.
func (d Decision) Reason() reason.Reason { return d.reason }

// Start tells the caller to send a call to a target.
type Start struct {
	id     ID
	target string
	// hedge is the running call that this one duplicates; zero for none.
	hedge ID
}

// ID returns the identity of the call to send.
func (s Start) ID() ID { return s.id }

// Target returns the target to send it to.
func (s Start) Target() string { return s.target }

// Hedge returns the running call that this one duplicates; zero for none.
func (s Start) Hedge() ID { return s.hedge }

// Refusal tells the caller that a queued call was dropped and will not run.
type Refusal struct {
	id     ID
	reason reason.Reason
}

// ID returns the identity of the refused call.
func (r Refusal) ID() ID { return r.id }

// Reason returns why it was refused.
func (r Refusal) Reason() reason.Reason { return r.reason }

// Actions lists what the caller has to do after a tick or the end of a call.
type Actions struct {
	starts   []Start
	refusals []Refusal
	cancels  []ID
}

// Starts returns the calls to send.
func (s Actions) Starts() []Start { return s.starts }

// Refusals returns the queued calls that were dropped.
func (s Actions) Refusals() []Refusal { return s.refusals }

// Cancels returns the running calls whose other run, hedge or original, answered first. The
// caller has to cancel them on their targets and report them to Finish as Cancelled.
func (s Actions) Cancels() []ID { return s.cancels }

// CallStatus says how a call on a target ended.
type CallStatus int

// The statuses of a call that ended.
const (
	// Completed means that the target answered.
	Completed CallStatus = iota // completed
	// Busy means that the target answered that it did not start the work.
	Busy // busy
	// Rejected means that the target reported a failure of the work.
	Rejected // rejected
	// Crashed means that the connection broke while the call ran, and that the target has been
	// unreachable since.
	Crashed // crashed
	// ConnReset means that the connection broke while the call ran, but that the target
	// answers on a new connection.
	ConnReset // broken
	// TimedOut means that the target did not answer in time.
	TimedOut // silent
	// ConnectFailed means that no connection could be opened, so that nothing was sent.
	ConnectFailed // unreached
	// BadResponse means that the answer belongs to another call or cannot be parsed.
	BadResponse // crossed
	// Cancelled means that the host cancelled the call.
	Cancelled // cancelled
)

// Load is the load that a target reports with an answer.
type Load struct {
	running int
	queued  int
	slots   int
}

// NewLoad returns the load of a target with the given running and queued calls and slots.
func NewLoad(running, queued, slots int) Load {
	return Load{running: running, queued: queued, slots: slots}
}

// Result reports the end of a call.
type Result struct {
	id     ID
	status CallStatus
	load   Load
	// size is the actual size; zero if not known.
	size float64
	// progress is how far the answer had come when the call ended.
	progress suspect.Progress
}

// ID returns the identity of the call that ended.
func (r Result) ID() ID { return r.id }

// ResultOption sets a property of a Result.
type ResultOption func(*Result)

// NewResult returns the result of a call. Without WithProgress, its answer had just begun.
func NewResult(id ID, status CallStatus, options ...ResultOption) Result {
	r := Result{id: id, status: status, progress: suspect.Begun}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithLoad sets the load that the target reported with the answer.
func WithLoad(l Load) ResultOption { return func(r *Result) { r.load = l } }

// WithProgress sets how far the answer had come when the call ended.
func WithProgress(p suspect.Progress) ResultOption { return func(r *Result) { r.progress = p } }

// WithActualSize sets the actual size of the call, in the unit of WithSize.
func WithActualSize(size float64) ResultOption { return func(r *Result) { r.size = size } }

// Target describes a target of the pool to the scheduler.
type Target struct {
	name  string
	zone  string
	slots int
	// leaving targets get no new work.
	leaving bool
}

// NewTarget returns a target with a number of slots.
func NewTarget(name, zone string, slots int, leaving bool) Target {
	return Target{name: name, zone: zone, slots: slots, leaving: leaving}
}

// Name returns the name of the target.
func (t Target) Name() string { return t.name }
