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
	"sassafrasward/io/gate"
	"sassafrasward/io/metric"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// maxAttempts bounds the calls of one idempotent stage of one request.
const maxAttempts = 4

// Gates finds the gate of a pool and the address of a target.
type Gates interface {
	// Gate returns the gate of the pool, or nil.
	Gate(pool string) *gate.Gate
	// Address returns the address of the target, or the empty string.
	Address(target string) string
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	clock   func() time.Duration
	gates   Gates
	client  *target.Client
	metrics *metric.Metrics
	last    atomic.Uint64
}

// New returns a runner.
func New(clock func() time.Duration, gates Gates, client *target.Client, metrics *metric.Metrics) *Runner {
	return &Runner{clock: clock, gates: gates, client: client, metrics: metrics}
}

// Job is one request to run.
type Job struct {
	id       string
	pipeline config.Pipeline
	request  wire.Request
	// each takes the tokens of the last stage; nil if the caller does not stream.
	each func(wire.Token) error
}

// NewJob returns a job of a checked request.
func NewJob(id string, p config.Pipeline, request wire.Request, each func(wire.Token) error) Job {
	return Job{id: id, pipeline: p, request: request, each: each}
}

// ID returns the identity of the request.
func (j Job) ID() string { return j.id }

// Pipeline returns the pipeline that the job runs.
func (j Job) Pipeline() config.Pipeline { return j.pipeline }

// Request returns the request of the caller.
func (j Job) Request() wire.Request { return j.request }

// Limit returns the time that the job may take.
func (j Job) Limit() time.Duration {
	if j.request.Deadline == 0 {
		return j.pipeline.Deadline()
	}
	return time.Duration(j.request.Deadline) * time.Millisecond
}

// Within returns the job with the given time limit, rounded up to a millisecond.
func (j Job) Within(limit time.Duration) Job {
	j.request.Deadline = max((limit + time.Millisecond - 1).Milliseconds(), 1)
	return j
}

// Each returns the function that takes the tokens of the last stage; nil if the caller does
// not stream.
func (j Job) Each() func(wire.Token) error { return j.each }

// Streaming returns the job with each taking the tokens of its last stage.
func (j Job) Streaming(each func(wire.Token) error) Job {
	j.each = each
	return j
}

// progress is the state of one running request.
type progress struct {
	job      Job
	deadline time.Duration
	answer   wire.Answer
	// output of the last completed stage; the input of the next one.
	output json.RawMessage
	// streamed is the number of tokens passed to the caller.
	streamed int
	// reached decides the outcome of a request that ends early.
	reached outcome.Progress
}

// Run runs the job and returns the whole answer or the truthful refusal.
func (r *Runner) Run(ctx context.Context, job Job) wire.Answer {
	limit := job.Limit()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p := &progress{
		job: job, deadline: r.clock() + limit, output: job.request.Input,
		reached: outcome.NewProgress(job.pipeline.Command()),
	}
	p.answer = wire.Answer{Request: job.id, Outcome: outcome.Done.String()}
	for i := range job.pipeline.Stages() {
		if why, end := r.stage(ctx, p, i); why != reason.None {
			return p.refuse(why, end)
		}
	}
	p.answer.Output = p.output
	return p.answer
}

func (p *progress) refuse(why reason.Reason, end outcome.Outcome) wire.Answer {
	p.answer.Outcome = end.String()
	p.answer.Reason = why.String()
	return p.answer
}

