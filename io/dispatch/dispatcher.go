package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"sassafrasward/core/admit"
	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
	"sassafrasward/core/quota"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/io/metric"
	ioselfreport "sassafrasward/io/selfreport"
	"sassafrasward/io/transport"
)

// Error is the error class of this package. Its messages begin with the name of the gRPC service.
var Error = errs.Class("lead")

const (
	// tickInterval is how often late calls and jobs that can't meet their deadline are looked for.
	tickInterval = 50 * time.Millisecond
	// A call that takes longer than hedgeFactor times its expected time plus hedgeExtra is
	// hedged: its pieces are also queued for another target.
	hedgeFactor = 1.8
	hedgeExtra  = 150 * time.Millisecond
	// callTimeout is the timeout of a call.
	callTimeout = 8 * time.Second
	// maxAttempts is the maximum number of calls that one piece may be part of.
	maxAttempts = 4
	// inputReadTime is how long after the start of a call its target has read its inputs: a few
	// megabytes over links of gigabits per second.
	inputReadTime = 100 * time.Millisecond
	// minTargetsToSplit is the number of targets from which on a pool is dispatched per
	// availability zone. Fewer targets get fuller calls as one group, and one host can dispatch
	// them all.
	minTargetsToSplit = 10
	// maxResponseBytes is the maximum size of the response to a call.
	maxResponseBytes = 1 << 20
)

// group is the dispatch state of one group of the targets of a pool.
type group struct {
	// key is the groupKey of the group, made of pool and name.
	key, pool, name string
	batcher         *batch.Dispatcher
	quota           *quota.Quota
	jobs            map[uint64]*ActiveJob
	// results has the results by handle that were neither released nor expired.
	results map[string]storedResult
	// calls has the calls in progress that were not hedged, by ID.
	calls map[uint64]pendingCall
	// toFree has the handles to release by the address of their target. freeing has the addresses
	// to which a release call is in progress.
	toFree  map[string][]string
	freeing map[string]bool
	spec    route.Batch
	// waking is set while a timer runs that starts calls which wait for the rate of a target.
	waking bool
	// reported is the last report with its time.
	reported   admit.Backlog
	reportedAt time.Duration
}

// Dispatcher dispatches jobs to the targets of pools on this host. It is safe for concurrent use.
type Dispatcher struct {
	clock   func() time.Duration
	conns   *transport.Pool
	reports *ioselfreport.Registry
	// gate is asked before each call.
	gate    selfreport.Gate
	log     logr.Logger
	metrics *metric.Metrics
	// takesAnnouncements is set if hosts tell of admitted and refused requests. Reports then have priority levels,
	// and retries are assigned slots.
	takesAnnouncements bool
	// newQuota returns the retry quota of a new group.
	newQuota func() *quota.Quota

	mutex sync.Mutex
	// groupsByKey has the groups of all pools by groupKey; groups has the group names of each pool.
	groupsByKey map[string]*group
	groups      map[string][]string
	// lastID is the ID of the last job.
	lastID uint64
	// submitted gets a value when a job is submitted.
	submitted chan struct{}
	// running tracks the goroutines of calls and of the release of results.
	running sync.WaitGroup
	// remoteJobs is the number of jobs of other hosts in progress. None is accepted once draining is set.
	remoteJobs atomic.Int64
	draining   atomic.Bool
	// ctx ends all calls.
	ctx context.Context
}

// NewDispatcher returns a dispatcher without pools; its calls end with the context.
func NewDispatcher(ctx context.Context, clock func() time.Duration, conns *transport.Pool, reports *ioselfreport.Registry, log logr.Logger, metrics *metric.Metrics, newQuota func() *quota.Quota) *Dispatcher {
	return &Dispatcher{ctx: ctx, clock: clock, conns: conns, reports: reports, gate: reports.Gate(selfreport.OneHost), log: log, metrics: metrics, newQuota: newQuota, groupsByKey: make(map[string]*group), groups: make(map[string][]string), submitted: make(chan struct{}, 1)}
}

