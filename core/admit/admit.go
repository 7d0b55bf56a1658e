package admit

import (
	"cmp"
	"slices"
	"time"
)

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
	// maxScarceLateWait is the wait of late jobs at a scarce pool above which late requests are
	// refused. It keeps calls full; longer queues of late jobs are abandoned after their first
	// stages.
	maxScarceLateWait = 300 * time.Millisecond
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
	// Announced is the number of pieces on their way. If there are any, the waits are those at the
	// time at which a new request reaches the pool.
	Announced int
	// WantsAnnouncements is set if the pool wants work on its way to be announced.
	WantsAnnouncements bool
	// Scarce is set if the pool sheds requests. A call then takes CallDuration, as it is shared.
	Scarce       bool
	CallDuration time.Duration
	// Levels has the waits of the priority levels that the pool has seen lately, the most urgent
	// first; empty if they are not known, in which case the waits above hold for all.
	Levels []Level
	// Shed is the fraction of requests that are to be refused as the pool is scarce, Protected the
	// fraction that is served before the most urgent level.
	Shed, Protected float64
	// RetryAfter is the time until there is room for the retry of a refused request; zero if it is
	// not known.
	RetryAfter time.Duration
}

// Level is what a request of one priority level finds at a pool.
type Level struct {
	Priority             int
	OnTimeWait, LateWait time.Duration
	Shed, Protected      float64
	RetryAfter           time.Duration
}

// At returns the backlog that a request of a priority finds. A priority that the pool has not
// seen lately has the backlog of the next less urgent level, or else of the least urgent one.
func (b Backlog) At(priority int) Backlog {
	if len(b.Levels) == 0 {
		return b
	}
	own := b.Levels[len(b.Levels)-1]
	for _, l := range b.Levels {
		if l.Priority >= priority {
			own = l
			break
		}
	}
	b.OnTimeWait, b.LateWait, b.Shed, b.Protected = own.OnTimeWait, own.LateWait, own.Shed, own.Protected
	b.RetryAfter = own.RetryAfter
	return b
}

// WithoutLevels returns the backlog of the mean priority alone.
func (b Backlog) WithoutLevels() Backlog {
	return Backlog{OnTimeWait: b.OnTimeWait, LateWait: b.LateWait, Growth: b.Growth}
}

// MostUrgent returns the backlog that a protected request finds: that of the most urgent level.
func (b Backlog) MostUrgent() Backlog {
	if len(b.Levels) > 0 {
		b = b.At(b.Levels[0].Priority)
	}
	b.Shed = 0
	return b
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
	onTime, late, _ = p.estimate()
	return onTime, late
}

// Arrivals returns the expected times until an on-time request reaches each stage.
func (p Path) Arrivals() (arrivals []time.Duration) {
	_, _, arrivals = p.estimate()
	return arrivals
}

func (p Path) estimate() (onTime, late time.Duration, arrivals []time.Duration) {
	arrivals = make([]time.Duration, len(p.Stages))
	maxHeight := 0
	for _, s := range p.Stages {
		maxHeight = max(maxHeight, s.Height)
	}
	for h := maxHeight; h > 0; h-- {
		var slowestOnTime, slowestLate time.Duration
		for i, s := range p.Stages {
			if s.Height != h {
				continue
			}
			arrivals[i] = onTime
			growth := time.Duration(s.Backlog.Growth * float64(onTime))
			if s.Backlog.Announced > 0 {
				growth = 0
			}
			if s.Backlog.Scarce {
				s.ServiceTime = max(s.ServiceTime, s.Backlog.CallDuration)
			}
			lateTime := s.Backlog.LateWait + growth + s.ServiceTime
			if s.InputTTL > 0 && lateTime > s.InputTTL || s.Backlog.Growth > maxGrowth || s.Backlog.Scarce && s.Backlog.LateWait > maxScarceLateWait {
				// The inputs of a late job expire before it starts, or it does not start at
				// all while more work arrives than the pool can process.
				lateTime = unboundedWait
			}
			slowestOnTime, slowestLate = max(slowestOnTime, s.Backlog.OnTimeWait+growth+s.ServiceTime), max(slowestLate, lateTime)
		}
		onTime += slowestOnTime
		late += slowestLate
	}
	return onTime + p.AnswerTime, min(late+p.AnswerTime, unboundedWait), arrivals
}

