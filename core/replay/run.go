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
	// maxSwitchDelay is the maximum time until a preset switch reaches a host.
	maxSwitchDelay = time.Second
	second         = time.Second
)

// Option configures a run.
type Option func(*run)

// WithSeed sets the seed of the random number generator.
func WithSeed(seed uint64) Option { return func(r *run) { r.seed = seed } }

// WithHosts sets the number of entry hosts.
func WithHosts(n int) Option { return func(r *run) { r.hostCount = n } }

// WithVariant sets the policy variant.
func WithVariant(v Variant) Option { return func(r *run) { r.variant = v } }

// run is the state of one replay.
type run struct {
	trace     *trace.Trace
	seed      uint64
	hostCount int
	variant   Variant
	random    *rand.Rand

	clock    clock
	hosts    []*host
	standins map[string]*standin
	// standinNames holds the keys of standins in sorted order.
	standinNames []string
	flows        []*requestFlow
	attempts     []*attempt
	retries      map[reason.Retry]int
	queueLengths []int
	// openRequests is the number of requests that have not ended.
	openRequests int
}

// Run replays the trace and returns the result.
func Run(t *trace.Trace, options ...Option) *Result {
	full, _ := FindVariant(Full)
	r := &run{
		trace: t, seed: defaultSeed, hostCount: defaultHosts, variant: full,
		standins: make(map[string]*standin), retries: make(map[reason.Retry]int),
	}
	for _, o := range options {
		o(r)
	}
	r.random = rand.New(rand.NewPCG(r.seed, uint64(r.hostCount)))
	r.setUp()
	r.scheduleEvents()
	for r.clock.step() {
	}
	return r.result()
}

func (r *run) setUp() {
	var zones []string
	for _, t := range r.trace.Document().Targets() {
		r.standinNames = append(r.standinNames, t.Name())
		r.standins[t.Name()] = &standin{
			clock: &r.clock, name: t.Name(), pool: t.Pool(), zone: t.Zone(), slots: t.Slots(),
			serviceModel: r.trace.ServiceModel(t.Pool()), slowFactor: 1,
		}
		if !slices.Contains(zones, t.Zone()) {
			zones = append(zones, t.Zone())
		}
	}
	slices.Sort(zones)
	for i := range r.hostCount {
		r.hosts = append(r.hosts, newHost(r, zones[i%len(zones)]))
	}
}

// scheduleEvents schedules the events of the trace and the first ticks.
func (r *run) scheduleEvents() {
	for _, q := range r.trace.Requests() {
		p, _ := r.trace.Document().Pipeline(q.Pipeline())
		f := &requestFlow{run: r, host: r.hosts[r.random.IntN(len(r.hosts))], request: q, pipeline: p}
		f.record.request, f.record.long = q, p.Long()
		r.flows = append(r.flows, f)
		r.openRequests++
		r.clock.after(q.SendTime()+r.trace.Network().ClientDelay(), f.start)
	}
	for _, s := range r.trace.SlowPeriods() {
		r.clock.after(s.From(), func() { r.standins[s.Target()].setSlowFactor(s.Factor()) })
		r.clock.after(s.To(), func() { r.standins[s.Target()].setSlowFactor(1) })
	}
	for _, c := range r.trace.Crashes() {
		r.clock.after(c.From(), func() { r.standins[c.Target()].crash() })
		r.clock.after(c.To(), func() { r.standins[c.Target()].down = false })
	}
	for _, s := range r.trace.PresetSwitches() {
		p, _ := r.trace.Document().FindPreset(s.Preset())
		for _, h := range r.hosts {
			r.clock.after(s.At()+time.Duration(r.random.Int64N(int64(maxSwitchDelay))), func() { h.setPreset(p) })
		}
	}
	for _, h := range r.hosts {
		r.repeat(time.Duration(r.random.Int64N(int64(tickInterval))), tickInterval, h.tick)
	}
	r.repeat(second, second, r.sampleQueues)
}

// repeat runs f periodically as long as requests are open.
func (r *run) repeat(first, period time.Duration, f func()) {
	r.clock.after(first, func() {
		if r.openRequests == 0 {
			return
		}
		f()
		r.repeat(period, period, f)
	})
}

// sampleQueues records the number of calls that wait in all schedulers and targets.
func (r *run) sampleQueues() {
	waiting := 0
	for _, h := range r.hosts {
		for _, pool := range h.poolNames {
			waiting += h.pools[pool].QueueLen()
		}
	}
	for _, name := range r.standinNames {
		waiting += len(r.standins[name].queue)
	}
	r.queueLengths = append(r.queueLengths, waiting)
}

func (r *run) result() *Result {
	result := &Result{trace: r.trace, variant: r.variant.name, seed: r.seed, hosts: r.hostCount, retries: r.retries, queueLengths: r.queueLengths}
	for _, f := range r.flows {
		result.records = append(result.records, f.record)
	}
	for _, p := range r.trace.Document().Pools() {
		usage := PoolUsage{pool: p.Name()}
		for _, name := range r.standinNames {
			if s := r.standins[name]; s.pool == p.Name() {
				usage.targets++
				usage.slots += s.slots
			}
		}
		for _, a := range r.attempts {
			if a.pool == p.Name() {
				usage.add(a)
			}
		}
		result.poolUsages = append(result.poolUsages, usage)
	}
	return result
}

func (u *PoolUsage) add(a *attempt) {
	u.busy += a.slotTime
	if a.isOverhead() {
		u.repeated += a.slotTime
	}
	if !a.flow.record.InTime() {
		u.wasted += a.slotTime
	}
}
