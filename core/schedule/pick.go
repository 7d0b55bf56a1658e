package schedule

import (
	"slices"
	"time"

	"sassafrasward/core/balance"
	"sassafrasward/core/suspect"
)

const (
	// candidateCount is the number of random targets compared per choice. In a simulation of 6
	// hosts and 10 targets at 3 times capacity, 3 candidates leave 6% of the slots idle and 8
	// leave 2%.
	candidateCount = 8
	// otherZoneFactor multiplies the score of a target in another zone, so that the host's own
	// zone is preferred until its targets are clearly busier.
	otherZoneFactor = 1.15
	// affinityFactor multiplies the score of a target that has the prefix cached.
	affinityFactor = 0.8
	// maxLongLoad is the load of a target, in calls of all hosts per slot, up to which long work
	// beyond its guarantee starts there. Hosts do not see each other's long calls; without
	// this limit they would together take all slots from short work.
	maxLongLoad = 0.6
	// loadReportHalfLife is the age at which the reported load of other hosts has half its
	// weight. At 500 ms, the p99 with 2 slowed targets of 10 is 1.5 to 1.7 times the usual one;
	// at 100 ms, 1.1 to 1.3.
	loadReportHalfLife = 100 * time.Millisecond
)

// targetLimit returns how many calls this host may have in flight on the target.
func (s *Scheduler) targetLimit(st *targetState) int {
	if s.policy.adaptiveLimits {
		return st.limit.Value()
	}
	return st.target.slots
}

// pickTarget returns a target for the call, and whether the call probes a slow target.
func (s *Scheduler) pickTarget(now time.Duration, e *entry) (st *targetState, probe, ok bool) {
	isolated := s.isIsolated(now, e)
	if !s.policy.leastLoaded {
		st, ok = s.pickRoundRobin(now, e, isolated)
		return st, false, ok
	}
	ignoreSlow := s.mostTargetsSlow()
	if st, ok = s.pickProbe(now, e, isolated); ok {
		return st, true, true
	}
	if s.policy.prefixAffinity && e.call.prefix != 0 {
		if st, ok = s.pickByPrefix(now, e, isolated, ignoreSlow); ok {
			return st, false, true
		}
	}
	st, ok = s.pickLeastLoaded(now, e, isolated, ignoreSlow)
	return st, false, ok
}

func (s *Scheduler) pickLeastLoaded(now time.Duration, e *entry, isolated, ignoreSlow bool) (st *targetState, ok bool) {
	i, ok := balance.PickLeastLoaded(s.random, len(s.subset), candidateCount, func(i int) (float64, bool) {
		st := s.subset[i]
		return s.score(now, st), s.canUse(now, st, e, isolated, ignoreSlow)
	})
	if !ok {
		return nil, false
	}
	return s.subset[i], true
}

// pickRoundRobin returns the next usable target in round-robin order.
func (s *Scheduler) pickRoundRobin(now time.Duration, e *entry, isolated bool) (st *targetState, ok bool) {
	n := len(s.subset)
	for i := range n {
		st := s.subset[(s.nextIndex+i)%n]
		if s.canUse(now, st, e, isolated, false) {
			s.nextIndex = (s.nextIndex + i + 1) % n
			return st, true
		}
	}
	return nil, false
}

// canUse reports whether the call may start on the target now. If ignoreSlow is true, a
// target that is marked as slow may be used.
func (s *Scheduler) canUse(now time.Duration, st *targetState, e *entry, isolated, ignoreSlow bool) bool {
	switch {
	case !s.hasSlot(now, st, e.longClass, isolated):
		return false
	case s.policy.slowDetection && st.detector.Slow() && !ignoreSlow:
		return false
	case !e.call.idempotent && st.inflight >= st.limit.Slots():
		// If the deadline passes while a command is queued at the target, its outcome is unknown;
		// if it is queued here, the outcome is that it was not run.
		return false
	case len(e.call.avoid) > 0 && slices.Contains(e.call.avoid, st.target.name):
		return !s.hasAlternative(e)
	}
	return true
}

// hasSlot reports whether the target has a free slot for a call of the given class.
func (s *Scheduler) hasSlot(now time.Duration, st *targetState, long, isolated bool) bool {
	limit := s.targetLimit(st)
	switch {
	case st.target.leaving || st.inflight >= limit:
		return false
	case isolated && st.isolatedInflight > 0:
		return false
	case long && st.longInflight >= max(limit*s.policy.longPercent/100, 1):
		return false
	case long && s.longInflight >= s.longGuarantee() && s.load(now, st) > maxLongLoad:
		return false
	}
	return true
}