// unboundedWait is longer than any caller waits.
const unboundedWait = time.Hour

// Scarcity returns the largest fraction of requests that a pool of the path has to shed, and the
// smallest fraction that is protected at a pool which protects any.
func (p Path) Scarcity() (shed, protected float64) {
	for _, s := range p.Stages {
		shed = max(shed, s.Backlog.Shed)
		if s.Backlog.Protected > 0 && (protected == 0 || s.Backlog.Protected < protected) {
			protected = s.Backlog.Protected
		}
	}
	return shed, protected
}

// Bottleneck returns the index of the stage because of which a request is refused: the one that sheds
// most, or else the one with the longest wait; -1 without stages. The demand that is refused counts
// there alone. Otherwise, the pools before a scarce one would seem to be scarce as well.
func (p Path) Bottleneck() (stage int) {
	stage = -1
	for i, s := range p.Stages {
		if stage < 0 || cmp.Or(cmp.Compare(s.Backlog.Shed, p.Stages[stage].Backlog.Shed), cmp.Compare(s.Backlog.OnTimeWait, p.Stages[stage].Backlog.OnTimeWait)) > 0 {
			stage = i
		}
	}
	return stage
}

// RetryAfter returns the time until each pool of the path has room for a retry.
func (p Path) RetryAfter() (room time.Duration) {
	for _, s := range p.Stages {
		room = max(room, s.Backlog.RetryAfter)
	}
	return room
}

// Protect returns the path of a protected request: one of the minimum share of its level, which is
// admitted and served before the most urgent level.
func (p Path) Protect() Path {
	p.Stages = slices.Clone(p.Stages)
	for i, s := range p.Stages {
		p.Stages[i].Backlog = s.Backlog.MostUrgent()
	}
	return p
}

// Treatment is how a request is treated under scarcity.
type Treatment int

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Treatment -linecomment

// The treatments.
const (
	// Ordinary requests are served by their own priority.
	Ordinary Treatment = iota // ordinary
	// Protected requests are served before the most urgent level.
	Protected // protected
	// Shed requests are refused.
	Shed // shed
)

// Treat divides the requests of a level by chance: the minimum share is protected and what exceeds
// the level's share is shed. It does not consider the size, so that large requests are shed no
// more often than small ones. draw is uniform in [0, 1) and stays the same for one request.
func (p Path) Treat(draw float64) Treatment {
	shed, protected := p.Scarcity()
	switch {
	case draw >= 1-shed:
		return Shed
	case draw < protected:
		return Protected
	}
	return Ordinary
}

// TimeLimits are the objective and the timeout of a request.
type TimeLimits struct {
	// Objective is the latency objective of the request, ObjectiveLeft the time until it is
	// missed.
	Objective, ObjectiveLeft time.Duration
	// Timeout is how long the caller waits in total, TimeoutLeft the time until it gives up.
	Timeout, TimeoutLeft time.Duration
	// Protected is set for a request of the minimum share of its level. It is on time if it ends in a
	// late request's time.
	Protected bool
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
	timeoutLeft := limits.TimeoutLeft - time.Duration((1-lateTimeoutFraction)*float64(limits.Timeout))
	if onTime <= objectiveLeft || limits.Protected && onTime <= timeoutLeft {
		return OnTime, 0
	}
	if late <= timeoutLeft {
		return Late, 0
	}
	if late >= unboundedWait {
		return Refused, maxRetryAfter // the retry is late and is admitted only if the backlog is gone
	}
	return Refused, min(max(onTime-objectiveLeft, minRetryAfter), maxRetryAfter)
}
