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

// maxAttempts bounds the calls of one idempotent stage of one request.
const maxStageAttempts = 4

// Gates finds the gate of a pool and the address of a target.
type Pools interface {
	// Gate returns the gate of the pool, or nil.
	Scheduler(pool string) *poolsched.Scheduler
	// Address returns the address of the target, or the empty string.
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

// Job is one request to run.
type Job struct {
	id       string
	pipeline config.Pipeline
	request  wire.Request
	// each takes the tokens of the last stage; nil if the caller does not stream.
	onToken func(wire.Token) error
}

// NewJob returns a job of a checked request.
func NewJob(id string, p config.Pipeline, request wire.Request, onToken func(wire.Token) error) Job {
	return Job{id: id, pipeline: p, request: request, onToken: onToken}
}

// ID returns the identity of the request.
func (j Job) ID() string { return j.id }

// Pipeline returns the pipeline that the job runs.
func (j Job) Pipeline() config.Pipeline { return j.pipeline }

// Request returns the request of the caller.
func (j Job) Request() wire.Request { return j.request }

// Limit returns the time that the job may take.
func (j Job) Timeout() time.Duration {
	if j.request.Deadline == 0 {
		return j.pipeline.Deadline()
	}
	return time.Duration(j.request.Deadline) * time.Millisecond
}

// Within returns the job with the given time limit, rounded up to a millisecond.
func (j Job) WithTimeout(limit time.Duration) Job {
	j.request.Deadline = max((limit + time.Millisecond - 1).Milliseconds(), 1)
	return j
}

// Each returns the function that takes the tokens of the last stage; nil if the caller does
// not stream.
func (j Job) TokenFunc() func(wire.Token) error { return j.onToken }

// Streaming returns the job with each taking the tokens of its last stage.
func (j Job) WithTokenFunc(onToken func(wire.Token) error) Job {
	j.onToken = onToken
	return j
}

// progress is the state of one running request.
type requestState struct {
	job      Job
	deadline time.Duration
	answer   wire.Answer
	// output of the last completed stage; the input of the next one.
	output json.RawMessage
	// streamed is the number of tokens passed to the caller.
	streamed int
	// reached decides the outcome of a request that ends early.
	progress outcome.Progress
}

// Run runs the job and returns the whole answer or the truthful refusal.
func (r *Runner) Run(ctx context.Context, job Job) wire.Answer {
	limit := job.Timeout()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p := &requestState{
		job: job, deadline: r.clock() + limit, output: job.request.Input,
		progress: outcome.NewProgress(job.pipeline.Command()),
	}
	p.answer = wire.Answer{Request: job.id, Outcome: outcome.Done.String()}
	for i := range job.pipeline.Stages() {
		if why, result := r.runStage(ctx, p, i); why != reason.None {
			return p.refuse(why, result)
		}
	}
	p.answer.Output = p.output
	return p.answer
}

func (p *requestState) refuse(why reason.Reason, result outcome.Outcome) wire.Answer {
	p.answer.Outcome = result.String()
	p.answer.Reason = why.String()
	return p.answer
}

// stage runs one stage, repeated if it is idempotent. The outcome holds if the reason is
// not None.
func (r *Runner) runStage(ctx context.Context, p *requestState, index int) (why reason.Reason, result outcome.Outcome) {
	stage := p.job.pipeline.Stages()[index]
	report := wire.Stage{Stage: stage.Name()}
	defer func() { p.answer.Stages = append(p.answer.Stages, report) }()
	attempts := maxStageAttempts
	if stage.Command() {
		attempts = 1
	}
	last := index == len(p.job.pipeline.Stages())-1
	var avoid []string
	newConn := false
	for report.Attempts < attempts {
		c := r.newCall(p, index, avoid)
		result, refusal := r.runAttempt(ctx, p, &attempt{stage: stage, call: c, last: last, newConn: newConn, retry: report.Attempts > 0}, &report)
		if refusal != reason.None {
			return refusal, p.progress.OutcomeWithoutWrite(refusal.Entry().Outcome())
		}
		if result.status == schedule.Completed {
			p.output = result.reply.Output()
			p.progress.MarkCompleted(stage.Command())
			return reason.None, outcome.Done
		}
		why = failureReason(result.status)
		if result.detail != "" {
			p.answer.Detail = result.detail
		}
		if stage.Command() {
			return p.commandOutcome(result.reply)
		}
		if result.status == schedule.Rejected || ctx.Err() != nil {
			return why, p.progress.OutcomeWithoutWrite(outcome.Failed)
		}
		avoid = append(avoid, result.target)
		// What silenced or broke one connection may have cut off the idle ones as well.
		newConn = result.status != schedule.Busy
		r.metrics.Retry(retryReason(result.status))
	}
	return why, p.progress.OutcomeWithoutWrite(outcome.Failed)
}

// attempt makes one call of a stage, with its hedge if the scheduler gives one.
func (r *Runner) runAttempt(ctx context.Context, p *requestState, a *attempt, report *wire.Stage) (result attemptResult, why reason.Reason) {
	report.Attempts++
	a.scheduler = r.pools.Scheduler(a.stage.Pool())
	if a.scheduler == nil {
		return result, reason.NoTargets
	}
	acquire := a.scheduler.Acquire
	if a.retry {
		acquire = a.scheduler.Retry
	}
	began := r.clock()
	report.Target, why = acquire(ctx, a.call)
	report.Wait += milliseconds(r.clock() - began)
	if why != reason.None {
		return result, why
	}
	p.progress.MarkCalled()
	began = r.clock()
	if a.stage.Command() {
		result = r.runCommand(ctx, p, a, report.Target)
	} else {
		result = r.runHedged(ctx, p, a, report)
	}
	report.Target = result.target
	report.Elapsed += milliseconds(r.clock() - began)
	return result, reason.None
}

func (r *Runner) newCall(p *requestState, index int, avoid []string) schedule.Call {
	request, stage := p.job.request, p.job.pipeline.Stages()[index]
	options := []schedule.CallOption{
		schedule.WithPipeline(p.job.pipeline.Name()),
		schedule.WithSize(float64(max(request.Size, 1))),
		schedule.WithLong(p.job.pipeline.Long()),
		schedule.WithPrefix(hashPrefix(request.Prefix)),
	}
	downstream := options[:len(options):len(options)]
	downstreamTime := time.Duration(0)
	for _, next := range p.job.pipeline.Stages()[index+1:] {
		if g := r.pools.Scheduler(next.Pool()); g != nil {
			downstreamTime += g.ExpectedTime(schedule.NewCall(0, request.Workspace, p.deadline, append(downstream, schedule.WithStage(next.Name()))...))
		}
	}
	last := index == len(p.job.pipeline.Stages())-1
	return schedule.NewCall(schedule.ID(r.lastCallID.Add(1)), request.Workspace, p.deadline, append(options,
		schedule.WithStage(stage.Name()),
		schedule.WithDownstreamTime(downstreamTime),
		schedule.WithFingerprint(xxhash.Sum64String(p.job.pipeline.Name()+"\x00"+stage.Name()+"\x00"+string(request.Input))),
		schedule.WithIdempotent(!stage.Command()),
		schedule.WithStream(last && p.job.onToken != nil),
		schedule.WithAvoid(avoid...))...)
}

// pass hands a token to the caller in order and once.
func (p *requestState) forwardToken(t wire.Token) error {
	if t.Index != p.streamed {
		return nil
	}
	p.streamed++
	return p.job.onToken(t)
}

func hashPrefix(prefix string) uint64 {
	if prefix == "" {
		return 0
	}
	return xxhash.Sum64String(prefix)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
