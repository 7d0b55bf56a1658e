package runner

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/config"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/metric"
	"sassafrasward/io/poolsched"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// maxStageAttempts is the number of calls, hedges included, after which an idempotent stage of a
// request is not retried.
const maxStageAttempts = 4

// Pools looks up the scheduler of a pool and the address of a target.
type Pools interface {
	// Scheduler returns the scheduler of the pool, or nil if there is no such pool.
	Scheduler(pool string) *poolsched.Scheduler
	// Address returns the address of the target, or the empty string if it is unknown.
	Address(target string) string
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	clock      func() time.Duration
	pools      Pools
	client     *target.Client
	metrics    *metric.Metrics
	lastCallID atomic.Uint64
}

// New returns a runner.
func New(clock func() time.Duration, pools Pools, client *target.Client, metrics *metric.Metrics) *Runner {
	return &Runner{clock: clock, pools: pools, client: client, metrics: metrics}
}

// Request is a validated request of a caller with its ID and its pipeline.
type Request struct {
	id       string
	pipeline config.Pipeline
	body     wire.Request
	// onToken takes the tokens of the last stage; it is nil if the caller does not stream.
	onToken func(wire.Token) error
}

// NewRequest returns a request with the validated body. onToken takes the tokens of the last
// stage; it is nil if the caller does not stream.
func NewRequest(id string, p config.Pipeline, body wire.Request, onToken func(wire.Token) error) Request {
	return Request{id: id, pipeline: p, body: body, onToken: onToken}
}

// ID returns the ID of the request.
func (r Request) ID() string { return r.id }

// Pipeline returns the pipeline that the request runs.
func (r Request) Pipeline() config.Pipeline { return r.pipeline }

// Body returns the body of the caller's request.
func (r Request) Body() wire.Request { return r.body }

// Timeout returns the time that the request may take.
func (r Request) Timeout() time.Duration {
	if r.body.Deadline == 0 {
		return r.pipeline.Deadline()
	}
	return time.Duration(r.body.Deadline) * time.Millisecond
}

// WithTimeout returns the request with the given timeout, rounded up to a millisecond.
func (r Request) WithTimeout(timeout time.Duration) Request {
	r.body.Deadline = max((timeout + time.Millisecond - 1).Milliseconds(), 1)
	return r
}

// TokenFunc returns the function that takes the tokens of the last stage, or nil if the caller
// does not stream.
func (r Request) TokenFunc() func(wire.Token) error { return r.onToken }

// WithTokenFunc returns the request with onToken taking the tokens of its last stage.
func (r Request) WithTokenFunc(onToken func(wire.Token) error) Request {
	r.onToken = onToken
	return r
}

// requestState is the state of one running request.
type requestState struct {
	request  Request
	deadline time.Duration
	answer   wire.Answer
	// output is the output of the last completed stage and the input of the next one.
	output json.RawMessage
	// streamed is the number of tokens passed to the caller.
	streamed int
	// progress decides the outcome of a request that ends early.
	progress outcome.Progress
}

// Run runs the request and returns the complete answer, or one with the outcome and the reason if
// the request was refused or failed.
func (r *Runner) Run(ctx context.Context, request Request) wire.Answer {
	timeout := request.Timeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state := &requestState{
		request: request, deadline: r.clock() + timeout, output: request.body.Input,
		progress: outcome.NewProgress(request.pipeline.Command()),
	}
	state.answer = wire.Answer{Request: request.id, Outcome: outcome.Done.String()}
	for i := range request.pipeline.Stages() {
		if why, final := r.runStage(ctx, state, i); why != reason.None {
			return state.refuse(why, final)
		}
	}
	state.answer.Output = state.output
	return state.answer
}

func (state *requestState) refuse(why reason.Reason, final outcome.Outcome) wire.Answer {
	state.answer.Outcome = final.String()
	state.answer.Reason = why.String()
	return state.answer
}

