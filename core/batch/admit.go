package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Offer queues a job, or refuses it and returns when its caller should come back. Wait is
// the expected time until the job ends.
func (d *Dispatcher) Offer(now time.Duration, j Job) (wait time.Duration, ok bool) {
	d.arrive(now, j.Pieces)
	ready := d.expect(now, j)
	limit := j.Deadline
	if ready > j.SoftDeadline && !j.HasPriorWork {
		limit = now + time.Duration(patience*float64(j.Deadline-now))
	}
	if ready > limit {
		return min(max(ready-max(j.SoftDeadline, now), retryFloor), retryCeiling), false
	}
	e := &entry{job: j, expected: ready, inTime: ready <= j.SoftDeadline}
	for i := range j.Pieces {
		e.waiting = append(e.waiting, i)
	}
	d.jobs[j.ID] = e
	d.insert(e)
	return ready - now, true
}

// insert puts a job with waiting pieces into its place.
func (d *Dispatcher) insert(e *entry) {
	if i, ok := slices.BinarySearchFunc(d.sorted, e, compare); !ok {
		d.sorted = slices.Insert(d.sorted, i, e)
	}
}

// settle removes a job without waiting pieces from the queue.
func (d *Dispatcher) settle(e *entry) {
	if i, ok := slices.BinarySearchFunc(d.sorted, e, compare); ok {
		d.sorted = slices.Delete(d.sorted, i, i+1)
	}
}

// arrive takes note of offered pieces.
func (d *Dispatcher) arrive(now time.Duration, pieces int) {
	d.arriving *= math.Exp(-float64(now-d.arrived) / float64(arrivalTime))
	d.arriving += float64(pieces) / arrivalTime.Seconds()
	d.arrived = now
}

// Backlog returns how long a job that comes now waits for its call: one that can be in time,
// and one that comes after all others. Growth is by how much these waits grow in the same
// time, as a ratio; zero if the pool keeps up.
func (d *Dispatcher) Backlog(now time.Duration) (soon, all time.Duration, growth float64) {
	own := d.nominal(1)
	growth, left := d.pressure(now)
	inTime := Job{ID: 1<<64 - 1, Arrived: now, Priority: usualRank, SoftDeadline: 1<<62 - 1, Pieces: 1}
	last := Job{ID: 1<<64 - 1, Arrived: 1<<62 - 1, Pieces: 1}
	soon = d.expect(now, inTime) - now - own
	all = d.expect(now, last) - now - own
	// Jobs that come later and can be in time go before those that cannot.
	all = soon + time.Duration(float64(max(all-soon, 0))/left)
	excess := d.excessAt(now)
	return soon + excess, all + excess, growth
}

// pressure compares the pieces that come with those that the pool can do: by how much the
// waits grow, as a ratio, and the part of the pool's speed that is left for late jobs.
func (d *Dispatcher) pressure(now time.Duration) (growth, left float64) {
	rate := d.rate(now)
	if rate == 0 {
		return 0, 1
	}
	arriving := d.arriving * math.Exp(-float64(now-d.arrived)/float64(arrivalTime))
	return max(arriving/rate-1, 0), max(1-arriving/rate, leastLeft)
}

// Complete takes that all pieces of a job have results.
func (d *Dispatcher) CompleteJob(now time.Duration, id uint64) {
	if e, ok := d.jobs[id]; ok {
		d.learnExcess(now, e)
	}
}

// learnExcess learns by how much jobs end later than expected, because calls are shared with
// others, wait for a target near, or fail. Jobs that were late from the start say nothing.
func (d *Dispatcher) learnExcess(now time.Duration, e *entry) {
	if !e.inTime {
		return
	}
	sample := min(max(now-e.expected, 0), excessMost)
	excess := d.excessAt(now)
	d.excess, d.excessed = excess+time.Duration(excessLearn*float64(sample-excess)), now
}

// excessAt returns by how much jobs end later than expected; an old measurement counts less.
func (d *Dispatcher) excessAt(now time.Duration) time.Duration {
	return time.Duration(float64(d.excess) * math.Exp2(-float64(now-d.excessed)/float64(excessForget)))
}

// rate returns the pieces per second that the pool does with full calls; zero if no target
// can be used.
func (d *Dispatcher) rate(now time.Duration) (rate float64) {
	full := d.nominal(d.spec.MaxPieces)
	for _, w := range d.workers.All() {
		if !w.target.Leaving && now >= w.down {
			rate += float64(d.spec.MaxPieces) / (full.Seconds() * d.paceOf(now, w))
		}
	}
	if measured := d.measured(now); measured > 0 {
		rate = min(rate, measured)
	}
	return rate
}

// expect returns when the job would end if it came now.
func (d *Dispatcher) expect(now time.Duration, j Job) time.Duration {
	first := time.Duration(1<<62 - 1)
	for _, w := range d.workers.All() {
		if !w.target.Leaving && now >= w.down {
			first = min(first, d.idleAt(now, w))
		}
	}
	rate := d.rate(now)
	if rate == 0 {
		return now + retryCeiling + j.Deadline
	}
	own := d.nominal(min(j.Pieces, d.spec.MaxPieces))
	ahead, late, place := 0, d.late(now, j), &entry{job: j}
	for _, e := range d.sorted {
		other := d.late(now, e.job)
		if other == late && compare(e, place) < 0 || late && !other {
			ahead += len(e.waiting)
		}
	}
	over := max(j.Pieces-d.spec.MaxPieces, 0)
	return max(first, now) + time.Duration(float64(ahead+over)/rate*float64(time.Second)) + own
}

// measured returns the pieces per second that were started lately while pieces waited all
// the time; zero if they have not waited for long enough. Room and slow targets make it
// lower than the published speed.
func (d *Dispatcher) measured(now time.Duration) float64 {
	if d.begun < 0 || now-d.begun < rateTime/2 {
		return 0
	}
	return max(float64(d.started)/(now-d.begun).Seconds(), 1)
}

// meter counts started pieces. The older half of a long measurement is forgotten.
func (d *Dispatcher) meter(now time.Duration, pieces int) {
	if len(d.sorted) == 0 {
		d.begun = -1
		return
	}
	if d.begun < 0 {
		d.begun, d.started = now, 0
	}
	d.started += pieces
	if now-d.begun > rateTime {
		d.begun += (now - d.begun) / 2
		d.started /= 2
	}
}

// nominal returns the duration of a call at the published speed.
func (d *Dispatcher) nominal(pieces int) time.Duration {
	return d.spec.CallTime + time.Duration(pieces)*d.spec.PieceTime
}

// late reports whether a job misses its objective even if it starts now.
func (d *Dispatcher) late(now time.Duration, j Job) bool { return now+d.nominal(1) > j.SoftDeadline }

// compare orders jobs that are alike in whether they can be in time.
func compare(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.job.place(), b.job.place()), cmp.Compare(a.job.ID, b.job.ID))
}

// place is the arrival of the request, shifted by its rank.
func (j Job) place() time.Duration { return j.Arrived + time.Duration(j.Priority)*rankGap }
