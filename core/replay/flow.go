package replay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/config"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/core/trace"
)

// maxAttempts is the maximum number of calls of one idempotent stage, as in io/runner.
const maxAttempts = 4

// requestFlow is the execution of one request on its host, as in io/runner.
type requestFlow struct {
	run      *run
	host     *host
	request  trace.Request
	pipeline config.Pipeline
	deadline time.Duration

	// stage is the index of the current stage.
	stage        int
	calls        *stageCalls
	stats        StageStats
	avoidTargets []string
	// active holds the queued or running calls of the stage: one, or two with a hedge.
	active []*attempt
	// detached holds calls that keep running after another call gave the answer, such as
	// probes.
	detached []*attempt
	progress outcome.Progress
	record   Record
	ended    bool
}

// attempt is one call of a stage.
type attempt struct {
	id     schedule.ID
	flow   *requestFlow
	pool   string
	target *standin
	// repeated is true for retries and hedges: all calls of the stage but the first.
	repeated bool
	// priority is the priority in the queue of the target; higher values come first.
	priority int
	// sent is true once the scheduler has chosen a target.
	sent bool
	// gaveAnswer is true for the call whose answer the request uses.
	gaveAnswer bool
	// calls is shared by all calls of one stage of one request.
	calls *stageCalls
	// hedge is true for a duplicate call that the scheduler requested.
	hedge bool
	// since is the time at which the call was offered to the scheduler, and later the time at
	// which it was sent. For a hedge, it is the time at which the original call was sent.
	since time.Duration
	// slotTime is the time for which the call held a slot of its target.
	slotTime time.Duration
}

// stageCalls is the state that all calls of one stage of one request share.
type stageCalls struct {
	// answered is true if one of the calls has given the answer.
	answered bool
}

// isOverhead reports whether the call is load added by retries or hedges: every call but
// the one that gave the answer or, if none did, every call but the first.
func (a *attempt) isOverhead() bool {
	if a.calls.answered {
		return !a.gaveAnswer
	}
	return a.repeated
}

// start begins to run the request on its host, or refuses it if the preset accepts no
// requests.
func (f *requestFlow) start() {
	if !f.host.preset.AcceptsRequests() {
		f.finish(reason.PresetClosed.Entry().Outcome(), reason.PresetClosed)
		return
	}
	f.progress = outcome.NewProgress(f.pipeline.Command())
	f.deadline = f.run.clock.now + f.request.Deadline()
	f.run.clock.after(f.request.Deadline(), f.handleDeadline)
	f.startStage()
}

// current returns the current stage.
func (f *requestFlow) current() config.Stage { return f.pipeline.Stages()[f.stage] }

// startStage starts the current stage, or ends the request after the last stage.
func (f *requestFlow) startStage() {
	if f.stage == len(f.pipeline.Stages()) {
		f.finish(outcome.Done, reason.None)
		return
	}
	f.stats, f.calls = StageStats{name: f.current().Name()}, &stageCalls{}
	f.avoidTargets = nil
	f.issueCall()
}

// issueCall offers another call of the current stage to the scheduler.
func (f *requestFlow) issueCall() {
	f.stats.attempts++
	a := &attempt{id: f.host.nextID(), flow: f, calls: f.calls, pool: f.current().Pool(), repeated: f.stats.attempts > 1, since: f.run.clock.now}
	if !f.run.variant.fifoTargets && !f.pipeline.Long() {
		a.priority = 1
	}
	f.active = append(f.active, a)
	f.host.attempts[a.id] = a
	f.run.attempts = append(f.run.attempts, a)
	s := f.host.pools[a.pool]
	submit := s.Offer
	if a.repeated {
		submit = s.Retry
	}
	switch d := submit(f.run.clock.now, f.schedulerCall(a)); d.Verdict() {
	case schedule.Started:
		a.send(d.Target())
	case schedule.Refused:
		delete(f.host.attempts, a.id)
		f.remove(a)
		f.refuse(d.Reason())
	case schedule.Queued:
	}
}

