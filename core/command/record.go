package command

import (
	"time"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Status,ParseErrorKind -linecomment -output=command_string.go

// Status says how a request that carries a key is to be handled.
type Status int

// The statuses.
const (
	// Refused means that the request is refused with the reason of the decision.
	Refused Status = iota // refused
	// Begun means that the caller of Begin has to run the command. No other caller of Begin gets this
	// status for the key, unless the command ends with the outcome NotRun.
	Begun // begun
	// Running means that the command is running and the request has to wait for its end.
	Running // running
	// Finished means that the decision holds the result of the command.
	Finished // finished
)

// Result is the result of a command.
type Result struct {
	outcome outcome.Outcome
	reason  reason.Reason
	// answer is the complete answer as sent to the first caller; nil if it was too large to be kept.
	answer []byte
	// size is the length of the answer in bytes, whether kept or not.
	size int
}

// NewResult returns the result of a command with its complete answer.
func NewResult(o outcome.Outcome, why reason.Reason, answer []byte) Result {
	return Result{outcome: o, reason: why, answer: answer, size: len(answer)}
}

// NewResultWithoutAnswer returns the result of a command whose answer of size bytes was not kept.
func NewResultWithoutAnswer(o outcome.Outcome, why reason.Reason, size int) Result {
	return Result{outcome: o, reason: why, size: size}
}

// Outcome returns the outcome of the command.
func (r Result) Outcome() outcome.Outcome { return r.outcome }

// Reason returns why the command did not succeed, or None.
func (r Result) Reason() reason.Reason { return r.reason }

// Answer returns the answer, or nil if it was not kept.
func (r Result) Answer() []byte { return r.answer }

// Size returns the length of the answer in bytes, whether kept or not.
func (r Result) Size() int { return r.size }

// withAnswerLimit returns the result, without its answer if that is larger than limit bytes.
func (r Result) withAnswerLimit(limit int) Result {
	if r.size > limit {
		r.answer = nil
	}
	return r
}

// Decision is the result of Begin and Lookup.
type Decision struct {
	status Status
	reason reason.Reason
	result Result
}

// Refuse returns the decision to refuse a request.
func Refuse(why reason.Reason) Decision { return Decision{status: Refused, reason: why} }

// Status returns how the request is to be handled.
func (d Decision) Status() Status { return d.status }

// Reason returns why the request is refused.
func (d Decision) Reason() reason.Reason { return d.reason }

// Result returns the result of a finished command.
func (d Decision) Result() Result { return d.result }

// Record is the record of a finished command in the form that is handed to a successor.
type Record struct {
	key         Key
	workspace   string
	fingerprint Fingerprint
	// ttl is the remaining lifetime of the key at the time of the export.
	ttl    time.Duration
	result Result
}

// NewRecord returns a record that was received from another host.
func NewRecord(key Key, workspace string, f Fingerprint, ttl time.Duration, result Result) Record {
	return Record{key: key, workspace: workspace, fingerprint: f, ttl: ttl, result: result}
}

// Key returns the key of the command.
func (r Record) Key() Key { return r.key }

// Workspace returns the workspace that the key was issued to.
func (r Record) Workspace() string { return r.workspace }

// Fingerprint returns the fingerprint of the command's body.
func (r Record) Fingerprint() Fingerprint { return r.fingerprint }

// TTL returns the remaining lifetime of the key at the time of the export.
func (r Record) TTL() time.Duration { return r.ttl }

// Result returns the result of the command.
func (r Record) Result() Result { return r.result }
