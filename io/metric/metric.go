package metric

import (
	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
)

// Metrics is the registry of one host.
type Metrics struct {
	registry metrics.Registry
	// refusals and retries have one counter per registered reason.
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
	for _, r := range reason.Rules() {
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

// Refuse counts a refusal.
func (m *Metrics) Refuse(r reason.Reason) { m.refusals[r].Inc(1) }

// Retry counts a repeated stage call.
func (m *Metrics) Retry(r reason.Retry) { m.retries[r].Inc(1) }

// End counts a request that ended.
func (m *Metrics) End(o outcome.Outcome) { m.outcomes[o].Inc(1) }

// Counter returns the counter with the given name and adds it if it is new.
func (m *Metrics) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Gauge returns the gauge with the given name and adds it if it is new.
func (m *Metrics) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.registry)
}

// Values returns all counters that are not zero and all gauges by name.
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
		}
	})
	return values
}
