package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// lightUse is the fraction of the capacity that less urgent levels may use together to be shed no
	// more than the level that does not fit. To refuse them would admit hardly more of that one. It
	// covers a level of a twentieth with its retries.
	lightUse = 0.05
	// levelTTL is how long a priority level is reported after its last request. It is longer than
	// the gaps of a kind with one request in a few seconds.
	levelTTL = 10 * time.Second
	// MinLevelShare is the fraction of its proportional share of the capacity that each level keeps
	// under scarcity, at each attempt. Callers try twice and need a quarter of what all requests get;
	// in a lasting overload the least urgent level then gets 0.39 of it (TestLastingOverload).
	MinLevelShare = 0.2
	// overtakingSteps is the number of steps in which the work that overtakes a job is estimated;
	// each step adds what arrives during the wait that the step before added.
	overtakingSteps = 4
	// While calls are full, the work of about fillCalls calls waits, for minFillTime to maxFillTime.
	fillCalls                = 1.5
	minFillTime, maxFillTime = 80 * time.Millisecond, 350 * time.Millisecond
	// A pool is scarce if the demand exceeds the capacity by scarceDemand while the wait is
	// scarceWait times what fills calls. Lower bounds are reached by chance at four fifths of the
	// capacity.
	scarceDemand, scarceWait = 1.1, 1.5
	// announceDemand is the demand from which on work is to be announced, relative to the capacity. Most
	// deployments stay below it between bursts.
	announceDemand = 0.5
	// scarceHold is how long a pool counts as scarce after its demand last exceeded its capacity.
	scarceHold = 1500 * time.Millisecond
)

// LevelBacklog is what a request of one priority level finds at a pool.
type LevelBacklog struct {
	Priority int
	// OnTimeWait and LateWait are as for Backlog, at this level.
	OnTimeWait, LateWait time.Duration
	// Share is the fraction of the level's requests that the pool can take, Protected the part of it
	// that is queued before the most urgent level; zero unless the pool is scarce.
	Share, Protected float64
	// RetryAfter is the time until there is room for the retry of a request that is refused now.
	RetryAfter time.Duration
}

// pieceRate is an EWMA of pieces per second.
type pieceRate struct {
	value   float64
	updated time.Duration
}

func (r *pieceRate) add(now time.Duration, pieces int) {
	r.value = r.at(now) + float64(pieces)/arrivalTimeConstant.Seconds()
	r.updated = now
}

func (r *pieceRate) at(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.updated)/float64(arrivalTimeConstant))
}

// level has the rates of one priority level.
type level struct {
	// admitted is the rate of offered jobs, refused that of pieces whose requests hosts refused.
	admitted, refused pieceRate
	seen              time.Duration
	// nextRetry is the next free slot for a retry.
	nextRetry time.Duration
}

func (l *level) demand(now time.Duration) float64 { return l.admitted.at(now) + l.refused.at(now) }

// RecordRefused counts pieces of a level whose request a host refused. Without them, the demand
// would seem to end whenever requests are refused.
func (d *Dispatcher) RecordRefused(now time.Duration, priority, pieces int) {
	d.touchLevel(now, priority).refused.add(now, pieces)
	d.reserveRetry(now, priority, pieces)
}

// touchLevel returns the state of a level that has a request now.
func (d *Dispatcher) touchLevel(now time.Duration, priority int) *level {
	l, ok := d.levels[priority]
	if !ok {
		l = &level{}
		d.levels[priority] = l
	}
	l.seen = now
	return l
}

// WantsAnnouncements reports whether work on its way is to be announced. A pool that is mostly idle does without
// the messages; it wants them within one report if the demand rises.
func (d *Dispatcher) WantsAnnouncements(now time.Duration) bool {
	demand := 0.0
	for _, l := range d.levels {
		demand += l.demand(now)
	}
	return demand > announceDemand*d.capacity(now)
}

// protectedLevel returns the level as which the protected requests of a level are queued: one before the
// most urgent one seen lately. Protected requests are few, and the queue of a scarce pool is as long as the
// objective of the requests that are admitted by time allows, which may be longer than their own.
func (d *Dispatcher) protectedLevel(priority int) int {
	for p := range d.levels {
		priority = min(priority, p)
	}
	return priority - 1
}

// Scarce reports whether less urgent requests are shed, and the duration of the calls that they
// share.
func (d *Dispatcher) Scarce(now time.Duration) (callDuration time.Duration, scarce bool) {
	return d.callDuration(1), now < d.scarceUntil
}

