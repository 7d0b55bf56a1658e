package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/capacity"
	"sassafrasward/core/discovery"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/core/sortedmap"
)

const (
	// minBackoff and maxBackoff bound the backoff after a target does not respond.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// sampleWeight is the EWMA weight of a new measurement. Measurements decay with
	// sampleHalfLife, so that a target is tried again within about ten seconds.
	sampleWeight   = 0.35
	sampleHalfLife = 2 * time.Second
	// costPerToken is the load of reading a shared token again, costPerByte that of moving a
	// byte of input between zones. A typical prompt has a load of 1; the ratio of both follows
	// the users' prices.
	costPerToken = 1e-3
	costPerByte  = 0.35e-6
	// promptClassCost is the cost of a target that is reserved for prompts of the other length
	// class.
	promptClassCost = 1.0
	// minAffinityTokens is the number of shared tokens from which a request has an affinity
	// target.
	minAffinityTokens = 500
	// minLongPromptTokens is the length from which a prompt counts as long: reading it takes
	// about 0.1 s, which delays other requests noticeably.
	minLongPromptTokens = 4096
	// longTargetFraction is the fraction of the targets that is reserved for long prompts, and
	// minSplitTargets the number of targets from which long and short prompts are separated.
	longTargetFraction = 0.6
	minSplitTargets    = 4
	// prefixTargetFraction is the fraction of the targets that serve a first prefix, which many
	// requests share. With fewer targets it is read less often, but they get overloaded.
	prefixTargetFraction = 0.6
	// maxSlowdownSample bounds one slowdown sample of a target.
	maxSlowdownSample = 20
	// slowdownP75Step is the fraction by which one sample lowers slowdownP75; one above
	// slowdownP75 raises it by three times as much. A dozen slow answers, two seconds of load on
	// one host, double it.
	slowdownP75Step = 0.02
	// minSlowdownP75 and maxSlowdownP75 bound slowdownP75.
	minSlowdownP75 = 0.5
	maxSlowdownP75 = 4.0
	// costPerWaitSecond is the cost of waiting for a target, in units of load: about the number of
	// typical prompts that a target reads in a second.
	costPerWaitSecond = 10.0
	// backoffCost ranks targets in backoff behind all others.
	backoffCost = 1e6
)

// Request describes a request for which a target is chosen.
type Request struct {
	// FirstPrefix and LastPrefix identify the first and the last part of the prompt that the
	// request shares with others. SharedTokens is the length of all shared parts.
	FirstPrefix, LastPrefix uint64
	SharedTokens            int
	// PromptTokens is the length of the whole prompt; zero if the request has no prompt.
	PromptTokens int
	// InputZone is the zone with the request's inputs; empty if there is no preferred zone.
	// InputBytes have to be moved to a target in another zone.
	InputZone  string
	InputBytes int64
	// Load is the work of the request relative to a typical one.
	Load float64
	// Exclude lists targets that the request was sent to before.
	Exclude []string
	// TieBreak is uniform in [0, 1) and breaks ties between targets of similar cost.
	TieBreak float64
	// Zones has the zones of targets that the request may use; nil for all.
	Zones []string
	// MaxWait is how long the request may wait for a target that takes no requests now.
	MaxWait time.Duration
	// ID identifies the request at this host, and Expected is the expected time to its first event at an
	// idle target; both are zero if unknown.
	ID       string
	Expected time.Duration
	// Spare is the time in which the first event is useful as a multiple of the expected time to it; zero
	// if unknown.
	Spare float64
}

// targetState is a target with this host's load and measurements.
type targetState struct {
	target discovery.Target
	// process identifies the target's process in shared estimates.
	process uint64
	// load is the sum of the loads of the requests in flight.
	load float64
	// slowdown is the EWMA of the ratio of measured to expected durations, last updated at
	// slowdownTime.
	slowdown     float64
	slowdownTime time.Duration
	// failureRate is the EWMA of the fraction of failed requests, last updated at
	// failureRateTime.
	failureRate     float64
	failureRateTime time.Duration
	// backoffUntil is the end of the current backoff; consecutiveFailures counts requests
	// without a response since the last success.
	backoffUntil        time.Duration
	consecutiveFailures int
}

