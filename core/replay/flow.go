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

// maxAttempts bounds the calls of one idempotent stage, as in io/runner.
const maxAttempts = 4

// flow is one request on its host. It mirrors the runner.
type flow struct {
	run      *run
	host     *host
	request  trace.Request
	pipeline config.Pipeline
	deadline time.Duration

	// stage is the index of the stage that runs now.
	stage int
	set   *set
	cost  StageStats
	avoid []string
	// live has the calls of the stage that wait or run: one, or two with a hedge.
	live []*attempt
	// aside has calls that run on after another one gave the answer, such as probes.
	aside   []*attempt
	reached outcome.Progress
	record  Record
	over    bool
}

// attempt is one call of a stage.
type attempt struct {
	id       schedule.ID
	flow     *flow
	pool     string
	target   *standin
	repeated bool
	priority int
	// sent is true once a target was chosen.
	sent bool
	// used is true for the call whose answer the request took.
	used bool
	// set is shared by all calls of one stage of one request.
	set *set
	// hedge is true for a duplicate that the scheduler asked for.
	hedge bool
	// since is when the call was offered, then when it was sent; for a hedge, when the
	// call that it duplicates was sent.
	since time.Duration
	// busy is the time for which the call held a slot of its target.
	busy time.Duration
}

// set is the calls of one stage of one request.
type set struct {
	// used is true if one of the calls has given the answer.
	used bool
}

// added reports whether the call is load that repeating added: it is not the one that gave
// the answer, or not the first if none did.
func (a *attempt) added() bool {
	if a.set.used {
		return !a.used
	}
	return a.repeated
}

// begin runs the request on its host from now on, unless the preset takes no requests.
func (f *flow) begin() {
	if !f.host.preset.AcceptsRequests() {
		f.end(reason.PresetClosed.Entry().Outcome(), reason.PresetClosed)
		return
	}
	f.reached = outcome.NewProgress(f.pipeline.Command())
	f.deadline = f.run.clock.now + f.request.Deadline()
	f.run.clock.after(f.request.Deadline(), f.expire)
	f.next()
}

// current returns the stage that runs now.
func (f *flow) current() config.Stage { return f.pipeline.Stages()[f.stage] }

// next starts the current stage, or ends the request after the last one.
func (f *flow) next() {
	if f.stage == len(f.pipeline.Stages()) {
		f.end(outcome.Done, reason.None)
		return
	}
	f.cost, f.set = StageStats{name: f.current().Name()}, &set{}
	f.avoid = nil
	f.offer()
}

// offer makes one more call of the current stage.
func (f *flow) offer() {
	f.cost.attempts++
	a := &attempt{id: f.host.id(), flow: f, set: f.set, pool: f.current().Pool(), repeated: f.cost.attempts > 1, since: f.run.clock.now}
	if !f.run.variant.plain && !f.pipeline.Long() {
		a.priority = 1
	}
	f.live = append(f.live, a)
	f.host.attempts[a.id] = a
	f.run.attempts = append(f.run.attempts, a)
	s := f.host.pools[a.pool]
	ask := s.Offer
	if a.repeated {
		ask = s.Retry
	}
	switch d := ask(f.run.clock.now, f.call(a)); d.Verdict() {
	case schedule.Started:
		a.send(d.Target())
	case schedule.Refused:
		delete(f.host.attempts, a.id)
		f.drop(a)
		f.refuse(d.Reason())
	case schedule.Queued:
	}
}

func (f *flow) call(a *attempt) schedule.Call {
	prefix := uint64(0)
	if f.request.Prefix() != "" {
		prefix = xxhash.Sum64String(f.request.Prefix())
	}
	return schedule.NewCall(a.id, f.request.Workspace(), f.deadline,
		schedule.WithPipeline(f.pipeline.Name()),
		schedule.WithStage(f.current().Name()),
		schedule.WithDownstreamTime(f.after()),
		schedule.WithSize(float64(max(f.request.OutputTokens(), 1))),
		schedule.WithLong(f.pipeline.Long()),
		schedule.WithPrefix(prefix),
		schedule.WithFingerprint(xxhash.Sum64String(f.request.String()+"\x00"+f.current().Name())),
		schedule.WithIdempotent(!f.current().Command()),
		schedule.WithAvoid(f.avoid...))
}

