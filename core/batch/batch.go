package batch

import (
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/core/sortedmap"
)

const (
	// priorityOffset is added to a request's arrival per priority level. It is about the
	// duration of one call, so that a level overtakes one call and starves no request.
	priorityOffset = 300 * time.Millisecond
	// maxWaitFraction is the fraction of the time to its deadline that a job which misses its
	// objective may be expected to take. A later refusal leaves the caller no time to retry. Jobs
	// with prior work may take all of that time.
	maxWaitFraction = 0.5
	// arrivalTimeConstant is the time constant of the EWMA of the arrival rate, about the
	// duration of two stages.
	arrivalTimeConstant = 700 * time.Millisecond
	// minSpare is the smallest fraction of a pool's throughput that is assumed to be available
	// to late jobs.
	minSpare = 0.15
	// overrunWeight is the EWMA weight of one job's overrun; it averages about twenty jobs, or
	// one second of load. Without samples the overrun decays with overrunHalfLife, so that a
	// pool that looked too slow is used again. maxOverrun limits one sample.
	overrunWeight   = 0.05
	overrunHalfLife = time.Second
	maxOverrun      = time.Second
	// callDurationWeight is the EWMA weight of one call's duration.
	callDurationWeight = 0.2
	// maxZoneWait is how long a job with WaitForZone waits for a target in its zone: less than the
	// duration of a call. It waits only if it is then still expected to end zoneReserve before its
	// objective is missed.
	maxZoneWait = 200 * time.Millisecond
	zoneReserve = 300 * time.Millisecond
	// minZoneWait is how long a job waits for its zone in any case.
	minZoneWait = 120 * time.Millisecond
	// throughputWindow is the window of the throughput measurement, a few calls long.
	throughputWindow = 1500 * time.Millisecond
	// priorityWeight is the EWMA weight of one job's priority.
	priorityWeight = 0.05
	// slowdownWeight is the EWMA weight of a new measurement of a target's slowdown.
	slowdownWeight = 0.4
	// slowThreshold is the slowdown above which a target counts as slow. It is used only if
	// waiting for the other targets takes longer.
	slowThreshold = 1.6
	// slowdownHalfLife is the half-life of a measured slowdown. A target that was five times
	// slower is tried again after about four seconds.
	slowdownHalfLife = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a target fails to answer.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// minFill is the fraction of a possible call's pieces whose results must fit into the
	// target's memory before the call is made.
	minFill = 0.6
	// foreignMemoryTTL is how long memory that is occupied by results of other hosts counts as
	// used. Targets keep the results of crashed hosts for some seconds.
	foreignMemoryTTL = 500 * time.Millisecond
	// A target that refuses a call because it is full is tried again after fullBackoff, which doubles
	// up to maxFullBackoff, about the duration of a call.
	fullBackoff    = 60 * time.Millisecond
	maxFullBackoff = 240 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that is sent with a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Job is the pieces of one stage of one request.
type Job struct {
	// ID is unique on the dispatching host.
	ID uint64
	// Arrived is when the request arrived at its entry host.
	Arrived time.Duration
	// Priority is the priority of the request; lower values are served first.
	Priority int
	// SoftDeadline is the latest end with which the request meets its objective, Deadline the
	// latest end that is useful at all.
	SoftDeadline, Deadline time.Duration
	// Pieces is the number of pieces, at least one.
	Pieces int
	// Bytes is the size of the result of one piece.
	Bytes int64
	// Zone is the preferred zone, which holds the job's inputs or the reader of its results.
	// WaitForZone is set if the transfer from another zone costs more than a short wait.
	Zone        string
	WaitForZone bool
	// Zones has the zones of targets that may run the job; nil for all.
	Zones []string
	// HasPriorWork is set if earlier stages of the request have run. A refusal wastes them.
	HasPriorWork bool
	// Protected is set if the job is queued before those of the most urgent level. It still counts as
	// one of its own.
	Protected bool
	// Announcement is the ID of the job's announcement, zero for none.
	Announcement uint64
}

// Item is one piece of a job.
type Item struct {
	Job   uint64
	Piece int
	// Bytes is the size of its result.
	Bytes int64
}

// Call is a call to be sent to a target.
type Call struct {
	ID     uint64
	Target discovery.Target
	Items  []Item
	// Expected is the expected duration of the call.
	Expected time.Duration
	// Nominal is the expected duration at a target without slowdown.
	Nominal time.Duration
}

// CallStatus says how a call ended.
type CallStatus int

// The statuses of a call that ended.
const (
	// Completed means that the target returned an answer for each piece.
	Completed CallStatus = iota
	// Busy means that the target did not run the call because it is full.
	Busy
	// Failed means that no answer was received.
	Failed
)

// queuedJob is an accepted job with the state of its pieces.
type queuedJob struct {
	job Job
	// expectedEnd is the end that was estimated on arrival; onTime is set if that estimate met
	// the objective.
	expectedEnd time.Duration
	onTime      bool
	// pending lists the pieces that are not part of a call, in dispatch order.
	pending []int
}

// Dispatcher queues the jobs of one pool and batches them into calls. It is not safe for
// concurrent use.
type Dispatcher struct {
	spec    route.Batch
	targets *sortedmap.Map[string, *targetState]
	// gate knows which targets take calls.
	gate selfreport.Gate
	// retrySlots is set if slots are assigned to the retries of refused jobs.
	retrySlots bool

	jobs map[uint64]*queuedJob
	// queue lists the jobs with pending pieces, ordered by compareJobs.
	queue      []*queuedJob
	lastCallID uint64
	// dispatched counts the pieces sent to targets since busySince, during which the queue was
	// never empty. busySince is negative while the queue is empty.
	dispatched int
	busySince  time.Duration
	// arrivalRate is the EWMA of offered pieces per second, last updated at arrivalRateTime.
	arrivalRate     float64
	arrivalRateTime time.Duration
	// overrun is the EWMA of how much later jobs end than expected, last updated at overrunTime.
	overrun     time.Duration
	overrunTime time.Duration
	// meanPriority is the EWMA of the priorities of offered jobs. Backlog is that of this priority: a
	// more urgent job would overtake most of the queue.
	meanPriority float64
	// levels has the priority levels with a request within levelTTL. The pool counts as scarce
	// until scarceUntil.
	levels      map[int]*level
	scarceUntil time.Duration
	// announced has the work on its way, ordered by expected arrival. lead is the EWMA of the time
	// by which announcements precede their jobs.
	announced []announcedJob
	lead      time.Duration
	// recentDuration is the EWMA of the nominal durations of calls.
	recentDuration time.Duration
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithGate makes the dispatcher ask the gate before it starts a call.
func WithGate(gate selfreport.Gate) Option { return func(d *Dispatcher) { d.gate = gate } }

// WithRetrySlots makes the dispatcher assign slots to the retries of refused jobs.
func WithRetrySlots() Option { return func(d *Dispatcher) { d.retrySlots = true } }

// New returns a dispatcher without targets. Without WithGate, all targets take all calls.
func New(spec route.Batch, options ...Option) *Dispatcher {
	d := &Dispatcher{spec: spec, targets: sortedmap.New[string, *targetState](), gate: selfreport.OpenGate{}, jobs: make(map[uint64]*queuedJob), levels: make(map[int]*level), busySince: -1}
	for _, o := range options {
		o(d)
	}
	return d
}

// SetSpec replaces the batching parameters of the pool.
func (d *Dispatcher) SetSpec(spec route.Batch) { d.spec = spec }

// SetTargets replaces the targets. Calls in progress at removed targets continue.
func (d *Dispatcher) SetTargets(targets []discovery.Target) {
	next := sortedmap.New[string, *targetState]()
	for _, target := range targets {
		ts, ok := d.targets.Get(target.ID)
		if !ok || ts.target.StartID != target.StartID {
			ts = &targetState{calls: make(map[uint64]*activeCall), slowdown: 1}
		}
		ts.target = target
		next.Put(target.ID, ts)
	}
	for id, ts := range d.targets.All() {
		if _, ok := next.Get(id); !ok && len(ts.calls) > 0 {
			ts.target.Leaving = true
			next.Put(id, ts)
		}
	}
	d.targets = next
}

// Waiting returns the number of pieces that are not part of a call.
func (d *Dispatcher) Waiting() (pieces int) {
	for _, q := range d.queue {
		pieces += len(q.pending)
	}
	return pieces
}

// StrandedJobs returns the queued jobs for which no target accepts work.
func (d *Dispatcher) StrandedJobs() (ids []uint64) {
	for _, q := range d.queue {
		if !d.accepts(q.job) {
			ids = append(ids, q.job.ID)
		}
	}
	return ids
}

// accepts reports whether a target in the zones of a job accepts work.
func (d *Dispatcher) accepts(j Job) bool {
	for _, ts := range d.targets.All() {
		if ts.target.AcceptsWork() && route.ZoneAllowed(j.Zones, ts.target.Zone) {
			return true
		}
	}
	return false
}

// RemoveJob removes a job that ended or was abandoned.
func (d *Dispatcher) RemoveJob(id uint64) {
	if q, ok := d.jobs[id]; ok {
		d.dequeue(q)
		delete(d.jobs, id)
	}
}

// InfeasibleJobs returns the queued jobs that can no longer meet their deadlines. On-time jobs
// are assumed to start now, late jobs after the on-time jobs and the late jobs before them.
func (d *Dispatcher) InfeasibleJobs(now time.Duration) (ids []uint64) {
	rate := d.throughput(now, nil)
	_, spare := d.overload(now)
	ahead := 0
	for _, q := range d.queue {
		if !d.missesObjective(now, q.job) {
			ahead += len(q.pending)
		}
	}
	for _, q := range d.queue {
		wait := time.Duration(0)
		if rate > 0 && d.missesObjective(now, q.job) {
			wait = time.Duration(float64(ahead) / (rate * spare) * float64(time.Second))
		}
		if now+wait+d.callDuration(1) > q.job.Deadline {
			ids = append(ids, q.job.ID)
			d.recordOverrun(now, q)
			continue
		}
		if d.missesObjective(now, q.job) {
			ahead += len(q.pending)
		}
	}
	return ids
}
