package runner

import (
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/target"
)

// failureReason returns the reason that stands for the status of a failed call.
func failureReason(status schedule.CallStatus) reason.Reason {
	switch status {
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

// commandOutcome returns the reason and the outcome of a request whose command stage did not
// complete. Once a byte was written, the outcome is failed or not-run only if the target said so,
// and unknown otherwise.
func (state *requestState) commandOutcome(reply target.Reply) (why reason.Reason, final outcome.Outcome) {
	why = failureReason(reply.Status())
	switch {
	case !reply.Sent() && reply.Refusal() != reason.None:
		return reply.Refusal(), state.progress.OutcomeWithoutWrite(outcome.NotRun)
	case reply.Status() == schedule.Busy:
		return why, state.progress.OutcomeWithoutWrite(outcome.NotRun)
	case reply.Status() == schedule.Rejected:
		return why, outcome.Failed
	}
	return why, outcome.Unknown
}

func retryReason(status schedule.CallStatus) reason.Retry {
	switch status {
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