// after returns the time that the later stages are expected to need.
func (f *flow) after() (d time.Duration) {
	for _, s := range f.pipeline.Stages()[f.stage+1:] {
		d += f.host.pools[s.Pool()].ExpectedTime(f.run.clock.now, schedule.NewCall(0, f.request.Workspace(), f.deadline,
			schedule.WithPipeline(f.pipeline.Name()), schedule.WithStage(s.Name()),
			schedule.WithSize(float64(max(f.request.OutputTokens(), 1))), schedule.WithLong(f.pipeline.Long())))
	}
	return d
}

// duplicate returns a hedge of the running call.
func (f *flow) duplicate(first *attempt, id schedule.ID) *attempt {
	a := &attempt{id: id, flow: f, set: f.set, pool: first.pool, repeated: true, hedge: true, priority: first.priority, since: first.since}
	f.live = append(f.live, a)
	f.run.attempts = append(f.run.attempts, a)
	f.run.retries[reason.RetryHedge]++
	f.cost.attempts++
	return a
}

// send writes the call to its target.
func (a *attempt) send(target string) {
	f := a.flow
	if !a.hedge {
		f.cost.wait += f.run.clock.now - a.since
		a.since = f.run.clock.now
	}
	f.cost.target = target
	f.reached.MarkCalled()
	a.sent, a.target = true, f.run.standins[target]
	if !f.current().Command() {
		f.run.clock.after(f.host.pools[a.pool].AttemptTimeout(f.run.clock.now, f.call(a)), a.giveUp)
	}
	f.run.clock.after(a.hop(), func() {
		if _, ok := f.host.attempts[a.id]; !ok {
			return
		}
		a.target.take(a, func(end schedule.CallStatus) {
			load := a.target.load()
			f.run.clock.after(a.hop(), func() { f.reply(a, end, load) })
		})
	})
}

// hop returns the one-way delay between the host and the target.
func (a *attempt) hop() time.Duration {
	return a.flow.run.trace.Network().ZoneDelay(a.flow.host.zone, a.target.zone)
}

// giveUp ends a call that showed no sign of life in time, and repeats its stage.
func (a *attempt) giveUp() {
	f := a.flow
	if _, ok := f.host.attempts[a.id]; !ok {
		return
	}
	awaited := slices.Contains(f.live, a)
	a.withdraw(schedule.TimedOut)
	if awaited && !f.over {
		f.cost.elapsed += f.run.clock.now - a.since
		f.fail(a, schedule.TimedOut)
	}
}

// withdraw cancels a call that was sent.
func (a *attempt) withdraw(end schedule.CallStatus) {
	a.flow.drop(a)
	a.flow.run.clock.after(a.hop(), func() { a.target.cancel(a) })
	a.flow.host.finish(a, end)
}

// drop forgets a call.
func (f *flow) drop(a *attempt) {
	same := func(one *attempt) bool { return one == a }
	f.live = slices.DeleteFunc(f.live, same)
	f.aside = slices.DeleteFunc(f.aside, same)
}

