package replay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/document"
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
	pipeline document.Pipeline
	deadline time.Duration

	// stage is the index of the stage that runs now.
	stage int
	set   *set
	cost  Stage
	avoid []string
	// live has the calls of the stage that wait or run: one, or two with a hedge.
	live    []*attempt
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
	// since is when the call was offered, then when it was sent.
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
	if !f.host.preset.Accept() {
		f.end(reason.Closed.Rule().Outcome(), reason.Closed)
		return
	}
	f.reached = outcome.NewProgress(f.pipeline.Command())
	f.deadline = f.run.clock.now + f.request.Deadline()
	f.run.clock.after(f.request.Deadline(), f.expire)
	f.next()
}

// current returns the stage that runs now.
func (f *flow) current() document.Stage { return f.pipeline.Stages()[f.stage] }

// next starts the current stage, or ends the request after the last one.
func (f *flow) next() {
	if f.stage == len(f.pipeline.Stages()) {
		f.end(outcome.Done, reason.None)
		return
	}
	f.cost, f.set = Stage{name: f.current().Name()}, &set{}
	f.avoid = nil
	f.offer()
}

// offer makes one more call of the current stage.
func (f *flow) offer() {
	f.cost.attempts++
	a := &attempt{id: f.host.id(), flow: f, set: f.set, pool: f.current().Pool(), repeated: f.cost.attempts > 1, since: f.run.clock.now}
	if f.run.variant.urgent && !f.pipeline.Long() {
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
		schedule.WithSize(float64(max(f.request.Size(), 1))),
		schedule.WithLong(f.pipeline.Long()),
		schedule.WithPrefix(prefix),
		schedule.WithFingerprint(xxhash.Sum64String(f.request.String()+"\x00"+f.current().Name())),
		schedule.WithIdempotent(!f.current().Command()),
		schedule.WithAvoid(f.avoid...))
}

// duplicate returns a hedge of the running call.
func (f *flow) duplicate(first *attempt, id schedule.ID) *attempt {
	a := &attempt{id: id, flow: f, set: f.set, pool: first.pool, repeated: true, priority: first.priority, since: f.run.clock.now}
	f.live = append(f.live, a)
	f.run.attempts = append(f.run.attempts, a)
	f.run.retries[reason.RetryHedge]++
	f.cost.attempts++
	return a
}

// send writes the call to its target.
func (a *attempt) send(target string) {
	f := a.flow
	f.cost.wait += f.run.clock.now - a.since
	f.cost.target = target
	f.reached.Call()
	a.sent, a.since, a.target = true, f.run.clock.now, f.run.standins[target]
	hop := f.run.trace.Network().Hop(f.host.zone, a.target.zone)
	f.run.clock.after(hop, func() {
		if !slices.Contains(f.live, a) {
			return
		}
		a.target.take(a, func(end schedule.End) {
			load := a.target.load()
			f.run.clock.after(hop, func() { f.reply(a, end, load) })
		})
	})
}

// drop forgets a call of the current stage.
func (f *flow) drop(a *attempt) {
	f.live = slices.DeleteFunc(f.live, func(one *attempt) bool { return one == a })
}

// reply takes the end of a call. The reply of a call that no longer matters is dropped.
func (f *flow) reply(a *attempt, end schedule.End, load schedule.Load) {
	if !slices.Contains(f.live, a) {
		return
	}
	f.drop(a)
	f.cost.elapsed += f.run.clock.now - a.since
	options := []schedule.ResultOption{schedule.WithLoad(load)}
	if end == schedule.Completed {
		a.used, a.set.used = true, true
		f.cancelAll(schedule.Cancelled)
		options = append(options, schedule.WithActual(float64(f.request.Size())))
	}
	f.host.finish(a, end, options...)
	if f.over {
		return
	}
	if end == schedule.Completed {
		f.record.stages = append(f.record.stages, f.cost)
		f.reached.Complete(f.current().Command())
		f.stage++
		f.next()
		return
	}
	f.fail(a)
}

// fail repeats an idempotent stage whose target crashed, or ends the request. The stand-ins
// fail in no other way.
func (f *flow) fail(a *attempt) {
	switch {
	case len(f.live) > 0: // the hedge still runs
	case f.current().Command():
		f.end(outcome.Unknown, reason.Crashed)
	case f.cost.attempts >= maxAttempts:
		f.end(outcome.Failed, reason.Crashed)
	default:
		f.avoid = append(f.avoid, a.target.name)
		f.run.retries[reason.RetryCrashed]++
		f.offer()
	}
}

// expire ends a request whose deadline has passed.
func (f *flow) expire() {
	if f.over {
		return
	}
	sent := slices.ContainsFunc(f.live, func(a *attempt) bool { return a.sent })
	f.cancelAll(schedule.Silent)
	switch {
	case !sent:
		f.refuse(reason.Deadline)
	case f.current().Command():
		f.end(outcome.Unknown, reason.Silent)
	default:
		f.end(outcome.Failed, reason.Silent)
	}
}

// cancelAll withdraws all calls of the current stage.
func (f *flow) cancelAll(end schedule.End) {
	live := f.live
	f.live = nil
	for _, a := range live {
		if !a.sent {
			delete(f.host.attempts, a.id)
			f.host.pools[a.pool].Cancel(f.run.clock.now, a.id)
			f.cost.wait += f.run.clock.now - a.since
			continue
		}
		f.cost.elapsed += f.run.clock.now - a.since
		hop := f.run.trace.Network().Hop(f.host.zone, a.target.zone)
		f.run.clock.after(hop, func() { a.target.cancel(a) })
		f.host.finish(a, end)
	}
}

// refuse ends a request before the write of the current stage.
func (f *flow) refuse(why reason.Reason) {
	if f.over || len(f.live) > 0 {
		return
	}
	f.end(f.reached.Unwritten(why.Rule().Outcome()), why)
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
	f.record.elapsed = f.run.clock.now + f.run.trace.Network().Client() - f.request.At()
	f.run.open--
}
