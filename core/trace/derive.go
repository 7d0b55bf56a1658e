package trace

import (
	"slices"
	"time"
)

// WithoutLongWork returns a copy of the trace without requests that are long work.
func (t *Trace) WithoutLongWork() *Trace {
	return t.filter(func(q Request) bool { return !t.IsLong(q) })
}

// WithoutSlowPeriods returns a copy of the trace without slow periods of targets.
func (t *Trace) WithoutSlowPeriods() *Trace {
	c := *t
	c.slowPeriods = nil
	return &c
}

// Downsample returns a copy of the trace that keeps one in n of the workspace's requests.
func (t *Trace) Downsample(workspace string, n int) *Trace {
	seen := 0
	return t.filter(func(q Request) bool {
		if q.workspace != workspace {
			return true
		}
		seen++
		return seen%n == 1
	})
}

// IsLong reports whether the configuration declares the request's pipeline as long work.
func (t *Trace) IsLong(q Request) bool {
	p, _ := t.document.Pipeline(q.pipeline)
	return p.Long()
}

func (t *Trace) filter(keep func(Request) bool) *Trace {
	c := *t
	c.requests = slices.DeleteFunc(slices.Clone(t.requests), func(q Request) bool { return !keep(q) })
	return &c
}

// Capacity returns the maximum rate in requests/s at which the pools can complete the mix
// of requests that arrives in the window, and the pool that limits it. A pool completes at
// most targets * slots / (mean service time * slowdown of a full batch) calls/s. The figure
// ignores cached prefixes and slow periods.
func (t *Trace) Capacity(w Window) (rate float64, pool string) {
	work, total := make(map[string]time.Duration), 0
	for _, q := range t.requests {
		if !w.Contains(q.sendTime) {
			continue
		}
		total++
		p, _ := t.document.Pipeline(q.pipeline)
		for _, s := range p.Stages() {
			work[s.Pool()] += t.serviceModels[s.Pool()].ServiceTime(q, false)
		}
	}
	for _, p := range t.document.Pools() {
		if work[p.Name()] == 0 {
			continue
		}
		mean := work[p.Name()].Seconds() / float64(total)
		effectiveSlots := 0.0
		for _, target := range t.document.Targets() {
			if target.Pool() == p.Name() {
				effectiveSlots += float64(target.Slots()) / t.serviceModels[p.Name()].Slowdown(target.Slots())
			}
		}
		if poolRate := effectiveSlots / mean; pool == "" || poolRate < rate {
			rate, pool = poolRate, p.Name()
		}
	}
	return rate, pool
}

// MaxAnswers returns the maximum number of answers within the window: Capacity times its
// length, less a ramp at its start. The first answers to the load of the window come one
// service time after its start. Until then, the pools can answer only requests that arrived
// before the window, at the rate at which they arrived.
func (t *Trace) MaxAnswers(w Window) float64 {
	rate, _ := t.Capacity(w)
	earlier := 0
	var serviceTime time.Duration
	total := 0
	for _, q := range t.requests {
		if q.sendTime < w.from {
			earlier++
		}
		if w.Contains(q.sendTime) {
			total++
			serviceTime += t.fullBatchTime(q)
		}
	}
	load := 0.0
	if w.from > 0 && rate > 0 {
		load = min(float64(earlier)/w.from.Seconds()/rate, 1)
	}
	ramp := (serviceTime / time.Duration(max(total, 1))).Seconds() * (1 - load)
	return rate * (w.Length().Seconds() - ramp)
}

// fullBatchTime returns the service time of the request over all stages, each on a target
// with a full batch.
func (t *Trace) fullBatchTime(q Request) (d time.Duration) {
	p, _ := t.document.Pipeline(q.pipeline)
	for _, s := range p.Stages() {
		slots := 1
		for _, target := range t.document.Targets() {
			if target.Pool() == s.Pool() {
				slots = target.Slots()
				break
			}
		}
		m := t.serviceModels[s.Pool()]
		d += time.Duration(float64(m.ServiceTime(q, false)) * m.Slowdown(slots))
	}
	return d
}
