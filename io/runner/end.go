package runner

import (
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
)

// cause returns the reason that a failed call gives.
func cause(end schedule.End) reason.Reason {
	switch end {
	case schedule.Busy:
		return reason.Overload
	case schedule.Crashed:
		return reason.Crashed
	case schedule.Silent:
		return reason.Silent
	case schedule.Cancelled:
		return reason.Gone
	default:
		return reason.Rejected
	}
}

// commandOutcome returns what is true of a command whose write began. Only the target's
// own word makes it failed or not run.
func commandOutcome(end schedule.End) outcome.Outcome {
	switch end {
	case schedule.Completed:
		return outcome.Done
	case schedule.Rejected:
		return outcome.Failed
	case schedule.Busy:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

func retryReason(end schedule.End) reason.Retry {
	switch end {
	case schedule.Busy:
		return reason.RetryBusy
	case schedule.Crashed:
		return reason.RetryCrashed
	case schedule.Silent:
		return reason.RetrySilent
	default:
		return reason.RetryFailed
	}
}
