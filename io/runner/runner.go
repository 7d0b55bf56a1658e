package runner

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/document"
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
	pipeline document.Pipeline
	request  wire.Request
	// each takes the tokens of the last stage; nil if the caller does not stream.
	each func(wire.Token) error
}

// NewJob returns a job of a checked request.
func NewJob(id string, p document.Pipeline, request wire.Request, each func(wire.Token) error) Job {
	return Job{id: id, pipeline: p, request: request, each: each}
}

// ID returns the identity of the request.
func (j Job) ID() string { return j.id }

// Pipeline returns the pipeline that the job runs.
func (j Job) Pipeline() document.Pipeline { return j.pipeline }

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
	for i, stage := range job.pipeline.Stages() {
		last := i == len(job.pipeline.Stages())-1
		if why, end := r.stage(ctx, p, stage, last); why != reason.None {
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
func (r *Runner) stage(ctx context.Context, p *progress, stage document.Stage, last bool) (why reason.Reason, end outcome.Outcome) {
	cost := wire.Stage{Stage: stage.Name()}
	defer func() { p.answer.Stages = append(p.answer.Stages, cost) }()
	attempts := maxAttempts
	if stage.Command() {
		attempts = 1
	}
	var avoid []string
	for cost.Attempts < attempts {
		cost.Attempts++
		reply, target, refusal := r.attempt(ctx, p, stage, &cost, last, avoid)
		if refusal != reason.None {
			return refusal, p.reached.Unwritten(refusal.Rule().Outcome())
		}
		if reply.End() == schedule.Completed {
			p.output = reply.Output()
			p.reached.Complete(stage.Command())
			return reason.None, outcome.Done
		}
		why = cause(reply.End())
		if reply.Detail() != "" {
			p.answer.Detail = reply.Detail()
		}
		if stage.Command() {
			return p.commandEnd(reply)
		}
		if reply.End() == schedule.Rejected || ctx.Err() != nil {
			return why, p.reached.Unwritten(outcome.Failed)
		}
		avoid = append(avoid, target)
		r.metrics.Retry(retryReason(reply.End()))
	}
	return why, p.reached.Unwritten(outcome.Failed)
}

// attempt makes one call of a stage.
func (r *Runner) attempt(ctx context.Context, p *progress, stage document.Stage, cost *wire.Stage, last bool, avoid []string) (reply target.Reply, name string, why reason.Reason) {
	g := r.gates.Gate(stage.Pool())
	if g == nil {
		return target.Reply{}, "", reason.Empty
	}
	id := schedule.ID(r.last.Add(1))
	began := r.clock()
	name, why = g.Acquire(ctx, r.call(id, p, stage, avoid))
	cost.Wait += milliseconds(r.clock() - began)
	if why != reason.None {
		return target.Reply{}, "", why
	}
	cost.Target = name
	p.reached.Call()
	began = r.clock()
	reply = r.send(ctx, p, stage, cost.Attempts, name, last)
	cost.Elapsed += milliseconds(r.clock() - began)
	load := reply.Load()
	g.Finish(schedule.NewResult(id, reply.End(),
		schedule.WithLoad(schedule.NewLoad(load.Running, load.Queued, load.Slots)),
		schedule.WithActual(float64(reply.Tokens()))))
	return reply, name, reason.None
}

func (r *Runner) call(id schedule.ID, p *progress, stage document.Stage, avoid []string) schedule.Call {
	request := p.job.request
	return schedule.NewCall(id, request.Workspace, p.deadline,
		schedule.WithPipeline(p.job.pipeline.Name()),
		schedule.WithSize(float64(max(request.Size, 1))),
		schedule.WithLong(p.job.pipeline.Long()),
		schedule.WithPrefix(hashPrefix(request.Prefix)),
		schedule.WithFingerprint(xxhash.Sum64String(p.job.pipeline.Name()+"\x00"+stage.Name()+"\x00"+string(request.Input))),
		schedule.WithIdempotent(!stage.Command()),
		schedule.WithAvoid(avoid...))
}

// send writes the call to the target and takes its answer. Tokens that the caller already
// has are not passed again when a stream is resumed on another target.
func (r *Runner) send(ctx context.Context, p *progress, stage document.Stage, attempt int, name string, last bool) target.Reply {
	request := p.job.request
	run := wire.Run{
		Request: p.job.id, Stage: stage.Name(), Attempt: attempt,
		Deadline: (p.deadline - r.clock()).Milliseconds(), Input: p.output,
		Prefix: request.Prefix, Size: request.Size,
	}
	if stage.Command() {
		run.Key = request.Key
		reply, err := r.client.Command(ctx, r.gates.Address(name), run, p.deadline)
		if err != nil {
			p.answer.Detail = err.Error()
		}
		return reply
	}
	var each func(wire.Token) error
	if last && p.job.each != nil {
		run.Stream = true
		run.From = p.streamed
		each = p.pass
	}
	reply, err := r.client.Run(ctx, r.gates.Address(name), run, each)
	if err != nil {
		p.answer.Detail = err.Error()
	}
	return reply
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