// Configure sets the specifications and targets of the pools that run pieces in batches.
func (d *Dispatcher) Configure(table *route.Table, targets map[string][]discovery.Target) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	configured := make(map[string]bool)
	for _, name := range table.Pools() {
		spec, _ := table.Pool(name)
		if spec.Batch == nil {
			continue
		}
		groups := splitTargets(targets[name])
		d.groups[name] = slices.Sorted(maps.Keys(groups))
		for group, list := range groups {
			d.configureGroup(name, group, spec, list)
			configured[groupKey(name, group)] = true
		}
	}
	// Groups that a pool no longer has still run the jobs that they got, and get those of hosts that
	// don't know of the change yet.
	for key, g := range d.groupsByKey {
		if !configured[key] {
			g.batcher.SetTargets(remainingTargets(targets[g.pool], g.name))
		}
		if slices.ContainsFunc(targets[g.pool], func(t discovery.Target) bool { return t.Evacuated }) {
			d.failStranded(g)
		}
	}
}

// failStranded ends the queued jobs of a group that no target will run while zones are evacuated.
func (d *Dispatcher) failStranded(g *group) {
	for _, id := range g.batcher.StrandedJobs() {
		if a, ok := g.jobs[id]; ok {
			d.fail(g, a, FaultLate)
		}
	}
}

// groupKey returns the key of a group of a pool.
func groupKey(pool, group string) string { return pool + "@" + group }

// splitTargets divides the targets of a pool into groups that are dispatched separately: one per
// availability zone from minTargetsToSplit targets on, otherwise a single one without a name.
func splitTargets(targets []discovery.Target) (groups map[string][]discovery.Target) {
	groups = make(map[string][]discovery.Target)
	for _, t := range targets {
		group := ""
		if len(targets) >= minTargetsToSplit {
			if t.Evacuated {
				continue // the jobs of its zone go to other groups
			}
			group = t.Zone
		}
		groups[group] = append(groups[group], t)
	}
	if len(groups) == 0 {
		groups[""] = nil
	}
	return groups
}

// remainingTargets returns the targets of a pool that run the jobs of a group which the pool may no
// longer have: those of its availability zone, or all if there are none or the zone is evacuated.
func remainingTargets(targets []discovery.Target, group string) []discovery.Target {
	near := slices.DeleteFunc(slices.Clone(targets), func(t discovery.Target) bool { return t.Zone != group || t.Evacuated })
	if len(near) == 0 {
		return targets
	}
	return near
}

// configureGroup creates or updates a group of a pool.
func (d *Dispatcher) configureGroup(pool, name string, spec route.Pool, targets []discovery.Target) {
	key := groupKey(pool, name)
	g, ok := d.groupsByKey[key]
	if !ok {
		options := []batch.Option{batch.WithGate(d.gate)}
		if d.takesAnnouncements {
			options = append(options, batch.WithRetrySlots())
		}
		g = &group{
			key: key, pool: pool, name: name, batcher: batch.New(*spec.Batch, options...), quota: d.newQuota(), jobs: make(map[uint64]*ActiveJob),
			results: make(map[string]storedResult), calls: make(map[uint64]pendingCall), toFree: make(map[string][]string), freeing: make(map[string]bool),
		}
		d.groupsByKey[key] = g
	}
	g.spec = *spec.Batch
	g.batcher.SetSpec(*spec.Batch)
	g.batcher.SetTargets(targets)
}

// findGroup returns the named group of a pool, or another one of the pool if it is unknown.
// Hosts learn of new targets at different times, so this host may not know a group yet that
// another host does.
func (d *Dispatcher) findGroup(pool, group string) (g *group, ok bool) {
	if g, ok = d.groupsByKey[groupKey(pool, group)]; ok {
		return g, true
	}
	for _, other := range d.groups[pool] {
		if g, ok = d.groupsByKey[groupKey(pool, other)]; ok {
			return g, true
		}
	}
	return nil, false
}

// Groups returns the names of a pool's groups.
func (d *Dispatcher) Groups(pool string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.groups[pool]
}

// SetSlack sets this host's share of the retries that are allowed regardless of the number of
// requests.
func (d *Dispatcher) SetSlack(slack float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, g := range d.groupsByKey {
		g.quota.SetSlack(slack)
	}
}

