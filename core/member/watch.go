package member

import (
	"slices"
	"time"
)

const (
	watchers = 3
	// beatPeriods is the shortest time between two beats of a watcher.
	beatPeriods = 10
	// silentPeriods is how long no beat may arrive before a host reads the platform
	// itself: two waiting reads of 30 s and some time to spread.
	silentPeriods = 75
	// fallbackPeriods is the mean time between such reads of one host.
	fallbackPeriods = 60
)

// watch is what the host knows of the watchers of the platform.
type watch struct {
	start time.Duration
	// beats holds when the beat of each watcher was last seen to rise.
	beats map[uint64]time.Duration
	// heard is when any beat last rose, or the start.
	heard time.Duration
	// nextBeat, nextLoad and nextRead bound the rates of the own facts and reads; nextRead
	// is zero while beats are heard.
	nextBeat, nextLoad, nextRead time.Duration
	// ranked holds the watchers and the standby; nil after a change of the members.
	ranked []string
	// flood asks for an exchange with all neighbours at the next tick.
	flood bool
}

func newWatch(now time.Duration) watch {
	return watch{start: now, beats: make(map[uint64]time.Duration), heard: now}
}

// Watches reports whether this host watches the platform: the first hosts by rendezvous
// hashing do, and the next one stands in while one of them is suspected or silent.
func (s *State) IsWatcher(now time.Duration) bool {
	if s.self.Lifecycle == Draining {
		return false
	}
	ranked := s.ranked()
	i := slices.Index(ranked, s.self.Name)
	if i != watchers {
		return i >= 0 && i < watchers
	}
	for _, m := range s.live() {
		if !slices.Contains(ranked[:watchers], m.Name) {
			continue
		}
		heard := max(s.watch.start, s.watch.beats[m.Incarnation])
		if m.Liveness == Suspected || now-heard >= silentPeriods*s.period {
			return true
		}
	}
	return false
}

// ranked returns the watchers and the standby.
func (s *State) ranked() []string {
	if s.watch.ranked == nil {
		able := slices.DeleteFunc(s.live(), func(m Member) bool { return m.Lifecycle == Draining })
		s.watch.ranked = first(watchers+1, names(able))
	}
	return s.watch.ranked
}

// Beat tells other hosts that a read of the platform by this watcher succeeded.
func (s *State) Heartbeat(now time.Duration) {
	s.watch.heard = now
	s.watch.beats[s.self.Incarnation] = now
	if now < s.watch.nextBeat {
		return
	}
	s.watch.nextBeat = now + beatPeriods*s.period
	own, _ := s.loads.get(s.self.Incarnation)
	s.loads.put(now, Load{Incarnation: s.self.Incarnation, Sequence: own.Sequence + 1, Level: own.Level, Heartbeat: own.Heartbeat + 1}, false)
}

// Reads reports whether a host that does not watch is to read the platform once, because
// it heard from no watcher for too long. It is true once per due read.
func (s *State) FallbackReadDue(now time.Duration) bool {
	mean := fallbackPeriods * s.period
	switch {
	case now-s.watch.heard < silentPeriods*s.period:
		s.watch.nextRead = 0
		return false
	case s.watch.nextRead == 0:
		s.watch.nextRead = now + time.Duration(s.random.Int64N(int64(mean)))
		return false
	case now < s.watch.nextRead:
		return false
	}
	s.watch.nextRead = now + s.jitter(mean)
	return true
}

// jitter returns a time between half and one and a half of the mean.
func (s *State) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// takeLoad merges a load of a live member and notes beats.
func (s *State) takeLoad(now time.Duration, l Load) {
	if m, ok := s.members.get(l.Incarnation); !ok || m.Liveness == Dead || l.Incarnation == s.self.Incarnation {
		return
	}
	old, _ := s.loads.get(l.Incarnation)
	if !s.loads.put(now, l, false) {
		return
	}
	s.changed = s.changed || old.Level != l.Level
	if l.Heartbeat > old.Heartbeat {
		s.watch.beats[l.Incarnation] = now
		s.watch.heard = now
	}
}
