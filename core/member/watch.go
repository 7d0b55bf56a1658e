package member

import (
	"slices"
	"time"
)

const (
	watcherCount = 3 // hosts that watch the platform on behalf of all
	// minHeartbeatPeriods is the minimum time between two heartbeats of a watcher.
	minHeartbeatPeriods = 10
	// silencePeriods is how long a host goes without a heartbeat before it reads the platform
	// itself: two long polls of 30 s and some time for the gossip.
	silencePeriods = 75
	// meanFallbackPeriods is the mean time between such fallback reads of one host.
	meanFallbackPeriods = 60
)

// watchState is what the host knows about the watchers of the platform.
type watchState struct {
	start time.Duration
	// heartbeats holds when the heartbeat of each watcher last increased.
	heartbeats map[uint64]time.Duration
	// lastHeartbeat is when any heartbeat last increased; initially the start time.
	lastHeartbeat time.Duration
	// nextHeartbeat, nextLoad and nextRead limit the rates of this host's reports and reads.
	// nextRead is zero while heartbeats arrive.
	nextHeartbeat, nextLoad, nextRead time.Duration
	// ranked caches the watchers and the standby; nil after a change of the members.
	ranked []string
	// floodDue requests an exchange with all neighbours at the next tick.
	floodDue bool
}

func newWatchState(now time.Duration) watchState {
	return watchState{start: now, heartbeats: make(map[uint64]time.Duration), lastHeartbeat: now}
}

// IsWatcher reports whether this host watches the platform. The first three hosts by rendezvous
// hashing do; the next one is the standby, which also watches while one of them is suspected or
// silent.
func (s *State) IsWatcher(now time.Duration) bool {
	if s.self.Lifecycle == Draining {
		return false
	}
	ranked := s.rankedWatchers()
	i := slices.Index(ranked, s.self.Name)
	if i != watcherCount {
		return i >= 0 && i < watcherCount
	}
	for _, m := range s.liveMembers() {
		if !slices.Contains(ranked[:watcherCount], m.Name) {
			continue
		}
		heard := max(s.watch.start, s.watch.heartbeats[m.Incarnation])
		if m.Liveness == Suspected || now-heard >= silencePeriods*s.period {
			return true
		}
	}
	return false
}

// rankedWatchers returns the names of the watchers and the standby.
func (s *State) rankedWatchers() []string {
	if s.watch.ranked == nil {
		eligible := slices.DeleteFunc(s.liveMembers(), func(m Member) bool { return m.Lifecycle == Draining })
		s.watch.ranked = firstRanked(watcherCount+1, names(eligible))
	}
	return s.watch.ranked
}

// Heartbeat announces that this watcher has read the platform successfully.
func (s *State) Heartbeat(now time.Duration) {
	s.watch.lastHeartbeat = now
	s.watch.heartbeats[s.self.Incarnation] = now
	if now < s.watch.nextHeartbeat {
		return
	}
	s.watch.nextHeartbeat = now + minHeartbeatPeriods*s.period
	own, _ := s.loads.get(s.self.Incarnation)
	s.loads.put(now, Load{Incarnation: s.self.Incarnation, Sequence: own.Sequence + 1, Level: own.Level, Heartbeat: own.Heartbeat + 1}, false)
}

// FallbackReadDue reports whether a host that is not a watcher has to read the platform once,
// because it heard from no watcher for too long. It returns true once per due read.
func (s *State) FallbackReadDue(now time.Duration) bool {
	mean := meanFallbackPeriods * s.period
	switch {
	case now-s.watch.lastHeartbeat < silencePeriods*s.period:
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

// jitter returns a random time between half and one and a half of the mean.
func (s *State) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// mergeLoad merges the load report of a live member and records a new heartbeat.
func (s *State) mergeLoad(now time.Duration, l Load) {
	if m, ok := s.members.get(l.Incarnation); !ok || m.Liveness == Dead || l.Incarnation == s.self.Incarnation {
		return
	}
	old, _ := s.loads.get(l.Incarnation)
	if !s.loads.put(now, l, false) {
		return
	}
	s.changed = s.changed || old.Level != l.Level
	if l.Heartbeat > old.Heartbeat {
		s.watch.heartbeats[l.Incarnation] = now
		s.watch.lastHeartbeat = now
	}
}
