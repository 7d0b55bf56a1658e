package schedule

import (
	"slices"
	"time"

	"sassafrasward/core/balance"
	"sassafrasward/core/suspect"
)

const (
	// tries is the number of random candidates. On a model of 6 hosts and 10 targets at 3
	// times capacity, 3 candidates leave 6% of the slots idle and 8 leave 2%.
	tries = 8
	// farFactor makes a target in another zone count as more loaded, so that the same
	// zone comes first until its targets are clearly busier.
	farFactor = 1.15
	// affinityFactor makes a target that holds the prefix count as less loaded.
	affinityFactor = 0.8
	// longLoad bounds the load of a target, with that of other hosts, up to which long work
	// beyond its guarantee starts there. Hosts do not see each other's long calls, and
	// without the bound their parts together leave short work no room.
	longLoad = 0.6
	// fade is the age at which the reported load of other hosts counts half. At 500 ms, the
	// p99 with 2 slowed targets of 10 is 1.5 to 1.7 times the usual one; at 100 ms, 1.1 to 1.3.
	fade = 100 * time.Millisecond
)

// bound returns how many calls of this host the target may run.
func (s *Scheduler) bound(st *state) int {
	if s.policy.adapt {
		return st.limit.Value()
	}
	return st.target.slots
}

// pick returns a target for the call, and whether the call is a probe of a slow one.
func (s *Scheduler) pick(now time.Duration, e *entry) (st *state, probe, ok bool) {
	isolated := s.isolated(now, e)
	if !s.policy.choice {
		st, ok = s.rotate(now, e, isolated)
		return st, false, ok
	}
	panicking := s.panicking()
	if st, ok = s.probe(now, e, isolated); ok {
		return st, true, true
	}
	if s.policy.affinity && e.call.prefix != 0 {
		if st, ok = s.prefer(now, e, isolated, panicking); ok {
			return st, false, true
		}
	}
	st, ok = s.choose(now, e, isolated, panicking)
	return st, false, ok
}

func (s *Scheduler) choose(now time.Duration, e *entry, isolated, panicking bool) (st *state, ok bool) {
	i, ok := balance.PickLeastLoaded(s.random, len(s.subset), tries, func(i int) (float64, bool) {
		st := s.subset[i]
		return s.score(now, st), s.usable(now, st, e, isolated, panicking)
	})
	if !ok {
		return nil, false
	}
	return s.subset[i], true
}

// rotate is the round robin over targets with room.
func (s *Scheduler) rotate(now time.Duration, e *entry, isolated bool) (st *state, ok bool) {
	n := len(s.subset)
	for i := range n {
		st := s.subset[(s.turn+i)%n]
		if s.usable(now, st, e, isolated, false) {
			s.turn = (s.turn + i + 1) % n
			return st, true
		}
	}
	return nil, false
}

// usable reports whether the call may start on the target now.
func (s *Scheduler) usable(now time.Duration, st *state, e *entry, isolated, panicking bool) bool {
	switch {
	case !s.room(now, st, e.slow, isolated):
		return false
	case s.policy.detect && st.pace.Slow() && !panicking:
		return false
	case !e.call.idempotent && st.inflight >= st.limit.Slots():
		// A command that waits at the target is unknown when its deadline passes; one that
		// waits here is not run.
		return false
	case len(e.call.avoid) > 0 && slices.Contains(e.call.avoid, st.target.name):
		return !s.alternative(e)
	}
	return true
}

// room reports whether the target has a slot for a call.
func (s *Scheduler) room(now time.Duration, st *state, long, isolated bool) bool {
	bound := s.bound(st)
	switch {
	case st.target.leaving || st.inflight >= bound:
		return false
	case isolated && st.suspects > 0:
		return false
	case long && st.longs >= max(bound*s.policy.long/100, 1):
		return false
	case long && s.longs >= s.longGuarantee() && s.load(now, st) > longLoad:
		return false
	}
	return true
}

// longRoom reports whether any target has a slot for a long call.
func (s *Scheduler) longRoom(now time.Duration) bool {
	panicking := s.panicking()
	for _, st := range s.subset {
		avoided := s.policy.detect && st.pace.Slow() && !panicking
		if !avoided && s.room(now, st, true, false) {
			return true
		}
	}
	return false
}

// alternative reports whether there is a target that the call does not avoid.
func (s *Scheduler) alternative(e *entry) bool {
	for _, st := range s.subset {
		if !slices.Contains(e.call.avoid, st.target.name) && !(s.policy.detect && st.pace.Slow()) {
			return true
		}
	}
	return false
}

// score is the expected relative delay on a target: calls per slot, own ones in flight
// first, times the recent latency relative to the usual one.
func (s *Scheduler) score(now time.Duration, st *state) float64 {
	score := s.load(now, st)
	if s.policy.detect {
		score *= st.pace.Ratio()
	}
	if !st.near {
		score *= farFactor
	}
	return score
}

// load returns the calls per slot if one more started. The load of other hosts moves from
// the last answer of the target to the mean of the pool, as that answer ages.
func (s *Scheduler) load(now time.Duration, st *state) float64 {
	mean := s.part.OthersLoad()
	others := mean + (st.others-mean)/(1+float64(now-st.told)/float64(fade))
	return (float64(st.inflight) + 1 + others) / float64(max(st.limit.Slots(), 1))
}

// panicking reports whether most targets look slow, which says more of the expectation
// than of the targets. Slowness is then ignored.
func (s *Scheduler) panicking() bool {
	slow := 0
	for _, st := range s.subset {
		if st.pace.Slow() {
			slow++
		}
	}
	return 2*slow > len(s.subset)
}

// probe returns a slow target that is due for a probe, if the call can stand the delay.
// It is used only without a hedge budget; otherwise sweep probes with copies of calls.
func (s *Scheduler) probe(now time.Duration, e *entry, isolated bool) (st *state, ok bool) {
	if !s.policy.detect || s.policy.hedge >= probeShare || !e.call.idempotent || e.slow || e.retry || isolated {
		return nil, false
	}
	for _, st := range s.subset {
		if st.pace.ProbeDue(now) && s.room(now, st, e.slow, isolated) && now+2*e.high+e.median <= e.limit() {
			return st, true
		}
	}
	return nil, false
}

// prefer returns the best of the chosen target, the ones that hold the prefix of the call
// and the one that all hosts choose for it. A cache hit saves part of the service time,
// and the factor bounds the load that it may cost.
func (s *Scheduler) prefer(now time.Duration, e *entry, isolated, panicking bool) (st *state, ok bool) {
	st, ok = s.choose(now, e, isolated, panicking)
	if !ok {
		return nil, false
	}
	least := s.score(now, st)
	try := func(one *state) {
		if score := s.score(now, one) * affinityFactor; score < least && s.usable(now, one, e, isolated, panicking) {
			st, least = one, score
		}
	}
	s.cache.Each(now, e.call.prefix, func(target string) bool {
		if one, known := s.targets.Get(target); known {
			try(one)
		}
		return true
	})
	if one := s.home(e.call.prefix); one != nil {
		try(one)
	}
	return st, true
}

// home returns the target that ranks first for the prefix on all hosts.
func (s *Scheduler) home(prefix uint64) (st *state) {
	least := uint64(0)
	for name, one := range s.targets.All() {
		if rank := balance.Rank(prefix, name); !one.target.leaving && (st == nil || rank < least) {
			st, least = one, rank
		}
	}
	return st
}

func (s *Scheduler) isolated(now time.Duration, e *entry) bool {
	return e.call.fingerprint != 0 && s.suspects.Level(now, e.call.fingerprint) == suspect.Isolated
}
