package schedule

import (
	"sassafrasward/core/reason"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=CallStatus,Verdict -linecomment -output=result_string.go

// Verdict says what became of an offered call.
type Verdict int

// The verdicts.
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

// Verdict returns what became of the call.
func (d Decision) Verdict() Verdict { return d.verdict }

// Target returns the target of a started call.
func (d Decision) Target() string { return d.target }

// Reason returns why a call was refused.
func (d Decision) Reason() reason.Reason { return d.reason }

// Start says that a call runs on a target from now on.
type Start struct {
	id     ID
	target string
	// hedge is the running call that this one duplicates; zero for none.
	hedge ID
}

// ID returns the call that starts.
func (s Start) ID() ID { return s.id }

// Target returns the target that it runs on.
func (s Start) Target() string { return s.target }

// Hedge returns the running call that this one duplicates; zero for none.
func (s Start) Hedge() ID { return s.hedge }

// Refusal says that a queued call is not run.
type Refusal struct {
	id     ID
	reason reason.Reason
}

// ID returns the refused call.
func (r Refusal) ID() ID { return r.id }

// Reason returns why it was refused.
func (r Refusal) Reason() reason.Reason { return r.reason }

// Step is what a tick or the end of a call brought about.
type Actions struct {
	starts   []Start
	refusals []Refusal
	cancels  []ID
}

// Starts returns the calls that run from now on.
func (s Actions) Starts() []Start { return s.starts }

// Refusals returns the queued calls that are not run.
func (s Actions) Refusals() []Refusal { return s.refusals }

// Cancels returns the running calls that lost against their hedge or the call that they
// hedge. They are to be cancelled on their targets and reported with Finish as Cancelled.
func (s Actions) Cancels() []ID { return s.cancels }

// End says how a call on a target ended.
type CallStatus int

// The ends of a call.
const (
	// Completed means that the target answered.
	Completed CallStatus = iota // completed
	// Busy means that the target said that it did not start the work.
	Busy // busy
	// Rejected means that the target reported a failure of the work.
	Rejected // rejected
	// Crashed means that the connection broke while the call ran and that the target cannot
	// be reached since.
	Crashed // crashed
	// Broken means that the connection broke while the call ran, and that the target answers
	// on a new one.
	ConnReset // broken
	// Silent means that the target did not answer in time.
	TimedOut // silent
	// Unreached means that no connection could be opened, so that nothing was sent.
	ConnectFailed // unreached
	// Crossed means that the answer belongs to another call or cannot be read.
	BadResponse // crossed
	// Cancelled means that the host cancelled the call.
	Cancelled // cancelled
)

// Load is what a target said of itself.
type Load struct {
	running int
	queued  int
	slots   int
}

// NewLoad returns a load of running and queued calls on a number of slots.
func NewLoad(running, queued, slots int) Load {
	return Load{running: running, queued: queued, slots: slots}
}

// Result reports the end of a call.
type Result struct {
	id   ID
	end  CallStatus
	load Load
	// size is the actual work; zero if not known.
	size float64
}

// ID returns the call that ended.
func (r Result) ID() ID { return r.id }

// ResultOption sets a property of a Result.
type ResultOption func(*Result)

// NewResult returns the result of a call.
func NewResult(id ID, end CallStatus, options ...ResultOption) Result {
	r := Result{id: id, end: end}
	for _, o := range options {
		o(&r)
	}
	return r
}

// WithLoad states the load that came with the answer.
func WithLoad(l Load) ResultOption { return func(r *Result) { r.load = l } }

// WithActual states the work that the call turned out to be.
func WithActualSize(size float64) ResultOption { return func(r *Result) { r.size = size } }

// Target is a back end of the pool as the scheduler needs to know it.
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
