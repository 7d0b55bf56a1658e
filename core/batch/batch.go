package batch

import (
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/route"
	"sassafrasward/core/sortedmap"
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
	// excessLearn is the weight of one job in what jobs take longer than expected: about twenty
	// jobs, a second of load. Without jobs it halves every excessForget, so that a pool that
	// looked too slow is tried again. excessMost bounds one sample.
	excessLearn  = 0.05
	excessForget = time.Second
	excessMost   = time.Second
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
	// forget halves what is known of the pace of a target, so that one that was five times
	// slower is tried again after some four seconds.
	forget = 1500 * time.Millisecond
	// downFirst and downMost bound how long a target that does not answer is left alone.
	downFirst = 300 * time.Millisecond
	downMost  = 3 * time.Second
	// leastFill is the part of the pieces that a call could take for which there has to be
	// room before the call is made.
	leastFill = 0.6
	// strangeTime is how long room that others occupy at a target counts as taken: results of
	// hosts that have died are kept for some seconds.
	strangeTime = 500 * time.Millisecond
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
	Priority int
	// Aim is the latest end for an answer in time, Deadline the latest useful end.
	SoftDeadline, Deadline time.Duration
	// Pieces is the number of pieces, at least one.
	Pieces int
	// Bytes is the size of one result.
	Bytes int64
	// Zone is where the job is preferred, because its inputs or the reader of its results are
	// there. Near holds if so much is moved that it is worth some waiting.
	Zone        string
	WaitForZone bool
	// Begun holds if earlier stages of the request were worked on, which would be lost.
	HasPriorWork bool
}

// Item is one piece of a job.
type Item struct {
	Job   uint64
	Piece int
	// Bytes is the size of its result.
	Bytes int64
}

// Order is a call to make.
type Call struct {
	ID     uint64
	Target discovery.Target
	Items  []Item
	// Expected is the expected duration of the call.
	Expected time.Duration
	// Fair is the expected duration at a target of the usual pace.
	Nominal time.Duration
}

// End says how a call ended.
type CallOutcome int

// The ends of calls.
const (
	// Completed calls brought an answer for each piece.
	Completed CallOutcome = iota
	// Refused calls did not run, because the target is full.
	Refused
	// Broken calls brought no answer.
	Failed
)

// entry is a queued job.
type entry struct {
	job Job
	// expected is the end that was expected when the job came, inTime whether that was in time.
	expected time.Duration
	inTime   bool
	// waiting has the pieces that are in no call, in order.
	waiting []int
}

// Dispatcher makes up the calls of one pool. It is not safe for concurrent use.
type Dispatcher struct {
	spec    route.Batch
	workers *sortedmap.Map[string, *worker]
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
	// excess is by how much jobs end later than expected, as of excessed.
	excess   time.Duration
	excessed time.Duration
}

// New returns a dispatcher without targets.
func New(spec route.Batch) *Dispatcher {
	return &Dispatcher{spec: spec, workers: sortedmap.New[string, *worker](), jobs: make(map[uint64]*entry), begun: -1}
}

// SetSpec replaces the published figures of the pool.
func (d *Dispatcher) SetSpec(spec route.Batch) { d.spec = spec }

// SetTargets replaces the targets. Calls in progress at removed targets go on.
func (d *Dispatcher) SetTargets(targets []discovery.Target) {
	next := sortedmap.New[string, *worker]()
	for _, t := range targets {
		w, ok := d.workers.Get(t.ID)
		if !ok || w.target.StartID != t.StartID {
			w = &worker{calls: make(map[uint64]*activeCall), pace: 1}
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

// Remove forgets a job that ended or was given up.
func (d *Dispatcher) RemoveJob(id uint64) {
	if e, ok := d.jobs[id]; ok {
		d.settle(e)
		delete(d.jobs, id)
	}
}

// Hopeless returns the jobs that cannot end before their deadlines any more: with a call now,
// or, if they are late, once their turn comes after the jobs that can be in time.
func (d *Dispatcher) InfeasibleJobs(now time.Duration) (ids []uint64) {
	rate := d.rate(now)
	_, left := d.pressure(now)
	ahead := 0
	for _, e := range d.sorted {
		if !d.late(now, e.job) {
			ahead += len(e.waiting)
		}
	}
	for _, e := range d.sorted {
		wait := time.Duration(0)
		if rate > 0 && d.late(now, e.job) {
			wait = time.Duration(float64(ahead) / (rate * left) * float64(time.Second))
		}
		if now+wait+d.nominal(1) > e.job.Deadline {
			ids = append(ids, e.job.ID)
			d.learnExcess(now, e)
			continue
		}
		if d.late(now, e.job) {
			ahead += len(e.waiting)
		}
	}
	return ids
}
