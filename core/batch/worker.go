package batch

import (
	"math"
	"slices"
	"time"

	"sassafrasward/core/discovery"
)

// worker is a target with what this host knows of it.
type worker struct {
	target discovery.Target
	// calls holds the orders in progress.
	calls map[uint64]*activeCall
	// pace is the measured ratio of durations to expected ones; paced is when it was last
	// measured.
	pace  float64
	paced time.Duration
	// down is until when the target is left alone; failures counts broken calls in a row.
	down     time.Duration
	failures int
	// results has the room that results occupy, with the end of their time.
	results []result
	// strange is the room that others occupy, as far as it was noticed.
	strange result
}

// call is an order in progress.
type activeCall struct {
	call    Call
	started time.Duration
	bytes   int64
	// late is set once its pieces were queued again. Its answer may be lost, so a late call
	// does not count as in progress any more.
	late bool
	// until is when the results of a late call are gone.
	until time.Duration
}

// result is room that is occupied until it is freed or its time ends.
type result struct {
	bytes int64
	until time.Duration
}

// idleAt returns when the calls in progress at a target are expected to end.
func (d *Dispatcher) idleAt(now time.Duration, w *worker) time.Duration {
	at := now
	for _, c := range w.calls {
		if !c.late {
			at = max(at, c.started+c.call.Expected)
		}
	}
	return at
}

// paceAt returns the measured pace; an old measurement counts less.
func (w *worker) paceAt(now time.Duration) float64 {
	return 1 + (w.pace-1)*math.Exp2(-float64(now-w.paced)/float64(forget))
}

// onTrial reports whether the target was slow when it was last measured, and is to show with a
// small call whether it still is.
func (d *Dispatcher) onTrial(now time.Duration, w *worker) bool {
	return w.pace > slowPace && w.paceAt(now) <= slowPace
}

// paceOf returns the pace of a target with what its calls in progress tell.
func (d *Dispatcher) paceOf(now time.Duration, w *worker) float64 {
	pace := w.paceAt(now)
	for _, c := range w.calls {
		// A call that takes longer than expected tells of the pace before it ends.
		if !c.late {
			pace = max(pace, float64(now-c.started)/float64(max(c.call.Nominal, 1)))
		}
	}
	return max(pace, 0.2)
}

// running returns the number of calls in progress.
func (w *worker) running() (n int) {
	for _, c := range w.calls {
		if !c.late {
			n++
		}
	}
	return n
}

// taken returns the room that calls in progress and results occupy at a target.
func (d *Dispatcher) taken(now time.Duration, w *worker) (bytes int64) {
	w.results = slices.DeleteFunc(w.results, func(r result) bool { return now >= r.until })
	for _, r := range w.results {
		bytes += r.bytes
	}
	if now < w.strange.until {
		bytes += w.strange.bytes
	}
	for _, c := range w.calls {
		if !c.late || now < c.until {
			bytes += c.bytes // also of late calls, whose results may exist
		}
	}
	return bytes
}

// Taken returns the room that is counted as occupied at a target, in bytes.
func (d *Dispatcher) UsedMemory(now time.Duration, id string) (bytes int64) {
	w, ok := d.workers.Get(id)
	if !ok {
		return 0
	}
	return d.taken(now, w)
}

// Late takes note of a call that takes much longer than expected: its target counts as slow
// and is left alone for a moment. The caller queues its pieces again.
func (d *Dispatcher) MarkCallLate(now time.Duration, id uint64) {
	for _, w := range d.workers.All() {
		if c, ok := w.calls[id]; ok && !c.late {
			c.late, c.until = true, c.started+c.call.Expected+d.spec.ResultTTL
			d.pace(now, w, c)
			d.leave(now, w)
		}
	}
}

// pace learns from the duration of a call.
func (d *Dispatcher) pace(now time.Duration, w *worker, c *activeCall) {
	measured := float64(now-c.started) / float64(max(c.call.Nominal, 1))
	known := w.paceAt(now)
	w.pace, w.paced = known+learn*(measured-known), now
}

// leave leaves a target alone for a time that grows with its failures.
func (d *Dispatcher) leave(now time.Duration, w *worker) {
	w.down = now + min(downFirst<<min(w.failures, 8), downMost)
	w.failures++
}

// Again queues pieces that have to be worked on once more.
func (d *Dispatcher) Requeue(items []Item) {
	for _, i := range items {
		if e, ok := d.jobs[i.Job]; ok && !slices.Contains(e.waiting, i.Piece) {
			e.waiting = append(e.waiting, i.Piece)
			d.insert(e)
		}
	}
}

// Done takes the end of a call. The caller queues again what has no result; a completed call
// has results for all its items.
func (d *Dispatcher) FinishCall(now time.Duration, id uint64, end CallOutcome) {
	w, c := d.endCall(id)
	if w == nil {
		return
	}
	switch end {
	case Completed:
		d.completed(now, w, c, c.call.Items)
	case Refused:
		w.down = now + fullPause
	case Failed:
		d.leave(now, w)
	}
}

// Made takes the end of a completed call that has results for some of its items only. Full
// holds if there was no room for the others.
func (d *Dispatcher) FinishPartialCall(now time.Duration, id uint64, made []Item, full bool) {
	w, c := d.endCall(id)
	if w == nil {
		return
	}
	d.completed(now, w, c, made)
	if full {
		w.strange = result{} // not counted in what this host knows to be taken
		w.strange = result{bytes: max(d.spec.ResultMemory-d.taken(now, w), 0), until: now + strangeTime}
	}
}

// completed counts the room of the results of a call and learns from its duration.
func (d *Dispatcher) completed(now time.Duration, w *worker, c *activeCall, made []Item) {
	d.pace(now, w, c)
	w.failures, w.down = 0, 0
	bytes := int64(0)
	for _, i := range made {
		bytes += i.Bytes
	}
	w.results = append(w.results, result{bytes: bytes, until: now + d.spec.ResultTTL})
}

// endCall removes a call in progress; it returns nil if there is none with the id.
func (d *Dispatcher) endCall(id uint64) (w *worker, c *activeCall) {
	for _, w := range d.workers.All() {
		if c, ok := w.calls[id]; ok {
			delete(w.calls, id)
			return w, c
		}
	}
	return nil, nil
}

// Free returns room at a target whose results were read or given up.
func (d *Dispatcher) ReleaseMemory(id string, bytes int64) {
	w, ok := d.workers.Get(id)
	if !ok {
		return
	}
	for i := 0; i < len(w.results) && bytes > 0; i++ {
		freed := min(bytes, w.results[i].bytes)
		w.results[i].bytes -= freed
		bytes -= freed
	}
	w.results = slices.DeleteFunc(w.results, func(r result) bool { return r.bytes <= 0 })
}
