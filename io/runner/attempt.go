package runner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/poolsched"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// cancelTimeout bounds the message that ends an attempt on its target.
const cancelTimeout = time.Second

// errSilent is the cause of the end of an attempt that showed no sign of life in time.
var errUnresponsive = errors.New("no sign of life from the target in time")

// attempt is one call of a stage. Its fields do not change once it is sent.
type attempt struct {
	stage     config.Stage
	call      schedule.Call
	scheduler *poolsched.Scheduler
	last      bool
	// fresh asks for a new connection.
	newConn bool
	// retry is true for all attempts of a stage but the first.
	retry bool
}

// ended is the end of one run of an attempt.
type attemptResult struct {
	reply  target.Reply
	status schedule.CallStatus
	target string
	detail string
}

// start asks for the hedge of a run.
type hedgeStart struct {
	id     schedule.ID
	target string
}

// racer is one run of an attempt as its gate sees it.
type callHandle struct {
	hedges chan hedgeStart
	cancel context.CancelFunc
}

// Hedge passes the start on; there is at most one per attempt.
func (r callHandle) Hedge(id schedule.ID, target string) { r.hedges <- hedgeStart{id, target} }

// Cancel ends the run.
func (r callHandle) Cancel() { r.cancel() }

// race runs an idempotent attempt and its hedge. The first answer wins; the loser goes on
// until the scheduler cancels it, and reports its own end.
func (r *Runner) runHedged(ctx context.Context, p *requestState, a *attempt, report *wire.Stage) (result attemptResult) {
	hedges, results := make(chan hedgeStart, 1), make(chan attemptResult, 2)
	launch := func(ctx context.Context, id schedule.ID, name string, number int) {
		run := r.newRun(p, a, number)
		go func() {
			result := r.runOnce(ctx, p, a, id, name, run, hedges)
			results <- result
			if result.status == schedule.Cancelled || result.status == schedule.TimedOut {
				r.cancelOnTarget(ctx, name, run)
			}
		}()
	}
	launch(ctx, a.call.ID(), report.Target, report.Attempts)
	for pending := 1; pending > 0; {
		select {
		case hedge := <-hedges:
			pending++
			report.Attempts++
			r.metrics.Retry(reason.RetryHedge)
			// A hedge that probes a slow target outlives the request.
			launch(context.WithoutCancel(ctx), hedge.id, hedge.target, report.Attempts)
		case result = <-results:
			pending--
			if result.status == schedule.Completed || result.status == schedule.Rejected || ctx.Err() != nil {
				return result
			}
		}
	}
	return result
}

// run makes one run of an attempt and reports its end to the gate.
func (r *Runner) runOnce(ctx context.Context, p *requestState, a *attempt, id schedule.ID, name string, run wire.Run, hedges chan hedgeStart) (result attemptResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := a.scheduler.AttemptTimeout(a.call)
	timer := time.AfterFunc(limit, func() { cancel(errUnresponsive) })
	defer timer.Stop()
	result.target = name
	if !a.scheduler.Register(id, callHandle{hedges, func() { cancel(nil) }}) {
		result.status = schedule.Cancelled
		return result
	}
	var onToken func(wire.Token) error
	if run.Stream {
		onToken = func(t wire.Token) error {
			timer.Reset(limit)
			return p.forwardToken(t)
		}
	}
	client := r.client
	if a.newConn {
		client = client.WithoutKeepAlives()
	}
	reply, err := client.Run(ctx, r.pools.Address(name), run, onToken)
	result.reply, result.status = reply, reply.Status()
	if errors.Is(context.Cause(ctx), errUnresponsive) && result.status == schedule.Cancelled {
		result.status = schedule.TimedOut
	}
	result.status = r.checkCrash(ctx, name, result.status)
	result.detail = detail(reply, err)
	r.reportResult(a, id, result)
	return result
}

// examine tells a target that went down from one whose connection broke.
func (r *Runner) checkCrash(ctx context.Context, name string, status schedule.CallStatus) schedule.CallStatus {
	if status == schedule.Crashed && r.client.Alive(ctx, r.pools.Address(name)) {
		return schedule.ConnReset
	}
	return status
}

func detail(reply target.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return reply.Detail()
}

func (r *Runner) reportResult(a *attempt, id schedule.ID, result attemptResult) {
	load := result.reply.Load()
	a.scheduler.Finish(schedule.NewResult(id, result.status,
		schedule.WithLoad(schedule.NewLoad(load.Running, load.Queued, load.Slots)),
		schedule.WithActualSize(float64(result.reply.Tokens()))))
}

// withdraw tells the target to end a run. A target that does not hear it ends the run at
// its deadline.
func (r *Runner) cancelOnTarget(ctx context.Context, name string, run wire.Run) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := r.client.Cancel(ctx, r.pools.Address(name), run); err != nil {
		r.metrics.Counter("cancel.failed").Inc(1)
	}
}

// command makes the one call of a stage that may not be repeated.
func (r *Runner) runCommand(ctx context.Context, p *requestState, a *attempt, name string) (result attemptResult) {
	run := r.newRun(p, a, 1)
	run.Key = p.job.request.Key
	reply, err := r.client.Command(ctx, r.pools.Address(name), run, p.deadline)
	result = attemptResult{reply: reply, status: r.checkCrash(ctx, name, reply.Status()), target: name, detail: detail(reply, err)}
	r.reportResult(a, a.call.ID(), result)
	return result
}

// compose returns the message to the target. Tokens that the caller already has are not
// asked for again when a stream is resumed on another target.
func (r *Runner) newRun(p *requestState, a *attempt, number int) wire.Run {
	request := p.job.request
	run := wire.Run{
		Request: p.job.id, Stage: a.stage.Name(), Attempt: number,
		Deadline: (p.deadline - r.clock()).Milliseconds(), Input: json.RawMessage(p.output),
		Prefix: request.Prefix, Size: request.Size,
	}
	if !p.job.pipeline.Long() {
		run.Priority = 1
	}
	if a.last && p.job.onToken != nil && !a.stage.Command() {
		run.Stream = true
		run.From = p.streamed
	}
	return run
}
