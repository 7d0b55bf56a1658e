package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"sassafrasward/core/admit"
	"sassafrasward/core/pick"
	"sassafrasward/core/reason"
	"sassafrasward/core/route"
	"sassafrasward/io/dispatch"
	"sassafrasward/platform"
)

const (
	// stageFailedRetryAfter is the retry delay for callers whose pieces failed.
	// stageLateRetryAfter is that for callers whose request was canceled because its stages
	// were late: about the time in which the backlog is worked off.
	stageFailedRetryAfter = 300 * time.Millisecond
	stageLateRetryAfter   = 2 * time.Second
	// lowMemoryWait is the wait of new jobs above which the memory for results counts as scarce. It
	// is about the time of one call.
	lowMemoryWait = 300 * time.Millisecond
	// minZoneBytes is the size of inputs or results from which on avoiding their transfer between
	// zones is worth a wait.
	minZoneBytes = 500_000
	// ttlMargin is how long before the end of their TTL results are no longer relied on: the TTL
	// starts when the call ends at the target, which this host learns a little later.
	ttlMargin = 150 * time.Millisecond
)

// runStages runs all stages of the request and returns the handles of the results that the
// request reads, nil if its route has no stages. If a stage fails, it writes the response.
func (x *exchange) runStages(ctx context.Context) (inputs []string, ok bool) {
	stages := x.route.Stages
	if len(stages) == 0 {
		return nil, true
	}
	if len(x.request.Pieces) != len(stages) {
		x.detail = "number of stages differs from the route"
		x.refuse(http.StatusBadRequest, reason.InvalidField, 0)
		return nil, false
	}
	if pool, why := x.closedPool(); why != pick.Open {
		x.failClosed(pool, why)
		return nil, false
	}
	wait, ok := x.targetWait()
	if !ok {
		x.failWithoutTarget()
		return nil, false
	}
	if retry, ok := x.admitStages(wait); !ok {
		x.fail(reason.PredictedLate, retry)
		return nil, false
	}
	x.choosers.addStaged(x.pool, 1)
	run := newStageRun(x)
	failure := run.execute(ctx)
	x.choosers.addStaged(x.pool, -1)
	if failure != nil {
		x.failStage(*failure)
		return nil, false
	}
	return run.inputs(), true
}

// stageRun runs the stages of one request. Its slices are indexed by stage.
type stageRun struct {
	*exchange

	// results has the handles of the results of each stage.
	results [][]string
	// started is set for stages that were started or skipped, done for those that have their
	// results or were skipped.
	started, done []bool
	// inputsRead is set for stages that no longer need their inputs.
	inputsRead []bool
	// ends and reads receive the ends of jobs, and the stages whose inputs were read. They are
	// buffered for all jobs in progress, so that no job blocks.
	ends  chan stageEnd
	reads chan int
	// running counts the jobs in progress.
	running int
	// rerun is set once stages were run again because their results were gone.
	rerun   bool
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
		exchange: x, results: make([][]string, n), started: make([]bool, n), done: make([]bool, n), inputsRead: make([]bool, n),
		ends: make(chan stageEnd, n), reads: make(chan int, n),
	}
}

// execute runs all stages and returns the first failure, nil if all have their results. It
// returns once all jobs have ended.
func (r *stageRun) execute(ctx context.Context) (failure *dispatch.Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for r.startStages(ctx); r.running > 0; r.startStages(ctx) {
		select {
		case i := <-r.reads:
			if r.lowMemory(i) {
				r.inputsRead[i] = true
				r.freeRead(r.inputsRead)
			}
		case e := <-r.ends:
			r.running--
			r.handleEnd(e)
			if r.failure != nil {
				cancel()
			}
		}
	}
	return r.failure
}

// inputs returns the handles of the results that the request itself reads.
func (r *stageRun) inputs() (handles []string) {
	handles = []string{}
	for _, i := range r.route.FinalStages() {
		handles = append(handles, r.results[i]...)
	}
	return handles
}