// Submit queues a job. wait is the expected time until its end, or for a refused job (not ok) how
// long the caller should wait before it retries.
func (d *Dispatcher) Submit(j Job) (a *ActiveJob, wait time.Duration, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	g, found := d.findGroup(j.Pool, j.Group)
	if !found || j.Pieces <= 0 {
		return nil, time.Second, false
	}
	now := d.clock()
	d.lastID++
	wait, ok = g.batcher.Offer(now, batch.Job{
		ID: d.lastID, Arrived: now - j.Age, Priority: j.Priority, SoftDeadline: now + j.SoftDeadlineIn, Deadline: now + j.DeadlineIn, Pieces: j.Pieces, Bytes: j.Bytes, Zone: j.Zone,
		HasPriorWork: j.HasPriorWork, WaitForZone: j.WaitForZone, Zones: j.Zones, Protected: j.Protected, Announcement: j.Announcement,
	})
	if !ok {
		return nil, wait, false
	}
	g.quota.CountRequest(now)
	a = &ActiveJob{
		id: d.lastID, targetGroup: g, job: j, deadline: now + j.DeadlineIn, handles: make([]string, j.Pieces), attempts: make([]int, j.Pieces),
		piecesLeft: j.Pieces, done: make(chan struct{}), inputsRead: make(chan struct{}),
	}
	g.jobs[a.id] = a
	select {
	case d.submitted <- struct{}{}:
	default:
	}
	d.startCalls(g)
	return a, wait, true
}

// Backlog returns what a new job of the group finds here, by priority level.
func (d *Dispatcher) Backlog(pool, group string) (b admit.Backlog) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if g, ok := d.findGroup(pool, group); ok {
		b = d.report(d.clock(), g)
	}
	return b
}

// Wait waits for the end of a job and returns its results or its fault. It calls OnInputsRead once
// the inputs were read. If the context ends first, the job is canceled.
func (d *Dispatcher) Wait(ctx context.Context, a *ActiveJob) (handles []string, fault Fault) {
	inputsRead := a.inputsRead
	for !a.ended() && ctx.Err() == nil {
		select {
		case <-a.done:
		case <-ctx.Done():
		case <-inputsRead:
			inputsRead = nil
			if a.job.OnInputsRead != nil {
				a.job.OnInputsRead()
			}
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	g := a.targetGroup
	if ctx.Err() != nil && a.fault == FaultNone {
		d.fail(g, a, FaultLate)
	}
	if a.fault != FaultNone {
		return nil, a.fault
	}
	return a.handles, FaultNone
}

// fail ends a job with a fault and releases the results that it has.
func (d *Dispatcher) fail(g *group, a *ActiveJob, fault Fault) {
	d.endJob(g, a)
	a.fault = fault
	d.free(g, a.handles)
	a.handles = nil
}

// Cancel ends a job and releases its results.
func (d *Dispatcher) Cancel(a *ActiveJob) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = d.Wait(ctx, a) // releases the results
}

// endJob removes a job and wakes those that wait for it.
func (d *Dispatcher) endJob(g *group, a *ActiveJob) {
	if _, ok := g.jobs[a.id]; !ok {
		return
	}
	delete(g.jobs, a.id)
	g.batcher.RemoveJob(a.id)
	close(a.done)
}

// Run hedges late calls, fails jobs that can't meet their deadline and drops expired results
// until the context ends. It sends nil on done once all calls have ended.
func (d *Dispatcher) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		ticks := ticker.C
		if d.idle() {
			ticks = nil // most hosts of a large fleet dispatch nothing
		}
		select {
		case <-ticks:
			d.tick()
		case <-d.submitted:
		case <-ctx.Done():
			d.running.Wait()
			done <- nil
			return
		}
	}
}

// idle reports whether there are no jobs, calls or results.
func (d *Dispatcher) idle() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, g := range d.groupsByKey {
		if len(g.jobs)+len(g.calls)+len(g.results) > 0 {
			return false
		}
	}
	return true
}

// tick does the periodic work of Run once.
func (d *Dispatcher) tick() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, g := range d.groupsByKey {
		for id, call := range g.calls {
			if now >= call.hedgeAt {
				items := g.calls[id].items
				delete(g.calls, id)
				g.batcher.MarkCallLate(now, id)
				d.requeue(g, now, items)
			}
		}
		for _, id := range g.batcher.InfeasibleJobs(now) {
			if a, ok := g.jobs[id]; ok {
				d.fail(g, a, FaultLate)
			}
		}
		for handle, r := range g.results {
			if now >= r.expires {
				delete(g.results, handle)
			}
		}
		d.startCalls(g)
	}
}
