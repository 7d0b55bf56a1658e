package admit

import "time"

const (
	// reserve is the part of the objective that is kept for what a path takes longer than
	// expected. Half of the requests that are expected to end just in time end late.
	reserve = 0.15
	// latePatience is the part of a caller's time within which a request that misses its
	// objective has to be expected to end.
	latePatience = 0.6
	// growthMost is the growth of a pool's waits from which on late requests are not begun:
	// little above the variation of a load that the pool can carry.
	growthMost = 0.1
	// retryLeast and retryMost bound the wait that a refused caller is told.
	retryLeast = 200 * time.Millisecond
	retryMost  = 3 * time.Second
)

// Backlog is how long a new job of a pool waits for its call.
type Backlog struct {
	// Soon holds for a job that can be in time, All for one that comes after all others.
	OnTimeWait, LateWait time.Duration
	// Growth is by how much these waits grow in the same time, as a ratio.
	Growth float64
}

// Stage is what a path expects of one of its stages.
type Stage struct {
	// Height is the number of stages on the longest way to the request, this one included.
	// Stages of the same height run at the same time, higher ones before.
	Height  int
	Backlog Backlog
	// Own is the duration of the stage's own work.
	ServiceTime time.Duration
	// Keep is how long the results that the stage reads are kept; zero if it reads none.
	InputTTL time.Duration
}

// Path is the stages of a request and the time to its answer, or to the first event of it,
// after them.
type Path struct {
	Stages     []Stage
	AnswerTime time.Duration
}

// Expect returns the time that the path takes: for a request that can be in time, and for one
// that comes after all others. A stage is reached only after the ones before, and what waits
// there grows until then.
func (p Path) Estimate() (soon, all time.Duration) {
	highest := 0
	for _, s := range p.Stages {
		highest = max(highest, s.Height)
	}
	for h := highest; h > 0; h-- {
		var slowest, slowestAll time.Duration
		for _, s := range p.Stages {
			if s.Height != h {
				continue
			}
			grown := time.Duration(s.Backlog.Growth * float64(soon))
			late := s.Backlog.LateWait + grown + s.ServiceTime
			if s.InputTTL > 0 && late > s.InputTTL || s.Backlog.Growth > growthMost {
				// Its inputs would be gone when its turn comes after all others, or it does
				// not come while more work arrives than the pool can do.
				late = never
			}
			slowest, slowestAll = max(slowest, s.Backlog.OnTimeWait+grown+s.ServiceTime), max(slowestAll, late)
		}
		soon += slowest
		all += slowestAll
	}
	return soon + p.AnswerTime, min(all+p.AnswerTime, never)
}

// never is longer than any caller waits.
const never = time.Hour

// Times are the bounds of a request, counted from now.
type TimeLimits struct {
	// Objective is the whole time that earns full credit, Aim what is left of it.
	Objective, ObjectiveLeft time.Duration
	// Patience is the whole time that the caller waits, Left what is left of it.
	Timeout, TimeoutLeft time.Duration
}

// Verdict is what becomes of a request.
type Decision int

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision -linecomment

// The verdicts.
const (
	// Refused requests cannot be served.
	Refused Decision = iota // refused
	// Timely requests are expected to be answered in time.
	OnTime // timely
	// Late requests are expected to be answered, but not in time. They get what is left by
	// those that can be in time; in the same queue they would make these late as well.
	Late // late
)

// Admit decides on a request that takes the given times. Retry is when the caller of
// a refused one should come back.
func Admit(soon, all time.Duration, t TimeLimits) (v Decision, retry time.Duration) {
	aim := t.ObjectiveLeft - time.Duration(reserve*float64(t.Objective))
	if soon <= aim {
		return OnTime, 0
	}
	if all <= t.TimeoutLeft-time.Duration((1-latePatience)*float64(t.Timeout)) {
		return Late, 0
	}
	if all >= never {
		return Refused, retryMost // it comes back late, and is served then only without a backlog
	}
	return Refused, min(max(soon-aim, retryLeast), retryMost)
}