// LevelBacklogs returns the backlog of each level seen within levelTTL, the most urgent first.
func (d *Dispatcher) LevelBacklogs(now time.Duration) (backlogs []LevelBacklog) {
	maps.DeleteFunc(d.levels, func(_ int, l *level) bool { return now-l.seen > levelTTL })
	priorities := slices.Sorted(maps.Keys(d.levels))
	shares := d.shares(now, priorities)
	for i, p := range priorities {
		b := LevelBacklog{Priority: p, Share: shares[i].admitted, Protected: shares[i].protected, RetryAfter: d.nextRetry(now, d.levels[p])}
		b.OnTimeWait, b.LateWait = d.waits(now, p)
		if now < d.scarceUntil {
			overtaking := d.overtakingWait(now, p, b.OnTimeWait)
			b.OnTimeWait, b.LateWait = b.OnTimeWait+overtaking, b.LateWait+overtaking
		}
		backlogs = append(backlogs, b)
	}
	return backlogs
}

// shares divides the capacity among the levels if the pool is scarce.
func (d *Dispatcher) shares(now time.Duration, priorities []int) []share {
	demands, total := make([]float64, len(priorities)), 0.0
	for i, p := range priorities {
		demands[i] = d.levels[p].demand(now)
		total += demands[i]
	}
	capacity := d.capacity(now)
	starts := total > scarceDemand*capacity && float64(d.workWait(now, capacity)) > scarceWait*float64(d.fillTime(capacity))
	if starts || now < d.scarceUntil && total > capacity {
		d.scarceUntil = now + scarceHold
	}
	if now >= d.scarceUntil || capacity == 0 {
		capacity = math.Inf(1)
	}
	return divide(demands, capacity)
}

// fillTime returns the wait of a pool whose calls are filled.
func (d *Dispatcher) fillTime(capacity float64) time.Duration {
	if capacity == 0 {
		return maxFillTime
	}
	fill := time.Duration(fillCalls * float64(d.spec.MaxPieces) / capacity * float64(time.Second))
	return min(max(fill, minFillTime), maxFillTime)
}

// capacity returns the pieces per second that the pool can process. The measured throughput is a
// bound only if calls were full; otherwise it is what arrived.
func (d *Dispatcher) capacity(now time.Duration) float64 {
	nominal, targets := d.nominalThroughput(now, nil)
	if measured := d.measuredThroughput(now); measured > 0 && d.Waiting() > targets*d.spec.MaxPieces/2 {
		return min(nominal, measured)
	}
	return nominal
}

// workWait returns the time in which the pool works off what waits for it, at the time at which a
// request that is admitted now arrives.
func (d *Dispatcher) workWait(now time.Duration, capacity float64) time.Duration {
	if capacity == 0 {
		return 0
	}
	pieces := d.backlogAt(now, float64(d.Waiting()), capacity, func(announcedJob) bool { return true })
	return time.Duration(pieces / capacity * float64(time.Second))
}

// share is the fraction of a level's requests that is admitted if time allows, and the part of it that is
// protected.
type share struct{ admitted, protected float64 }

// divide divides the capacity among levels ordered by urgency. Levels that fit are admitted, and so is the
// first one that does not fit, by time: a share would have to be exact to use all capacity. The levels after
// it keep the minimum share, and light ones as much as fits of the one that does not fit.
func divide(demands []float64, capacity float64) (shares []share) {
	total := 0.0
	for _, demand := range demands {
		total += demand
	}
	shares = make([]share, len(demands))
	minimum := MinLevelShare * min(capacity/max(total, 1), 1)
	left := capacity - minimum*total
	marginal := len(demands)
	for i, demand := range demands {
		if i > marginal {
			shares[i] = share{admitted: minimum, protected: minimum}
			continue
		}
		shares[i].admitted = 1
		if needed := (1 - minimum) * demand; total > capacity && needed > left {
			marginal = i
		} else {
			left -= needed
		}
	}
	for _, i := range lightLevels(demands, marginal, capacity) {
		fits := minimum + left/demands[marginal]
		shares[i] = share{admitted: fits, protected: fits}
	}
	return shares
}

// lightLevels returns the lightest levels after the marginal one, as many as use up to lightUse of the
// capacity together.
func lightLevels(demands []float64, marginal int, capacity float64) (light []int) {
	for i := marginal + 1; i < len(demands); i++ {
		light = append(light, i)
	}
	slices.SortFunc(light, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	used := 0.0
	for n, i := range light {
		if used += demands[i]; used > lightUse*capacity {
			return light[:n]
		}
	}
	return light
}

// overtakingWait returns by how much the work of more urgent levels that is still to come extends
// a wait. A job of a more urgent level overtakes if it arrives within the offset of their levels.
func (d *Dispatcher) overtakingWait(now time.Duration, priority int, wait time.Duration) (extra time.Duration) {
	capacity := d.capacity(now)
	if capacity == 0 {
		return 0
	}
	for range overtakingSteps {
		pieces := 0.0
		for p, l := range d.levels {
			if p < priority {
				window := min(wait+extra, time.Duration(priority-p)*priorityOffset)
				pieces += l.admitted.at(now) * window.Seconds()
			}
		}
		extra = time.Duration(pieces / capacity * float64(time.Second))
	}
	return extra
}