// reply takes the end of a call. The reply of a call that was cancelled is dropped; that of
// a call aside only tells the scheduler.
func (f *flow) reply(a *attempt, end schedule.CallStatus, load schedule.Load) {
	if _, ok := f.host.attempts[a.id]; !ok {
		return
	}
	awaited := slices.Contains(f.live, a)
	f.drop(a)
	options := []schedule.ResultOption{schedule.WithLoad(load)}
	if end == schedule.Completed {
		options = append(options, schedule.WithActualSize(float64(f.request.OutputTokens())))
		if awaited {
			a.used, a.set.used = true, true
			f.aside = append(f.aside, f.live...)
			f.live = nil
		}
	}
	f.host.finish(a, end, options...)
	if !awaited || f.over {
		return
	}
	f.cost.elapsed += f.run.clock.now - a.since
	if end == schedule.Completed {
		f.complete()
		return
	}
	f.fail(a, end)
}

// complete goes on to the next stage.
func (f *flow) complete() {
	f.record.stages = append(f.record.stages, f.cost)
	f.reached.MarkCompleted(f.current().Command())
	f.stage++
	f.next()
}

// fail repeats an idempotent stage whose target crashed, was silent or could not be reached,
// or ends the request. The stand-ins fail in no other way.
func (f *flow) fail(a *attempt, end schedule.CallStatus) {
	why, repeat := reason.Crashed, reason.RetryCrashed
	if end == schedule.TimedOut {
		why, repeat = reason.TimedOut, reason.RetryTimedOut
	}
	switch {
	case len(f.live) > 0: // the hedge still runs
	case f.current().Command() && end == schedule.ConnectFailed:
		f.refuse(why)
	case f.current().Command():
		f.end(outcome.Unknown, why)
	case f.cost.attempts >= maxAttempts:
		f.end(f.reached.OutcomeWithoutWrite(outcome.Failed), why)
	default:
		f.avoid = append(f.avoid, a.target.name)
		f.run.retries[repeat]++
		f.offer()
	}
}

// expire ends a request whose deadline has passed.
func (f *flow) expire() {
	if f.over {
		f.cancelAll(schedule.TimedOut)
		return
	}
	sent := slices.ContainsFunc(f.live, func(a *attempt) bool { return a.sent })
	f.cancelAll(schedule.TimedOut)
	switch {
	case !sent:
		f.refuse(reason.DeadlineExceeded)
	case f.current().Command():
		f.end(outcome.Unknown, reason.TimedOut)
	default:
		f.end(f.reached.OutcomeWithoutWrite(outcome.Failed), reason.TimedOut)
	}
}

// cancelAll withdraws all calls that wait or run.
func (f *flow) cancelAll(end schedule.CallStatus) {
	for _, a := range f.live {
		if a.hedge {
			continue
		}
		if a.sent {
			f.cost.elapsed += f.run.clock.now - a.since
		} else {
			f.cost.wait += f.run.clock.now - a.since
		}
	}
	for _, a := range slices.Concat(f.live, f.aside) {
		// The end of one call may have withdrawn its twin.
		if _, ok := f.host.attempts[a.id]; !ok {
			continue
		}
		if a.sent {
			a.withdraw(end)
			continue
		}
		f.drop(a)
		delete(f.host.attempts, a.id)
		f.host.pools[a.pool].Cancel(f.run.clock.now, a.id)
	}
}

// refuse ends a request before the write of the current stage.
func (f *flow) refuse(why reason.Reason) {
	if !f.over && len(f.live) == 0 {
		f.end(f.reached.OutcomeWithoutWrite(why.Entry().Outcome()), why)
	}
}

func (f *flow) end(o outcome.Outcome, why reason.Reason) {
	if f.over {
		return
	}
	f.over = true
	if o != outcome.Done && f.cost.name != "" {
		f.record.stages = append(f.record.stages, f.cost)
	}
	f.record.outcome, f.record.reason = o, why
	for _, a := range slices.Clone(f.aside) {
		// A hedge that probes a slow target outlives the request.
		if _, ok := f.host.attempts[a.id]; ok && !a.hedge {
			a.withdraw(schedule.Cancelled)
		}
	}
	f.record.elapsed = f.run.clock.now + f.run.trace.Network().ClientDelay() - f.request.SendTime()
	f.run.open--
}
