package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasward/core/roster"
	"sassafrasward/core/route"
	"sassafrasward/core/table"
)

const (
	// rankGap is how much earlier a request of a better rank counts as having arrived. It is
	// about the duration of one call, so that a rank overtakes one call and starves none.
	rankGap = 300 * time.Millisecond
	// patience is the part of the time to its deadline that a job that misses its objective
	// may be expected to wait: a later refusal leaves the caller no time to come back.
	patience = 0.5
	// arrivalTime is the time over which arrivals are averaged: about that of two stages.
	arrivalTime = 700 * time.Millisecond
	// leastLeft is the least part of a pool's speed that counts as left for late jobs.
	leastLeft = 0.15
	// nearWait is how long a job waits for a target in its zone if much would be moved.
	nearWait = 120 * time.Millisecond
	// rateTime is the time over which the speed of a pool is measured: a few calls.
	rateTime = 1500 * time.Millisecond
	// usualRank is the rank for which the backlog is told.
	usualRank = 1
	// learn is the weight of a new measurement of a target's pace.
	learn = 0.4
	// slowPace is the ratio of the paces of two targets from which the slower one is used
	// only if waiting for the other ones takes longer.
	slowPace = 1.6
	// forget halves what is known of the pace of a target, so that a slow one is tried again.
	forget = 4 * time.Second
	// downFirst and downMost bound how long a target that does not answer is left alone.
	downFirst = 300 * time.Millisecond
	downMost  = 3 * time.Second
	// leastFill is the part of the pieces that a call could take for which there has to be
	// room before the call is made.
	leastFill = 0.6
	// fullPause is how long a target that refused a call as full is left alone.
	fullPause = 60 * time.Millisecond
	// retryFloor and retryCeiling bound the wait that a refused caller is told.
	retryFloor   = 200 * time.Millisecond
	retryCeiling = 4 * time.Second
)

// Job is the pieces of one stage of one request.
type Job struct {
	// ID is unique on the dispatching host.
	ID uint64
	// Arrived is when the request came to its host.
	Arrived time.Duration
	// Rank is the priority of the request, 0 first.
	Rank int
	// Aim is the latest end for an answer in time, Deadline the latest useful end.
	Aim, Deadline time.Duration
	// Pieces is the number of pieces, at least one.
	Pieces int
	// Bytes is the size of one result.
	Bytes int64
	// Zone is where the job is preferred, because its inputs or the reader of its results are
	// there. Near holds if so much is moved that it is worth some waiting.
	Zone string
	Near bool
	// Begun holds if earlier stages of the request were worked on, which would be lost.
	Begun bool
}

// Item is one piece of a job.
type Item struct {
	Job   uint64
	Piece int
}

// Order is a call to make.
type Order struct {
	ID     uint64
	Target roster.Target
	Items  []Item
	// Expected is the expected duration of the call.
	Expected time.Duration
	// Fair is the expected duration at a target of the usual pace.
	Fair time.Duration
}

// End says how a call ended.
type End int

// The ends of calls.
const (
	// Completed calls brought an answer for each piece.
	Completed End = iota
	// Refused calls did not run, because the target is full.
	Refused
	// Broken calls brought no answer.
	Broken
)

// entry is a queued job.
type entry struct {
	job Job
	// waiting has the pieces that are in no call, in order.
	waiting []int
}

// worker is a target with what this host knows of it.
type worker struct {
	target roster.Target
	// calls holds the orders in progress.
	calls map[uint64]*call
	// pace is the measured ratio of durations to expected ones; paced is when it was last
	// measured.
	pace  float64
	paced time.Duration
	// down is until when the target is left alone; failures counts broken calls in a row.
	down     time.Duration
	failures int
	// results has the room that results occupy, with the end of their time.
	results []result
}

// call is an order in progress.
type call struct {
	order   Order
	started time.Duration
	bytes   int64
	// late is set once its pieces were queued again. Its answer may be lost, so a late call
	// does not count as in progress any more.
	late bool
}

// result is room that is occupied until it is freed or its time ends.
type result struct {
	bytes int64
	until time.Duration
}

// Dispatcher makes up the calls of one pool. It is not safe for concurrent use.
type Dispatcher struct {
	spec    route.Batch
	workers *table.Table[string, *worker]
	jobs    map[uint64]*entry
	// sorted has the jobs with waiting pieces by their place in the queue.
	sorted []*entry
	last   uint64
	// started counts the pieces that were given to targets since begun, while pieces waited
	// all the time; begun is negative while none wait.
	started int
	begun   time.Duration
	// arriving is the recent rate of offered pieces per second, as of arrived.
	arriving float64
	arrived  time.Duration
}

// New returns a dispatcher without targets.
func New(spec route.Batch) *Dispatcher {
	return &Dispatcher{spec: spec, workers: table.New[string, *worker](), jobs: make(map[uint64]*entry), begun: -1}
}

// SetSpec replaces the published figures of the pool.
func (d *Dispatcher) SetSpec(spec route.Batch) { d.spec = spec }

