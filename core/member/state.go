package member

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"sassafrasward/core/config"
)

const (
	defaultPeriod = time.Second
	// factRetransmits and loadRetransmits are how many regular packets carry a new fact or load
	// report. factRetransmits is low because a new fact is first flooded to all neighbours, and a
	// repair delivers facts that were missed.
	factRetransmits = 4
	loadRetransmits = 3
	// minFloodInterval limits how often new facts are sent to all neighbours.
	minFloodInterval = 200 * time.Millisecond
	// maxTickInterval is the time between two ticks beyond which the process counts as paused.
	// It is below the 3 s within which a leaving target must get no more work.
	maxTickInterval = 2 * time.Second
	// maxPacketFacts and maxPacketLoads limit the regular part of a packet.
	maxPacketFacts = 64
	maxPacketLoads = 128

	randomExchangePeriods = 10 // between exchanges with a random host
	contactPeriods        = 5  // between exchanges with a host that is listed but not alive
	seedSearchPeriods     = 10 // during which a standalone host contacts all seeds
	repairPeriods         = 5  // between repairs
	suspicionPeriods      = 5  // until a suspected host is declared dead
	indirectProbes        = 3  // of a member that did not answer
	// maxJoinContacts is how many listed hosts a joining host calls per period. With this value
	// it hears from half of 370 hosts within six periods.
	maxJoinContacts = 32
)

// Load levels. A level is the bit length of the number of running requests, so that each step
// doubles the load.
const (
	MaxLoadLevel = 15
	// minLoadPeriods is the minimum time between two load reports of a member. It limits 370
	// members to 13 load reports per second.
	minLoadPeriods = 30
)

// LoadLevel returns the load level for a number of running requests.
func LoadLevel(running int) uint32 { return uint32(min(bits.Len(uint(max(running, 0))), MaxLoadLevel)) }

// State is the membership state machine of one host. It is not safe for concurrent use.
type State struct {
	random *rand.Rand
	period time.Duration
	// self is the member of this host; the same fact is in members.
	self          Member
	seeds         []string
	standalone    bool
	configVersion config.Version
	pulls         pullState
	// rejectedVersion is the last version whose document was rejected.
	rejectedVersion config.Version

	members   *store[uint64, Member]
	loads     *store[uint64, Load]
	leavings  *store[string, Leaving]
	crashes   *store[string, Crash]
	reports   *store[string, Report]
	handovers *store[uint64, Handover]
	estimates *store[uint64, Estimate]
	hostList  HostList
	// hostEntries indexes the entries of hostList by host name.
	hostEntries map[string]HostEntry

	// changed is set by each change that is visible to readers.
	changed bool
	// crashesChanged is set by each change of the crash evidence.
	crashesChanged bool
	// newEstimates has the processes whose estimates were merged and not taken yet.
	newEstimates map[uint64]struct{}
	// reportsChanged is set by each change of the reports about targets.
	reportsChanged bool

	now, lastTick, nextPeriod, lastFlood, lastRepair time.Duration
	periods                                          int
	// neighbourIDs caches the incarnations of the neighbours; nil after a change of the live
	// members.
	neighbourIDs []uint64
	// probeOrder holds the neighbours that are still to be probed in the current round.
	probeOrder []string
	// suspectedAt holds when this host learned of each suspicion, by incarnation.
	suspectedAt map[uint64]time.Duration
	// pendingProbes holds the number of indirect probes that have not yet failed, by the
	// incarnation of the probed member.
	pendingProbes map[uint64]int
	// resumedAt is when the last pause ended. Failures of calls that started earlier are ignored.
	resumedAt time.Duration

	join  joinState
	watch watchState
}

// Option configures a State.
type Option func(*State)

// WithPeriod sets the time between regular exchanges.
func WithPeriod(period time.Duration) Option { return func(s *State) { s.period = period } }

// WithSeeds sets peer addresses to contact in addition to the host list.
func WithSeeds(seeds ...string) Option { return func(s *State) { s.seeds = seeds } }

// WithStandalone allows the host to serve before it has heard from other hosts.
func WithStandalone(alone bool) Option { return func(s *State) { s.standalone = alone } }

// SetSeeds replaces the peer addresses to contact in addition to the host list.
func (s *State) SetSeeds(seeds []string) { s.seeds = seeds }

