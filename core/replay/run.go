package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasward/core/reason"
	"sassafrasward/core/trace"
)

const (
	defaultHosts = 6
	defaultSeed  = 1
	// spread is the longest time that a preset switch takes to reach a host.
	spread = time.Second
	second = time.Second
)

// Option configures a run.
type Option func(*run)

// WithSeed sets the seed of all randomness.
func WithSeed(seed uint64) Option { return func(r *run) { r.seed = seed } }

// WithHosts sets the number of entry hosts.
func WithHosts(n int) Option { return func(r *run) { r.count = n } }

// WithVariant sets the policy.
func WithVariant(v Variant) Option { return func(r *run) { r.variant = v } }

// run is one replay.
type run struct {
	trace   *trace.Trace
	seed    uint64
	count   int
	variant Variant
	random  *rand.Rand

	clock    clock
	hosts    []*host
	standins map[string]*standin
	// names has the keys of standins in order.
	names    []string
	flows    []*flow
	attempts []*attempt
	retries  map[reason.Retry]int
	queue    []int
	// open is the number of requests that have not ended.
	open int
}

// Run replays the trace and returns what happened.
func Run(t *trace.Trace, options ...Option) *Result {
	full, _ := FindVariant(Full)
	r := &run{
		trace: t, seed: defaultSeed, count: defaultHosts, variant: full,
		standins: make(map[string]*standin), retries: make(map[reason.Retry]int),
	}
	for _, o := range options {
		o(r)
	}
	r.random = rand.New(rand.NewPCG(r.seed, uint64(r.count)))
	r.build()
	r.plan()
	for r.clock.step() {
	}
	return r.result()
}

func (r *run) build() {
	var zones []string
	for _, t := range r.trace.Document().Targets() {
		r.names = append(r.names, t.Name())
		r.standins[t.Name()] = &standin{
			clock: &r.clock, name: t.Name(), pool: t.Pool(), zone: t.Zone(), slots: t.Slots(),
			rate: r.trace.ServiceModel(t.Pool()), factor: 1,
		}
		if !slices.Contains(zones, t.Zone()) {
			zones = append(zones, t.Zone())
		}
	}
	slices.Sort(zones)
	for i := range r.count {
		r.hosts = append(r.hosts, newHost(r, zones[i%len(zones)]))
	}
}

// plan puts the lines of the trace and the first ticks into the heap.
func (r *run) plan() {
	for _, q := range r.trace.Requests() {
		p, _ := r.trace.Document().Pipeline(q.Pipeline())
		f := &flow{run: r, host: r.hosts[r.random.IntN(len(r.hosts))], request: q, pipeline: p}
		f.record.request, f.record.long = q, p.Long()
		r.flows = append(r.flows, f)
		r.open++
		r.clock.after(q.SendTime()+r.trace.Network().ClientDelay(), f.begin)
	}
	for _, s := range r.trace.SlowPeriods() {
		r.clock.after(s.From(), func() { r.standins[s.Target()].setFactor(s.Factor()) })
		r.clock.after(s.To(), func() { r.standins[s.Target()].setFactor(1) })
	}
	for _, c := range r.trace.Crashes() {
		r.clock.after(c.From(), func() { r.standins[c.Target()].crash() })
		r.clock.after(c.To(), func() { r.standins[c.Target()].down = false })
	}
	for _, s := range r.trace.PresetSwitches() {
		p, _ := r.trace.Document().Preset(s.Preset())
		for _, h := range r.hosts {
			r.clock.after(s.At()+time.Duration(r.random.Int64N(int64(spread))), func() { h.setPreset(p) })
		}
	}
	for _, h := range r.hosts {
		r.repeat(time.Duration(r.random.Int64N(int64(tick))), tick, h.tick)
	}
	r.repeat(second, second, r.sample)
}

// repeat runs f periodically while requests are open.
func (r *run) repeat(first, period time.Duration, f func()) {
	r.clock.after(first, func() {
		if r.open == 0 {
			return
		}
		f()
		r.repeat(period, period, f)
	})
}

// sample records the calls that wait in all schedulers and targets.
func (r *run) sample() {
	waiting := 0
	for _, h := range r.hosts {
		for _, pool := range h.order {
			waiting += h.pools[pool].QueueLen()
		}
	}
	for _, name := range r.names {
		waiting += len(r.standins[name].queue)
	}
	r.queue = append(r.queue, waiting)
}

func (r *run) result() *Result {
	result := &Result{trace: r.trace, variant: r.variant.name, seed: r.seed, hosts: r.count, retries: r.retries, queue: r.queue}
	for _, f := range r.flows {
		result.records = append(result.records, f.record)
	}
	for _, p := range r.trace.Document().Pools() {
		use := PoolUsage{pool: p.Name()}
		for _, name := range r.names {
			if s := r.standins[name]; s.pool == p.Name() {
				use.targets++
				use.slots += s.slots
			}
		}
		for _, a := range r.attempts {
			if a.pool == p.Name() {
				use.add(a)
			}
		}
		result.uses = append(result.uses, use)
	}
	return result
}

func (u *PoolUsage) add(a *attempt) {
	u.busy += a.busy
	if a.added() {
		u.repeated += a.busy
	}
	if !a.flow.record.InTime() {
		u.wasted += a.busy
	}
}
