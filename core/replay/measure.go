package replay

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasward/core/outcome"
	"sassafrasward/core/trace"
)

const (
	// recovered is the attainment of a second that counts as served.
	recovered = 0.95
	// thin is how many times fewer requests the subject of Cost sends in the reference.
	thin = 10
)

// Reference returns the trace that the stated outcome compares with; nil for none.
func ReferenceTrace(t *trace.Trace, e trace.Objective) *trace.Trace {
	switch e.Measure() {
	case trace.BlockingRatio:
		return t.WithoutLongWork()
	case trace.SlowdownRatio:
		return t.WithoutSlowPeriods()
	case trace.AttainmentLoss:
		return t.Downsample(e.Subject(), thin)
	default:
		return nil
	}
}

// Measure returns the value of the stated outcome in a result. The reference is a run of
// the trace that Reference returns, or nil if there is none.
func Measure(e trace.Objective, r, reference *Result) float64 {
	switch e.Measure() {
	case trace.Attainment:
		return r.Attainment(func(one Record) bool {
			return e.Subject() == "" || one.request.Workspace() == e.Subject()
		})
	case trace.OtherAttainment:
		return r.others(e.Subject())
	case trace.AttainmentLoss:
		return reference.others(e.Subject()) - r.others(e.Subject())
	case trace.Goodput:
		return r.Goodput()
	case trace.RecoveryTime:
		return float64(r.recovery().Milliseconds())
	case trace.ShortLatency:
		return r.tail(isShort)
	case trace.LongLatency:
		return r.tail(Record.Long)
	case trace.LongAttainment:
		return r.Attainment(Record.Long)
	case trace.BlockingRatio, trace.SlowdownRatio:
		return r.tail(isShort) / reference.tail(isShort)
	case trace.RetryOverhead:
		return r.RetryOverhead()
	case trace.UnknownOutcomes:
		return float64(r.count(func(one Record) bool { return one.outcome == outcome.Unknown }))
	default:
		return math.NaN()
	}
}

func isShort(r Record) bool { return !r.long }

func (r *Result) count(match func(Record) bool) (n int) {
	for _, one := range r.records {
		if match(one) {
			n++
		}
	}
	return n
}

// Attainment returns the share of matching requests that were answered in time; 1 if
// there are none.
func (r *Result) Attainment(match func(Record) bool) float64 {
	all := r.count(match)
	if all == 0 {
		return 1
	}
	return float64(r.count(func(one Record) bool { return match(one) && one.InTime() })) / float64(all)
}

func (r *Result) others(subject string) float64 {
	return r.Attainment(func(one Record) bool { return one.request.Workspace() != subject })
}

// Goodput returns the in-time answers in the load peak divided by what the pools can do in
// it with the mix that arrives.
func (r *Result) Goodput() float64 {
	peak := r.trace.Peak()
	answers := r.count(func(one Record) bool { return one.InTime() && peak.Contains(one.End()) })
	return float64(answers) / r.trace.MaxAnswers(peak)
}

// recovery returns the time from the end of the peak to the first second after which the
// arrivals of no second are served badly.
func (r *Result) recovery() (d time.Duration) {
	peak := r.trace.Peak()
	all, served := make(map[int]int), make(map[int]int)
	latest := 0
	for _, one := range r.records {
		if one.request.SendTime() < peak.To() {
			continue
		}
		i := int((one.request.SendTime() - peak.To()) / second)
		latest = max(latest, i)
		all[i]++
		if one.InTime() {
			served[i]++
		}
	}
	for i := range latest + 1 {
		if float64(served[i]) < recovered*float64(all[i]) {
			d = time.Duration(i+1) * second
		}
	}
	return d
}

// tail returns the p99 in ms over the matching records. A request without an answer counts
// with its deadline if that is longer, so that refusing cannot improve the figure.
func (r *Result) tail(match func(Record) bool) float64 {
	h := hdrhistogram.New(1, maxLatency, digits)
	for _, one := range r.records {
		if !match(one) {
			continue
		}
		spent := one.elapsed
		if !one.InTime() {
			spent = max(spent, one.request.Deadline())
		}
		_ = h.RecordValue(spent.Microseconds())
	}
	return float64(h.ValueAtQuantile(99)) / 1000
}

// Tail returns the p99 in ms of short or long work. A request without an answer counts
// with its deadline.
func (r *Result) P99(long bool) float64 {
	return r.tail(func(one Record) bool { return one.long == long })
}

// Added returns the slot time that retries and hedges added divided by that of all other
// calls. It is not a number if the run could not see into the targets.
func (r *Result) RetryOverhead() float64 {
	if len(r.uses) == 0 {
		return math.NaN()
	}
	var first, repeated time.Duration
	for _, u := range r.uses {
		first += u.busy - u.repeated
		repeated += u.repeated
	}
	if first == 0 {
		return 0
	}
	return repeated.Seconds() / first.Seconds()
}
