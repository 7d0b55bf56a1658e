package runner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/gate"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// cancelTimeout bounds the message that ends an attempt on its target.
const cancelTimeout = time.Second

// errSilent is the cause of the end of an attempt that showed no sign of life in time.
var errSilent = errors.New("no sign of life from the target in time")

// attempt is one call of a stage. Its fields do not change once it is sent.
type attempt struct {
	stage config.Stage
	call  schedule.Call
	gate  *gate.Gate
	last  bool
	// fresh asks for a new connection.
	fresh bool
	// retry is true for all attempts of a stage but the first.
	retry bool
}

// ended is the end of one run of an attempt.
type ended struct {
	reply  target.Reply
	end    schedule.CallStatus
	target string
	detail string
}

// start asks for the hedge of a run.
type start struct {
	id     schedule.ID
	target string
}

// racer is one run of an attempt as its gate sees it.
type racer struct {
	starts chan start
	cancel context.CancelFunc
}

// Hedge passes the start on; there is at most one per attempt.
func (r racer) Hedge(id schedule.ID, target string) { r.starts <- start{id, target} }

// Cancel ends the run.
func (r racer) Cancel() { r.cancel() }

// race runs an idempotent attempt and its hedge. The first answer wins; the loser goes on
// until the scheduler cancels it, and reports its own end.
func (r *Runner) race(ctx context.Context, p *progress, a *attempt, cost *wire.StageStats) (won ended) {
	starts, ends := make(chan start, 1), make(chan ended, 2)
	launch := func(ctx context.Context, id schedule.ID, name string, number int) {
		run := r.compose(p, a, number)
		go func() {
			e := r.run(ctx, p, a, id, name, run, starts)
			ends <- e
			if e.end == schedule.Cancelled || e.end == schedule.TimedOut {
				r.withdraw(ctx, name, run)
			}
		}()
	}
	launch(ctx, a.call.ID(), cost.Target, cost.Attempts)
	for open := 1; open > 0; {
		select {
		case s := <-starts:
			open++
			cost.Attempts++
			r.metrics.CountRetry(reason.RetryHedge)
			// A hedge that probes a slow target outlives the request.
			launch(context.WithoutCancel(ctx), s.id, s.target, cost.Attempts)
		case won = <-ends:
			open--
			if won.end == schedule.Completed || won.end == schedule.Rejected || ctx.Err() != nil {
				return won
			}
		}
	}
	return won
}

// run makes one run of an attempt and reports its end to the gate.
func (r *Runner) run(ctx context.Context, p *progress, a *attempt, id schedule.ID, name string, run wire.Run, starts chan start) (e ended) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := a.gate.AttemptTimeout(a.call)
	timer := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer timer.Stop()
	e.target = name
	if !a.gate.Watch(id, racer{starts, func() { cancel(nil) }}) {
		e.end = schedule.Cancelled
		return e
	}
	var each func(wire.Token) error
	if run.Stream {
		each = func(t wire.Token) error {
			timer.Reset(limit)
			return p.pass(t)
		}
	}
	client := r.client
	if a.fresh {
		client = client.Fresh()
	}
	reply, err := client.Run(ctx, r.gates.Address(name), run, each)
	e.reply, e.end = reply, reply.End()
	if errors.Is(context.Cause(ctx), errSilent) && e.end == schedule.Cancelled {
		e.end = schedule.TimedOut
	}
	e.end = r.examine(ctx, name, e.end)
	e.detail = detail(reply, err)
	r.finish(a, id, e)
	return e
}

// examine tells a target that went down from one whose connection broke.
func (r *Runner) examine(ctx context.Context, name string, end schedule.CallStatus) schedule.CallStatus {
	if end == schedule.Crashed && r.client.Alive(ctx, r.gates.Address(name)) {
		return schedule.ConnReset
	}
	return end
}

func detail(reply target.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return reply.Detail()
}

func (r *Runner) finish(a *attempt, id schedule.ID, e ended) {
	load := e.reply.Load()
	a.gate.Finish(schedule.NewResult(id, e.end,
		schedule.WithLoad(schedule.NewLoad(load.Running, load.Queued, load.Slots)),
		schedule.WithActualSize(float64(e.reply.Tokens()))))
}

// withdraw tells the target to end a run. A target that does not hear it ends the run at
// its deadline.
func (r *Runner) withdraw(ctx context.Context, name string, run wire.Run) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := r.client.Cancel(ctx, r.gates.Address(name), run); err != nil {
		r.metrics.Counter("cancel.failed").Inc(1)
	}
}

// command makes the one call of a stage that may not be repeated.
func (r *Runner) command(ctx context.Context, p *progress, a *attempt, name string) (e ended) {
	run := r.compose(p, a, 1)
	run.Key = p.job.request.Key
	reply, err := r.client.Command(ctx, r.gates.Address(name), run, p.deadline)
	e = ended{reply: reply, end: r.examine(ctx, name, reply.End()), target: name, detail: detail(reply, err)}
	r.finish(a, a.call.ID(), e)
	return e
}

// compose returns the message to the target. Tokens that the caller already has are not
// asked for again when a stream is resumed on another target.
func (r *Runner) compose(p *progress, a *attempt, number int) wire.Run {
	request := p.job.request
	run := wire.Run{
		Request: p.job.id, Stage: a.stage.Name(), Attempt: number,
		Deadline: (p.deadline - r.clock()).Milliseconds(), Input: json.RawMessage(p.output),
		Prefix: request.Prefix, Size: request.Size,
	}
	if !p.job.pipeline.Long() {
		run.Priority = 1
	}
	if a.last && p.job.each != nil && !a.stage.Command() {
		run.Stream = true
		run.FirstToken = p.streamed
	}
	return run
}