// Chooser chooses among the targets of one pool. It is not safe for concurrent use.
type Chooser struct {
	targets *sortedmap.Map[string, *targetState]
	// gate knows which targets take requests.
	gate selfreport.Gate
	// coldGate is the gate if it knows which targets are cold, otherwise nil.
	coldGate selfreport.ColdGate
	// slowdownP75 is the estimated 75th percentile of the slowdown of the requests to the pool.
	slowdownP75 float64
	// shared has what all hosts know of the targets.
	shared shared
}

// Option configures a Chooser.
type Option func(*Chooser)

// WithGate makes the chooser ask the gate before it chooses a target.
func WithGate(gate selfreport.Gate) Option {
	return func(c *Chooser) {
		c.gate = gate
		c.coldGate, _ = gate.(selfreport.ColdGate)
	}
}

// New returns a chooser without targets. Without WithGate, all targets take all requests.
func New(options ...Option) *Chooser {
	c := &Chooser{targets: sortedmap.New[string, *targetState](), gate: selfreport.OpenGate{}, slowdownP75: 1, shared: newShared(0)}
	for _, o := range options {
		o(c)
	}
	return c
}

// SetTargets replaces the targets of the pool.
func (c *Chooser) SetTargets(targets []discovery.Target) {
	next := sortedmap.New[string, *targetState]()
	var processes []uint64
	for _, t := range targets {
		st, ok := c.targets.Get(t.ID)
		if !ok || st.target.StartID != t.StartID {
			process := capacity.ProcessOf(t.ID, t.StartID)
			if ok {
				c.shared.table.Restart(st.process, process)
			}
			st = &targetState{slowdown: 1, process: process}
		}
		st.target = t
		next.Put(t.ID, st)
		processes = append(processes, st.process)
	}
	c.targets = next
	c.shared.table.Retain(processes)
}

// Choose returns the target with the lowest cost, and how long the request has to wait before it is
// sent there. It counts the request as in flight. It reports false if every target is leaving, evacuated, excluded
// or takes no request within r.MaxWait.
func (c *Chooser) Choose(now time.Duration, r Request) (t discovery.Target, wait time.Duration, ok bool) {
	if c.countShared(now, r) {
		return c.chooseShared(now, r)
	}
	longTargets := c.longPromptTargets(r)
	affinity := c.affinityTarget(now, r, longTargets)
	var best *targetState
	lowest := math.Inf(1)
	for _, st := range c.targets.All() {
		targetWait, ok := c.accepts(now, st, r)
		if !ok {
			continue
		}
		cost := c.cost(now, st, r) + targetWait.Seconds()*costPerWaitSecond
		if c.coldGate != nil && c.coldGate.Cold(now, st.target) {
			cost += coldCost
		}
		if r.PromptTokens > 0 && longTargets != nil && longTargets[st.target.ID] != (r.PromptTokens >= minLongPromptTokens) {
			cost += promptClassCost
		}
		if affinity != "" && affinity != st.target.ID {
			cost += float64(r.SharedTokens) * costPerToken
		}
		if cost < lowest {
			best, lowest, wait = st, cost, targetWait
		}
	}
	if best == nil {
		return discovery.Target{}, 0, false
	}
	return c.take(now, best, r, wait), wait, true
}

// accepts reports whether a request may be sent to a target, and how long it has to wait for it.
func (c *Chooser) accepts(now time.Duration, st *targetState, r Request) (wait time.Duration, ok bool) {
	if !st.target.AcceptsWork() || slices.Contains(r.Exclude, st.target.ID) || !route.ZoneAllowed(r.Zones, st.target.Zone) {
		return 0, false
	}
	wait = c.gate.Wait(now, st.target)
	return wait, wait <= r.MaxWait
}

// take counts a request as in flight at a target, where it is sent after a wait.
func (c *Chooser) take(now time.Duration, st *targetState, r Request, wait time.Duration) discovery.Target {
	st.load += max(r.Load, minRequestLoad)
	c.await(now+wait, st, r)
	c.gate.Take(now, st.target)
	return st.target
}

// SoonestWait returns how long every target that is neither leaving, evacuated nor excluded, in the zones (nil for all), takes no request, if
// some requests (ahead) are sent first; Never if it is not known when one of them does. It reports false
// if there are no such targets.
func (c *Chooser) SoonestWait(now time.Duration, exclude, zones []string, ahead int) (wait time.Duration, ok bool) {
	wait = selfreport.Never
	rate := 0.0
	for _, st := range c.targets.All() {
		if st.target.AcceptsWork() && !slices.Contains(exclude, st.target.ID) && route.ZoneAllowed(zones, st.target.Zone) {
			wait, ok = min(wait, c.gate.Wait(now, st.target)), true
			rate += c.gate.Rate(now, st.target)
		}
	}
	if wait == selfreport.Never || rate == 0 {
		return selfreport.Never, ok
	}
	return wait + time.Duration(float64(ahead)/rate*float64(time.Second)), ok
}

