package command

import (
	"time"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Status,ParseErrorKind -linecomment -output=command_string.go

// Verdict says what is to be done with a request that carries a key.
type Status int

// The verdicts.
const (
	// Refused means that the request is answered with the reason of the decision.
	Refused Status = iota // refused
	// Begun means that the caller of Begin runs the command now; no one else ever does.
	Begun // begun
	// Running means that the command runs and its end is to be waited for.
	Running // running
	// Finished means that the decision has the result of the command.
	Finished // finished
)

// Result is the end of a command.
type Result struct {
	outcome outcome.Outcome
	reason  reason.Reason
	// answer is the whole answer as told to the first caller; nil if it was too large to
	// be kept.
	answer []byte
	// size is the length of the answer, kept or not, in bytes.
	size int
}

// NewResult returns the end of a command with its whole answer.
func NewResult(o outcome.Outcome, why reason.Reason, answer []byte) Result {
	return Result{outcome: o, reason: why, answer: answer, size: len(answer)}
}

// NewLost returns the end of a command whose answer of size bytes was not kept.
func NewResultWithoutAnswer(o outcome.Outcome, why reason.Reason, size int) Result {
	return Result{outcome: o, reason: why, size: size}
}

// Outcome returns the outcome of the command.
func (r Result) Outcome() outcome.Outcome { return r.outcome }

// Reason returns why the command is not done, or None.
func (r Result) Reason() reason.Reason { return r.reason }

// Answer returns the answer, or nil if it was not kept.
func (r Result) Answer() []byte { return r.answer }

// Size returns the length of the answer in bytes, whether kept or not.
func (r Result) Size() int { return r.size }

// bounded returns the result without its answer if that is larger than limit bytes.
func (r Result) bounded(limit int) Result {
	if r.size > limit {
		r.answer = nil
	}
	return r
}

// Decision is the answer to Begin and Lookup.
type Decision struct {
	verdict Status
	reason  reason.Reason
	result  Result
}

// Refuse returns the decision to refuse a request.
func Refuse(why reason.Reason) Decision { return Decision{verdict: Refused, reason: why} }

// Verdict returns what is to be done with the request.
func (d Decision) Status() Status { return d.verdict }

// Reason returns why the request is refused.
func (d Decision) Reason() reason.Reason { return d.reason }

// Result returns the end of a finished command.
func (d Decision) Result() Result { return d.result }

// Record is a finished record as it is handed to a successor.
type Record struct {
	key         Key
	workspace   string
	fingerprint Fingerprint
	// left is the rest of the key's lifetime at the time of the export.
	left   time.Duration
	result Result
}

// NewRecord returns a record from its parts, as received from another host.
func NewRecord(key Key, workspace string, f Fingerprint, left time.Duration, result Result) Record {
	return Record{key: key, workspace: workspace, fingerprint: f, left: left, result: result}
}

// Key returns the key of the command.
func (r Record) Key() Key { return r.key }

// Workspace returns the workspace that the key was issued to.
func (r Record) Workspace() string { return r.workspace }

// Fingerprint returns the fingerprint of the command's body.
func (r Record) Fingerprint() Fingerprint { return r.fingerprint }

// Left returns the rest of the key's lifetime.
func (r Record) TTL() time.Duration { return r.left }

// Result returns the end of the command.
func (r Record) Result() Result { return r.result }