// startStages starts the stages that can start now.
func (r *stageRun) startStages(ctx context.Context) {
	for i := range r.started {
		if r.failure != nil || r.started[i] || !r.canStart(i, r.done) {
			continue
		}
		r.started[i] = true
		if r.request.Pieces[i] == 0 {
			r.done[i], r.inputsRead[i] = true, true
			continue
		}
		r.running++
		job := r.job(i, r.results)
		job.OnInputsRead = func() { r.reads <- i }
		go func() { r.ends <- stageEnd{stage: i, group: job.Group, outcome: r.dispatchClient.Do(ctx, job)} }()
	}
}

// handleEnd records the results or the failure of a job.
func (r *stageRun) handleEnd(e stageEnd) {
	r.recordDecision("stage %d at %s group %q: %s", e.stage, e.outcome.Host, e.group, e.outcome.Label())
	switch {
	case e.outcome.Fault == dispatch.FaultNone:
		r.results[e.stage], r.done[e.stage], r.inputsRead[e.stage] = e.outcome.Handles, true, true
		stage := r.route.Stages[e.stage]
		r.held = append(r.held, stageResults{
			stage: e.stage, host: e.outcome.Host, pool: stage.Pool, group: e.group, handles: e.outcome.Handles,
			bytes: stage.ResultBytes * int64(len(e.outcome.Handles)), received: r.clock(),
		})
		r.freeRead(r.inputsRead)
	case r.failure != nil:
		// The request has failed already.
	case e.outcome.Fault == dispatch.FaultGone && !r.rerun:
		r.rerunStage(e.stage)
	default:
		r.failure = &e.outcome
	}
}

// rerunStage resets a stage and those it depends on so that they run again, because its inputs
// were released early or lost with their target.
func (r *stageRun) rerunStage(stage int) {
	r.rerun = true
	r.started[stage] = false
	for _, dep := range r.freeDependencies(stage) {
		r.started[dep], r.done[dep], r.inputsRead[dep] = false, false, false
	}
	// Discard pending signals: that of the failed job would release the new inputs once they
	// exist.
	for len(r.reads) > 0 {
		<-r.reads
	}
	r.inputsRead[stage] = false
}

// freeDependencies releases the existing results of all stages that a stage depends on, and
// returns these stages.
func (x *exchange) freeDependencies(stage int) (stages []int) {
	for _, dep := range x.route.Stages[stage].DependsOn {
		stages = append(append(stages, dep), x.freeDependencies(dep)...)
	}
	x.held = slices.DeleteFunc(x.held, func(h stageResults) bool {
		found := slices.Contains(stages, h.stage)
		if found {
			x.dispatchClient.Free(h.host, h.pool, h.group, h.handles)
		}
		return found
	})
	return stages
}

// lowMemory reports whether the memory for the results that a stage reads is scarce: new jobs
// wait at the pools that produce them. Only then are they released before the stage has ended,
// because they have to be produced again if it fails.
func (x *exchange) lowMemory(stage int) bool {
	for _, h := range x.held {
		if slices.Contains(x.route.Stages[stage].DependsOn, h.stage) && x.dispatchClient.Backlog(h.pool, h.group).At(x.priority).OnTimeWait > lowMemoryWait {
			return true
		}
	}
	return false
}

// freeRead releases the results that all dependent stages have read, because the free memory
// for results limits the size of calls.
func (x *exchange) freeRead(inputsRead []bool) {
	x.held = slices.DeleteFunc(x.held, func(h stageResults) bool {
		hasDependents, allRead := false, true
		for i, s := range x.route.Stages {
			if slices.Contains(s.DependsOn, h.stage) {
				hasDependents, allRead = true, allRead && inputsRead[i]
			}
		}
		if hasDependents && allRead {
			x.dispatchClient.Free(h.host, h.pool, h.group, h.handles)
		}
		return hasDependents && allRead
	})
}

// inputsExpiry returns when the first of the results that a stage reads expires, at most the
// deadline of the request.
func (x *exchange) inputsExpiry(stage int) time.Duration {
	expiry := x.startDeadline
	for _, h := range x.held {
		if p, ok := x.state.Load().table.Pool(h.pool); ok && p.Batch != nil && slices.Contains(x.route.Stages[stage].DependsOn, h.stage) {
			expiry = min(expiry, h.received+p.Batch.ResultTTL-ttlMargin)
		}
	}
	return expiry
}

