package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasward/core/route"
)

// Offer queues a job or refuses it. For an accepted job, wait is the expected time until the
// job ends; for a refused one, the time after which the caller should retry.
func (d *Dispatcher) Offer(now time.Duration, j Job) (wait time.Duration, ok bool) {
	d.recordArrival(now, j.Pieces)
	if known := j.Announcement != 0 && d.Withdraw(j.Announcement); !known {
		d.touchLevel(now, j.Priority).admitted.add(now, j.Pieces)
	}
	if j.Protected {
		j.Priority = d.protectedLevel(j.Priority)
	}
	d.meanPriority += priorityWeight * (float64(j.Priority) - d.meanPriority)
	end := d.expectedEnd(now, j)
	limit := j.Deadline
	if end > j.SoftDeadline && !j.HasPriorWork {
		limit = now + time.Duration(maxWaitFraction*float64(j.Deadline-now))
	}
	if end > limit {
		earliest := minRetryAfter
		if d.retrySlots {
			earliest = d.reserveRetry(now, j.Priority, j.Pieces)
		}
		return min(max(end-max(j.SoftDeadline, now), earliest), maxRetryAfter), false
	}
	q := &queuedJob{job: j, expectedEnd: end, onTime: end <= j.SoftDeadline}
	for i := range j.Pieces {
		q.pending = append(q.pending, i)
	}
	d.jobs[j.ID] = q
	d.enqueue(q)
	return end - now, true
}

// enqueue inserts a job with pending pieces at its position in the queue.
func (d *Dispatcher) enqueue(q *queuedJob) {
	if i, ok := slices.BinarySearchFunc(d.queue, q, compareJobs); !ok {
		d.queue = slices.Insert(d.queue, i, q)
	}
}

