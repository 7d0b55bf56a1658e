package batch

import (
	"math"
	"slices"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/selfreport"
)

// targetState is a target with its calls, measurements and result memory.
type targetState struct {
	target discovery.Target
	// calls holds the calls in progress by ID.
	calls map[uint64]*activeCall
	// slowdown is the EWMA of the ratio of measured to nominal call durations, last updated at
	// slowdownTime.
	slowdown     float64
	slowdownTime time.Duration
	// backoffUntil is the end of the current backoff; failures counts consecutive late or
	// failed calls.
	backoffUntil time.Duration
	failures     int
	// fullUntil is when a target that refused a call because it is full is tried again; refusals
	// counts the consecutive refusals.
	fullUntil time.Duration
	refusals  int
	// results lists the memory that results occupy.
	results []allocation
	// foreign is the memory that results of other hosts occupy, estimated when the target
	// reports that it has no memory left.
	foreign allocation
}

// activeCall is a call in progress.
type activeCall struct {
	call    Call
	started time.Duration
	bytes   int64
	// late is set by MarkCallLate. The answer of a late call may be lost, so it no longer
	// occupies a slot of the target.
	late bool
	// resultsExpire is when the results of a late call, if any, are dropped by the target.
	resultsExpire time.Duration
}

// allocation is result memory that is used until it is released or expires.
type allocation struct {
	bytes   int64
	expires time.Duration
}

// usable reports whether a target may get calls, now or once it is idle.
func (d *Dispatcher) usable(now time.Duration, ts *targetState) bool {
	return ts.target.AcceptsWork() && now >= ts.backoffUntil && d.gate.Wait(now, ts.target) != selfreport.Never
}

// idleAt returns when a usable target is expected to take a call: when its calls in progress have ended,
// it is no longer full and it wants requests.
func (d *Dispatcher) idleAt(now time.Duration, ts *targetState) time.Duration {
	at := max(now+d.gate.Wait(now, ts.target), ts.fullUntil)
	for _, c := range ts.calls {
		if !c.late {
			at = max(at, c.started+c.call.Expected)
		}
	}
	return at
}

