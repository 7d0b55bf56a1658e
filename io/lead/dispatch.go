package lead

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"sassafrasward/core/batch"
	"sassafrasward/core/quota"
	"sassafrasward/core/roster"
	"sassafrasward/core/route"
	"sassafrasward/io/event"
	"sassafrasward/io/link"
	"sassafrasward/io/metric"
	"sassafrasward/platform"
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
	// splitFrom is how many targets a pool has at least if they are dispatched by availability
	// zone. Fewer ones make up fuller calls together, and one host can dispatch them.
	splitFrom = 10
	// answerMost bounds the answer of a call in bytes.
	answerMost = 1 << 20
)

// Job is the pieces of one stage of one request.
type Job struct {
	Pool string
	// Group is the part of the pool's targets that works on the job; the client sets it.
	Group   string
	Request string
	Stage   int
	Pieces  int
	Key     string
	Inputs  []string
	// Age is how long ago the request came to its host.
	Age time.Duration
	// Aim is the time left for an answer in time, Left that for any answer.
	Aim, Left time.Duration
	Rank      int
	Bytes     int64
	Zone      string
	// Near holds if so much is moved to or from another zone that it is worth some waiting.
	Near bool
	// Begun holds if earlier stages of the request were worked on.
	Begun bool
}

// Fault says why a job has no results.
type Fault string

// The faults of jobs.
const (
	// FaultNone means that there are results.
	FaultNone Fault = ""
	// FaultRefused means that no piece was worked on.
	FaultRefused Fault = "refused"
	// FaultLate means that the time of the job has passed.
	FaultLate Fault = "late"
	// FaultGone means that an input does not exist any more.
	FaultGone Fault = "gone"
	// FaultFailed means that a piece failed too often.
	FaultFailed Fault = "failed"
	// FaultSilent means that the dispatching host gave no sign of life.
	FaultSilent Fault = "silent"
)

// Work is a job that is dispatched here.
type Work struct {
	id      uint64
	pool    *pool
	job     Job
	expires time.Duration
	handles []string
	tries   []int
	left    int
	fault   Fault
	done    chan struct{}
}

// made is a result that occupies room at a target.
type made struct {
	target roster.Target
	bytes  int64
	until  time.Duration
}

// pending is a call in progress.
type pending struct {
	items []batch.Item
	// late is when its pieces are also given to another target.
	late time.Duration
}

// pool is the dispatching of one pool.
type pool struct {
	name       string
	dispatcher *batch.Dispatcher
	quota      *quota.Quota
	jobs       map[uint64]*Work
	results    map[string]made
	// orders holds the calls in progress that are not late, by id.
	orders map[uint64]pending
	// frees has the handles to give up by the address of their target, and freeing the
	// addresses with a call in progress.
	frees   map[string][]string
	freeing map[string]bool
	spec    route.Batch
}

// Dispatch dispatches pools on this host. It is safe for concurrent use.
type Dispatch struct {
	clock   func() time.Duration
	links   *link.Pool
	log     logr.Logger
	metrics *metric.Metrics
	// newQuota returns the bound on the repeats of a pool.
	newQuota func() *quota.Quota

	mutex sync.Mutex
	// pools has the groups of pools by key, and groups their names by pool.
	pools  map[string]*pool
	groups map[string][]string
	last   uint64
	// running counts the calls in progress.
	running sync.WaitGroup
	ctx     context.Context
}

// NewDispatch returns a dispatch without pools, whose calls end with the context.
func NewDispatch(ctx context.Context, clock func() time.Duration, links *link.Pool, log logr.Logger, metrics *metric.Metrics, newQuota func() *quota.Quota) *Dispatch {
	return &Dispatch{ctx: ctx, clock: clock, links: links, log: log, metrics: metrics, newQuota: newQuota, pools: make(map[string]*pool), groups: make(map[string][]string)}
}

