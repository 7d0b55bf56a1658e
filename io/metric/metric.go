package metric

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
)

// Metrics is the metrics registry of one host.
type Metrics struct {
	registry metrics.Registry
	// refusals, retries and outcomes have one counter for each value of their key.
	refusals map[reason.Reason]metrics.Counter
	retries  map[reason.Retry]metrics.Counter
	outcomes map[outcome.Outcome]metrics.Counter
}

// New returns a registry with a counter for each reason and outcome.
func New() *Metrics {
	m := &Metrics{
		registry: metrics.NewRegistry(),
		refusals: make(map[reason.Reason]metrics.Counter),
		retries:  make(map[reason.Retry]metrics.Counter),
		outcomes: make(map[outcome.Outcome]metrics.Counter),
	}
	for _, r := range reason.Entries() {
		m.refusals[r.Reason()] = metrics.NewRegisteredCounter("refusal."+r.Reason().String(), m.registry)
	}
	for _, r := range reason.Retries() {
		m.retries[r] = metrics.NewRegisteredCounter("retry."+r.String(), m.registry)
	}
	for o := outcome.Done; o <= outcome.Unknown; o++ {
		m.outcomes[o] = metrics.NewRegisteredCounter("outcome."+o.String(), m.registry)
	}
	return m
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(r reason.Reason) { m.refusals[r].Inc(1) }

// CountRetry counts a repeated stage call.
func (m *Metrics) CountRetry(r reason.Retry) { m.retries[r].Inc(1) }

// CountOutcome counts the outcome of a request that ended.
func (m *Metrics) CountOutcome(o outcome.Outcome) { m.outcomes[o].Inc(1) }

// Counter returns the counter with the given name and adds it if it is new.
func (m *Metrics) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Gauge returns the gauge with the given name and adds it if it is new.
func (m *Metrics) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.registry)
}

// Histograms keep a sample of sampleSize values. decayAlpha is the rate of its exponential
// decay, which weights the sample towards the last minutes.
const (
	sampleSize = 512
	decayAlpha = 0.015
)

// ObserveDuration adds a duration, in milliseconds, to the histogram with the given name, which
// is added if it is new.
func (m *Metrics) ObserveDuration(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, decayAlpha))
	}).(metrics.Histogram)
	h.Update(d.Milliseconds())
}

// quantiles are the quantiles of a histogram that Values returns, by the suffix of their name.
var quantiles = map[string]float64{".p50": 0.5, ".p95": 0.95, ".p99": 0.99}

// Values returns by name all counters that are not zero, all gauges, and the count and quantiles
// of all histograms. The quantiles are in milliseconds.
func (m *Metrics) Values() map[string]int64 {
	values := make(map[string]int64)
	m.registry.Each(func(name string, i any) {
		switch v := i.(type) {
		case metrics.Counter:
			if v.Count() != 0 {
				values[name] = v.Count()
			}
		case metrics.Gauge:
			values[name] = v.Value()
		case metrics.Histogram:
			values[name+".count"] = v.Count()
			for suffix, q := range quantiles {
				values[name+suffix] = int64(v.Percentile(q))
			}
		}
	})
	return values
}
