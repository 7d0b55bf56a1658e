package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"sassafrasward/core/admit"
	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
	"sassafrasward/core/quota"
	"sassafrasward/core/route"
	"sassafrasward/io/metric"
	"sassafrasward/io/transport"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lead")

const (
	// period is the time between two looks for late calls and hopeless jobs.
	period = 50 * time.Millisecond
	// lateFactor and lateExtra say when a call takes so long that its pieces are also given
	// to another target.
	lateFactor = 1.8
	lateExtra  = 150 * time.Millisecond
	// callMost bounds the time of a call.
	callMost = 8 * time.Second
	// triesMost bounds how often one piece is worked on.
	triesMost = 4
	// readTime is how long after the start of a call its target has read its inputs: some
	// megabytes over links of gigabits a second.
	readTime = 100 * time.Millisecond
	// splitFrom is how many targets a pool has at least if they are dispatched by availability
	// zone. Fewer ones make up fuller calls together, and one host can dispatch them.
	splitFrom = 10
	// answerMost bounds the answer of a call in bytes.
	answerMost = 1 << 20
)

// group is the dispatching of one group of the targets of a pool.
type group struct {
	name       string
	dispatcher *batch.Dispatcher
	quota      *quota.Quota
	jobs       map[uint64]*ActiveJob
	results    map[string]made
	// orders holds the calls in progress that are not late, by id.
	orders map[uint64]pending
	// frees has the handles to give up by the address of their target, and freeing the
	// addresses with a call in progress.
	frees   map[string][]string
	freeing map[string]bool
	spec    route.Batch
}

// Dispatcher dispatches pools on this host. It is safe for concurrent use.
type Dispatcher struct {
	clock   func() time.Duration
	links   *transport.Pool
	log     logr.Logger
	metrics *metric.Metrics
	// newQuota returns the bound on the repeats of a pool.
	newQuota func() *quota.Quota

	mutex sync.Mutex
	// pools has the groups of pools by key, and groups their names by pool.
	pools  map[string]*group
	groups map[string][]string
	last   uint64
	// running counts the calls in progress.
	running sync.WaitGroup
	ctx     context.Context
}

// NewDispatcher returns a dispatcher without pools, whose calls end with the context.
func NewDispatcher(ctx context.Context, clock func() time.Duration, links *transport.Pool, log logr.Logger, metrics *metric.Metrics, newQuota func() *quota.Quota) *Dispatcher {
	return &Dispatcher{ctx: ctx, clock: clock, links: links, log: log, metrics: metrics, newQuota: newQuota, pools: make(map[string]*group), groups: make(map[string][]string)}
}

// Configure sets the pools that work on pieces, with their targets.
func (d *Dispatcher) Configure(table *route.Table, targets map[string][]discovery.Target) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range table.Pools() {
		spec, _ := table.Pool(name)
		if spec.Batch == nil {
			continue
		}
		groups := split(targets[name])
		d.groups[name] = slices.Sorted(maps.Keys(groups))
		for group, list := range groups {
			d.configure(key(name, group), spec, list)
		}
	}
}

// key names the group of a pool's targets.
func key(pool, group string) string { return pool + "@" + group }

// split divides the targets of a pool into groups that are dispatched apart: by availability
// zone if they are many, else all in one.
func split(targets []discovery.Target) (groups map[string][]discovery.Target) {
	groups = make(map[string][]discovery.Target)
	for _, t := range targets {
		group := ""
		if len(targets) >= splitFrom {
			group = t.Zone
		}
		groups[group] = append(groups[group], t)
	}
	if len(groups) == 0 {
		groups[""] = nil
	}
	return groups
}

func (d *Dispatcher) configure(name string, spec route.Pool, targets []discovery.Target) {
	p, ok := d.pools[name]
	if !ok {
		p = &group{
			name: name, dispatcher: batch.New(*spec.Batch), quota: d.newQuota(), jobs: make(map[uint64]*ActiveJob),
			results: make(map[string]made), orders: make(map[uint64]pending), frees: make(map[string][]string), freeing: make(map[string]bool),
		}
		d.pools[name] = p
	}
	p.spec = *spec.Batch
	p.dispatcher.SetSpec(*spec.Batch)
	p.dispatcher.SetTargets(targets)
}