// SetTargets replaces the targets. Calls in progress at removed targets go on.
func (d *Dispatcher) SetTargets(targets []roster.Target) {
	next := table.New[string, *worker]()
	for _, t := range targets {
		w, ok := d.workers.Get(t.ID)
		if !ok || w.target.Born != t.Born {
			w = &worker{calls: make(map[uint64]*call), pace: 1}
		}
		w.target = t
		next.Put(t.ID, w)
	}
	for id, w := range d.workers.All() {
		if _, ok := next.Get(id); !ok && len(w.calls) > 0 {
			w.target.Leaving = true
			next.Put(id, w)
		}
	}
	d.workers = next
}

// Waiting returns the number of pieces that are in no call.
func (d *Dispatcher) Waiting() (pieces int) {
	for _, e := range d.sorted {
		pieces += len(e.waiting)
	}
	return pieces
}

// Offer queues a job, or refuses it and returns when its caller should come back. Wait is
// the expected time until the job ends.
func (d *Dispatcher) Offer(now time.Duration, j Job) (wait time.Duration, ok bool) {
	d.arrive(now, j.Pieces)
	ready := d.expect(now, j)
	limit := j.Deadline
	if ready > j.Aim && !j.Begun {
		limit = now + time.Duration(patience*float64(j.Deadline-now))
	}
	if ready > limit {
		return min(max(ready-max(j.Aim, now), retryFloor), retryCeiling), false
	}
	e := &entry{job: j}
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
	left := 1.0
	if rate := d.rate(now); rate > 0 {
		arriving := d.arriving * math.Exp(-float64(now-d.arrived)/float64(arrivalTime))
		growth = max(arriving/rate-1, 0)
		left = max(1-arriving/rate, leastLeft)
	}
	inTime := Job{ID: 1<<64 - 1, Arrived: now, Rank: usualRank, Aim: 1<<62 - 1, Pieces: 1}
	last := Job{ID: 1<<64 - 1, Arrived: 1<<62 - 1, Pieces: 1}
	soon = d.expect(now, inTime) - now - own
	all = d.expect(now, last) - now - own
	// Jobs that come later and can be in time go before those that cannot.
	return soon, soon + time.Duration(float64(max(all-soon, 0))/left), growth
}

