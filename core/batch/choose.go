package batch

import (
	"cmp"
	"slices"
	"time"
)

// Next returns the calls to make now.
func (d *Dispatcher) NextCalls(now time.Duration) (orders []Call) {
	for len(d.sorted) > 0 && d.anyIdle(now) {
		o, ok := d.makeCall(now, d.queue(now))
		if !ok {
			break
		}
		orders = append(orders, o)
		d.meter(now, len(o.Items))
	}
	d.meter(now, 0)
	return orders
}

// anyIdle reports whether a target can take a call.
func (d *Dispatcher) anyIdle(now time.Duration) bool {
	for _, w := range d.workers.All() {
		if !w.target.Leaving && now >= w.down && w.running() < max(d.spec.Slots, 1) {
			return true
		}
	}
	return false
}

// queue returns the jobs with waiting pieces: those that can be in time before the others.
func (d *Dispatcher) queue(now time.Duration) (queue []*entry) {
	queue = make([]*entry, 0, len(d.sorted))
	for _, late := range []bool{false, true} {
		for _, e := range d.sorted {
			if d.late(now, e.job) == late {
				queue = append(queue, e)
			}
		}
	}
	return queue
}

// order makes up one call for the best idle target.
func (d *Dispatcher) makeCall(now time.Duration, queue []*entry) (o Call, ok bool) {
	waiting := 0
	for _, e := range queue {
		waiting += len(e.waiting)
	}
	near := d.nearTargets(now)
	for _, w := range d.idle(now, queue[0].job.Zone) {
		takes, bytes := d.fill(now, w, eligible(queue, w, near))
		n := 0
		for _, t := range takes {
			n += t.pieces
		}
		// Results leave little room for now: a small call would cost nearly as much time as
		// a full one.
		if n == 0 || d.taken(now, w) > 0 && float64(n) < leastFill*float64(min(waiting, d.spec.MaxPieces)) && bytes+d.taken(now, w) > d.spec.ResultMemory/2 {
			continue
		}
		return d.startCall(now, w, d.take(takes), bytes), true
	}
	return Call{}, false
}

// nearTargets returns the zones that have a target which takes calls soon.
func (d *Dispatcher) nearTargets(now time.Duration) (zones map[string]bool) {
	zones = make(map[string]bool)
	for _, w := range d.workers.All() {
		if !w.target.Leaving && now >= w.down && d.idleAt(now, w) <= now+nearWait && d.paceOf(now, w) <= slowPace {
			zones[w.target.Zone] = true
		}
	}
	return zones
}

// eligible returns the jobs for a call to a target: first those that are to run in its zone,
// then those for which no target of their zone takes calls soon.
func eligible(queue []*entry, w *worker, near map[string]bool) (list []*entry) {
	var rest []*entry
	for _, e := range queue {
		switch {
		case !e.job.WaitForZone || e.job.Zone == w.target.Zone:
			list = append(list, e)
		case !near[e.job.Zone]:
			rest = append(rest, e)
		}
	}
	return append(list, rest...)
}

// idle returns the targets that can take a call, the best one first. A slow target is left
// out while the other ones are expected to be done with all that waits sooner.
func (d *Dispatcher) idle(now time.Duration, zone string) (list []*worker) {
	full := float64(d.nominal(d.spec.MaxPieces))
	soonest, fast := time.Duration(1<<62-1), 0
	for _, w := range d.workers.All() {
		if w.target.Leaving || now < w.down {
			continue
		}
		pace := d.paceOf(now, w)
		soonest = min(soonest, d.idleAt(now, w)+time.Duration(full*pace))
		if pace <= slowPace {
			fast++
		}
		if w.running() < max(d.spec.Slots, 1) {
			list = append(list, w)
		}
	}
	rounds := float64(d.Waiting()) / float64(d.spec.MaxPieces*max(fast, 1))
	cleared := soonest + time.Duration(rounds*full)
	list = slices.DeleteFunc(list, func(w *worker) bool {
		pace := d.paceOf(now, w)
		return pace > slowPace && now+time.Duration(full*pace) > cleared
	})
	slices.SortStableFunc(list, func(a, b *worker) int {
		slowA, slowB := d.paceOf(now, a) > slowPace, d.paceOf(now, b) > slowPace
		return cmp.Or(compareBool(slowA, slowB), compareBool(a.target.Zone != zone, b.target.Zone != zone),
			cmp.Compare(d.taken(now, a), d.taken(now, b)))
	})
	return list
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// taking is what a call takes of a job.
type taking struct {
	entry  *entry
	pieces int
}

// fill chooses the most urgent pieces that a call to the target has room for. A job is split
// only if it is larger than a call or leads the queue. A target on trial gets one job.
func (d *Dispatcher) fill(now time.Duration, w *worker, queue []*entry) (takes []taking, bytes int64) {
	room := d.spec.ResultMemory - d.taken(now, w)
	left := d.spec.MaxPieces
	trial := d.onTrial(now, w)
	for i, e := range queue {
		if trial && len(takes) == 1 {
			break
		}
		n := min(len(e.waiting), left)
		if size := e.job.Bytes; size > 0 {
			n = min(n, int((room-bytes)/size))
		}
		whole := n == len(e.waiting) || e.job.Pieces > d.spec.MaxPieces
		if n <= 0 || !whole && i > 0 {
			continue
		}
		takes = append(takes, taking{entry: e, pieces: n})
		bytes += int64(n) * e.job.Bytes
		left -= n
	}
	return takes, bytes
}

// take moves the chosen pieces from their jobs to a call.
func (d *Dispatcher) take(takes []taking) (items []Item) {
	for _, t := range takes {
		for _, p := range t.entry.waiting[:t.pieces] {
			items = append(items, Item{Job: t.entry.job.ID, Piece: p, Bytes: t.entry.job.Bytes})
		}
		if t.entry.waiting = t.entry.waiting[t.pieces:]; len(t.entry.waiting) == 0 {
			d.settle(t.entry)
		}
	}
	return items
}

func (d *Dispatcher) startCall(now time.Duration, w *worker, items []Item, bytes int64) Call {
	d.last++
	fair := d.nominal(len(items))
	o := Call{
		ID: d.last, Target: w.target, Items: items, Nominal: fair,
		Expected: time.Duration(float64(fair) * d.paceOf(now, w)),
	}
	w.calls[o.ID] = &activeCall{call: o, started: now, bytes: bytes}
	return o
}