// dequeue removes a job from the queue.
func (d *Dispatcher) dequeue(q *queuedJob) {
	if i, ok := slices.BinarySearchFunc(d.queue, q, compareJobs); ok {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
}

// recordArrival adds offered pieces to the arrival rate.
func (d *Dispatcher) recordArrival(now time.Duration, pieces int) {
	d.arrivalRate *= math.Exp(-float64(now-d.arrivalRateTime) / float64(arrivalTimeConstant))
	d.arrivalRate += float64(pieces) / arrivalTimeConstant.Seconds()
	d.arrivalRateTime = now
}

// Backlog returns how long a job of the mean priority that arrives now waits for its call if it
// can meet its objective, and if it is late and queued last. Growth is the increase of these waits per unit
// of time; zero if the pool keeps up.
func (d *Dispatcher) Backlog(now time.Duration) (onTimeWait, lateWait time.Duration, growth float64) {
	growth, _ = d.overload(now)
	onTimeWait, lateWait = d.waits(now, int(math.Round(d.meanPriority)))
	return onTimeWait, lateWait, growth
}

// waits returns how long a job of a priority waits for its call if it can meet its objective, and
// if it is late.
func (d *Dispatcher) waits(now time.Duration, priority int) (onTimeWait, lateWait time.Duration) {
	duration := d.callDuration(1)
	_, spare := d.overload(now)
	onTime := Job{ID: 1<<64 - 1, Arrived: now, Priority: priority, SoftDeadline: 1<<62 - 1, Pieces: 1}
	last := Job{ID: 1<<64 - 1, Arrived: 1<<62 - 1, Pieces: 1}
	d.dropExpired(now)
	onTimeWait = d.expectedEnd(now, onTime) - now - duration
	lateWait = d.expectedEnd(now, last) - now - duration
	if capacity := d.capacity(now); capacity > 0 && len(d.announced) > 0 {
		position := onTime.effectiveArrival()
		onTimeWait += d.announcedWait(now, onTime, capacity, func(a announcedJob) bool { return !a.Late && a.effectiveArrival() <= position })
		lateWait += d.announcedWait(now, last, capacity, func(announcedJob) bool { return true })
	}
	// On-time jobs that arrive later overtake late jobs.
	lateWait = onTimeWait + time.Duration(float64(max(lateWait-onTimeWait, 0))/spare)
	overrun := d.currentOverrun(now)
	return onTimeWait + overrun, lateWait + overrun
}

// overload compares the arrival rate with the throughput of the pool. It returns the increase
// of the waits per unit of time and the fraction of the throughput available to late jobs.
func (d *Dispatcher) overload(now time.Duration) (growth, spare float64) {
	rate := d.throughput(now, nil)
	if rate == 0 {
		return 0, 1
	}
	arrivalRate := d.arrivalRate * math.Exp(-float64(now-d.arrivalRateTime)/float64(arrivalTimeConstant))
	return max(arrivalRate/rate-1, 0), max(1-arrivalRate/rate, minSpare)
}

// CompleteJob records that all pieces of a job have results.
func (d *Dispatcher) CompleteJob(now time.Duration, id uint64) {
	if q, ok := d.jobs[id]; ok {
		d.recordOverrun(now, q)
	}
}

// recordOverrun records how much later than expected a job ended. Jobs overrun because their
// calls are shared with other jobs, wait for a target in their zone, or fail. Jobs that were
// late on arrival are ignored.
func (d *Dispatcher) recordOverrun(now time.Duration, q *queuedJob) {
	if !q.onTime {
		return
	}
	sample := min(max(now-q.expectedEnd, 0), maxOverrun)
	overrun := d.currentOverrun(now)
	d.overrun, d.overrunTime = overrun+time.Duration(overrunWeight*float64(sample-overrun)), now
}

// currentOverrun returns the overrun, decayed since its last update.
func (d *Dispatcher) currentOverrun(now time.Duration) time.Duration {
	return time.Duration(float64(d.overrun) * math.Exp2(-float64(now-d.overrunTime)/float64(overrunHalfLife)))
}

// throughput returns the pieces per second that the pool processes with full calls, at most
// the measured throughput, at the targets in the zones (nil for all); zero if no target can be used.
func (d *Dispatcher) throughput(now time.Duration, zones []string) (rate float64) {
	rate, _ = d.nominalThroughput(now, zones)
	if measured := d.measuredThroughput(now); measured > 0 {
		rate = min(rate, measured)
	}
	return rate
}

// nominalThroughput returns the pieces per second that the pool processes with full calls at the targets in the
// zones (nil for all) if nothing but the speed of its usable targets limits it, and the number of these.
func (d *Dispatcher) nominalThroughput(now time.Duration, zones []string) (rate float64, targets int) {
	full := d.nominalDuration(d.spec.MaxPieces)
	for _, ts := range d.targets.All() {
		if d.usable(now, ts) && route.ZoneAllowed(zones, ts.target.Zone) {
			calls := min(1/(full.Seconds()*d.expectedSlowdown(now, ts)), d.gate.Rate(now, ts.target))
			rate += float64(d.spec.MaxPieces) * calls
			targets++
		}
	}
	return rate, targets
}

// expectedEnd returns when the job would end if it arrived now.
func (d *Dispatcher) expectedEnd(now time.Duration, j Job) time.Duration {
	firstIdle := time.Duration(1<<62 - 1)
	for _, ts := range d.targets.All() {
		if d.usable(now, ts) && route.ZoneAllowed(j.Zones, ts.target.Zone) {
			firstIdle = min(firstIdle, d.idleAt(now, ts))
		}
	}
	rate := d.throughput(now, j.Zones)
	if rate == 0 {
		return now + maxRetryAfter + j.Deadline
	}
	duration := d.callDuration(min(j.Pieces, d.spec.MaxPieces))
	ahead := d.piecesAhead(now, j)
	overflow := max(j.Pieces-d.spec.MaxPieces, 0)
	return max(firstIdle, now) + time.Duration(float64(ahead+overflow)/rate*float64(time.Second)) + duration
}

// piecesAhead returns the queued pieces that are dispatched before a job that arrives now.
func (d *Dispatcher) piecesAhead(now time.Duration, j Job) (ahead int) {
	late, position := d.missesObjective(now, j), &queuedJob{job: j}
	for _, q := range d.queue {
		other := d.missesObjective(now, q.job)
		if other == late && compareJobs(q, position) < 0 || late && !other {
			ahead += len(q.pending)
		}
	}
	return ahead
}

// announcedWait returns by how much the wait of a job changes from now until it arrives, as the
// pool works off its queue and announced work arrives.
func (d *Dispatcher) announcedWait(now time.Duration, j Job, capacity float64, counts func(announcedJob) bool) time.Duration {
	queued := float64(d.piecesAhead(now, j))
	change := d.backlogAt(now, queued, capacity, counts) - queued
	return time.Duration(change / capacity * float64(time.Second))
}

// measuredThroughput returns the pieces per second that were recently dispatched while the
// queue was never empty; zero if that time was too short. A lack of result memory and slow
// targets make it lower than the nominal throughput.
func (d *Dispatcher) measuredThroughput(now time.Duration) float64 {
	if d.busySince < 0 || now-d.busySince < throughputWindow/2 {
		return 0
	}
	return max(float64(d.dispatched)/(now-d.busySince).Seconds(), 1)
}

// recordDispatched counts dispatched pieces. Once the measurement exceeds throughputWindow,
// its older half is dropped.
func (d *Dispatcher) recordDispatched(now time.Duration, pieces int) {
	if len(d.queue) == 0 {
		d.busySince = -1
		return
	}
	if d.busySince < 0 {
		d.busySince, d.dispatched = now, 0
	}
	d.dispatched += pieces
	if now-d.busySince > throughputWindow {
		d.busySince += (now - d.busySince) / 2
		d.dispatched /= 2
	}
}

// nominalDuration returns the duration of a call at a target without slowdown.
func (d *Dispatcher) nominalDuration(pieces int) time.Duration {
	return d.spec.CallTime + time.Duration(pieces)*d.spec.PieceTime
}

// missesObjective reports whether a job is late: it misses its objective even if it starts now.
func (d *Dispatcher) missesObjective(now time.Duration, j Job) bool {
	return now+d.callDuration(1) > j.SoftDeadline
}

// callDuration returns the expected duration of a call that a job with the given number of pieces
// is part of. It is that of recent calls if these were larger: under load a call is shared with
// other jobs.
func (d *Dispatcher) callDuration(pieces int) time.Duration {
	return max(d.nominalDuration(pieces), d.recentDuration)
}

// recordCallDuration records the nominal duration of a started call.
func (d *Dispatcher) recordCallDuration(nominal time.Duration) {
	d.recentDuration += time.Duration(callDurationWeight * float64(nominal-d.recentDuration))
}

// compareJobs orders two jobs that are both on time or both late.
func compareJobs(a, b *queuedJob) int {
	return cmp.Or(cmp.Compare(a.job.effectiveArrival(), b.job.effectiveArrival()), cmp.Compare(a.job.ID, b.job.ID))
}

// effectiveArrival is the arrival of the request, shifted by its priority.
func (j Job) effectiveArrival() time.Duration {
	return j.Arrived + time.Duration(j.Priority)*priorityOffset
}