// canStart reports whether a stage can start: its inputs exist, and so do the results of all
// stages with a longer chain of dependent stages. If a shorter branch started together with a
// longer one, its results would occupy memory while they wait for the longer one.
func (x *exchange) canStart(stage int, done []bool) bool {
	for _, dep := range x.route.Stages[stage].DependsOn {
		if !done[dep] {
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

// job returns the job of a stage whose inputs exist.
func (x *exchange) job(i int, results [][]string) dispatch.Job {
	stage := x.route.Stages[i]
	now := x.clock()
	timeAfter := x.timeAfter(i)
	j := dispatch.Job{
		HasPriorWork: len(stage.DependsOn) > 0, Pool: stage.Pool, Request: x.request.ID, Stage: i, Pieces: x.request.Pieces[i], Age: now - x.arrived + x.headStart,
		SoftDeadlineIn: x.softDeadline - timeAfter - now, DeadlineIn: x.startDeadline - timeAfter - now, Priority: x.priority, Protected: x.protected, Bytes: stage.ResultBytes,
	}
	if x.protected {
		j.SoftDeadlineIn = j.DeadlineIn // it is not queued behind those that meet their objectives
	}
	if x.decision == admit.Late {
		j.SoftDeadlineIn = 0
	}
	j.Zone, j.WaitForZone = x.placement(i)
	if j.Zones = x.zones; !route.ZoneAllowed(x.zones, j.Zone) {
		j.Zone, j.WaitForZone = "", false
	}
	j.Group, _ = x.dispatchClient.ChooseGroup(stage.Pool, j.Zone, j.Zones, x.priority)
	j.Announcement = x.takeAnnouncement(i, j.Group)
	if len(stage.DependsOn) == 0 {
		j.Key = x.request.PieceKey
		return j
	}
	for _, dep := range stage.DependsOn {
		j.Inputs = append(j.Inputs, results[dep]...)
	}
	j.DeadlineIn = min(j.DeadlineIn, x.inputsExpiry(i)-now)
	return j
}

// placement returns the preferred zone of a stage, and whether enough data would move between
// zones that waiting for a target there is worthwhile. Each piece reads all inputs of its stage.
func (x *exchange) placement(stage int) (zone string, waitForZone bool) {
	s := x.route.Stages[stage]
	read := int64(0)
	for _, h := range x.held {
		if slices.Contains(s.DependsOn, h.stage) {
			read += h.bytes * int64(x.request.Pieces[stage])
			zone = x.state.Load().zones[platform.HandleAddress(h.handles[0])]
		}
	}
	if read >= minZoneBytes && zone != "" {
		return zone, true
	}
	return x.zone(), x.route.Height(stage) == 1 && s.ResultBytes*int64(x.request.Pieces[stage]) >= minZoneBytes
}

// zone returns the zone in which the results of the next stage should be: that of the target
// preferred for the request by prefix affinity, otherwise that of the newest results, otherwise
// the zone of this host.
func (x *exchange) zone() string {
	if t, ok := x.choosers.affinityTarget(x.pool, x.promptPickRequest()); ok {
		return t.Zone
	}
	if n := len(x.held); n > 0 {
		if zone, ok := x.state.Load().zones[platform.HandleAddress(x.held[n-1].handles[0])]; ok {
			return zone
		}
	}
	return x.settings.Zone()
}

// failStage refuses a request of which a stage failed. The request itself has not run.
func (x *exchange) failStage(o dispatch.Outcome) {
	x.detail = "stage " + string(o.Fault) + " at " + o.Host
	switch o.Fault {
	case dispatch.FaultRefused:
		x.rememberRetry(o.RetryAfter)
		x.fail(reason.QueueFull, o.RetryAfter)
	case dispatch.FaultLate:
		x.fail(reason.PredictedLate, stageLateRetryAfter)
	default:
		x.fail(reason.Crashed, stageFailedRetryAfter)
	}
}