// rate returns the pieces per second that the pool does with full calls; zero if no target
// can be used.
func (d *Dispatcher) rate(now time.Duration) (rate float64) {
	full := d.nominal(d.spec.Size)
	for _, w := range d.workers.All() {
		if !w.target.Leaving && now >= w.down {
			rate += float64(d.spec.Size) / (full.Seconds() * d.paceOf(now, w))
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
	own := d.nominal(min(j.Pieces, d.spec.Size))
	ahead, late, place := 0, d.late(now, j), &entry{job: j}
	for _, e := range d.sorted {
		other := d.late(now, e.job)
		if other == late && compare(e, place) < 0 || late && !other {
			ahead += len(e.waiting)
		}
	}
	over := max(j.Pieces-d.spec.Size, 0)
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

// idleAt returns when the calls in progress at a target are expected to end.
func (d *Dispatcher) idleAt(now time.Duration, w *worker) time.Duration {
	at := now
	for _, c := range w.calls {
		if !c.late {
			at = max(at, c.started+c.order.Expected)
		}
	}
	return at
}

// nominal returns the duration of a call at the published speed.
func (d *Dispatcher) nominal(pieces int) time.Duration {
	return d.spec.Call + time.Duration(pieces)*d.spec.Piece
}

// paceOf returns the pace of a target; an old measurement counts less.
func (d *Dispatcher) paceOf(now time.Duration, w *worker) float64 {
	age := float64(now-w.paced) / float64(forget)
	pace := 1 + (w.pace-1)/(1+age)
	for _, c := range w.calls {
		// A call that takes longer than expected tells of the pace before it ends.
		if !c.late {
			pace = max(pace, float64(now-c.started)/float64(max(c.order.Fair, 1)))
		}
	}
	return max(pace, 0.2)
}

// late reports whether a job misses its objective even if it starts now.
func (d *Dispatcher) late(now time.Duration, j Job) bool { return now+d.nominal(1) > j.Aim }

// compare orders jobs that are alike in whether they can be in time.
func compare(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.job.place(), b.job.place()), cmp.Compare(a.job.ID, b.job.ID))
}

// place is the arrival of the request, shifted by its rank.
func (j Job) place() time.Duration { return j.Arrived + time.Duration(j.Rank)*rankGap }

// Next returns the calls to make now.
func (d *Dispatcher) Next(now time.Duration) (orders []Order) {
	for len(d.sorted) > 0 && d.anyIdle(now) {
		o, ok := d.order(now, d.queue(now))
		if !ok {
			break
		}
		orders = append(orders, o)
		d.meter(now, len(o.Items))
	}
	d.meter(now, 0)
	return orders
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
func (d *Dispatcher) order(now time.Duration, queue []*entry) (o Order, ok bool) {
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
		if n == 0 || d.taken(now, w) > 0 && float64(n) < leastFill*float64(min(waiting, d.spec.Size)) && bytes+d.taken(now, w) > d.spec.Room/2 {
			continue
		}
		return d.begin(now, w, d.take(takes), bytes), true
	}
	return Order{}, false
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
		case !e.job.Near || e.job.Zone == w.target.Zone:
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
	full := float64(d.nominal(d.spec.Size))
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
	rounds := float64(d.Waiting()) / float64(d.spec.Size*max(fast, 1))
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
// only if it is larger than a call or leads the queue.
func (d *Dispatcher) fill(now time.Duration, w *worker, queue []*entry) (takes []taking, bytes int64) {
	room := d.spec.Room - d.taken(now, w)
	left := d.spec.Size
	for i, e := range queue {
		n := min(len(e.waiting), left)
		if size := e.job.Bytes; size > 0 {
			n = min(n, int((room-bytes)/size))
		}
		whole := n == len(e.waiting) || e.job.Pieces > d.spec.Size
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
			items = append(items, Item{Job: t.entry.job.ID, Piece: p})
		}
		if t.entry.waiting = t.entry.waiting[t.pieces:]; len(t.entry.waiting) == 0 {
			d.settle(t.entry)
		}
	}
	return items
}

// taken returns the room that calls in progress and results occupy at a target.
func (d *Dispatcher) taken(now time.Duration, w *worker) (bytes int64) {
	w.results = slices.DeleteFunc(w.results, func(r result) bool { return now >= r.until })
	for _, r := range w.results {
		bytes += r.bytes
	}
	for _, c := range w.calls {
		bytes += c.bytes // also of late calls, whose results may exist
	}
	return bytes
}

// Taken returns the room that is counted as occupied at a target, in bytes.
func (d *Dispatcher) Taken(now time.Duration, id string) (bytes int64) {
	w, ok := d.workers.Get(id)
	if !ok {
		return 0
	}
	return d.taken(now, w)
}

func (d *Dispatcher) begin(now time.Duration, w *worker, items []Item, bytes int64) Order {
	d.last++
	fair := d.nominal(len(items))
	o := Order{
		ID: d.last, Target: w.target, Items: items, Fair: fair,
		Expected: time.Duration(float64(fair) * d.paceOf(now, w)),
	}
	w.calls[o.ID] = &call{order: o, started: now, bytes: bytes}
	return o
}

// Late takes note of a call that takes much longer than expected: its target counts as slow
// and is left alone for a moment. The caller queues its pieces again.
func (d *Dispatcher) Late(now time.Duration, id uint64) {
	for _, w := range d.workers.All() {
		if c, ok := w.calls[id]; ok && !c.late {
			c.late = true
			d.pace(now, w, c)
			d.leave(now, w)
		}
	}
}

// pace learns from the duration of a call.
func (d *Dispatcher) pace(now time.Duration, w *worker, c *call) {
	measured := float64(now-c.started) / float64(max(c.order.Fair, 1))
	w.pace, w.paced = w.pace+learn*(measured-w.pace), now
}

// leave leaves a target alone for a time that grows with its failures.
func (d *Dispatcher) leave(now time.Duration, w *worker) {
	w.down = now + min(downFirst<<min(w.failures, 8), downMost)
	w.failures++
}

// Again queues pieces that have to be worked on once more.
func (d *Dispatcher) Again(items []Item) {
	for _, i := range items {
		if e, ok := d.jobs[i.Job]; ok && !slices.Contains(e.waiting, i.Piece) {
			e.waiting = append(e.waiting, i.Piece)
			d.insert(e)
		}
	}
}

// Done takes the end of a call. The caller queues again what has no result.
func (d *Dispatcher) Done(now time.Duration, id uint64, end End) {
	for _, w := range d.workers.All() {
		c, ok := w.calls[id]
		if !ok {
			continue
		}
		delete(w.calls, id)
		switch end {
		case Completed:
			d.pace(now, w, c)
			w.failures, w.down = 0, 0
			w.results = append(w.results, result{bytes: c.bytes, until: now + d.spec.Keep})
		case Refused:
			w.down = now + fullPause
		case Broken:
			d.leave(now, w)
		}
		return
	}
}

// Free returns room at a target whose results were read or given up.
func (d *Dispatcher) Free(id string, bytes int64) {
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

// Remove forgets a job that ended or was given up.
func (d *Dispatcher) Remove(id uint64) {
	if e, ok := d.jobs[id]; ok {
		d.settle(e)
		delete(d.jobs, id)
	}
}

// Hopeless returns the jobs that cannot end before their deadlines any more.
func (d *Dispatcher) Hopeless(now time.Duration) (ids []uint64) {
	for _, e := range d.sorted {
		if now+d.nominal(1) > e.job.Deadline {
			ids = append(ids, e.job.ID)
		}
	}
	return ids
}