// Usable reports whether a target that was chosen before is still one of the pool, and neither is
// leaving or evacuated nor has asked for a pause.
func (c *Chooser) Usable(now time.Duration, t discovery.Target) bool {
	st, ok := c.targets.Get(t.ID)
	return ok && st.target.AcceptsWork() && st.target.StartID == t.StartID && c.gate.Wait(now, t) != selfreport.Never && c.gate.Paused(now, t) == 0
}

// Closure is the reason for which a pool has no target for a request that is known in advance to last.
type Closure int

// The closures.
const (
	// Open means that the pool has targets, or that it lacks them for another reason.
	Open Closure = iota
	// Evacuated means that the zones that the request may use are evacuated.
	Evacuated
	// OutsideHomes means that all targets are in zones that the request may not use.
	OutsideHomes
)

// Closed returns whether the pool is closed to requests that may use the zones; nil for all.
func (c *Chooser) Closed(zones []string) Closure {
	allowed, evacuated := false, false
	for _, st := range c.targets.All() {
		if !route.ZoneAllowed(zones, st.target.Zone) {
			continue
		}
		if st.target.AcceptsWork() {
			return Open
		}
		allowed, evacuated = true, evacuated || st.target.Evacuated
	}
	switch {
	case evacuated:
		return Evacuated
	case !allowed && c.targets.Len() > 0:
		return OutsideHomes
	}
	return Open
}

// AffinityTarget returns the target whose cache should hold the shared parts of the prompt. It
// reports false if there is none.
func (c *Chooser) AffinityTarget(now time.Duration, r Request) (t discovery.Target, ok bool) {
	st, ok := c.targets.Get(c.affinityTarget(now, r, c.longPromptTargets(r)))
	if !ok {
		return discovery.Target{}, false
	}
	return st.target, true
}

// coldCost is the cost of a target that has just started and is slow, in units of load. Requests go to warm targets
// as long as these have less to do; a larger cost would leave the rate of cold targets unused in a burst.
const coldCost = 3

// minRequestLoad is the minimum load of a request, so that each one in flight counts.
const minRequestLoad = 0.1

// cost returns the cost of a request at a target, in units of load. The load is multiplied by the
// slowdown, and by up to 9 for failures. The tie-break adds less than 0.2.
func (c *Chooser) cost(now time.Duration, st *targetState, r Request) float64 {
	cost := (1 + st.load) * st.currentSlowdown(now) * (1 + 8*st.currentFailureRate(now))
	if r.InputZone != "" && r.InputZone != st.target.Zone {
		cost += float64(r.InputBytes) * costPerByte
	}
	if now < st.backoffUntil {
		cost += backoffCost
	}
	tie := xxhash.Sum64String(st.target.ID) ^ uint64(r.TieBreak*(1<<53))*hashMultiplier
	return cost + float64(tie>>40)/(1<<24)*0.2
}

// hashMultiplier mixes the bits of a hash.
const hashMultiplier = 0x9e3779b97f4a7c15

// longPromptTargets returns the targets that are reserved for long prompts; nil if there are
// too few targets to separate prompts by length or the request has no prompt.
func (c *Chooser) longPromptTargets(r Request) (targets map[string]bool) {
	if r.PromptTokens == 0 || c.targets.Len() < minSplitTargets {
		return nil
	}
	ranked := c.rankTargets(1, c.targets.Keys())
	targets = make(map[string]bool)
	for _, id := range ranked[:int(math.Ceil(longTargetFraction*float64(len(ranked))))] {
		targets[id] = true
	}
	return targets
}