// hasLongSlot reports whether any target that is not avoided as slow has a free slot for a long
// call.
func (s *Scheduler) hasLongSlot(now time.Duration) bool {
	ignoreSlow := s.mostTargetsSlow()
	for _, st := range s.subset {
		slow := s.policy.slowDetection && st.detector.Slow() && !ignoreSlow
		if !slow && s.hasSlot(now, st, true, false) {
			return true
		}
	}
	return false
}

// hasAlternative reports whether the subset has a target that is neither slow nor on the
// call's list of targets to avoid.
func (s *Scheduler) hasAlternative(e *entry) bool {
	for _, st := range s.subset {
		if !slices.Contains(e.call.avoid, st.target.name) && !(s.policy.slowDetection && st.detector.Slow()) {
			return true
		}
	}
	return false
}

// score returns the relative delay expected on a target: its load times its recent latency
// relative to the usual one.
func (s *Scheduler) score(now time.Duration, st *targetState) float64 {
	score := s.load(now, st)
	if s.policy.slowDetection {
		score *= st.detector.Ratio()
	}
	if !st.sameZone {
		score *= otherZoneFactor
	}
	return score
}

// load returns the calls per slot if one more call started. The estimated load of other hosts
// moves from the target's last report to the mean of the pool as that report ages.
func (s *Scheduler) load(now time.Duration, st *targetState) float64 {
	mean := s.poolLimit.OthersLoad()
	others := mean + (st.otherLoad-mean)/(1+float64(now-st.otherLoadAt)/float64(loadReportHalfLife))
	return (float64(st.inflight) + 1 + others) / float64(max(st.limit.Slots(), 1))
}

// mostTargetsSlow reports whether most targets are marked as slow. Then the prediction is
// more likely to be wrong than the targets are to be slow, and the marks are ignored.
func (s *Scheduler) mostTargetsSlow() bool {
	slow := 0
	for _, st := range s.subset {
		if st.detector.Slow() {
			slow++
		}
	}
	return 2*slow > len(s.subset)
}

// pickProbe returns a slow target that is due for a probe, if the call has time for a slow
// run. It is used only without a hedge budget; otherwise sendProbes probes with copies of
// calls.
func (s *Scheduler) pickProbe(now time.Duration, e *entry, isolated bool) (st *targetState, ok bool) {
	if !s.policy.slowDetection || s.policy.hedgePercent >= probeDivisor || !e.call.idempotent || e.longClass || e.retry || isolated {
		return nil, false
	}
	for _, st := range s.subset {
		if st.detector.ProbeDue(now) && s.hasSlot(now, st, e.longClass, isolated) && now+2*e.p95+e.median <= e.poolDeadline() {
			return st, true
		}
	}
	return nil, false
}

// pickByPrefix returns the target with the best score among the one that pickLeastLoaded
// returns, the targets that have the call's prefix cached, and the home of the prefix. A
// cache hit saves part of the service time; affinityFactor bounds the extra load that is
// accepted for it.
func (s *Scheduler) pickByPrefix(now time.Duration, e *entry, isolated, ignoreSlow bool) (st *targetState, ok bool) {
	st, ok = s.pickLeastLoaded(now, e, isolated, ignoreSlow)
	if !ok {
		return nil, false
	}
	least := s.score(now, st)
	consider := func(candidate *targetState) {
		if score := s.score(now, candidate) * affinityFactor; score < least && s.canUse(now, candidate, e, isolated, ignoreSlow) {
			st, least = candidate, score
		}
	}
	s.prefixes.Each(now, e.call.prefix, func(target string) bool {
		if candidate, known := s.targets.Get(target); known {
			consider(candidate)
		}
		return true
	})
	if candidate := s.prefixHome(e.call.prefix); candidate != nil {
		consider(candidate)
	}
	return st, true
}

// prefixHome returns the target that ranks first for the prefix by rendezvous hashing, which
// is the same on all hosts with the same targets.
func (s *Scheduler) prefixHome(prefix uint64) (st *targetState) {
	least := uint64(0)
	for name, candidate := range s.targets.All() {
		if rank := balance.Rank(prefix, name); !candidate.target.leaving && (st == nil || rank < least) {
			st, least = candidate, rank
		}
	}
	return st
}

// isIsolated reports whether the call is a crash suspect that may not run on the same target
// as another suspect.
func (s *Scheduler) isIsolated(now time.Duration, e *entry) bool {
	return e.call.fingerprint != 0 && s.suspects.Level(now, e.call.fingerprint) == suspect.Isolated
}
