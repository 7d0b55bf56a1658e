package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// lightUse is the fraction of the capacity that levels may use to be shed no more than the most
	// urgent one. To refuse them would admit hardly more urgent requests. It covers the retries of a
	// level of a twentieth.
	lightUse = 0.1
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
	// Under scarcity the wait is kept at what fills targetCalls calls, within minTargetWait and
	// maxTargetWait: calls are full, and requests of several stages still meet their objectives.
	targetCalls                  = 1.5
	minTargetWait, maxTargetWait = 80 * time.Millisecond, 350 * time.Millisecond
	// A pool is scarce if the demand exceeds the capacity by scarceDemand while the wait is
	// scarceWait times its target. Lower bounds are reached by chance at four fifths of the capacity.
	scarceDemand, scarceWait = 1.1, 1.5
	// correctionRate is the part of the capacity, per second, by which the shares are corrected while
	// the wait is zero: slower than the reports. A longer wait than the target is corrected up to
	// minDeviation times as fast.
	correctionRate, minDeviation = 0.3, -2
	// minCorrection and maxCorrection bound what is shared out, relative to the capacity.
	minCorrection, maxCorrection = 0.6, 2
	// maxCorrectionStep is the longest time without a report that counts.
	maxCorrectionStep = 200 * time.Millisecond
	// newsDemand is the demand from which on work is to be announced, relative to the capacity. Most
	// deployments stay below it between bursts.
	newsDemand = 0.5
	// scarceHold is how long a pool counts as scarce after its demand last exceeded its capacity.
	scarceHold = 1500 * time.Millisecond
)

// LevelBacklog is what a request of one priority level finds at a pool.
type LevelBacklog struct {
	Priority int
	// OnTimeWait and LateWait are as for Backlog, at this level.
	OnTimeWait, LateWait time.Duration
	// Share is the fraction of the level's requests that the pool can take, Protected the part of it
	// that is served like the most urgent level; zero unless the pool is scarce.
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

// WantsNews reports whether work on its way is to be announced. A pool that is mostly idle does without
// the messages; it wants them within one report if the demand rises.
func (d *Dispatcher) WantsNews(now time.Duration) bool {
	demand := 0.0
	for _, l := range d.levels {
		demand += l.demand(now)
	}
	return demand > newsDemand*d.capacity(now)
}

// mostUrgentLevel returns the most urgent level seen lately, at most a priority.
func (d *Dispatcher) mostUrgentLevel(priority int) int {
	for p := range d.levels {
		priority = min(priority, p)
	}
	return priority
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
	shares, minShare := d.shares(now, priorities)
	for i, p := range priorities {
		b := LevelBacklog{Priority: p, Share: shares[i], RetryAfter: d.nextRetry(now, p, d.levels[p])}
		switch {
		case minShare == 1 || i == 0:
			// It is served by its own priority.
		case b.Share == shares[0]:
			b.Protected = b.Share // a light level, which is served like the most urgent one
		default:
			b.Protected = minShare
		}
		if i == 0 {
			b.Share = 1 // admission by time admits what fits
		}
		b.OnTimeWait, b.LateWait = d.waits(now, p)
		if minShare < 1 {
			overtaking := d.overtakingWait(now, p, b.OnTimeWait)
			b.OnTimeWait, b.LateWait = b.OnTimeWait+overtaking, b.LateWait+overtaking
		}
		backlogs = append(backlogs, b)
	}
	return backlogs
}

// shares divides the capacity among the levels and returns the fraction of each level's demand
// that fits, and the fraction that every level keeps.
func (d *Dispatcher) shares(now time.Duration, priorities []int) (shares []float64, minShare float64) {
	demands, total := make([]float64, len(priorities)), 0.0
	for i, p := range priorities {
		demands[i] = d.levels[p].demand(now)
		total += demands[i]
	}
	capacity := d.capacity(now)
	wait, target := d.workWait(now, capacity), d.targetWait(capacity)
	starts := total > scarceDemand*capacity && float64(wait) > scarceWait*float64(target)
	if starts || now < d.scarceUntil && total > capacity {
		d.scarceUntil = now + scarceHold
	}
	if now >= d.scarceUntil || capacity == 0 {
		return divide(demands, math.Inf(1), 1)
	}
	return divide(demands, capacity, d.correctionFor(now, wait, target))
}

// correctionFor returns the factor by which more or less than the capacity is shared out, so that the
// wait stays near its target. Shares of several pools, stale views and requests that are refused for
// their time leave a part of the capacity unused otherwise.
func (d *Dispatcher) correctionFor(now, wait, target time.Duration) float64 {
	elapsed := min(now-d.correctedAt, maxCorrectionStep)
	if now-d.correctedAt > scarceHold {
		d.correction, elapsed = 1, 0
	}
	d.correctedAt = now
	deviation := max(float64(target-wait)/float64(target), minDeviation)
	d.correction = min(max(d.correction+correctionRate*deviation*elapsed.Seconds(), minCorrection), maxCorrection)
	return d.correction
}

// targetWait returns the wait to which a scarce pool is kept.
func (d *Dispatcher) targetWait(capacity float64) time.Duration {
	if capacity == 0 {
		return maxTargetWait
	}
	fill := time.Duration(targetCalls * float64(d.spec.MaxPieces) / capacity * float64(time.Second))
	return min(max(fill, minTargetWait), maxTargetWait)
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

// divide gives each level MinLevelShare of its proportional share of the capacity and the rest to
// the most urgent levels. Demands are ordered by urgency. The rest is what the corrected capacity leaves.
func divide(demands []float64, capacity, correction float64) (shares []float64, minShare float64) {
	total := 0.0
	for _, demand := range demands {
		total += demand
	}
	shares, minShare = make([]float64, len(demands)), 1.0
	if total > capacity {
		minShare = MinLevelShare * capacity / total
	}
	left := max(capacity*correction-minShare*total, 0)
	for _, group := range divisionOrder(demands, capacity) {
		extra := 0.0
		for _, i := range group {
			extra += (1 - minShare) * demands[i]
		}
		part := 1.0
		if extra > left {
			part = left / extra
		}
		left -= part * extra
		for _, i := range group {
			shares[i] = minShare + (1-minShare)*part
		}
	}
	return shares, minShare
}

// divisionOrder returns the indexes of the levels in the order in which they get capacity. The
// lightest levels, up to lightUse of the capacity together, get the share of the most urgent one.
func divisionOrder(demands []float64, capacity float64) (groups [][]int) {
	if len(demands) == 0 {
		return nil
	}
	byDemand := make([]int, 0, len(demands))
	for i := range demands {
		byDemand = append(byDemand, i)
	}
	slices.SortFunc(byDemand, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	first, used := []int{0}, 0.0
	for _, i := range byDemand {
		if used += demands[i]; i > 0 && used <= lightUse*capacity {
			first = append(first, i)
		}
	}
	groups = [][]int{first}
	for i := range demands {
		if !slices.Contains(first, i) {
			groups = append(groups, []int{i})
		}
	}
	return groups
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
