package reason

import (
	"net/http"

	"sassafrasward/core/outcome"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Reason,Retry -linecomment -output=reason_string.go

// Reason says why a request was refused or did not end as done.
type Reason int

// The refusal reasons, with their words on the wire.
const (
	None      Reason = iota // none
	Malformed               // malformed
	Oversize                // oversize
	Pipeline                // pipeline
	Workspace               // workspace
	Field                   // field
	Method                  // method
	Joining                 // joining
	Draining                // draining
	Deadline                // deadline
	Late                    // late
	Overload                // overload
	Share                   // share
	Empty                   // empty
	Suspect                 // suspect
	Budget                  // budget
	Keyless                 // keyless
	Forged                  // forged
	Foreign                 // foreign
	Mismatch                // mismatch
	Expired                 // expired
	Full                    // full
	Owner                   // owner
	Running                 // running
	Silent                  // silent
	Crashed                 // crashed
	Rejected                // rejected
	Gone                    // gone
	Paused                  // paused
	Crossed                 // crossed
	Closed                  // closed
)

// Rule is the registry entry of one reason.
type Rule struct {
	reason  Reason
	outcome outcome.Outcome
	status  int
	doc     string
}

// Reason returns the reason that the rule describes.
func (r Rule) Reason() Reason { return r.reason }

// Outcome returns the outcome told to a caller whose request has no stage with
// consequences in flight. A command whose write began is told Unknown instead.
func (r Rule) Outcome() outcome.Outcome { return r.outcome }

// Status returns the HTTP status of the refusal.
func (r Rule) Status() int { return r.status }

// Doc returns the documentation of the reason.
func (r Rule) Doc() string { return r.doc }

var rules = []Rule{
	{None, outcome.Done, http.StatusOK, "The request ended with its whole answer."},
	{Malformed, outcome.NotRun, http.StatusBadRequest, "The body is not one JSON object of the documented shape."},
	{Oversize, outcome.NotRun, http.StatusRequestEntityTooLarge, "The body is larger than the published limit."},
	{Pipeline, outcome.NotRun, http.StatusNotFound, "The pipeline is not published."},
	{Workspace, outcome.NotRun, http.StatusNotFound, "The workspace is not published."},
	{Field, outcome.NotRun, http.StatusBadRequest, "A field is unknown, missing or out of range."},
	{Method, outcome.NotRun, http.StatusNotFound, "The path or method does not exist."},
	{Joining, outcome.NotRun, http.StatusServiceUnavailable, "The host has not yet heard from enough other hosts to know the newest configuration."},
	{Draining, outcome.NotRun, http.StatusServiceUnavailable, "The host is stopping and takes no new requests of this kind."},
	{Deadline, outcome.Failed, http.StatusGatewayTimeout, "The deadline passed before the whole answer was there."},
	{Late, outcome.NotRun, http.StatusServiceUnavailable, "Admission control expects that the request cannot be answered in time."},
	{Overload, outcome.NotRun, http.StatusServiceUnavailable, "The queue of a pool is at its bound."},
	{Share, outcome.NotRun, http.StatusTooManyRequests, "The workspace is over its share while its pool is contended."},
	{Empty, outcome.NotRun, http.StatusServiceUnavailable, "The pool has no live target."},
	{Suspect, outcome.NotRun, http.StatusUnprocessableEntity, "The request crashed targets and is not run again."},
	{Budget, outcome.Failed, http.StatusBadGateway, "A stage failed and the retry budget of its pool is spent."},
	{Keyless, outcome.NotRun, http.StatusBadRequest, "A request with a stage that may not be repeated carries no key."},
	{Forged, outcome.NotRun, http.StatusBadRequest, "The key was not issued by the host incarnation that it names."},
	{Foreign, outcome.NotRun, http.StatusNotFound, "The key was issued to another workspace."},
	{Mismatch, outcome.NotRun, http.StatusUnprocessableEntity, "The key was used before with another body; this body was not run."},
	{Expired, outcome.Unknown, http.StatusGone, "The key is past its lifetime, so its record may have been removed."},
	{Full, outcome.NotRun, http.StatusTooManyRequests, "The workspace or the host has as many command records as it may hold."},
	{Owner, outcome.Unknown, http.StatusGatewayTimeout, "The host incarnation that owns the key cannot be reached or has ended."},
	{Running, outcome.Unknown, http.StatusConflict, "The first request with this key is still running."},
	{Silent, outcome.Failed, http.StatusGatewayTimeout, "The target did not answer in time on an open connection."},
	{Crashed, outcome.Failed, http.StatusBadGateway, "The connection to the target broke before its whole answer was there."},
	{Rejected, outcome.Failed, http.StatusBadGateway, "The target reported that the work failed."},
	{Gone, outcome.Failed, 499, "The caller closed its connection before the answer was there."},
	{Paused, outcome.NotRun, http.StatusServiceUnavailable, "The host was paused before the write of a command, so that the command may be past its deadline."},
	{Crossed, outcome.Failed, http.StatusBadGateway, "Answers of other calls arrived in place of this call's answer."},
	{Closed, outcome.NotRun, http.StatusServiceUnavailable, "The preset in force takes no new requests."},
}

// Rules returns the registry in the order of its reasons.
func Rules() []Rule { return append([]Rule(nil), rules...) }

// Rule returns the registry entry of r.
func (r Reason) Rule() Rule {
	if r < 0 || int(r) >= len(rules) {
		return rules[None]
	}
	return rules[r]
}

// Parse returns the reason with the given word.
func Parse(word string) (r Reason, ok bool) {
	for _, rule := range rules {
		if rule.reason.String() == word {
			return rule.reason, true
		}
	}
	return None, false
}

// Retry says why an idempotent stage call was sent again.
type Retry int

// The retry reasons, with their words in metrics.
const (
	RetryBusy    Retry = iota // busy
	RetryCrashed              // crashed
	RetrySilent               // silent
	RetryCrossed              // crossed
	RetryFailed               // failed
	RetryHedge                // hedge
)

// Retries returns all retry reasons.
func Retries() []Retry {
	return []Retry{RetryBusy, RetryCrashed, RetrySilent, RetryCrossed, RetryFailed, RetryHedge}
}

// Doc returns the documentation of the retry reason.
func (r Retry) Doc() string {
	switch r {
	case RetryBusy:
		return "The target said that it did not start the work."
	case RetryCrashed:
		return "The connection to the target broke while the call ran."
	case RetrySilent:
		return "The target did not answer in time."
	case RetryCrossed:
		return "The answer of another call arrived."
	case RetryFailed:
		return "The target reported that the work failed."
	case RetryHedge:
		return "A second call was started while the first still ran."
	default:
		return ""
	}
}