// stage runs one stage, repeated if it is idempotent. The outcome holds if the reason is
// not None.
func (r *Runner) stage(ctx context.Context, p *progress, index int) (why reason.Reason, end outcome.Outcome) {
	stage := p.job.pipeline.Stages()[index]
	cost := wire.StageStats{Stage: stage.Name()}
	defer func() { p.answer.Stages = append(p.answer.Stages, cost) }()
	attempts := maxAttempts
	if stage.Command() {
		attempts = 1
	}
	last := index == len(p.job.pipeline.Stages())-1
	var avoid []string
	fresh := false
	for cost.Attempts < attempts {
		c := r.call(p, index, avoid)
		ended, refusal := r.attempt(ctx, p, &attempt{stage: stage, call: c, last: last, fresh: fresh, retry: cost.Attempts > 0}, &cost)
		if refusal != reason.None {
			return refusal, p.reached.OutcomeWithoutWrite(refusal.Entry().Outcome())
		}
		if ended.end == schedule.Completed {
			p.output = ended.reply.Output()
			p.reached.MarkCompleted(stage.Command())
			return reason.None, outcome.Done
		}
		why = cause(ended.end)
		if ended.detail != "" {
			p.answer.Detail = ended.detail
		}
		if stage.Command() {
			return p.commandEnd(ended.reply)
		}
		if ended.end == schedule.Rejected || ctx.Err() != nil {
			return why, p.reached.OutcomeWithoutWrite(outcome.Failed)
		}
		avoid = append(avoid, ended.target)
		// What silenced or broke one connection may have cut off the idle ones as well.
		fresh = ended.end != schedule.Busy
		r.metrics.CountRetry(retryReason(ended.end))
	}
	return why, p.reached.OutcomeWithoutWrite(outcome.Failed)
}

// attempt makes one call of a stage, with its hedge if the scheduler gives one.
func (r *Runner) attempt(ctx context.Context, p *progress, a *attempt, cost *wire.StageStats) (ended ended, why reason.Reason) {
	cost.Attempts++
	a.gate = r.gates.Gate(a.stage.Pool())
	if a.gate == nil {
		return ended, reason.NoTargets
	}
	acquire := a.gate.Acquire
	if a.retry {
		acquire = a.gate.Retry
	}
	began := r.clock()
	cost.Target, why = acquire(ctx, a.call)
	cost.Wait += milliseconds(r.clock() - began)
	if why != reason.None {
		return ended, why
	}
	p.reached.MarkCalled()
	began = r.clock()
	if a.stage.Command() {
		ended = r.command(ctx, p, a, cost.Target)
	} else {
		ended = r.race(ctx, p, a, cost)
	}
	cost.Target = ended.target
	cost.Elapsed += milliseconds(r.clock() - began)
	return ended, reason.None
}

func (r *Runner) call(p *progress, index int, avoid []string) schedule.Call {
	request, stage := p.job.request, p.job.pipeline.Stages()[index]
	options := []schedule.CallOption{
		schedule.WithPipeline(p.job.pipeline.Name()),
		schedule.WithSize(float64(max(request.Size, 1))),
		schedule.WithLong(p.job.pipeline.Long()),
		schedule.WithPrefix(hashPrefix(request.Prefix)),
	}
	later := options[:len(options):len(options)]
	after := time.Duration(0)
	for _, one := range p.job.pipeline.Stages()[index+1:] {
		if g := r.gates.Gate(one.Pool()); g != nil {
			after += g.Expect(schedule.NewCall(0, request.Workspace, p.deadline, append(later, schedule.WithStage(one.Name()))...))
		}
	}
	last := index == len(p.job.pipeline.Stages())-1
	return schedule.NewCall(schedule.ID(r.last.Add(1)), request.Workspace, p.deadline, append(options,
		schedule.WithStage(stage.Name()),
		schedule.WithDownstreamTime(after),
		schedule.WithFingerprint(xxhash.Sum64String(p.job.pipeline.Name()+"\x00"+stage.Name()+"\x00"+string(request.Input))),
		schedule.WithIdempotent(!stage.Command()),
		schedule.WithStream(last && p.job.each != nil),
		schedule.WithAvoid(avoid...))...)
}

// pass hands a token to the caller in order and once.
func (p *progress) pass(t wire.Token) error {
	if t.Index != p.streamed {
		return nil
	}
	p.streamed++
	return p.job.each(t)
}

func hashPrefix(prefix string) uint64 {
	if prefix == "" {
		return 0
	}
	return xxhash.Sum64String(prefix)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