func (f *requestFlow) schedulerCall(a *attempt) schedule.Call {
	prefix := uint64(0)
	if f.request.Prefix() != "" {
		prefix = xxhash.Sum64String(f.request.Prefix())
	}
	return schedule.NewCall(a.id, f.request.Workspace(), f.deadline,
		schedule.WithPipeline(f.pipeline.Name()),
		schedule.WithStage(f.current().Name()),
		schedule.WithDownstreamTime(f.expectedRemainingTime()),
		schedule.WithSize(float64(max(f.request.OutputTokens(), 1))),
		schedule.WithLong(f.pipeline.Long()),
		schedule.WithPrefix(prefix),
		schedule.WithFingerprint(xxhash.Sum64String(f.request.String()+"\x00"+f.current().Name())),
		schedule.WithIdempotent(!f.current().Command()),
		schedule.WithAvoid(f.avoidTargets...))
}

// expectedRemainingTime returns the expected duration of the stages after the current one.
func (f *requestFlow) expectedRemainingTime() (d time.Duration) {
	for _, s := range f.pipeline.Stages()[f.stage+1:] {
		d += f.host.pools[s.Pool()].ExpectedTime(f.run.clock.now, schedule.NewCall(0, f.request.Workspace(), f.deadline,
			schedule.WithPipeline(f.pipeline.Name()), schedule.WithStage(s.Name()),
			schedule.WithSize(float64(max(f.request.OutputTokens(), 1))), schedule.WithLong(f.pipeline.Long())))
	}
	return d
}

// newHedge returns a hedge of the given running call.
func (f *requestFlow) newHedge(first *attempt, id schedule.ID) *attempt {
	a := &attempt{id: id, flow: f, calls: f.calls, pool: first.pool, repeated: true, hedge: true, priority: first.priority, since: first.since}
	f.active = append(f.active, a)
	f.run.attempts = append(f.run.attempts, a)
	f.run.retries[reason.RetryHedge]++
	f.stats.attempts++
	return a
}

// send sends the call to its target.
func (a *attempt) send(target string) {
	f := a.flow
	if !a.hedge {
		f.stats.wait += f.run.clock.now - a.since
		a.since = f.run.clock.now
	}
	f.stats.target = target
	f.progress.MarkCalled()
	a.sent, a.target = true, f.run.standins[target]
	if !f.current().Command() {
		f.run.clock.after(f.host.pools[a.pool].AttemptTimeout(f.run.clock.now, f.schedulerCall(a)), a.timeOut)
	}
	f.run.clock.after(a.delay(), func() {
		if _, ok := f.host.attempts[a.id]; !ok {
			return
		}
		a.target.accept(a, func(status schedule.CallStatus) {
			load := a.target.reportedLoad()
			f.run.clock.after(a.delay(), func() { f.handleReply(a, status, load) })
		})
	})
}

// delay returns the one-way network delay between the host and the target.
func (a *attempt) delay() time.Duration {
	return a.flow.run.trace.Network().ZoneDelay(a.flow.host.zone, a.target.zone)
}

// timeOut ends a call that has exceeded its attempt timeout and retries its stage.
func (a *attempt) timeOut() {
	f := a.flow
	if _, ok := f.host.attempts[a.id]; !ok {
		return
	}
	awaited := slices.Contains(f.active, a)
	a.abort(schedule.TimedOut)
	if awaited && !f.ended {
		f.stats.elapsed += f.run.clock.now - a.since
		f.retryOrFail(a, schedule.TimedOut)
	}
}

// abort cancels a call that was sent and reports the given status to the scheduler.
func (a *attempt) abort(status schedule.CallStatus) {
	a.flow.remove(a)
	a.flow.run.clock.after(a.delay(), func() { a.target.cancel(a) })
	a.flow.host.finish(a, status)
}

// remove removes a call from the lists of active and detached calls.
func (f *requestFlow) remove(a *attempt) {
	matches := func(other *attempt) bool { return other == a }
	f.active = slices.DeleteFunc(f.active, matches)
	f.detached = slices.DeleteFunc(f.detached, matches)
}