// Configure sets the pools that work on pieces, with their targets.
func (d *Dispatch) Configure(table *route.Table, targets map[string][]roster.Target) {
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
func split(targets []roster.Target) (groups map[string][]roster.Target) {
	groups = make(map[string][]roster.Target)
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

func (d *Dispatch) configure(name string, spec route.Pool, targets []roster.Target) {
	p, ok := d.pools[name]
	if !ok {
		p = &pool{
			name: name, dispatcher: batch.New(*spec.Batch), quota: d.newQuota(), jobs: make(map[uint64]*Work),
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
func (d *Dispatch) find(name, group string) (p *pool, ok bool) {
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
func (d *Dispatch) Groups(pool string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.groups[pool]
}

// SetSlack sets the host's part of the slack of repeats.
func (d *Dispatch) SetSlack(slack float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, p := range d.pools {
		p.quota.SetSlack(slack)
	}
}

// Start offers a job. It returns the work to wait for, or when its caller should come back.
func (d *Dispatch) Start(j Job) (w *Work, wait time.Duration, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, found := d.find(j.Pool, j.Group)
	if !found || j.Pieces <= 0 {
		return nil, time.Second, false
	}
	now := d.clock()
	d.last++
	wait, ok = p.dispatcher.Offer(now, batch.Job{
		ID: d.last, Arrived: now - j.Age, Rank: j.Rank, Aim: now + j.Aim, Deadline: now + j.Left, Pieces: j.Pieces, Bytes: j.Bytes, Zone: j.Zone,
		Begun: j.Begun, Near: j.Near,
	})
	if !ok {
		return nil, wait, false
	}
	p.quota.Request(now)
	w = &Work{
		id: d.last, pool: p, job: j, expires: now + j.Left, handles: make([]string, j.Pieces), tries: make([]int, j.Pieces),
		left: j.Pieces, done: make(chan struct{}),
	}
	p.jobs[w.id] = w
	d.pump(p)
	return w, wait, true
}

// Backlog returns how long a new job of the group would wait here.
func (d *Dispatch) Backlog(pool, group string) (b Backlog) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p, ok := d.find(pool, group); ok {
		b.Soon, b.All, b.Growth = p.dispatcher.Backlog(d.clock())
	}
	return b
}

// Wait returns the results of a job. If the context ends first, the job is given up.
func (d *Dispatch) Wait(ctx context.Context, w *Work) (handles []string, fault Fault) {
	select {
	case <-w.done:
	case <-ctx.Done():
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
func (d *Dispatch) fail(p *pool, w *Work, fault Fault) {
	d.end(p, w)
	w.fault = fault
	d.free(p, w.handles)
	w.handles = nil
}

// GiveUp ends a job that nobody waits for.
func (d *Dispatch) GiveUp(w *Work) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = d.Wait(ctx, w) // the results are freed
}

// end ends a job.
func (d *Dispatch) end(p *pool, w *Work) {
	if _, ok := p.jobs[w.id]; !ok {
		return
	}
	delete(p.jobs, w.id)
	p.dispatcher.Remove(w.id)
	close(w.done)
}

// Free gives up results.
func (d *Dispatch) Free(pool, group string, handles []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p, ok := d.find(pool, group); ok {
		d.free(p, handles)
		d.pump(p)
	}
}

// free gives results up. What comes while a call to their target runs waits for its end.
func (d *Dispatch) free(p *pool, handles []string) {
	for _, h := range handles {
		if h == "" {
			continue
		}
		address := platform.Maker(h)
		p.frees[address] = append(p.frees[address], h)
		if !p.freeing[address] {
			p.freeing[address] = true
			d.running.Go(func() { d.flush(p, address) })
		}
	}
}

// flush sends the calls that give up results at a target, and then counts their room as free.
func (d *Dispatch) flush(p *pool, address string) {
	for {
		d.mutex.Lock()
		handles := p.frees[address]
		delete(p.frees, address)
		if len(handles) == 0 {
			delete(p.freeing, address)
			d.mutex.Unlock()
			return
		}
		d.mutex.Unlock()
		err := d.release(address, handles)
		d.mutex.Lock()
		if err != nil {
			// The target drops the results by itself when their time ends.
			d.metrics.Counter("stage.free.failed").Inc(1)
		} else {
			for _, h := range handles {
				if m, ok := p.results[h]; ok {
					p.dispatcher.Free(m.target.ID, m.bytes)
					delete(p.results, h)
				}
			}
			d.pump(p)
		}
		d.mutex.Unlock()
	}
}

// release makes the call that gives up results.
func (d *Dispatch) release(address string, handles []string) (err error) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	body, err := platform.EncodeFree(handles)
	if err != nil {
		return err
	}
	_, _, _, err = d.send(ctx, "", address, platform.PathFree, body)
	return err
}

// pump makes the calls that can be made now.
func (d *Dispatch) pump(p *pool) {
	if d.ctx.Err() != nil {
		return
	}
	now := d.clock()
	for _, o := range p.dispatcher.Next(now) {
		pieces, items := d.pieces(p, now, o.Items)
		p.orders[o.ID] = pending{items: items, late: now + time.Duration(lateFactor*float64(o.Expected)) + lateExtra}
		event.Log(d.log, event.CallStarted, "pool", p.name, "target", o.Target.ID, "pieces", len(pieces),
			"expected", o.Expected.Milliseconds(), "waiting", p.dispatcher.Waiting())
		d.running.Go(func() { d.call(p, o, pieces, items) })
	}
}

// pieces returns what to ask for the items of jobs that are still wanted.
func (d *Dispatch) pieces(p *pool, now time.Duration, items []batch.Item) (pieces []platform.Piece, wanted []batch.Item) {
	for _, i := range items {
		w, ok := p.jobs[i.Job]
		if !ok {
			continue
		}
		w.tries[i.Piece]++
		wanted = append(wanted, i)
		pieces = append(pieces, platform.Piece{
			Request: w.job.Request, Stage: w.job.Stage, Number: i.Piece, Left: w.expires - now, Key: w.job.Key, Inputs: w.job.Inputs,
		})
	}
	return pieces, wanted
}

// call makes one call and takes its end.
func (d *Dispatch) call(p *pool, o batch.Order, pieces []platform.Piece, items []batch.Item) {
	ctx, cancel := context.WithTimeout(d.ctx, callMost)
	defer cancel()
	results, end, err := d.post(ctx, o.Target, pieces)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	_, inTime := p.orders[o.ID]
	delete(p.orders, o.ID)
	p.dispatcher.Done(now, o.ID, end)
	if end != batch.Completed {
		event.Log(d.log, event.CallFailed, "pool", p.name, "target", o.Target.ID, "pieces", len(items), "refused", end == batch.Refused, "error", text(err))
		if inTime {
			d.again(p, now, items)
		}
	} else {
		d.take(p, now, o, items, results)
	}
	d.pump(p)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// again queues items whose call failed, within the bound on repeats.
func (d *Dispatch) again(p *pool, now time.Duration, items []batch.Item) {
	for _, i := range items {
		w, ok := p.jobs[i.Job]
		switch {
		case !ok || w.handles[i.Piece] != "":
		case w.tries[i.Piece] >= triesMost || !p.quota.Spend(now):
			d.fail(p, w, FaultFailed)
		default:
			p.dispatcher.Again([]batch.Item{i})
		}
	}
}

// take assigns the results of a call to their jobs.
func (d *Dispatch) take(p *pool, now time.Duration, o batch.Order, items []batch.Item, results []platform.Made) {
	faults := make(map[platform.Fault]int)
	for _, r := range results {
		faults[r.Fault]++
	}
	if made := faults[platform.FaultNone]; made < len(items) {
		event.Log(d.log, event.PiecesFailed, "pool", p.name, "target", o.Target.ID, "made", made, "late", faults[platform.FaultLate],
			"gone", faults[platform.FaultGone], "room", faults[platform.FaultRoom], "error", faults[platform.FaultError],
			"taken", p.dispatcher.Taken(now, o.Target.ID))
	}
	for n, i := range items {
		w, ok := p.jobs[i.Job]
		r := results[n]
		if r.Fault == platform.FaultNone {
			bytes := int64(0)
			if ok {
				bytes = w.job.Bytes
			}
			p.results[r.Handle] = made{target: o.Target, bytes: bytes, until: now + p.spec.Keep}
		}
		switch {
		case !ok || w.handles[i.Piece] != "":
			// The job was given up, or a second call for the piece was faster.
			d.free(p, []string{r.Handle})
		case r.Fault == platform.FaultNone:
			w.handles[i.Piece] = r.Handle
			if w.left--; w.left == 0 {
				d.end(p, w)
			}
		case r.Fault == platform.FaultLate:
			d.fail(p, w, FaultLate)
		case r.Fault == platform.FaultGone:
			d.fail(p, w, FaultGone)
		default:
			d.again(p, now, []batch.Item{i})
		}
	}
}

// post sends a call to a target.
func (d *Dispatch) post(ctx context.Context, t roster.Target, pieces []platform.Piece) (results []platform.Made, end batch.End, err error) {
	if len(pieces) == 0 {
		return nil, batch.Refused, nil
	}
	body, err := platform.EncodePieces(pieces)
	if err != nil {
		return nil, batch.Broken, err
	}
	status, answer, raw, err := d.send(ctx, t.ID, t.Address, platform.PathRun, body)
	switch {
	case err != nil:
		return nil, batch.Broken, err
	case status == http.StatusOK:
		results, err = platform.DecodeMade(raw, len(pieces))
		if err != nil {
			return nil, batch.Broken, err
		}
		return results, batch.Completed, nil
	case answer.NotRun && status == http.StatusServiceUnavailable:
		return nil, batch.Refused, nil
	}
	return nil, batch.Broken, Error.New("status %d", status)
}

// send makes one call to the target at an address, which must be the given incarnation
// unless that is empty.
func (d *Dispatch) send(ctx context.Context, target, address, path string, body []byte) (status int, answer platform.Answer, raw []byte, err error) {
	h := platform.CallHeader(target)
	response, err := d.links.Do(ctx, address, link.Request{
		Method: http.MethodPost, URI: path, Host: address, Header: h, Body: body,
	})
	if err != nil {
		return 0, platform.Answer{}, nil, err
	}
	raw, err = io.ReadAll(io.LimitReader(response.Body, answerMost))
	response.Close(err == nil)
	return response.Status, platform.ReadAnswer(response.Status, response.Header), raw, err
}

// Run looks for late calls and hopeless jobs, and gives up results, until the context ends.
// Its end is reported on done.
func (d *Dispatch) Run(ctx context.Context, done chan<- error) {
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

func (d *Dispatch) tick() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	for _, p := range d.pools {
		for id, order := range p.orders {
			if now >= order.late {
				items := p.orders[id].items
				delete(p.orders, id)
				p.dispatcher.Late(now, id)
				d.again(p, now, items)
			}
		}
		for _, id := range p.dispatcher.Hopeless(now) {
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
