package runner

import (
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/target"
)

// cause returns the reason that a failed call gives.
func cause(end schedule.End) reason.Reason {
	switch end {
	case schedule.Busy:
		return reason.Overload
	case schedule.Crashed, schedule.Broken, schedule.Unreached:
		return reason.Crashed
	case schedule.Crossed:
		return reason.Crossed
	case schedule.Silent:
		return reason.Silent
	case schedule.Cancelled:
		return reason.Gone
	default:
		return reason.Rejected
	}
}

// commandEnd returns what is true of a request whose command stage did not complete. Once
// a byte was written, only the target's own word makes it failed or not run.
func (p *progress) commandEnd(reply target.Reply) (why reason.Reason, end outcome.Outcome) {
	why = cause(reply.End())
	switch {
	case !reply.Sent() && reply.Refusal() != reason.None:
		return reply.Refusal(), p.reached.Unwritten(outcome.NotRun)
	case reply.End() == schedule.Busy:
		return why, p.reached.Unwritten(outcome.NotRun)
	case reply.End() == schedule.Rejected:
		return why, outcome.Failed
	}
	return why, outcome.Unknown
}

func retryReason(end schedule.End) reason.Retry {
	switch end {
	case schedule.Busy:
		return reason.RetryBusy
	case schedule.Crashed, schedule.Broken, schedule.Unreached:
		return reason.RetryCrashed
	case schedule.Crossed:
		return reason.RetryCrossed
	case schedule.Silent:
		return reason.RetrySilent
	default:
		return reason.RetryFailed
	}
}