// handleReply processes the end of a call. It ignores the reply of a cancelled call; that
// of a detached call is only reported to the scheduler.
func (f *requestFlow) handleReply(a *attempt, status schedule.CallStatus, load schedule.Load) {
	if _, ok := f.host.attempts[a.id]; !ok {
		return
	}
	awaited := slices.Contains(f.active, a)
	f.remove(a)
	options := []schedule.ResultOption{schedule.WithLoad(load)}
	if status == schedule.Completed {
		options = append(options, schedule.WithActualSize(float64(f.request.OutputTokens())))
		if awaited {
			a.gaveAnswer, a.calls.answered = true, true
			f.detached = append(f.detached, f.active...)
			f.active = nil
		}
	}
	f.host.finish(a, status, options...)
	if !awaited || f.ended {
		return
	}
	f.stats.elapsed += f.run.clock.now - a.since
	if status == schedule.Completed {
		f.completeStage()
		return
	}
	f.retryOrFail(a, status)
}

// completeStage records the current stage and starts the next one.
func (f *requestFlow) completeStage() {
	f.record.stages = append(f.record.stages, f.stats)
	f.progress.MarkCompleted(f.current().Command())
	f.stage++
	f.startStage()
}

// retryOrFail handles a call that failed. It retries an idempotent stage up to maxAttempts
// calls; otherwise it ends the request. A call fails only because its target crashed, timed
// out or could not be reached.
func (f *requestFlow) retryOrFail(a *attempt, status schedule.CallStatus) {
	cause, retryReason := reason.Crashed, reason.RetryCrashed
	if status == schedule.TimedOut {
		cause, retryReason = reason.TimedOut, reason.RetryTimedOut
	}
	switch {
	case len(f.active) > 0: // the hedge still runs
	case f.current().Command() && status == schedule.ConnectFailed:
		f.refuse(cause)
	case f.current().Command():
		f.finish(outcome.Unknown, cause)
	case f.stats.attempts >= maxAttempts:
		f.finish(f.progress.OutcomeWithoutWrite(outcome.Failed), cause)
	default:
		f.avoidTargets = append(f.avoidTargets, a.target.name)
		f.run.retries[retryReason]++
		f.issueCall()
	}
}

// handleDeadline ends the request when its deadline expires. If the request has already
// ended, it cancels the calls that still run.
func (f *requestFlow) handleDeadline() {
	if f.ended {
		f.cancelCalls(schedule.TimedOut)
		return
	}
	sent := slices.ContainsFunc(f.active, func(a *attempt) bool { return a.sent })
	f.cancelCalls(schedule.TimedOut)
	switch {
	case !sent:
		f.refuse(reason.DeadlineExceeded)
	case f.current().Command():
		f.finish(outcome.Unknown, reason.TimedOut)
	default:
		f.finish(f.progress.OutcomeWithoutWrite(outcome.Failed), reason.TimedOut)
	}
}

// cancelCalls cancels all queued and running calls.
func (f *requestFlow) cancelCalls(status schedule.CallStatus) {
	for _, a := range f.active {
		if a.hedge {
			continue
		}
		if a.sent {
			f.stats.elapsed += f.run.clock.now - a.since
		} else {
			f.stats.wait += f.run.clock.now - a.since
		}
	}
	for _, a := range slices.Concat(f.active, f.detached) {
		// Ending one call may already have cancelled its hedge or the call that it hedges.
		if _, ok := f.host.attempts[a.id]; !ok {
			continue
		}
		if a.sent {
			a.abort(status)
			continue
		}
		f.remove(a)
		delete(f.host.attempts, a.id)
		f.host.pools[a.pool].Cancel(f.run.clock.now, a.id)
	}
}

// refuse ends the request with the outcome of the given reason, unless another call of the
// stage is active.
func (f *requestFlow) refuse(cause reason.Reason) {
	if !f.ended && len(f.active) == 0 {
		f.finish(f.progress.OutcomeWithoutWrite(cause.Entry().Outcome()), cause)
	}
}

func (f *requestFlow) finish(o outcome.Outcome, cause reason.Reason) {
	if f.ended {
		return
	}
	f.ended = true
	if o != outcome.Done && f.stats.name != "" {
		f.record.stages = append(f.record.stages, f.stats)
	}
	f.record.outcome, f.record.reason = o, cause
	for _, a := range slices.Clone(f.detached) {
		// A hedge that probes a slow target continues after the request has ended.
		if _, ok := f.host.attempts[a.id]; ok && !a.hedge {
			a.abort(schedule.Cancelled)
		}
	}
	f.record.elapsed = f.run.clock.now + f.run.trace.Network().ClientDelay() - f.request.SendTime()
	f.run.openRequests--
}
