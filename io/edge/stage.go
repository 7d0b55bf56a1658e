package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"sassafrasward/core/admit"
	"sassafrasward/core/reason"
	"sassafrasward/io/dispatch"
	"sassafrasward/platform"
)

const (
	// stageRetry is told to callers of a request whose pieces failed, and lateRetry to those of
	// one that was given up because its stages are behind: about the time of their backlog.
	stageRetry = 300 * time.Millisecond
	lateRetry  = 2 * time.Second
	// crowdedWait is the wait of new jobs, about one call, from which on room is short.
	crowdedWait = 300 * time.Millisecond
	// nearBytes is from how much on moving inputs or results between zones is worth avoiding.
	nearBytes = 500_000
	// keepMargin is how long before their end results are no longer relied on: they are kept
	// from the end of a call at the target, which this host learns a little later.
	keepMargin = 150 * time.Millisecond
)

// stages has all stages of the request worked on and returns the handles that the request
// reads, nil if its route has none. It answers a request whose stages fail.
func (x *exchange) stages(ctx context.Context) (inputs []string, ok bool) {
	stages := x.route.Stages
	if len(stages) == 0 {
		return nil, true
	}
	if len(x.request.Pieces) != len(stages) {
		x.detail = "the number of stages differs"
		x.refuse(http.StatusBadRequest, reason.InvalidField, 0)
		return nil, false
	}
	if retry, ok := x.admitPath(); !ok {
		x.detail = "backlog"
		x.fail(reason.PredictedLate, retry)
		return nil, false
	}
	run := newStageRun(x)
	if failure := run.play(ctx); failure != nil {
		x.failStage(*failure)
		return nil, false
	}
	return run.inputs(), true
}

// stageRun is the progress of the stages of one request. Its slices are by stage.
type stageRun struct {
	*exchange

	results [][]string
	// begun stages were started or left out, done ones have their results.
	begun, done []bool
	// read holds for stages that need their inputs no more.
	read []bool
	// ends and reads have room for what all jobs in progress tell.
	ends  chan stageEnd
	reads chan int
	// running counts the jobs in progress.
	running int
	// remade holds once stages were worked on again because their results were gone.
	remade  bool
	failure *dispatch.Outcome
}

// stageEnd is the end of the job of a stage.
type stageEnd struct {
	stage   int
	group   string
	outcome dispatch.Outcome
}

func newStageRun(x *exchange) *stageRun {
	n := len(x.route.Stages)
	return &stageRun{
		exchange: x, results: make([][]string, n), begun: make([]bool, n), done: make([]bool, n), read: make([]bool, n),
		ends: make(chan stageEnd, n), reads: make(chan int, n),
	}
}

// play works on all stages and returns the first failure; nil if there are all results. It
// returns after the end of all jobs.
func (r *stageRun) play(ctx context.Context) (failure *dispatch.Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for r.begin(ctx); r.running > 0; r.begin(ctx) {
		select {
		case i := <-r.reads:
			if r.crowded(i) {
				r.read[i] = true
				r.freeRead(r.read)
			}
		case e := <-r.ends:
			r.running--
			r.take(e)
			if r.failure != nil {
				cancel()
			}
		}
	}
	return r.failure
}

// inputs returns the results that the request reads.
func (r *stageRun) inputs() (handles []string) {
	handles = []string{}
	for _, i := range r.route.FinalStages() {
		handles = append(handles, r.results[i]...)
	}
	return handles
}

// begin starts the stages that can be started.
func (r *stageRun) begin(ctx context.Context) {
	for i := range r.begun {
		if r.failure != nil || r.begun[i] || !r.startable(i, r.done) {
			continue
		}
		r.begun[i] = true
		if r.request.Pieces[i] == 0 {
			r.done[i], r.read[i] = true, true
			continue
		}
		r.running++
		job := r.job(i, r.results)
		job.OnInputsRead = func() { r.reads <- i }
		go func() { r.ends <- stageEnd{stage: i, group: job.Group, outcome: r.dispatch.Do(ctx, job)} }()
	}
}

// take takes the end of a job.
func (r *stageRun) take(e stageEnd) {
	r.decide("stage %d at %s group %q: %s", e.stage, e.outcome.Host, e.group, e.outcome.Label())
	switch {
	case e.outcome.Fault == dispatch.FaultNone:
		r.results[e.stage], r.done[e.stage], r.read[e.stage] = e.outcome.Handles, true, true
		stage := r.route.Stages[e.stage]
		r.held = append(r.held, holding{
			stage: e.stage, host: e.outcome.Host, pool: stage.Pool, group: e.group, handles: e.outcome.Handles,
			bytes: stage.ResultBytes * int64(len(e.outcome.Handles)), made: r.clock(),
		})
		r.freeRead(r.read)
	case r.failure != nil:
		// The request has failed already.
	case e.outcome.Fault == dispatch.FaultGone && !r.remade:
		r.remake(e.stage)
	default:
		r.failure = &e.outcome
	}
}

// remake has a stage and those before it worked on again. Its inputs were freed early or lost
// with their target.
func (r *stageRun) remake(stage int) {
	r.remade = true
	r.begun[stage] = false
	for _, a := range r.before(stage) {
		r.begun[a], r.done[a], r.read[a] = false, false, false
	}
	// What the failed job told of its inputs must not free the new ones.
	for len(r.reads) > 0 {
		<-r.reads
	}
	r.read[stage] = false
}

