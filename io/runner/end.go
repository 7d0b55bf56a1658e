package runner

import (
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/target"
)

// cause returns the reason that a failed call gives.
func cause(end schedule.CallStatus) reason.Reason {
	switch end {
	case schedule.Busy:
		return reason.QueueFull
	case schedule.Crashed, schedule.ConnReset, schedule.ConnectFailed:
		return reason.Crashed
	case schedule.BadResponse:
		return reason.BadResponse
	case schedule.TimedOut:
		return reason.TimedOut
	case schedule.Cancelled:
		return reason.CallerGone
	default:
		return reason.Rejected
	}
}

// commandEnd returns what is true of a request whose command stage did not complete. Once
// a byte was written, only the target's own word makes it failed or not run.
func (p *progress) commandEnd(reply target.Reply) (why reason.Reason, end outcome.Outcome) {
	why = cause(reply.Status())
	switch {
	case !reply.Sent() && reply.Refusal() != reason.None:
		return reply.Refusal(), p.reached.OutcomeWithoutWrite(outcome.NotRun)
	case reply.Status() == schedule.Busy:
		return why, p.reached.OutcomeWithoutWrite(outcome.NotRun)
	case reply.Status() == schedule.Rejected:
		return why, outcome.Failed
	}
	return why, outcome.Unknown
}

func retryReason(end schedule.CallStatus) reason.Retry {
	switch end {
	case schedule.Busy:
		return reason.RetryBusy
	case schedule.Crashed, schedule.ConnReset, schedule.ConnectFailed:
		return reason.RetryCrashed
	case schedule.BadResponse:
		return reason.RetryBadResponse
	case schedule.TimedOut:
		return reason.RetryTimedOut
	default:
		return reason.RetryFailed
	}
}