// find returns the group that dispatches a job. Hosts learn of new targets at different
// times, so a group that another host knows may not be known here yet.
func (d *Dispatcher) find(name, group string) (p *group, ok bool) {
	if p, ok = d.pools[key(name, group)]; ok {
		return p, true
	}
	for _, g := range d.groups[name] {
		if p, ok = d.pools[key(name, g)]; ok {
			return p, true
		}
	}
	return nil, false
}

// Groups returns the groups of a pool's targets.
func (d *Dispatcher) Groups(pool string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.groups[pool]
}

// SetSlack sets the host's part of the slack of repeats.
func (d *Dispatcher) SetSlack(slack float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, p := range d.pools {
		p.quota.SetSlack(slack)
	}
}

// Submit offers a job. It returns the work to wait for, or when its caller should come back.
func (d *Dispatcher) Submit(j Job) (w *ActiveJob, wait time.Duration, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, found := d.find(j.Pool, j.Group)
	if !found || j.Pieces <= 0 {
		return nil, time.Second, false
	}
	now := d.clock()
	d.last++
	wait, ok = p.dispatcher.Offer(now, batch.Job{
		ID: d.last, Arrived: now - j.Age, Priority: j.Rank, SoftDeadline: now + j.Aim, Deadline: now + j.Left, Pieces: j.Pieces, Bytes: j.Bytes, Zone: j.Zone,
		HasPriorWork: j.Begun, WaitForZone: j.Near,
	})
	if !ok {
		return nil, wait, false
	}
	p.quota.CountRequest(now)
	w = &ActiveJob{
		id: d.last, pool: p, job: j, expires: now + j.Left, handles: make([]string, j.Pieces), tries: make([]int, j.Pieces),
		left: j.Pieces, done: make(chan struct{}), read: make(chan struct{}),
	}
	p.jobs[w.id] = w
	d.pump(p)
	return w, wait, true
}

// Backlog returns how long a new job of the group would wait here.
func (d *Dispatcher) Backlog(pool, group string) (b admit.Backlog) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p, ok := d.find(pool, group); ok {
		b.OnTimeWait, b.LateWait, b.Growth = p.dispatcher.Backlog(d.clock())
	}
	return b
}

// Wait returns the results of a job. If the context ends first, the job is given up.
func (d *Dispatcher) Wait(ctx context.Context, w *ActiveJob) (handles []string, fault Fault) {
	read := w.read
	for !w.ended() && ctx.Err() == nil {
		select {
		case <-w.done:
		case <-ctx.Done():
		case <-read:
			read = nil
			if w.job.OnInputsRead != nil {
				w.job.OnInputsRead()
			}
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := w.pool
	if ctx.Err() != nil && w.fault == FaultNone {
		d.fail(p, w, FaultLate)
	}
	if w.fault != FaultNone {
		return nil, w.fault
	}
	return w.handles, FaultNone
}

// fail ends a job without results.
func (d *Dispatcher) fail(p *group, w *ActiveJob, fault Fault) {
	d.end(p, w)
	w.fault = fault
	d.free(p, w.handles)
	w.handles = nil
}

// Cancel ends a job that nobody waits for.
func (d *Dispatcher) Cancel(w *ActiveJob) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = d.Wait(ctx, w) // the results are freed
}

// end ends a job.
func (d *Dispatcher) end(p *group, w *ActiveJob) {
	if _, ok := p.jobs[w.id]; !ok {
		return
	}
	delete(p.jobs, w.id)
	p.dispatcher.RemoveJob(w.id)
	close(w.done)
}

// Run looks for late calls and hopeless jobs, and gives up results, until the context ends.
// Its end is reported on done.
func (d *Dispatcher) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.tick()
		case <-ctx.Done():
			d.running.Wait()
			done <- nil
			return
		}
	}
}

func (d *Dispatcher) tick() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, p := range d.pools {
		for id, order := range p.orders {
			if now >= order.late {
				items := p.orders[id].items
				delete(p.orders, id)
				p.dispatcher.MarkCallLate(now, id)
				d.again(p, now, items)
			}
		}
		for _, id := range p.dispatcher.InfeasibleJobs(now) {
			if w, ok := p.jobs[id]; ok {
				d.fail(p, w, FaultLate)
			}
		}
		for h, m := range p.results {
			if now >= m.until {
				delete(p.results, h)
			}
		}
		d.pump(p)
	}
}