// before returns the stages whose results a stage depends on, and gives up those that exist.
func (x *exchange) before(stage int) (stages []int) {
	for _, a := range x.route.Stages[stage].After {
		stages = append(append(stages, a), x.before(a)...)
	}
	x.held = slices.DeleteFunc(x.held, func(h holding) bool {
		found := slices.Contains(stages, h.stage)
		if found {
			x.dispatch.Free(h.host, h.pool, h.group, h.handles)
		}
		return found
	})
	return stages
}

// crowded reports whether room for the results that a stage reads is short: new jobs wait at the
// pools that make them. Only then are they worth freeing before the stage has ended; if it
// fails, they have to be made again.
func (x *exchange) crowded(stage int) bool {
	for _, h := range x.held {
		if slices.Contains(x.route.Stages[stage].After, h.stage) && x.dispatch.Backlog(h.pool, h.group).OnTimeWait > crowdedWait {
			return true
		}
	}
	return false
}

// freeRead gives up the results that all stages after theirs have read, because the room for
// results bounds the size of calls.
func (x *exchange) freeRead(read []bool) {
	x.held = slices.DeleteFunc(x.held, func(h holding) bool {
		followed, unused := false, true
		for i, s := range x.route.Stages {
			if slices.Contains(s.After, h.stage) {
				followed, unused = true, unused && read[i]
			}
		}
		if followed && unused {
			x.dispatch.Free(h.host, h.pool, h.group, h.handles)
		}
		return followed && unused
	})
}

// kept returns until when the results that a stage reads are kept.
func (x *exchange) kept(stage int) time.Duration {
	until := x.patience
	for _, h := range x.held {
		if p, ok := x.state.Load().table.Pool(h.pool); ok && p.Batch != nil && slices.Contains(x.route.Stages[stage].After, h.stage) {
			until = min(until, h.made+p.Batch.ResultTTL-keepMargin)
		}
	}
	return until
}

// startable reports whether a stage can begin: its inputs are there, and so are the results
// of all stages that have more stages after them than it has. A shorter branch begun with
// a longer one would have its results wait for it and take up room.
func (x *exchange) startable(stage int, done []bool) bool {
	for _, a := range x.route.Stages[stage].After {
		if !done[a] {
			return false
		}
	}
	height := x.route.Height(stage)
	for i := range x.route.Stages {
		if x.request.Pieces[i] > 0 && !done[i] && x.route.Height(i) > height {
			return false
		}
	}
	return true
}

// job returns the pieces of a stage whose inputs are there.
func (x *exchange) job(i int, results [][]string) dispatch.Job {
	stage := x.route.Stages[i]
	now := x.clock()
	later := x.later(i)
	j := dispatch.Job{
		HasPriorWork: len(stage.After) > 0, Pool: stage.Pool, Request: x.request.ID, Stage: i, Pieces: x.request.Pieces[i], Age: now - x.began,
		SoftDeadlineIn: x.aim - later - now, DeadlineIn: x.patience - later - now, Priority: x.rank, Bytes: stage.ResultBytes,
	}
	if x.verdict == admit.Late {
		j.SoftDeadlineIn = 0
	}
	j.Zone, j.WaitForZone = x.place(i)
	j.Group, _ = x.dispatch.ChooseGroup(stage.Pool, j.Zone)
	if len(stage.After) == 0 {
		j.Key = x.request.PieceKey
		return j
	}
	for _, a := range stage.After {
		j.Inputs = append(j.Inputs, results[a]...)
	}
	j.DeadlineIn = min(j.DeadlineIn, x.kept(i)-now)
	return j
}

// place returns in which zone a stage is best worked on, and whether so much is moved to or
// from it that it is worth some waiting. Each piece reads all inputs of its stage.
func (x *exchange) place(stage int) (zone string, near bool) {
	s := x.route.Stages[stage]
	read := int64(0)
	for _, h := range x.held {
		if slices.Contains(s.After, h.stage) {
			read += h.bytes * int64(x.request.Pieces[stage])
			zone = x.state.Load().zones[platform.Maker(h.handles[0])]
		}
	}
	if read >= nearBytes && zone != "" {
		return zone, true
	}
	return x.zone(), x.route.Height(stage) == 1 && s.ResultBytes*int64(x.request.Pieces[stage]) >= nearBytes
}

// zone returns where the results of the next stage are of most use: where the target is that
// is meant to run the request, else where the newest results are, else the own zone.
func (x *exchange) zone() string {
	if t, ok := x.choosers.home(x.pool, x.prompt()); ok {
		return t.Zone
	}
	if n := len(x.held); n > 0 {
		if zone, ok := x.state.Load().zones[platform.Maker(x.held[n-1].handles[0])]; ok {
			return zone
		}
	}
	return x.settings.Zone()
}

// failStage answers a request of which a stage failed. The request itself has not run.
func (x *exchange) failStage(o dispatch.Outcome) {
	x.detail = "stage " + string(o.Fault) + " at " + o.Host
	switch o.Fault {
	case dispatch.FaultRefused:
		x.fail(reason.QueueFull, o.RetryAfter)
	case dispatch.FaultLate:
		x.fail(reason.PredictedLate, lateRetry)
	default:
		x.fail(reason.Crashed, stageRetry)
	}
}
