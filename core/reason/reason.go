package reason

import (
	"net/http"

	"sassafrasward/core/outcome"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Reason,Retry -linecomment -output=reason_string.go

// Reason says why a request was refused or did not end as done.
type Reason int

// The refusal reasons. The comment behind each value is its word on the wire; Entry.Doc
// explains it.
const (
	None             Reason = iota // none
	Malformed                      // malformed
	BodyTooLarge                   // oversize
	UnknownPipeline                // pipeline
	UnknownWorkspace               // workspace
	InvalidField                   // field
	UnknownEndpoint                // method
	Joining                        // joining
	Draining                       // draining
	DeadlineExceeded               // deadline
	PredictedLate                  // late
	QueueFull                      // overload
	OverShare                      // share
	NoTargets                      // empty
	CrashSuspect                   // suspect
	RetryBudgetSpent               // budget
	MissingKey                     // keyless
	ForgedKey                      // forged
	WrongWorkspace                 // foreign
	BodyMismatch                   // mismatch
	KeyExpired                     // expired
	RecordsFull                    // full
	OwnerUnreachable               // owner
	StillRunning                   // running
	TimedOut                       // silent
	Crashed                        // crashed
	Rejected                       // rejected
	CallerGone                     // gone
	HostPaused                     // paused
	BadResponse                    // crossed
	PresetClosed                   // closed
	TargetsLimited                 // limited
	MemoryLow                      // memory
)

// Entry is the registry entry of one reason.
type Entry struct {
	reason  Reason
	outcome outcome.Outcome
	status  int
	doc     string
}

// Reason returns the reason that the entry describes.
func (r Entry) Reason() Reason { return r.reason }

// Outcome returns the outcome reported to a caller whose request has no command in flight. If
// the write of a command began, the outcome is Unknown instead.
func (r Entry) Outcome() outcome.Outcome { return r.outcome }

// Status returns the HTTP status of the refusal.
func (r Entry) Status() int { return r.status }

// Doc returns the documentation of the reason.
func (r Entry) Doc() string { return r.doc }

var entries = []Entry{
	{None, outcome.Done, http.StatusOK, "The request ended with its complete answer."},
	{Malformed, outcome.NotRun, http.StatusBadRequest, "The body is not one JSON object of the documented shape."},
	{BodyTooLarge, outcome.NotRun, http.StatusRequestEntityTooLarge, "The body is larger than the published limit."},
	{UnknownPipeline, outcome.NotRun, http.StatusNotFound, "The pipeline is not published."},
	{UnknownWorkspace, outcome.NotRun, http.StatusNotFound, "The workspace is not published."},
	{InvalidField, outcome.NotRun, http.StatusBadRequest, "A field is unknown, missing or out of range."},
	{UnknownEndpoint, outcome.NotRun, http.StatusNotFound, "The path or method does not exist."},
	{Joining, outcome.NotRun, http.StatusServiceUnavailable, "The host has not yet heard from enough other hosts to know the newest configuration."},
	{Draining, outcome.NotRun, http.StatusServiceUnavailable, "The host is stopping and accepts no new requests of this kind."},
	{DeadlineExceeded, outcome.Failed, http.StatusGatewayTimeout, "The deadline passed before the complete answer arrived."},
	{PredictedLate, outcome.NotRun, http.StatusServiceUnavailable, "Admission control predicts that the request would miss its deadline."},
	{QueueFull, outcome.NotRun, http.StatusServiceUnavailable, "The queue of a pool is full."},
	{OverShare, outcome.NotRun, http.StatusTooManyRequests, "The workspace exceeds its share while its pool is contended."},
	{NoTargets, outcome.NotRun, http.StatusServiceUnavailable, "The pool has no live target."},
	{CrashSuspect, outcome.NotRun, http.StatusUnprocessableEntity, "The request crashed targets and is not run again."},
	{RetryBudgetSpent, outcome.Failed, http.StatusBadGateway, "A stage failed and the retry budget of its pool is exhausted."},
	{MissingKey, outcome.NotRun, http.StatusBadRequest, "A request with a stage that may not be repeated has no key."},
	{ForgedKey, outcome.NotRun, http.StatusBadRequest, "The key was not issued by the host incarnation that it names."},
	{WrongWorkspace, outcome.NotRun, http.StatusNotFound, "The key was issued to another workspace."},
	{BodyMismatch, outcome.NotRun, http.StatusUnprocessableEntity, "The key was used before with another body; this body was not run."},
	{KeyExpired, outcome.Unknown, http.StatusGone, "The key is past its lifetime, so its record may have been removed."},
	{RecordsFull, outcome.NotRun, http.StatusTooManyRequests, "The workspace or the host has as many command records as it may hold."},
	{OwnerUnreachable, outcome.Unknown, http.StatusGatewayTimeout, "The host incarnation that owns the key cannot be reached or has ended."},
	{StillRunning, outcome.Unknown, http.StatusConflict, "The first request with this key is still running."},
	{TimedOut, outcome.Failed, http.StatusGatewayTimeout, "The target did not answer in time on an open connection."},
	{Crashed, outcome.Failed, http.StatusBadGateway, "The connection to the target broke before the complete answer arrived."},
	{Rejected, outcome.Failed, http.StatusBadGateway, "The target reported that the work failed."},
	{CallerGone, outcome.Failed, 499, "The caller closed its connection before the answer arrived."},
	{HostPaused, outcome.NotRun, http.StatusServiceUnavailable, "The host was paused before the write of a command, so the deadline of the command may have passed."},
	{BadResponse, outcome.Failed, http.StatusBadGateway, "Answers of other calls arrived instead of the answer of this call."},
	{PresetClosed, outcome.NotRun, http.StatusServiceUnavailable, "The active preset accepts no new requests."},
	{TargetsLimited, outcome.NotRun, http.StatusServiceUnavailable, "The targets of the pool have stated that they take no more requests in time."},
	{MemoryLow, outcome.NotRun, http.StatusServiceUnavailable, "The host has no memory left for the body of the request."},
}

// Entries returns the registry in the order of the reasons.
func Entries() []Entry { return append([]Entry(nil), entries...) }

// Entry returns the registry entry of r.
func (r Reason) Entry() Entry {
	if r < 0 || int(r) >= len(entries) {
		return entries[None]
	}
	return entries[r]
}

// Parse returns the reason with the given word on the wire.
func Parse(word string) (r Reason, ok bool) {
	for _, e := range entries {
		if e.reason.String() == word {
			return e.reason, true
		}
	}
	return None, false
}

// Retry says why an idempotent stage call was sent again.
type Retry int

// The retry reasons. The comment behind each value is its word in metrics.
const (
	RetryBusy        Retry = iota // busy
	RetryCrashed                  // crashed
	RetryTimedOut                 // silent
	RetryBadResponse              // crossed
	RetryFailed                   // failed
	RetryHedge                    // hedge
)

// Retries returns all retry reasons.
func Retries() []Retry {
	return []Retry{RetryBusy, RetryCrashed, RetryTimedOut, RetryBadResponse, RetryFailed, RetryHedge}
}

// Doc returns the documentation of the retry reason.
func (r Retry) Doc() string {
	switch r {
	case RetryBusy:
		return "The target said that it did not start the work."
	case RetryCrashed:
		return "The connection to the target broke while the call ran."
	case RetryTimedOut:
		return "The target did not answer in time."
	case RetryBadResponse:
		return "The answer of another call arrived instead."
	case RetryFailed:
		return "The target reported that the work failed."
	case RetryHedge:
		return "A second call was started while the first still ran."
	default:
		return ""
	}
}
