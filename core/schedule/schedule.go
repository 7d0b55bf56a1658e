package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasward/core/balance"
	"sassafrasward/core/budget"
	"sassafrasward/core/estimate"
	"sassafrasward/core/fairqueue"
	"sassafrasward/core/limit"
	"sassafrasward/core/reason"
	"sassafrasward/core/sortedmap"
	"sassafrasward/core/suspect"
)

const (
	defaultQueue = 1_000 // calls
	// subsetSize is the number of targets that one host uses of a large pool. With few
	// requests per host, a larger subset leaves the measurements of each target stale.
	subsetSize = 16
	// retryBurst and hedgeBurst are the average calls that a budget can save. The hedge
	// budget starts low, so that a short run does not exceed its percentage.
	retryBurst = 10
	hedgeBurst = 4
	hedgeFirst = 1
	// probeShare is the part of the hedge budget that probes may use, as a divisor.
	probeShare = 5
)

// Scheduler schedules the calls of one pool on one host. It is not safe for concurrent
// use.
type Scheduler struct {
	random *rand.Rand
	policy Policy
	zone   string
	// seed ranks targets for the subset of this host.
	seed    uint64
	targets *sortedmap.Map[string, *state]
	// subset holds the live targets that this host uses, in key order.
	subset []*state
	// turn is the next target of the round robin.
	turn   int
	shares map[string]int

	// short and long hold the queued calls by class.
	short, long *fairqueue.Queue[string, *entry]
	// held are queued calls that could not start though others can, in arrival order.
	held     []*entry
	arrivals uint64
	// pending are refusals of evicted calls, told with the next step.
	pending []Refusal

	// running has the calls in flight; oldest and newest are the ends of their list.
	running        map[ID]*run
	oldest, newest *run
	// part is this host's part of the slots of the targets.
	part limit.PoolLimit
	// longs counts the long calls in flight.
	longs int
	// demand is the recent peak of short calls in flight and waiting.
	demand float64
	swept  time.Duration
	hedges uint64

	times    *estimate.Estimator[key]
	sizes    *estimate.Estimator[key]
	retrying budget.Budget
	hedging  budget.Budget
	probing  budget.Budget
	// level is the recent mean ratio of measured to expected service times in the pool.
	level    float64
	cache    *balance.PrefixIndex
	suspects *suspect.Table
}