// New returns the state of a host that has just started. Only the incarnation, name, zone and
// addresses of self are used.
func New(now time.Duration, random *rand.Rand, self Member, options ...Option) *State {
	self.Counter, self.Liveness, self.Lifecycle, self.TTL = 1, Alive, Joining, 0
	s := &State{
		random: random, period: defaultPeriod, self: self,
		members:   newStore[uint64, Member](factRetransmits),
		loads:     newStore[uint64, Load](loadRetransmits),
		leavings:  newStore[string, Leaving](factRetransmits),
		crashes:   newStore[string, Crash](factRetransmits),
		reports:   newStore[string, Report](factRetransmits),
		handovers: newStore[uint64, Handover](factRetransmits),
		estimates: newStore[uint64, Estimate](estimateRetransmits), newEstimates: make(map[uint64]struct{}),
		suspectedAt: make(map[uint64]time.Duration), pendingProbes: make(map[uint64]int),
		now: now, lastTick: now, changed: true,
		join: newJoinState(), watch: newWatchState(now),
	}
	for _, o := range options {
		o(s)
	}
	s.nextPeriod = now + time.Duration(random.Int64N(int64(s.period)))
	s.members.put(now, self, false)
	return s
}

// Self returns the member of this host.
func (s *State) Self() Member { return s.self }

// ConfigVersion returns the version of the configuration in force.
func (s *State) ConfigVersion() config.Version { return s.configVersion }

// Changed reports whether anything visible to readers has changed since the last call.
func (s *State) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Members returns all members, including dead ones, in the order of their incarnations.
func (s *State) Members() []Member {
	return s.members.collect(s.now, -1, func(*row[Member]) bool { return true })
}

// LoadLevel returns the load level of a member.
func (s *State) LoadLevel(incarnation uint64) uint32 {
	l, _ := s.loads.get(incarnation)
	return l.Level
}

// IsLeaving reports whether the machine at the address is leaving.
func (s *State) IsLeaving(address string) bool {
	l, _ := s.leavings.get(address)
	return l.Leaves
}

// LeavingAddresses returns the addresses of all leaving machines.
func (s *State) LeavingAddresses() (addresses []string) {
	for _, r := range s.leavings.rows.All() {
		if r.fact.Leaves {
			addresses = append(addresses, r.fact.Address)
		}
	}
	return addresses
}

// Peer holds the address and the incarnation of a process of a host.
type Peer struct {
	Address     string
	Incarnation uint64
}

// Peers returns the newest live process of each host, by host name.
func (s *State) Peers() map[string]Peer {
	peers, since := make(map[string]Peer), make(map[string]time.Duration)
	for _, r := range s.members.rows.All() {
		_, known := peers[r.fact.Name]
		if r.fact.Liveness == Dead || (known && r.firstSeen <= since[r.fact.Name]) {
			continue
		}
		peers[r.fact.Name] = Peer{Address: s.dialAddress(r.fact), Incarnation: r.fact.Incarnation}
		since[r.fact.Name] = r.firstSeen
	}
	return peers
}

// PeerAddress returns the address at which this host reaches a member, or the fallback for an
// unknown member.
func (s *State) PeerAddress(incarnation uint64, fallback string) string {
	if m, ok := s.members.get(incarnation); ok {
		return s.dialAddress(m)
	}
	return fallback
}

// Successor returns the handover of an incarnation that has ended, which names the host that
// answers from its records.
func (s *State) Successor(owner uint64) (h Handover, ok bool) { return s.handovers.get(owner) }

// Handovers returns all handovers in the order of their owners.
func (s *State) Handovers() []Handover {
	return s.handovers.collect(s.now, -1, func(*row[Handover]) bool { return true })
}

// Crashes returns the crash evidence of all hosts, ordered by fingerprint.
func (s *State) Crashes(now time.Duration) []Crash {
	return s.crashes.collect(max(s.now, now), -1, func(*row[Crash]) bool { return true })
}

// ReportCrash publishes the crash evidence of one host for a request fingerprint.
func (s *State) ReportCrash(now time.Duration, c Crash) { s.mergeCrash(now, c, false) }

func (s *State) mergeCrash(now time.Duration, c Crash, bulk bool) {
	s.crashesChanged = mergeFact(s, now, s.crashes, c, bulk) || s.crashesChanged
}

// CrashesChanged reports whether the crash evidence has changed since the last call.
func (s *State) CrashesChanged() bool {
	changed := s.crashesChanged
	s.crashesChanged = false
	return changed
}

// Reports returns what targets have stated to any host.
func (s *State) Reports(now time.Duration) []Report {
	return s.reports.collect(max(s.now, now), -1, func(*row[Report]) bool { return true })
}

