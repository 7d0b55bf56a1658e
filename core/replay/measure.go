package replay

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasward/core/outcome"
	"sassafrasward/core/trace"
)

const (
	// recoveredAttainment is the attainment at which a second after the peak counts as normal.
	recoveredAttainment = 0.95
	// referenceDivisor is the factor by which the reference run of AttainmentLoss reduces the
	// requests of the subject.
	referenceDivisor = 10
)

// ReferenceTrace returns the trace of the reference run that the objective is compared
// with, or nil if the objective needs none.
func ReferenceTrace(t *trace.Trace, objective trace.Objective) *trace.Trace {
	switch objective.Measure() {
	case trace.BlockingRatio:
		return t.WithoutLongWork()
	case trace.SlowdownRatio:
		return t.WithoutSlowPeriods()
	case trace.AttainmentLoss:
		return t.Downsample(objective.Subject(), referenceDivisor)
	default:
		return nil
	}
}

// Measure returns the value of the objective's measure in r. The reference is the result of
// running ReferenceTrace, or nil if there is none.
func Measure(objective trace.Objective, r, reference *Result) float64 {
	switch objective.Measure() {
	case trace.Attainment:
		return r.Attainment(func(rec Record) bool {
			return objective.Subject() == "" || rec.request.Workspace() == objective.Subject()
		})
	case trace.OtherAttainment:
		return r.otherAttainment(objective.Subject())
	case trace.AttainmentLoss:
		return reference.otherAttainment(objective.Subject()) - r.otherAttainment(objective.Subject())
	case trace.Goodput:
		return r.Goodput()
	case trace.RecoveryTime:
		return float64(r.recoveryTime().Milliseconds())
	case trace.ShortLatency:
		return r.p99(isShort)
	case trace.LongLatency:
		return r.p99(Record.Long)
	case trace.LongAttainment:
		return r.Attainment(Record.Long)
	case trace.BlockingRatio, trace.SlowdownRatio:
		return r.p99(isShort) / reference.p99(isShort)
	case trace.RetryOverhead:
		return r.RetryOverhead()
	case trace.UnknownOutcomes:
		return float64(r.count(func(rec Record) bool { return rec.outcome == outcome.Unknown }))
	default:
		return math.NaN()
	}
}

func isShort(r Record) bool { return !r.long }

func (r *Result) count(match func(Record) bool) (n int) {
	for _, rec := range r.records {
		if match(rec) {
			n++
		}
	}
	return n
}

// Attainment returns the fraction of matching requests that were answered in time, or 1 if
// no request matches.
func (r *Result) Attainment(match func(Record) bool) float64 {
	total := r.count(match)
	if total == 0 {
		return 1
	}
	return float64(r.count(func(rec Record) bool { return match(rec) && rec.InTime() })) / float64(total)
}

func (r *Result) otherAttainment(subject string) float64 {
	return r.Attainment(func(rec Record) bool { return rec.request.Workspace() != subject })
}

// Goodput returns the number of in-time answers during the load peak divided by the number
// that the pools could give at most with the same mix of requests.
func (r *Result) Goodput() float64 {
	peak := r.trace.Peak()
	answers := r.count(func(rec Record) bool { return rec.InTime() && peak.Contains(rec.End()) })
	return float64(answers) / r.trace.MaxAnswers(peak)
}

// recoveryTime returns the time from the end of the peak to the end of the last second
// whose arrivals did not reach recoveredAttainment.
func (r *Result) recoveryTime() (d time.Duration) {
	peak := r.trace.Peak()
	total, inTime := make(map[int]int), make(map[int]int)
	latest := 0
	for _, rec := range r.records {
		if rec.request.SendTime() < peak.To() {
			continue
		}
		i := int((rec.request.SendTime() - peak.To()) / second)
		latest = max(latest, i)
		total[i]++
		if rec.InTime() {
			inTime[i]++
		}
	}
	for i := range latest + 1 {
		if float64(inTime[i]) < recoveredAttainment*float64(total[i]) {
			d = time.Duration(i+1) * second
		}
	}
	return d
}

// p99 returns the 99th percentile of the latency in ms over the matching records. A request
// without an answer counts with at least its deadline, so that refusals cannot improve the
// figure.
func (r *Result) p99(match func(Record) bool) float64 {
	h := hdrhistogram.New(1, maxLatency, significantDigits)
	for _, rec := range r.records {
		if !match(rec) {
			continue
		}
		latency := rec.elapsed
		if !rec.InTime() {
			latency = max(latency, rec.request.Deadline())
		}
		_ = h.RecordValue(latency.Microseconds())
	}
	return float64(h.ValueAtQuantile(99)) / 1000
}

// P99 returns the 99th percentile of the latency in ms of short or long work. A request
// without an answer counts with at least its deadline.
func (r *Result) P99(long bool) float64 {
	return r.p99(func(rec Record) bool { return rec.long == long })
}

// RetryOverhead returns the slot time that retries and hedges added, divided by that of all
// other calls. It returns NaN if the run has no measurements of the targets.
func (r *Result) RetryOverhead() float64 {
	if len(r.poolUsages) == 0 {
		return math.NaN()
	}
	var first, repeated time.Duration
	for _, u := range r.poolUsages {
		first += u.busy - u.repeated
		repeated += u.repeated
	}
	if first == 0 {
		return 0
	}
	return repeated.Seconds() / first.Seconds()
}
