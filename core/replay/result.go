package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/trace"
)

// Result is what happened in a run of a trace.
type Result struct {
	trace   *trace.Trace
	variant string
	seed    uint64
	hosts   int
	// records are in the order of the trace's requests.
	records []Record
	retries map[reason.Retry]int
	// queue has the waiting calls at the end of each second.
	queue []int
	// uses is empty if the run could not see into the targets.
	uses []PoolUsage
}

// NewResult returns the result of a run outside virtual time. The queue has the waiting
// calls at the end of each second.
func NewResult(t *trace.Trace, variant string, seed uint64, hosts int, records []Record, retries map[reason.Retry]int, queue []int) *Result {
	return &Result{trace: t, variant: variant, seed: seed, hosts: hosts, records: records, retries: retries, queue: queue}
}

// Trace returns the trace that ran.
func (r *Result) Trace() *trace.Trace { return r.trace }

// Variant returns the name of the policy.
func (r *Result) Variant() string { return r.variant }

// Seed returns the seed of the run.
func (r *Result) Seed() uint64 { return r.seed }

// Hosts returns the number of entry hosts.
func (r *Result) Hosts() int { return r.hosts }

// Records returns one record for each request, in the order of the trace.
func (r *Result) Records() []Record { return r.records }

// Retries returns how often stage calls were repeated for the reason.
func (r *Result) Retries(why reason.Retry) int { return r.retries[why] }

// Queue returns the waiting calls at the end of each second.
func (r *Result) QueueLengths() []int { return r.queue }

// Uses returns the use of each pool; empty if the run could not see into the targets.
func (r *Result) PoolUsage() []PoolUsage { return r.uses }

// Length returns the time from the start of the trace to the last end of a request.
func (r *Result) Duration() (length time.Duration) {
	for _, one := range r.records {
		length = max(length, one.End())
	}
	return length
}

// Record is the end of one request.
type Record struct {
	request trace.Request
	long    bool
	// elapsed is the time from sending to the answer, as the caller sees it.
	elapsed time.Duration
	outcome outcome.Outcome
	reason  reason.Reason
	stages  []StageStats
}

// NewRecord returns the record of a request that ran outside virtual time.
func NewRecord(q trace.Request, long bool, elapsed time.Duration, o outcome.Outcome, why reason.Reason, stages []StageStats) Record {
	return Record{request: q, long: long, elapsed: elapsed, outcome: o, reason: why, stages: stages}
}

// Request returns the request.
func (r Record) Request() trace.Request { return r.request }

// Long reports whether the request is long work.
func (r Record) Long() bool { return r.long }

// Elapsed returns the time from sending to the answer.
func (r Record) Elapsed() time.Duration { return r.elapsed }

// End returns when the answer arrived, as time since the start of the trace.
func (r Record) End() time.Duration { return r.request.SendTime() + r.elapsed }

// Outcome returns what the caller was told.
func (r Record) Outcome() outcome.Outcome { return r.outcome }

// Reason returns the reason that the caller was told.
func (r Record) Reason() reason.Reason { return r.reason }

// Stages returns the cost of each stage.
func (r Record) Stages() []StageStats { return r.stages }

// InTime reports whether the complete answer came in time. A host ends each request at
// its deadline, so that an answer that is done was in time.
func (r Record) InTime() bool { return r.outcome == outcome.Done }

// Stage is the cost of one stage of a request.
type StageStats struct {
	name     string
	target   string
	attempts int
	wait     time.Duration
	elapsed  time.Duration
}

// NewStage returns the cost of a stage.
func NewStageStats(name, target string, attempts int, wait, elapsed time.Duration) StageStats {
	return StageStats{name: name, target: target, attempts: attempts, wait: wait, elapsed: elapsed}
}

// Name returns the name of the stage.
func (s StageStats) Name() string { return s.name }

// Target returns the last target that the stage was sent to.
func (s StageStats) Target() string { return s.target }

// Attempts returns the number of calls.
func (s StageStats) Attempts() int { return s.attempts }

// Wait returns the time in the queue of the host.
func (s StageStats) Wait() time.Duration { return s.wait }

// Elapsed returns the time from sending to the reply, over all calls.
func (s StageStats) Elapsed() time.Duration { return s.elapsed }

// Use is the time for which calls held slots of a pool.
type PoolUsage struct {
	pool     string
	targets  int
	slots    int
	busy     time.Duration
	repeated time.Duration
	wasted   time.Duration
}

// Pool returns the name of the pool.
func (u PoolUsage) Pool() string { return u.pool }

// Slots returns the slots of all targets.
func (u PoolUsage) Slots() int { return u.slots }

// Busy returns the time for which slots were held.
func (u PoolUsage) Busy() time.Duration { return u.busy }

// Repeated returns the part of Busy that retries and hedges added: calls beyond the one
// that gave the answer.
func (u PoolUsage) Repeated() time.Duration { return u.repeated }

// Wasted returns the part of Busy that went to requests without an answer in time.
func (u PoolUsage) Wasted() time.Duration { return u.wasted }

const (
	maxLatency = int64(time.Hour / time.Microsecond)
	digits     = 3
)

// Latencies returns the distribution in µs of the time to answer over the records that
// match.
func (r *Result) Latencies(match func(Record) bool) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency, digits)
	for _, one := range r.records {
		if match(one) {
			_ = h.RecordValue(min(one.elapsed.Microseconds(), maxLatency))
		}
	}
	return h
}
