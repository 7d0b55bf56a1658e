package trace

import (
	"slices"
	"time"
)

// WithoutLong returns the trace without its long requests.
func (t *Trace) WithoutLongWork() *Trace {
	return t.filter(func(q Request) bool { return !t.IsLong(q) })
}

// WithoutSlow returns the trace without slow moments.
func (t *Trace) WithoutSlowPeriods() *Trace {
	c := *t
	c.slows = nil
	return &c
}

// Thin returns the trace with one in n of the workspace's requests.
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

// IsLong reports whether the pipeline of the request is long work by declaration.
func (t *Trace) IsLong(q Request) bool {
	p, _ := t.document.Pipeline(q.pipeline)
	return p.Long()
}

func (t *Trace) filter(keep func(Request) bool) *Trace {
	c := *t
	c.requests = slices.DeleteFunc(slices.Clone(t.requests), func(q Request) bool { return !keep(q) })
	return &c
}

// Capacity returns the requests/s of the mix that arrives in the window which the pools
// can complete. A pool completes at most targets * slots / (mean work * slowdown of a full
// batch) calls/s; the pool with the least room for its part of the mix decides. The
// figure takes no cached prefixes and no slow moments into account.
func (t *Trace) Capacity(w Window) (rate float64, pool string) {
	work, all := make(map[string]time.Duration), 0
	for _, q := range t.requests {
		if !w.Contains(q.at) {
			continue
		}
		all++
		p, _ := t.document.Pipeline(q.pipeline)
		for _, s := range p.Stages() {
			work[s.Pool()] += t.rates[s.Pool()].ServiceTime(q, false)
		}
	}
	for _, p := range t.document.Pools() {
		if work[p.Name()] == 0 {
			continue
		}
		mean := work[p.Name()].Seconds() / float64(all)
		room := 0.0
		for _, target := range t.document.Targets() {
			if target.Pool() == p.Name() {
				room += float64(target.Slots()) / t.rates[p.Name()].Slowdown(target.Slots())
			}
		}
		if one := room / mean; pool == "" || one < rate {
			rate, pool = one, p.Name()
		}
	}
	return rate, pool
}

// Possible returns the answers that the pools can give within the window: Capacity over
// its length, less the ramp at its start. The first answers to the load of the window come
// one service time after its start; until then the pools can only answer what arrived
// before, at the rate at which it arrived.
func (t *Trace) MaxAnswers(w Window) float64 {
	rate, _ := t.Capacity(w)
	before := 0
	var service time.Duration
	all := 0
	for _, q := range t.requests {
		if q.at < w.from {
			before++
		}
		if w.Contains(q.at) {
			all++
			service += t.full(q)
		}
	}
	load := 0.0
	if w.from > 0 && rate > 0 {
		load = min(float64(before)/w.from.Seconds()/rate, 1)
	}
	ramp := (service / time.Duration(max(all, 1))).Seconds() * (1 - load)
	return rate * (w.Duration().Seconds() - ramp)
}

// full returns the time of the request through all its stages on full targets.
func (t *Trace) full(q Request) (d time.Duration) {
	p, _ := t.document.Pipeline(q.pipeline)
	for _, s := range p.Stages() {
		slots := 1
		for _, target := range t.document.Targets() {
			if target.Pool() == s.Pool() {
				slots = target.Slots()
				break
			}
		}
		r := t.rates[s.Pool()]
		d += time.Duration(float64(r.ServiceTime(q, false)) * r.Slowdown(slots))
	}
	return d
}