// NextTurn returns how long no target takes a call only because of the rates at which targets take them. It
// reports false if no pieces are queued, or if there is no such target.
func (d *Dispatcher) NextTurn(now time.Duration) (wait time.Duration, ok bool) {
	if len(d.queue) == 0 {
		return 0, false
	}
	for _, ts := range d.targets.All() {
		if !d.usable(now, ts) || now < ts.fullUntil || ts.runningCalls() >= max(d.spec.Slots, 1) {
			continue
		}
		if w := d.gate.Wait(now, ts.target); w > 0 && (!ok || w < wait) {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// currentSlowdown returns the slowdown, decayed towards 1 since its last update.
func (ts *targetState) currentSlowdown(now time.Duration) float64 {
	return 1 + (ts.slowdown-1)*math.Exp2(-float64(now-ts.slowdownTime)/float64(slowdownHalfLife))
}

// needsProbe reports whether the target was slow when last measured and its slowdown has since
// decayed below the threshold. A small call then shows whether it is still slow.
func (d *Dispatcher) needsProbe(now time.Duration, ts *targetState) bool {
	return ts.slowdown > slowThreshold && ts.currentSlowdown(now) <= slowThreshold
}

// expectedSlowdown returns the slowdown of a target, raised by calls that run overtime.
func (d *Dispatcher) expectedSlowdown(now time.Duration, ts *targetState) float64 {
	slowdown := ts.currentSlowdown(now)
	for _, c := range ts.calls {
		// A call that exceeds its expected duration shows the slowdown before it ends.
		if !c.late {
			slowdown = max(slowdown, float64(now-c.started)/float64(max(c.call.Nominal, 1)))
		}
	}
	return max(slowdown, 0.2)
}

// runningCalls returns the number of calls in progress that are not late.
func (ts *targetState) runningCalls() (n int) {
	for _, c := range ts.calls {
		if !c.late {
			n++
		}
	}
	return n
}

// usedMemory returns the memory that calls in progress and results occupy at a target.
func (d *Dispatcher) usedMemory(now time.Duration, ts *targetState) (bytes int64) {
	ts.results = slices.DeleteFunc(ts.results, func(r allocation) bool { return now >= r.expires })
	for _, r := range ts.results {
		bytes += r.bytes
	}
	if now < ts.foreign.expires {
		bytes += ts.foreign.bytes
	}
	for _, c := range ts.calls {
		if !c.late || now < c.resultsExpire {
			bytes += c.bytes // includes late calls, whose results may exist
		}
	}
	return bytes
}

// UsedMemory returns the result memory that is counted as used at a target, in bytes.
func (d *Dispatcher) UsedMemory(now time.Duration, id string) (bytes int64) {
	ts, ok := d.targets.Get(id)
	if !ok {
		return 0
	}
	return d.usedMemory(now, ts)
}

// MarkCallLate marks a call that takes much longer than expected. Its duration so far counts
// towards the target's slowdown, and the target is backed off. The caller requeues the pieces.
func (d *Dispatcher) MarkCallLate(now time.Duration, id uint64) {
	for _, ts := range d.targets.All() {
		if c, ok := ts.calls[id]; ok && !c.late {
			c.late, c.resultsExpire = true, c.started+c.call.Expected+d.spec.ResultTTL
			d.recordDuration(now, ts, c)
			d.backOff(now, ts)
		}
	}
}

// recordDuration updates the target's slowdown with the duration of a call.
func (d *Dispatcher) recordDuration(now time.Duration, ts *targetState, c *activeCall) {
	measured := float64(now-c.started) / float64(max(c.call.Nominal, 1))
	previous := ts.currentSlowdown(now)
	ts.slowdown, ts.slowdownTime = previous+slowdownWeight*(measured-previous), now
}

// backOff starts a backoff that doubles with each consecutive failure.
func (d *Dispatcher) backOff(now time.Duration, ts *targetState) {
	ts.backoffUntil = now + min(minBackoff<<min(ts.failures, 8), maxBackoff)
	ts.failures++
}

// Requeue queues pieces that have to run again. Pieces that are pending already are skipped.
func (d *Dispatcher) Requeue(items []Item) {
	for _, i := range items {
		if q, ok := d.jobs[i.Job]; ok && !slices.Contains(q.pending, i.Piece) {
			q.pending = append(q.pending, i.Piece)
			d.enqueue(q)
		}
	}
}

// FinishCall records the end of a call. A completed call has results for all its items; the
// caller requeues the items of other calls.
func (d *Dispatcher) FinishCall(now time.Duration, id uint64, status CallStatus) {
	ts, c := d.removeCall(id)
	if ts == nil {
		return
	}
	switch status {
	case Completed:
		d.recordResults(now, ts, c, c.call.Items)
	case Busy:
		ts.fullUntil = now + min(fullBackoff<<min(ts.refusals, 8), maxFullBackoff)
		ts.refusals++
	case Failed:
		d.backOff(now, ts)
	}
}

// FinishPartialCall records the end of a completed call that has results for only some of its
// items. Full is set if the target had no memory for the others.
func (d *Dispatcher) FinishPartialCall(now time.Duration, id uint64, produced []Item, full bool) {
	ts, c := d.removeCall(id)
	if ts == nil {
		return
	}
	d.recordResults(now, ts, c, produced)
	if full {
		ts.foreign = allocation{} // excluded from usedMemory below
		ts.foreign = allocation{bytes: max(d.spec.ResultMemory-d.usedMemory(now, ts), 0), expires: now + foreignMemoryTTL}
	}
}

// recordResults records the memory used by the results of a call and the call's duration.
func (d *Dispatcher) recordResults(now time.Duration, ts *targetState, c *activeCall, produced []Item) {
	d.recordDuration(now, ts, c)
	ts.failures, ts.backoffUntil, ts.refusals, ts.fullUntil = 0, 0, 0, 0
	bytes := int64(0)
	for _, i := range produced {
		bytes += i.Bytes
	}
	ts.results = append(ts.results, allocation{bytes: bytes, expires: now + d.spec.ResultTTL})
}

// removeCall removes and returns a call in progress; nil if there is none with this ID.
func (d *Dispatcher) removeCall(id uint64) (ts *targetState, c *activeCall) {
	for _, ts := range d.targets.All() {
		if c, ok := ts.calls[id]; ok {
			delete(ts.calls, id)
			return ts, c
		}
	}
	return nil, nil
}

// ReleaseMemory releases memory at a target whose results were read or are not needed.
func (d *Dispatcher) ReleaseMemory(id string, bytes int64) {
	ts, ok := d.targets.Get(id)
	if !ok {
		return
	}
	for i := 0; i < len(ts.results) && bytes > 0; i++ {
		freed := min(bytes, ts.results[i].bytes)
		ts.results[i].bytes -= freed
		bytes -= freed
	}
	ts.results = slices.DeleteFunc(ts.results, func(r allocation) bool { return r.bytes <= 0 })
}