// PublishReport publishes what a target has stated to this host.
func (s *State) PublishReport(now time.Duration, r Report) { s.mergeReport(now, r, false) }

func (s *State) mergeReport(now time.Duration, r Report, bulk bool) {
	// Readers get reports by Reports only, so that these don't publish a new state.
	s.reportsChanged = s.reports.put(now, r, bulk) || s.reportsChanged
}

// ReportsChanged reports whether the reports about targets have changed since the last call.
func (s *State) ReportsChanged() bool {
	changed := s.reportsChanged
	s.reportsChanged = false
	return changed
}

// AnnounceHandover publishes which host answers from the records of this host.
func (s *State) AnnounceHandover(now time.Duration, successor uint64, host string) {
	mergeFact(s, now, s.handovers, Handover{Owner: s.self.Incarnation, Successor: successor, Host: host}, false)
}

// Drain announces to all hosts that this host is shutting down.
func (s *State) Drain(now time.Duration) { s.setLifecycle(now, Draining) }

func (s *State) setLifecycle(now time.Duration, lifecycle Lifecycle) {
	if s.self.Lifecycle == lifecycle || s.self.Lifecycle == Draining {
		return
	}
	s.self.Lifecycle = lifecycle
	s.publishSelf(now)
}

// publishSelf publishes the member of this host with a higher counter.
func (s *State) publishSelf(now time.Duration) {
	s.self.Counter++
	s.putMember(now, s.self, false)
}

// SetLoadLevel publishes the load level of this host, at most once in 30 periods.
func (s *State) SetLoadLevel(now time.Duration, level uint32) {
	own, ok := s.loads.get(s.self.Incarnation)
	if (ok && now < s.watch.nextLoad) || own.Level == level {
		return
	}
	s.watch.nextLoad = now + minLoadPeriods*s.period
	s.loads.put(now, Load{Incarnation: s.self.Incarnation, Sequence: own.Sequence + 1, Level: level, Heartbeat: own.Heartbeat}, false)
	s.changed = true
}

// SetConfigVersion sets the version of the configuration in force and announces it to all
// neighbours. An older version is ignored.
func (s *State) SetConfigVersion(now time.Duration, v config.Version) {
	if !v.Newer(s.configVersion) {
		return
	}
	s.now = max(s.now, now)
	s.configVersion = v
	s.changed = true
	s.watch.floodDue = true
}

// liveMembers returns all members that are not dead, including this host.
func (s *State) liveMembers() (list []Member) {
	for _, r := range s.members.rows.All() {
		if r.fact.Liveness != Dead {
			list = append(list, r.fact)
		}
	}
	return list
}

// otherMembers returns all live members except those of this host.
func (s *State) otherMembers() (list []Member) {
	list = make([]Member, 0, s.members.rows.Len())
	for _, r := range s.members.rows.All() {
		if r.fact.Liveness != Dead && r.fact.Name != s.self.Name {
			list = append(list, r.fact)
		}
	}
	return list
}

func names(members []Member) (list []string) {
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

// dialAddress returns the peer address of a member. The host list takes precedence over the
// address that the member announces.
func (s *State) dialAddress(m Member) string {
	if e, ok := s.hostEntries[m.Name]; ok && e.Peer != "" {
		return e.Peer
	}
	return m.Peer
}

// mergeFact merges a fact into one of the tables of s and reports whether it was new.
func mergeFact[K uint64 | string, F fact[K, F]](s *State, now time.Duration, in *store[K, F], f F, bulk bool) bool {
	if !in.put(now, f, bulk) {
		return false
	}
	s.changed = true
	return true
}

// putMember merges the fact of a member, and reports whether it was new.
func (s *State) putMember(now time.Duration, m Member, bulk bool) bool {
	old, known := s.members.get(m.Incarnation)
	if !mergeFact(s, now, s.members, m, bulk) {
		return false
	}
	s.watch.ranked = nil
	if m, _ := s.members.get(m.Incarnation); !known || (old.Liveness == Dead) != (m.Liveness == Dead) {
		s.neighbourIDs = nil
	}
	return true
}

// tableDigest returns the digest of the tables.
func (s *State) tableDigest() (d Digest) {
	d.add(s.members.digest)
	d.add(s.leavings.digest)
	d.add(s.crashes.digest)
	d.add(s.reports.digest)
	d.add(s.handovers.digest)
	return d
}
