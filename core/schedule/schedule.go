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
	defaultQueueBound = 1_000 // calls
	// subsetSize is the number of targets of a large pool that one host uses. With few
	// requests per host, a larger subset leaves the measurements of each target stale.
	subsetSize = 16
	// retryBurst and hedgeBurst are the token bucket sizes in average calls. The hedge
	// budget starts with only hedgeInitial, so that a short run does not exceed its
	// percentage.
	retryBurst   = 10
	hedgeBurst   = 4
	hedgeInitial = 1
	// probeDivisor: probes may use 1/probeDivisor of the hedge budget.
	probeDivisor = 5
)

// Scheduler schedules the calls of one pool on one host. It is not safe for concurrent
// use.
type Scheduler struct {
	random *rand.Rand
	policy Policy
	zone   string
	// seed determines the subset of targets that this host uses.
	seed    uint64
	targets *sortedmap.Map[string, *targetState]
	// subset holds the live targets that this host uses, in key order.
	subset []*targetState
	// nextIndex is the index in subset at which the round robin continues.
	nextIndex int
	// shares holds the fair queueing weights by workspace.
	shares map[string]int

	// short and long are the fair queues of the two classes of calls.
	short, long *fairqueue.Queue[string, *entry]
	// deferred holds calls that none of the free slots accepts, though other calls could start
	// there; in the order in which they were deferred.
	deferred []*entry
	// arrivals is the number of calls queued so far, from which entries get their number.
	arrivals uint64
	// pendingRefusals are refusals of evicted calls, to be returned with the next Actions.
	pendingRefusals []Refusal

	// running holds the calls in flight; oldest and newest are the ends of the list of runs
	// in start order.
	running        map[ID]*run
	oldest, newest *run
	// poolLimit is this host's concurrency limit on the whole pool.
	poolLimit limit.PoolLimit
	// longInflight is the number of long calls in flight.
	longInflight int
	// peakShortDemand is the recent peak of short calls in flight and queued.
	peakShortDemand float64
	lastCheck       time.Duration
	// copies is the number of hedges and probe copies so far, from which their IDs are made.
	copies uint64

	serviceTimes *estimate.Estimator[estimateKey]
	callSizes    *estimate.Estimator[estimateKey]
	retryBudget  budget.Budget
	hedgeBudget  budget.Budget
	probeBudget  budget.Budget
	// poolSlowdown is an EWMA of the ratio of measured to expected service times in the pool.
	poolSlowdown float64
	prefixes     *balance.PrefixIndex
	suspects     *suspect.Table
	// parts has the prompt prefixes that crash targets. host and crashes, the number of crashes that
	// this host observed in the pool, identify a crash.
	parts   *suspect.Parts
	host    string
	crashes uint64
}