// rankTargets sorts targets by rendezvous hashing, which gives the same order on all hosts.
func (c *Chooser) rankTargets(key uint64, ids []string) []string {
	type ranked struct {
		hash uint64
		id   string
	}
	list := make([]ranked, len(ids))
	for i, id := range ids {
		x := (xxhash.Sum64String(id) ^ key) * hashMultiplier
		list[i] = ranked{hash: (x ^ x>>29) * hashMultiplier, id: id}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	for i, r := range list {
		ids[i] = r.id
	}
	return ids
}

// affinityTarget returns the target whose cache should hold the shared parts of the prompt.
// Rendezvous hashing of the first prefix selects a subset of the targets, and hashing of the
// last prefix one of them. Hosts with the same list of targets get the same result.
func (c *Chooser) affinityTarget(now time.Duration, r Request, longTargets map[string]bool) (id string) {
	if ranked := c.affinityRanking(now, r, longTargets); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// affinityRanking returns the targets that may hold the shared parts of the prompt, the affinity target
// first; nil if there are none.
func (c *Chooser) affinityRanking(now time.Duration, r Request, longTargets map[string]bool) (ids []string) {
	if r.SharedTokens < minAffinityTokens {
		return nil
	}
	var available []string
	for id, st := range c.targets.All() {
		if st.target.AcceptsWork() && route.ZoneAllowed(r.Zones, st.target.Zone) && now >= st.backoffUntil && c.gate.Wait(now, st.target) == 0 && (longTargets == nil || longTargets[id] == (r.PromptTokens >= minLongPromptTokens)) {
			available = append(available, id)
		}
	}
	if len(available) == 0 {
		return nil
	}
	available = c.rankTargets(r.FirstPrefix, available)
	return c.rankTargets(r.LastPrefix, available[:int(math.Ceil(prefixTargetFraction*float64(len(available))))])
}

func (st *targetState) currentSlowdown(now time.Duration) float64 {
	return 1 + (st.slowdown-1)*math.Exp2(-float64(now-st.slowdownTime)/float64(sampleHalfLife))
}

func (st *targetState) currentFailureRate(now time.Duration) float64 {
	return st.failureRate * math.Exp2(-float64(now-st.failureRateTime)/float64(sampleHalfLife))
}

// Abandon ends a request with the ID and load that Choose counted as in flight and that was not sent.
func (c *Chooser) Abandon(target, id string, load float64) {
	delete(c.shared.waiting, id)
	if st, ok := c.targets.Get(target); ok {
		st.load = max(st.load-max(load, minRequestLoad), 0)
	}
}

// Result is how a request at a target ended.
type Result struct {
	Target string
	// ID is that of the request.
	ID string
	// Load is the load of the request as passed to Choose.
	Load float64
	// Failed is set if the target failed, NoResponse if it could not be reached or did not
	// answer.
	Failed, NoResponse bool
	// Slowdown is the ratio of the measured to the expected duration; zero if unknown.
	Slowdown float64
}

// Finish records the end of a request that Choose counted as in flight.
func (c *Chooser) Finish(now time.Duration, r Result) {
	st, ok := c.targets.Get(r.Target)
	if !ok {
		return
	}
	c.Abandon(r.Target, r.ID, r.Load)
	sample := 0.0
	if r.Failed || r.NoResponse {
		sample = 1
	}
	st.failureRate, st.failureRateTime = st.currentFailureRate(now)+sampleWeight*(sample-st.currentFailureRate(now)), now
	if r.Slowdown > 0 {
		c.updateSlowdownP75(r.Slowdown)
		st.slowdown, st.slowdownTime = st.currentSlowdown(now)+sampleWeight*(min(r.Slowdown, maxSlowdownSample)-st.currentSlowdown(now)), now
	}
	if r.NoResponse {
		st.backoffUntil = now + min(minBackoff<<min(st.consecutiveFailures, 8), maxBackoff)
		st.consecutiveFailures++
	} else if !r.Failed {
		st.consecutiveFailures, st.backoffUntil = 0, 0
	}
}

// updateSlowdownP75 moves the estimated percentile towards a sample. Steps up are three times
// as large as steps down, so that it converges where three of four samples are below it.
func (c *Chooser) updateSlowdownP75(slowdown float64) {
	step := slowdownP75Step
	if slowdown > c.slowdownP75 {
		step = 3 * slowdownP75Step
	}
	if slowdown < c.slowdownP75 {
		step = -step
	}
	c.slowdownP75 = min(max(c.slowdownP75*(1+step), minSlowdownP75), maxSlowdownP75)
}

// SlowdownP75 returns the estimated 75th percentile of the slowdown of requests to the pool.
func (c *Chooser) SlowdownP75() float64 { return c.slowdownP75 }

// Available returns the number of targets that are neither leaving, evacuated nor in backoff.
func (c *Chooser) Available(now time.Duration) (n int) {
	for _, st := range c.targets.All() {
		if st.target.AcceptsWork() && now >= st.backoffUntil {
			n++
		}
	}
	return n
}