// runStage runs one stage and retries it if it is idempotent. The outcome is that of the request
// if the reason is not None.
func (r *Runner) runStage(ctx context.Context, state *requestState, index int) (why reason.Reason, final outcome.Outcome) {
	stage := state.request.pipeline.Stages()[index]
	stats := wire.StageStats{Stage: stage.Name()}
	defer func() { state.answer.Stages = append(state.answer.Stages, stats) }()
	attempts := maxStageAttempts
	if stage.Command() {
		attempts = 1
	}
	last := index == len(state.request.pipeline.Stages())-1
	var avoid []string
	newConn := false
	for stats.Attempts < attempts {
		c := r.newCall(state, index, avoid)
		result, refusal := r.runAttempt(ctx, state, &attempt{stage: stage, call: c, last: last, newConn: newConn, retry: stats.Attempts > 0}, &stats)
		if refusal != reason.None {
			return refusal, state.progress.OutcomeWithoutWrite(refusal.Entry().Outcome())
		}
		if result.status == schedule.Completed {
			state.output, state.answer.Detail = result.reply.Output(), ""
			state.progress.MarkCompleted(stage.Command())
			return reason.None, outcome.Done
		}
		why = failureReason(result.status)
		if result.detail != "" {
			state.answer.Detail = result.detail
		}
		if stage.Command() {
			return state.commandOutcome(result.reply)
		}
		if result.status == schedule.Rejected || ctx.Err() != nil {
			return why, state.progress.OutcomeWithoutWrite(outcome.Failed)
		}
		avoid = append(avoid, result.target)
		// A network fault that broke this connection may have broken the idle ones as well.
		newConn = result.status != schedule.Busy
		r.metrics.CountRetry(retryReason(result.status))
	}
	return why, state.progress.OutcomeWithoutWrite(outcome.Failed)
}

// runAttempt makes one attempt of a stage: a call, and a hedge if the scheduler starts one.
func (r *Runner) runAttempt(ctx context.Context, state *requestState, a *attempt, stats *wire.StageStats) (result callResult, why reason.Reason) {
	stats.Attempts++
	a.scheduler = r.pools.Scheduler(a.stage.Pool())
	if a.scheduler == nil {
		return result, reason.NoTargets
	}
	acquire := a.scheduler.Acquire
	if a.retry {
		acquire = a.scheduler.Retry
	}
	began := r.clock()
	stats.Target, why = acquire(ctx, a.call)
	stats.Wait += milliseconds(r.clock() - began)
	if why != reason.None {
		return result, why
	}
	state.progress.MarkCalled()
	began = r.clock()
	if a.stage.Command() {
		result = r.runCommand(ctx, state, a, stats.Target)
	} else {
		result = r.runHedged(ctx, state, a, stats)
	}
	stats.Target = result.target
	stats.Elapsed += milliseconds(r.clock() - began)
	return result, reason.None
}

func (r *Runner) newCall(state *requestState, index int, avoid []string) schedule.Call {
	body, stage := state.request.body, state.request.pipeline.Stages()[index]
	options := []schedule.CallOption{
		schedule.WithPipeline(state.request.pipeline.Name()),
		schedule.WithSize(float64(max(body.Size, 1))),
		schedule.WithLong(state.request.pipeline.Long()),
		schedule.WithPrefix(hashPrefix(body.Prefix)),
	}
	downstream := options[:len(options):len(options)]
	downstreamTime := time.Duration(0)
	for _, next := range state.request.pipeline.Stages()[index+1:] {
		if scheduler := r.pools.Scheduler(next.Pool()); scheduler != nil {
			downstreamTime += scheduler.ExpectedTime(schedule.NewCall(0, body.Workspace, state.deadline, append(downstream, schedule.WithStage(next.Name()))...))
		}
	}
	last := index == len(state.request.pipeline.Stages())-1
	return schedule.NewCall(schedule.ID(r.lastCallID.Add(1)), body.Workspace, state.deadline, append(options,
		schedule.WithStage(stage.Name()),
		schedule.WithDownstreamTime(downstreamTime),
		schedule.WithFingerprint(xxhash.Sum64String(state.request.pipeline.Name()+"\x00"+stage.Name()+"\x00"+string(body.Input))),
		schedule.WithIdempotent(!stage.Command()),
		schedule.WithStream(last && state.request.onToken != nil),
		schedule.WithAvoid(avoid...))...)
}

// forwardToken passes each token to the caller once and in order, also if the stream is resumed
// or hedged.
func (state *requestState) forwardToken(t wire.Token) error {
	if t.Index != state.streamed {
		return nil
	}
	state.streamed++
	return state.request.onToken(t)
}

func hashPrefix(prefix string) uint64 {
	if prefix == "" {
		return 0
	}
	return xxhash.Sum64String(prefix)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
