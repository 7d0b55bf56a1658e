package admit

import "time"

const (
	// objectiveReserve is the fraction of the objective that is reserved for overruns of the
	// estimate. Without a reserve, half of the requests that are expected to end just in time
	// end late.
	objectiveReserve = 0.15
	// lateTimeoutFraction is the fraction of the caller's timeout within which a request that
	// misses its objective has to be expected to end.
	lateTimeoutFraction = 0.6
	// maxGrowth is the growth of a pool's backlog above which late requests are refused. It is
	// slightly above the variation under a load that the pool can sustain.
	maxGrowth = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay that is sent with a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Backlog is the expected time that a new job of a pool waits for its call.
type Backlog struct {
	// OnTimeWait is the wait of a job that can meet its objective, LateWait that of a late job,
	// which is queued last.
	OnTimeWait, LateWait time.Duration
	// Growth is the increase of these waits per unit of time.
	Growth float64
}

// Stage describes one stage of a path.
type Stage struct {
	// Height is the number of stages on the longest path from this stage to the answer, this
	// one included. Stages of the same height run in parallel, after the higher ones.
	Height  int
	Backlog Backlog
	// ServiceTime is the duration of the stage's work without queueing.
	ServiceTime time.Duration
	// InputTTL is how long the results that the stage reads are kept; zero if it reads none.
	InputTTL time.Duration
}

// Path lists the stages of a request. AnswerTime is the time from their end to the answer, or
// to its first event if it is streamed.
type Path struct {
	Stages     []Stage
	AnswerTime time.Duration
}

// Estimate returns the expected duration of the path for an on-time request, and for a late one
// that is queued last at each stage. The backlog of a stage grows until the request reaches it.
func (p Path) Estimate() (onTime, late time.Duration) {
	maxHeight := 0
	for _, s := range p.Stages {
		maxHeight = max(maxHeight, s.Height)
	}
	for h := maxHeight; h > 0; h-- {
		var slowestOnTime, slowestLate time.Duration
		for _, s := range p.Stages {
			if s.Height != h {
				continue
			}
			growth := time.Duration(s.Backlog.Growth * float64(onTime))
			lateTime := s.Backlog.LateWait + growth + s.ServiceTime
			if s.InputTTL > 0 && lateTime > s.InputTTL || s.Backlog.Growth > maxGrowth {
				// The inputs of a late job expire before it starts, or it does not start at
				// all while more work arrives than the pool can process.
				lateTime = unboundedWait
			}
			slowestOnTime, slowestLate = max(slowestOnTime, s.Backlog.OnTimeWait+growth+s.ServiceTime), max(slowestLate, lateTime)
		}
		onTime += slowestOnTime
		late += slowestLate
	}
	return onTime + p.AnswerTime, min(late+p.AnswerTime, unboundedWait)
}

// unboundedWait is longer than any caller waits.
const unboundedWait = time.Hour

// TimeLimits are the objective and the timeout of a request.
type TimeLimits struct {
	// Objective is the latency objective of the request, ObjectiveLeft the time until it is
	// missed.
	Objective, ObjectiveLeft time.Duration
	// Timeout is how long the caller waits in total, TimeoutLeft the time until it gives up.
	Timeout, TimeoutLeft time.Duration
}

// Decision is the result of admission control for a request.
type Decision int

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision -linecomment

// The decisions.
const (
	// Refused requests cannot be served.
	Refused Decision = iota // refused
	// OnTime requests are expected to meet their objective.
	OnTime // timely
	// Late requests are expected to be answered, but to miss their objective. They get the
	// capacity that on-time requests leave; in the same queue they would delay these too.
	Late // late
)

// Admit decides on a request with the given expected durations as an on-time and as a late
// request. If it is refused, retryAfter is the time after which its caller should retry.
func Admit(onTime, late time.Duration, limits TimeLimits) (decision Decision, retryAfter time.Duration) {
	objectiveLeft := limits.ObjectiveLeft - time.Duration(objectiveReserve*float64(limits.Objective))
	if onTime <= objectiveLeft {
		return OnTime, 0
	}
	if late <= limits.TimeoutLeft-time.Duration((1-lateTimeoutFraction)*float64(limits.Timeout)) {
		return Late, 0
	}
	if late >= unboundedWait {
		return Refused, maxRetryAfter // the retry is late and is admitted only if the backlog is gone
	}
	return Refused, min(max(onTime-objectiveLeft, minRetryAfter), maxRetryAfter)
}