// targetState is a target with this host's measurements of it.
type targetState struct {
	target Target
	// inflight is the number of runs on this target; longInflight and isolatedInflight
	// count those that are long work or isolated crash suspects.
	inflight, longInflight, isolatedInflight int
	limit                                    limit.Limit
	detector                                 balance.SlowDetector
	// otherLoad is the number of calls of other hosts on the target, as reported at
	// otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Duration
	sameZone    bool
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithPolicy sets the policy to start with.
func WithPolicy(p Policy) Option { return func(s *Scheduler) { s.policy = p } }

// WithZone sets the availability zone of the host. Targets in that zone are preferred.
func WithZone(zone string) Option { return func(s *Scheduler) { s.zone = zone } }

// WithSuspects sets the table of crash suspects. The default table is not shared with other
// hosts.
func WithSuspects(t *suspect.Table) Option { return func(s *Scheduler) { s.suspects = t } }

// WithParts sets the table of prompt prefixes that crash targets, and the host that observes crashes.
// The default table is not shared with other hosts.
func WithParts(host string, p *suspect.Parts) Option {
	return func(s *Scheduler) { s.host, s.parts = host, p }
}

// New returns a scheduler without targets.
func New(random *rand.Rand, options ...Option) *Scheduler {
	s := &Scheduler{
		random: random, policy: NewPolicy(), seed: random.Uint64(),
		targets: sortedmap.New[string, *targetState](), running: make(map[ID]*run),
		short: fairqueue.New[string, *entry](), long: fairqueue.New[string, *entry](),
		poolSlowdown: 1, serviceTimes: estimate.New[estimateKey](), callSizes: estimate.New[estimateKey](),
		prefixes: balance.NewPrefixIndex(), suspects: suspect.New("", nil), parts: suspect.NewParts(nil),
	}
	for _, o := range options {
		o(s)
	}
	s.retryBudget = budget.New(s.policy.retryPercent, retryBurst, retryBurst)
	s.hedgeBudget = budget.New(s.policy.hedgePercent-s.policy.hedgePercent/probeDivisor, hedgeInitial, hedgeBurst)
	s.probeBudget = budget.New(s.policy.hedgePercent/probeDivisor, hedgeInitial, hedgeBurst)
	return s
}

// SetPolicy replaces the policy. Queued calls stay queued, in the order of the new policy.
func (s *Scheduler) SetPolicy(p Policy) {
	old := s.policy
	s.policy = p
	s.retryBudget.SetPercent(p.retryPercent)
	s.hedgeBudget.SetPercent(p.hedgePercent - p.hedgePercent/probeDivisor)
	s.probeBudget.SetPercent(p.hedgePercent / probeDivisor)
	if old.fairQueueing == p.fairQueueing && old.limitLongWork == p.limitLongWork {
		return
	}
	all := func(*entry) bool { return true }
	queued := append(s.short.RemoveFunc(all), s.long.RemoveFunc(all)...)
	slices.SortFunc(queued, func(a, b *entry) int { return int(a.arrival) - int(b.arrival) })
	for _, e := range queued {
		s.push(e)
	}
}

// SetShares replaces the fair queueing weights of the workspaces; the default is 1. Queued
// calls keep their weight until their workspace offers another call.
func (s *Scheduler) SetShares(shares map[string]int) { s.shares = shares }

// SetTargets replaces the targets of the pool. Calls in flight on removed targets continue.
func (s *Scheduler) SetTargets(_ time.Duration, targets []Target) {
	next := sortedmap.New[string, *targetState]()
	var live []string
	for _, t := range targets {
		st, ok := s.targets.Get(t.name)
		if !ok {
			st = &targetState{limit: limit.New(t.slots)}
		} else if t.slots != st.target.slots {
			st.limit.Resize(t.slots)
		}
		st.target = t
		st.sameZone = t.zone == s.zone
		next.Put(t.name, st)
		if !t.leaving {
			live = append(live, t.name)
		}
	}
	s.targets = next
	sameZone := func(name string) bool {
		st, _ := next.Get(name)
		return st.sameZone
	}
	s.subset = s.subset[:0]
	for _, name := range balance.Subset(live, s.seed, subsetSize, sameZone) {
		st, _ := next.Get(name)
		s.subset = append(s.subset, st)
	}
}

// Offer submits a call, which is started, queued or refused.
func (s *Scheduler) Offer(now time.Duration, c Call) Decision { return s.offer(now, c, false) }

// Retry submits a repeated attempt of a call on another target. Unlike Offer, it charges the
// retry budget of the pool, and refuses with RetryBudgetSpent once that is exhausted.
func (s *Scheduler) Retry(now time.Duration, c Call) Decision {
	work := s.inAverageCalls(s.predict(c).meanTime)
	if !s.retryBudget.Allows(work) {
		return refuse(reason.RetryBudgetSpent)
	}
	d := s.offer(now, c, true)
	if d.verdict != Refused {
		s.retryBudget.Withdraw(work)
	}
	return d
}

func refuse(why reason.Reason) Decision { return Decision{verdict: Refused, reason: why} }

func (s *Scheduler) offer(now time.Duration, c Call, retry bool) Decision {
	if why := s.immediateRefusal(now, c); why != reason.None {
		return refuse(why)
	}
	e := s.newEntry(now, c, retry)
	if s.policy.admission && now+e.median > e.poolDeadline() && !s.serviceTimes.AllowTrial(now, e.key, trialInterval) {
		return refuse(reason.PredictedLate)
	}
	s.peakShortDemand = max(s.peakShortDemand, s.shortDemand())
	if s.canStartDirectly(now, e) {
		if st, probe, ok := s.pickTarget(now, e); ok {
			s.startRun(now, e, st, probe)
			return Decision{verdict: Started, target: st.target.name}
		}
		if s.classHasSlot(now, e) {
			return s.deferEntry(e)
		}
	}
	return s.enqueue(now, e)
}

// immediateRefusal returns why a call can neither start nor be queued, or reason.None.
func (s *Scheduler) immediateRefusal(now time.Duration, c Call) reason.Reason {
	switch {
	case now >= c.deadline:
		return reason.DeadlineExceeded
	case len(s.subset) == 0:
		return reason.NoTargets
	case s.crashesTargets(now, c):
		return reason.CrashSuspect
	}
	return reason.None
}

// crashesTargets reports whether the call must not run because it crashes targets.
func (s *Scheduler) crashesTargets(now time.Duration, c Call) bool {
	if c.fingerprint != 0 && s.suspects.Level(now, c.fingerprint) == suspect.Refused {
		return true
	}
	_, refused := s.parts.Refused(now, c.promptParts())
	return refused
}

// Finish reports the end of a call and returns the actions that follow from it, such as the
// queued calls that start in its place.
func (s *Scheduler) Finish(now time.Duration, r Result) (actions Actions) {
	run, ok := s.running[r.id]
	if !ok {
		return Actions{}
	}
	s.removeRun(run)
	s.recordResult(now, run, r)
	s.correctCharge(now, run)
	s.resolveHedge(run, r.status, &actions)
	s.startQueued(now, &actions)
	if now-s.lastCheck >= checkInterval {
		s.checkRuns(now, &actions)
	}
	return actions
}

// Cancel removes a queued call and reports whether it was queued.
func (s *Scheduler) Cancel(_ time.Duration, id ID) bool {
	n := s.QueueLen()
	drop := func(e *entry) bool { return e.call.id == id }
	s.deferred = slices.DeleteFunc(s.deferred, drop)
	if s.QueueLen() == n {
		s.short.RemoveFunc(drop)
	}
	if s.QueueLen() == n {
		s.long.RemoveFunc(drop)
	}
	return s.QueueLen() < n
}

// Tick drops queued calls that can no longer meet their deadline, starts queued calls in
// free slots, and checks the calls in flight for slow targets and for calls to hedge.
func (s *Scheduler) Tick(now time.Duration) (actions Actions) {
	drop := func(e *entry) bool {
		if !s.willMissDeadline(now, e) {
			return false
		}
		actions.refusals = append(actions.refusals, Refusal{id: e.call.id, reason: s.dropReason(now, e)})
		return true
	}
	s.deferred = slices.DeleteFunc(s.deferred, drop)
	s.short.RemoveFunc(drop)
	s.long.RemoveFunc(drop)
	s.peakShortDemand = max(s.peakShortDemand*demandDecay, s.shortDemand())
	s.startQueued(now, &actions)
	s.checkRuns(now, &actions)
	return actions
}

// QueueLen returns the number of queued calls.
func (s *Scheduler) QueueLen() int { return s.short.Len() + s.long.Len() + len(s.deferred) }

// Inflight returns the number of this host's calls in flight on the target.
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

// SlowTargets returns the names of the targets that are marked as slow.
func (s *Scheduler) SlowTargets() (names []string) {
	for name, st := range s.targets.All() {
		if st.detector.Slow() {
			names = append(names, name)
		}
	}
	return names
}

// AddedWork returns the work added by retries and by hedges, each in percent of the original
// work.
func (s *Scheduler) AddedWork() (retries, hedges float64) {
	return s.retryBudget.AddedPercent(), s.hedgeBudget.AddedPercent() + s.probeBudget.AddedPercent()
}

// Parts returns the table of prompt prefixes that crash targets, into which the records of other hosts
// are merged.
func (s *Scheduler) Parts() *suspect.Parts { return s.parts }

// Suspects returns the table of crash suspects, into which the records of other hosts are
// merged.
func (s *Scheduler) Suspects() *suspect.Table { return s.suspects }

// ApplyCacheEvents applies a target's cache events up to a sequence number.
func (s *Scheduler) ApplyCacheEvents(now time.Duration, target string, sequence uint64, cached, evicted []uint64) {
	s.prefixes.ApplyEvents(now, target, sequence, cached, evicted)
}
