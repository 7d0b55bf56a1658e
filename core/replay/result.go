package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/trace"
)

// Result holds the outcome of a run of a trace.
type Result struct {
	trace   *trace.Trace
	variant string
	seed    uint64
	hosts   int
	// records has one record per request, in the order of the trace.
	records []Record
	retries map[reason.Retry]int
	// queueLengths holds the number of waiting calls at the end of each second.
	queueLengths []int
	// poolUsages is empty if the run has no measurements of the targets.
	poolUsages []PoolUsage
}

// NewResult returns the result of a run in real time. queueLengths holds the number of
// waiting calls at the end of each second.
func NewResult(t *trace.Trace, variant string, seed uint64, hosts int, records []Record, retries map[reason.Retry]int, queueLengths []int) *Result {
	return &Result{trace: t, variant: variant, seed: seed, hosts: hosts, records: records, retries: retries, queueLengths: queueLengths}
}

// Trace returns the trace that was run.
func (r *Result) Trace() *trace.Trace { return r.trace }

// Variant returns the name of the policy variant.
func (r *Result) Variant() string { return r.variant }

// Seed returns the seed of the run.
func (r *Result) Seed() uint64 { return r.seed }

// Hosts returns the number of entry hosts.
func (r *Result) Hosts() int { return r.hosts }

// Records returns one record for each request, in the order of the trace.
func (r *Result) Records() []Record { return r.records }

// Retries returns how many stage calls were repeated for the given reason.
func (r *Result) Retries(cause reason.Retry) int { return r.retries[cause] }

// QueueLengths returns the number of waiting calls at the end of each second.
func (r *Result) QueueLengths() []int { return r.queueLengths }

// PoolUsages returns the slot usage of each pool. It is empty if the run has no
// measurements of the targets.
func (r *Result) PoolUsages() []PoolUsage { return r.poolUsages }

// Length returns the time from the start of the trace to the end of the last request.
func (r *Result) Length() (length time.Duration) {
	for _, rec := range r.records {
		length = max(length, rec.End())
	}
	return length
}

// Record describes how one request ended.
type Record struct {
	request trace.Request
	long    bool
	// elapsed is the time from sending the request to the answer, as seen by the caller.
	elapsed time.Duration
	outcome outcome.Outcome
	reason  reason.Reason
	stages  []StageStats
}

// NewRecord returns the record of a request that ran in real time.
func NewRecord(q trace.Request, long bool, elapsed time.Duration, o outcome.Outcome, cause reason.Reason, stages []StageStats) Record {
	return Record{request: q, long: long, elapsed: elapsed, outcome: o, reason: cause, stages: stages}
}

// Request returns the request.
func (r Record) Request() trace.Request { return r.request }

// Long reports whether the request is long work.
func (r Record) Long() bool { return r.long }

// Elapsed returns the time from sending the request to the answer, as seen by the caller.
func (r Record) Elapsed() time.Duration { return r.elapsed }

// End returns the time of the answer since the start of the trace.
func (r Record) End() time.Duration { return r.request.SendTime() + r.elapsed }

// Outcome returns the outcome reported to the caller.
func (r Record) Outcome() outcome.Outcome { return r.outcome }

// Reason returns the reason reported to the caller.
func (r Record) Reason() reason.Reason { return r.reason }

// Stages returns the statistics of each stage that was started.
func (r Record) Stages() []StageStats { return r.stages }

// InTime reports whether the request was answered completely and in time. A host ends each
// request at its deadline, so every request with outcome Done was in time.
func (r Record) InTime() bool { return r.outcome == outcome.Done }

// StageStats holds the calls and times of one stage of a request.
type StageStats struct {
	name     string
	target   string
	attempts int
	wait     time.Duration
	elapsed  time.Duration
}

// NewStageStats returns the statistics of a stage.
func NewStageStats(name, target string, attempts int, wait, elapsed time.Duration) StageStats {
	return StageStats{name: name, target: target, attempts: attempts, wait: wait, elapsed: elapsed}
}

// Name returns the name of the stage.
func (s StageStats) Name() string { return s.name }

// Target returns the target of the stage's last call.
func (s StageStats) Target() string { return s.target }

// Attempts returns the number of calls, including retries and hedges.
func (s StageStats) Attempts() int { return s.attempts }

// Wait returns the time that calls spent in the queue of the host.
func (s StageStats) Wait() time.Duration { return s.wait }

// Elapsed returns the time from sending to the reply, summed over all calls.
func (s StageStats) Elapsed() time.Duration { return s.elapsed }

// PoolUsage sums up how long calls held slots of a pool.
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

// Slots returns the total number of slots of the pool's targets.
func (u PoolUsage) Slots() int { return u.slots }

// Busy returns the total time for which calls held slots.
func (u PoolUsage) Busy() time.Duration { return u.busy }

// Repeated returns the part of Busy that retries and hedges added: calls other than the one
// that gave the answer.
func (u PoolUsage) Repeated() time.Duration { return u.repeated }

// Wasted returns the part of Busy spent on requests that were not answered in time.
func (u PoolUsage) Wasted() time.Duration { return u.wasted }

const (
	maxLatency        = int64(time.Hour / time.Microsecond) // µs
	significantDigits = 3
)

// Latencies returns the histogram of the time to answer, in µs, over the matching records.
func (r *Result) Latencies(match func(Record) bool) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency, significantDigits)
	for _, rec := range r.records {
		if match(rec) {
			_ = h.RecordValue(min(rec.elapsed.Microseconds(), maxLatency))
		}
	}
	return h
}
