package runner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/core/suspect"
	"sassafrasward/io/poolsched"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// cancelTimeout bounds the request that cancels an attempt on its target.
const cancelTimeout = time.Second

// errUnresponsive is the cancellation cause of an attempt whose target did not respond in time.
var errUnresponsive = errors.New("no sign of life from the target in time")

// attempt is one try of a stage: a call and at most one hedge. Its fields do not change once the
// call is sent.
type attempt struct {
	stage     config.Stage
	call      schedule.Call
	scheduler *poolsched.Scheduler
	last      bool
	// newConn requests a new connection.
	newConn bool
	// retry is true for all attempts of a stage but the first.
	retry bool
}

// callResult is the result of one call of an attempt.
type callResult struct {
	reply  target.Reply
	status schedule.CallStatus
	target string
	detail string
	// progress is how far the answer had come when the call ended.
	progress suspect.Progress
}

// hedgeStart is the scheduler's decision to hedge a call on another target.
type hedgeStart struct {
	id     schedule.ID
	target string
}

// callHandler implements poolsched.CallHandler for one call of an attempt.
type callHandler struct {
	hedges chan hedgeStart
	cancel context.CancelFunc
}

// Hedge queues the start of the hedge. It does not block because an attempt has at most one.
func (h callHandler) Hedge(id schedule.ID, target string) { h.hedges <- hedgeStart{id, target} }

// Cancel ends the call.
func (h callHandler) Cancel() { h.cancel() }

// runHedged runs an idempotent attempt and its hedge and returns the first answer. The other call
// continues until the scheduler cancels it, and reports its own result.
func (r *Runner) runHedged(ctx context.Context, state *requestState, a *attempt, stats *wire.StageStats) (result callResult) {
	hedges, results := make(chan hedgeStart, 1), make(chan callResult, 2)
	launch := func(ctx context.Context, id schedule.ID, name string, number int) {
		run := r.newRun(state, a, number)
		go func() {
			res := r.runOnce(ctx, state, a, id, name, run, hedges)
			results <- res
			if res.status == schedule.Cancelled || res.status == schedule.TimedOut {
				r.cancelOnTarget(ctx, name, run)
			}
		}()
	}
	launch(ctx, a.call.ID(), stats.Target, stats.Attempts)
	for pending := 1; pending > 0; {
		select {
		case hedge := <-hedges:
			pending++
			stats.Attempts++
			r.metrics.CountRetry(reason.RetryHedge)
			// A hedge that probes a slow target outlives the request.
			launch(context.WithoutCancel(ctx), hedge.id, hedge.target, stats.Attempts)
		case result = <-results:
			pending--
			if result.status == schedule.Completed || result.status == schedule.Rejected || ctx.Err() != nil {
				return result
			}
		}
	}
	return result
}

// runOnce makes one call of an attempt and reports its result to the scheduler.
func (r *Runner) runOnce(ctx context.Context, state *requestState, a *attempt, id schedule.ID, name string, run wire.Run, hedges chan hedgeStart) (result callResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := a.scheduler.AttemptTimeout(a.call)
	timer := time.AfterFunc(timeout, func() { cancel(errUnresponsive) })
	defer timer.Stop()
	result.target = name
	if !a.scheduler.Register(id, callHandler{hedges, func() { cancel(nil) }}) {
		result.status = schedule.Cancelled
		return result
	}
	tokens, firstToken := 0, time.Duration(0)
	var onToken func(wire.Token) error
	if run.Stream {
		onToken = func(t wire.Token) error {
			timer.Reset(timeout)
			if tokens++; tokens == 1 {
				firstToken = r.clock()
			}
			return state.forwardToken(t)
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
	result.progress = suspect.NewProgress(true, tokens, r.clock()-firstToken)
	result.status = r.checkCrash(ctx, name, result.status)
	result.detail = detail(reply, err)
	r.reportResult(a, id, result)
	return result
}

// checkCrash distinguishes a crashed target from a broken connection: if the target of a call that
// counts as crashed still answers, the status becomes ConnReset.
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

func (r *Runner) reportResult(a *attempt, id schedule.ID, result callResult) {
	load := result.reply.Load()
	a.scheduler.Finish(schedule.NewResult(id, result.status,
		schedule.WithLoad(schedule.NewLoad(load.Running, load.Queued, load.Slots)),
		schedule.WithProgress(result.progress),
		schedule.WithActualSize(float64(result.reply.Tokens()))))
}

// cancelOnTarget tells the target to end a run. A target that does not receive the message ends
// the run at its deadline.
func (r *Runner) cancelOnTarget(ctx context.Context, name string, run wire.Run) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := r.client.Cancel(ctx, r.pools.Address(name), run); err != nil {
		r.metrics.Counter("cancel.failed").Inc(1)
	}
}

// runCommand makes the only call of a stage that may not be repeated.
func (r *Runner) runCommand(ctx context.Context, state *requestState, a *attempt, name string) (result callResult) {
	run := r.newRun(state, a, 1)
	run.Key = state.request.body.Key
	reply, err := r.client.Command(ctx, r.pools.Address(name), run, state.deadline)
	result = callResult{reply: reply, status: r.checkCrash(ctx, name, reply.Status()), target: name, detail: detail(reply, err), progress: suspect.Begun}
	r.reportResult(a, a.call.ID(), result)
	return result
}

// newRun returns the message to the target. When a stream is resumed on another target, tokens
// that the caller already has are not requested again.
func (r *Runner) newRun(state *requestState, a *attempt, number int) wire.Run {
	body := state.request.body
	run := wire.Run{
		Request: state.request.id, Stage: a.stage.Name(), Attempt: number,
		Deadline: (state.deadline - r.clock()).Milliseconds(), Input: json.RawMessage(state.output),
		Prefix: body.Prefix, Size: body.Size,
	}
	if !state.request.pipeline.Long() {
		run.Priority = 1
	}
	if a.last && state.request.onToken != nil && !a.stage.Command() {
		run.Stream = true
		run.FirstToken = state.streamed
	}
	return run
}