// state is a target with what this host knows of it.
type state struct {
	target Target
	// inflight is the number of runs on this target, longs and suspects those of them
	// that are long or suspect.
	inflight, longs, suspects int
	limit                     limit.Limit
	pace                      balance.SlowDetector
	// others is the load that other hosts put on the target, as of told.
	others float64
	told   time.Duration
	near   bool
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithPolicy sets the policy to start with.
func WithPolicy(p Policy) Option { return func(s *Scheduler) { s.policy = p } }

// WithZone sets the availability zone of the host, whose targets come first.
func WithZone(zone string) Option { return func(s *Scheduler) { s.zone = zone } }

// WithSuspects sets the table of crash suspects. The default tells no other host.
func WithSuspects(t *suspect.Table) Option { return func(s *Scheduler) { s.suspects = t } }

// New returns a scheduler without targets.
func New(random *rand.Rand, options ...Option) *Scheduler {
	s := &Scheduler{
		random: random, policy: NewPolicy(), seed: random.Uint64(),
		targets: sortedmap.New[string, *state](), running: make(map[ID]*run),
		short: fairqueue.New[string, *entry](), long: fairqueue.New[string, *entry](),
		level: 1, times: estimate.New[key](), sizes: estimate.New[key](),
		cache: balance.NewPrefixIndex(), suspects: suspect.New("", nil),
	}
	for _, o := range options {
		o(s)
	}
	s.retrying = budget.New(s.policy.retry, retryBurst, retryBurst)
	s.hedging = budget.New(s.policy.hedge-s.policy.hedge/probeShare, hedgeFirst, hedgeBurst)
	s.probing = budget.New(s.policy.hedge/probeShare, hedgeFirst, hedgeBurst)
	return s
}

// SetPolicy replaces the knobs; queued calls stay queued, in the order of the new policy.
func (s *Scheduler) SetPolicy(p Policy) {
	old := s.policy
	s.policy = p
	s.retrying.SetPercent(p.retry)
	s.hedging.SetPercent(p.hedge - p.hedge/probeShare)
	s.probing.SetPercent(p.hedge / probeShare)
	if old.fair == p.fair && old.separate == p.separate {
		return
	}
	all := func(*entry) bool { return true }
	queued := append(s.short.RemoveFunc(all), s.long.RemoveFunc(all)...)
	slices.SortFunc(queued, func(a, b *entry) int { return int(a.arrival) - int(b.arrival) })
	for _, e := range queued {
		s.push(e)
	}
}

// SetShares replaces the weights of the workspaces; a missing one weighs 1. Calls that
// are queued keep the weight that they came with until their workspace offers another.
func (s *Scheduler) SetShares(shares map[string]int) { s.shares = shares }

// SetTargets replaces the targets of the pool. Calls in flight on removed targets go on.
func (s *Scheduler) SetTargets(_ time.Duration, targets []Target) {
	next := sortedmap.New[string, *state]()
	var live []string
	for _, t := range targets {
		st, ok := s.targets.Get(t.name)
		if !ok {
			st = &state{limit: limit.New(t.slots)}
		} else if t.slots != st.target.slots {
			st.limit.Resize(t.slots)
		}
		st.target = t
		st.near = t.zone == s.zone
		next.Put(t.name, st)
		if !t.leaving {
			live = append(live, t.name)
		}
	}
	s.targets = next
	near := func(name string) bool {
		st, _ := next.Get(name)
		return st.near
	}
	s.subset = s.subset[:0]
	for _, name := range balance.Subset(live, s.seed, subsetSize, near) {
		st, _ := next.Get(name)
		s.subset = append(s.subset, st)
	}
}

// Offer asks to run a call now or later.
func (s *Scheduler) Offer(now time.Duration, c Call) Decision { return s.offer(now, c, false) }

// Retry asks to repeat a call on another target. Unlike Offer it draws on the retry
// budget of the pool and refuses with Budget when that is spent.
func (s *Scheduler) Retry(now time.Duration, c Call) Decision {
	work := s.units(s.expect(c).work)
	if !s.retrying.Allows(work) {
		return refuse(reason.RetryBudgetSpent)
	}
	d := s.offer(now, c, true)
	if d.verdict != Refused {
		s.retrying.Withdraw(work)
	}
	return d
}

func refuse(why reason.Reason) Decision { return Decision{verdict: Refused, reason: why} }

func (s *Scheduler) offer(now time.Duration, c Call, retry bool) Decision {
	if why := s.refusal(now, c); why != reason.None {
		return refuse(why)
	}
	e := s.enter(now, c, retry)
	if s.policy.admit && now+e.median > e.limit() && !s.times.AllowProbe(now, e.key, trialPause) {
		return refuse(reason.PredictedLate)
	}
	s.demand = max(s.demand, s.shortDemand())
	if s.first(now, e) {
		if st, probe, ok := s.pick(now, e); ok {
			s.start(now, e, st, probe)
			return Decision{verdict: Started, target: st.target.name}
		}
		if s.roomy(now, e) {
			return s.hold(e)
		}
	}
	return s.enqueue(now, e)
}

// refusal returns why a call cannot run at all.
func (s *Scheduler) refusal(now time.Duration, c Call) reason.Reason {
	switch {
	case now >= c.deadline:
		return reason.DeadlineExceeded
	case len(s.subset) == 0:
		return reason.NoTargets
	case s.suspects.Level(now, c.fingerprint) == suspect.Refused && c.fingerprint != 0:
		return reason.CrashSuspect
	}
	return reason.None
}

// Finish reports the end of a call and returns the calls that start in its place.
func (s *Scheduler) Finish(now time.Duration, r Result) (step Actions) {
	run, ok := s.running[r.id]
	if !ok {
		return Actions{}
	}
	s.remove(run)
	s.learn(now, run, r)
	s.bill(now, run)
	s.settle(run, r.end, &step)
	s.drain(now, &step)
	if now-s.swept >= sweepPause {
		s.sweep(now, &step)
	}
	return step
}

// Cancel removes a queued call and reports whether it was queued.
func (s *Scheduler) Cancel(_ time.Duration, id ID) bool {
	n := s.QueueLen()
	drop := func(e *entry) bool { return e.call.id == id }
	s.held = slices.DeleteFunc(s.held, drop)
	if s.QueueLen() == n {
		s.short.RemoveFunc(drop)
	}
	if s.QueueLen() == n {
		s.long.RemoveFunc(drop)
	}
	return s.QueueLen() < n
}

// Tick drops calls that can no longer make their deadline, starts what fits, and looks
// for slow targets and for calls to hedge.
func (s *Scheduler) Tick(now time.Duration) (step Actions) {
	doomed := func(e *entry) bool {
		if !s.doomed(now, e) {
			return false
		}
		step.refusals = append(step.refusals, Refusal{id: e.call.id, reason: s.dropReason(now, e)})
		return true
	}
	s.held = slices.DeleteFunc(s.held, doomed)
	s.short.RemoveFunc(doomed)
	s.long.RemoveFunc(doomed)
	s.demand = max(s.demand*demandDecay, s.shortDemand())
	s.drain(now, &step)
	s.sweep(now, &step)
	return step
}

// Waiting returns the number of queued calls.
func (s *Scheduler) QueueLen() int { return s.short.Len() + s.long.Len() + len(s.held) }

// Inflight returns the number of calls that run on the target.
func (s *Scheduler) Inflight(target string) int {
	if st, ok := s.targets.Get(target); ok {
		return st.inflight
	}
	return 0
}

// Running reports whether the call is in flight.
func (s *Scheduler) Running(id ID) bool {
	_, ok := s.running[id]
	return ok
}

// Slow returns the targets that are avoided as slow.
func (s *Scheduler) SlowTargets() (names []string) {
	for name, st := range s.targets.All() {
		if st.pace.Slow() {
			names = append(names, name)
		}
	}
	return names
}

// Added returns the work added by retries and hedges, in percent of the other work.
func (s *Scheduler) AddedWork() (retries, hedges float64) {
	return s.retrying.AddedPercent(), s.hedging.AddedPercent() + s.probing.AddedPercent()
}

// Suspects returns the table of crash suspects, to which facts of other hosts are told.
func (s *Scheduler) Suspects() *suspect.Table { return s.suspects }

// TakeEvents takes the cache events up to a sequence number of a target.
func (s *Scheduler) ApplyCacheEvents(now time.Duration, target string, sequence uint64, cached, evicted []uint64) {
	s.cache.ApplyEvents(now, target, sequence, cached, evicted)
}
