package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasward/core/config"
)

const (
	defaultPeriod = time.Second
	// hardSends is low because a new fact goes to all neighbours first and a repair
	// brings what is missed.
	hardSends = 4
	softSends = 3
	// floodGap bounds how often new facts go to all neighbours.
	floodGap = 200 * time.Millisecond
	// pauseLimit is the gap between two ticks after which the process counts as paused.
	// It is below the 3 s within which a leaving target must get no more work.
	pauseLimit = 2 * time.Second
	// packetFacts and packetLoads bound the regular part of a packet.
	packetFacts = 64
	packetLoads = 128

	randomPeriods  = 10 // between exchanges with a random host
	contactPeriods = 5  // between exchanges with a host that is listed but not alive
	searchPeriods  = 10 // in which a host that started alone looks for all seeds
	repairPeriods  = 5  // between repairs
	suspectPeriods = 5  // until a suspected host is dead
	relays         = 3
	// joinContacts is how many listed hosts a joining host calls in a period; it hears
	// from half of 370 in six periods.
	joinContacts = 32
)

// Levels of load. A level is the bit length of the number of running requests, so that a
// step is a factor of two.
const (
	MaxLoadLevel = 15
	// loadPeriods is the shortest time between two loads of a member. At 370 members it
	// keeps the loads to 13 a second.
	loadPeriods = 30
)

// Level returns the load level of a number of running requests.
func LoadLevel(running int) uint32 { return uint32(min(bits.Len(uint(max(running, 0))), MaxLoadLevel)) }

// State is the membership of one host. It is not safe for concurrent use.
type State struct {
	random *rand.Rand
	period time.Duration
	// self is the own member; the same row is in members.
	self    Member
	seeds   []string
	alone   bool
	version config.Version
	// pulling holds the running pulls of each version.
	pulling map[config.Version]pulls
	// refused is the last version whose document was not accepted.
	refused config.Version

	members   *store[uint64, Member]
	loads     *store[uint64, Load]
	leavings  *store[string, Leaving]
	crashes   *store[string, Crash]
	handovers *store[uint64, Handover]
	list      HostList
	// listed has the entries of list by host.
	listed map[string]HostEntry

	// changed is set by each change that a reader can see.
	changed bool
	// dirty is set when digest has to be computed again.
	dirty  bool
	digest Digest

	now, lastTick, nextPeriod, lastFlood, lastRepair time.Duration
	periods                                          int
	// graph holds the names of the neighbours; nil after a change of the members.
	graph []string
	// order is the rest of the current round over the neighbours.
	order []string
	// suspected holds when this host learned of each suspicion.
	suspected map[uint64]time.Duration
	// probing holds the number of relays that have not yet failed, by target.
	probing map[uint64]int
	// woke is when the last pause ended; failures of sends that began before do not count.
	woke time.Duration

	join  join
	watch watch
}

// Option configures a State.
type Option func(*State)

// WithPeriod sets the time between regular exchanges.
func WithPeriod(period time.Duration) Option { return func(s *State) { s.period = period } }

// WithSeeds sets peer addresses to call in addition to the host list.
func WithSeeds(seeds ...string) Option { return func(s *State) { s.seeds = seeds } }

// WithAlone lets the host serve before it has heard from other hosts.
func WithAlone(alone bool) Option { return func(s *State) { s.alone = alone } }

// SetSeeds replaces the peer addresses to call in addition to the host list.
func (s *State) SetSeeds(seeds []string) { s.seeds = seeds }

// New returns the state of a host that has just started. Of self, the incarnation, name,
// zone and addresses are used.
func New(now time.Duration, random *rand.Rand, self Member, options ...Option) *State {
	self.Counter, self.Liveness, self.Lifecycle, self.TTL = 1, Alive, Joining, 0
	s := &State{
		random: random, period: defaultPeriod, self: self,
		pulling:   make(map[config.Version]pulls),
		members:   newStore[uint64, Member](hardSends),
		loads:     newStore[uint64, Load](softSends),
		leavings:  newStore[string, Leaving](hardSends),
		crashes:   newStore[string, Crash](hardSends),
		handovers: newStore[uint64, Handover](hardSends),
		suspected: make(map[uint64]time.Duration), probing: make(map[uint64]int),
		now: now, lastTick: now, dirty: true, changed: true,
		join: newJoin(), watch: newWatch(now),
	}
	for _, o := range options {
		o(s)
	}
	s.nextPeriod = now + time.Duration(random.Int64N(int64(s.period)))
	s.members.put(now, self, false)
	return s
}

// Self returns the own member.
func (s *State) Self() Member { return s.self }

// Version returns the configuration in force.
func (s *State) ConfigVersion() config.Version { return s.version }

// Changed reports whether anything that a reader can see has changed since the last call.
func (s *State) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Members returns all members, dead ones included, by incarnation.
func (s *State) Members() []Member {
	return s.members.take(s.now, -1, func(*row[Member]) bool { return true })
}

// Load returns the load level of a member.
func (s *State) LoadLevel(incarnation uint64) uint32 {
	l, _ := s.loads.get(incarnation)
	return l.Level
}

// Leaves reports whether the machine at the address is leaving.
func (s *State) IsLeaving(address string) bool {
	l, _ := s.leavings.get(address)
	return l.Leaves
}

// Leavings returns the addresses of all leaving machines.
func (s *State) LeavingAddresses() (addresses []string) {
	for _, r := range s.leavings.rows.All() {
		if r.fact.Leaves {
			addresses = append(addresses, r.fact.Address)
		}
	}
	return addresses
}

// Peer is how to reach a process of a host.
type Peer struct {
	Address     string
	Incarnation uint64
}

// Peers returns the newest live process of each host by its name.
func (s *State) Peers() map[string]Peer {
	peers, since := make(map[string]Peer), make(map[string]time.Duration)
	for _, r := range s.members.rows.All() {
		_, known := peers[r.fact.Name]
		if r.fact.Liveness == Dead || (known && r.since <= since[r.fact.Name]) {
			continue
		}
		peers[r.fact.Name] = Peer{Address: s.dial(r.fact), Incarnation: r.fact.Incarnation}
		since[r.fact.Name] = r.since
	}
	return peers
}

// Route returns the address by which this host reaches a member; the fallback for a
// member that it does not know.
func (s *State) PeerAddress(incarnation uint64, fallback string) string {
	if m, ok := s.members.get(incarnation); ok {
		return s.dial(m)
	}
	return fallback
}

// Successor returns who answers from the records of an incarnation that has ended.
func (s *State) Successor(owner uint64) (h Handover, ok bool) { return s.handovers.get(owner) }

// Handovers returns all handovers by owner.
func (s *State) Handovers() []Handover {
	return s.handovers.take(s.now, -1, func(*row[Handover]) bool { return true })
}

// Crashes returns what all hosts saw of crash suspects, by fingerprint.
func (s *State) Crashes() []Crash {
	return s.crashes.take(s.now, -1, func(*row[Crash]) bool { return true })
}

// Crash tells all hosts what one of them saw of a crash suspect.
func (s *State) ReportCrash(now time.Duration, c Crash) { putIn(s, now, s.crashes, c, false) }

// HandOver tells all hosts which host answers from the records of this one.
func (s *State) AnnounceHandover(now time.Duration, successor uint64, host string) {
	putIn(s, now, s.handovers, Handover{Owner: s.self.Incarnation, Successor: successor, Host: host}, false)
}

// Drain tells all hosts that this one stops.
func (s *State) Drain(now time.Duration) { s.setStage(now, Draining) }

func (s *State) setStage(now time.Duration, stage Lifecycle) {
	if s.self.Lifecycle == stage || s.self.Lifecycle == Draining {
		return
	}
	s.self.Lifecycle = stage
	s.raise(now)
}

// raise publishes the own member with a higher counter.
func (s *State) raise(now time.Duration) {
	s.self.Counter++
	putIn(s, now, s.members, s.self, false)
}

// SetLevel tells other hosts of the own load, at most once in 30 periods.
func (s *State) SetLoadLevel(now time.Duration, level uint32) {
	own, ok := s.loads.get(s.self.Incarnation)
	if (ok && now < s.watch.nextLoad) || own.Level == level {
		return
	}
	s.watch.nextLoad = now + loadPeriods*s.period
	s.loads.put(now, Load{Incarnation: s.self.Incarnation, Sequence: own.Sequence + 1, Level: level, Heartbeat: own.Heartbeat}, false)
	s.changed = true
}

// SetVersion states the configuration in force and tells all neighbours. An older
// version is ignored.
func (s *State) SetConfigVersion(now time.Duration, v config.Version) {
	if !v.Newer(s.version) {
		return
	}
	s.now = max(s.now, now)
	s.version = v
	s.changed = true
	s.watch.flood = true
}

// live returns all members that are not dead, this host included.
func (s *State) live() (list []Member) {
	for _, r := range s.members.rows.All() {
		if r.fact.Liveness != Dead {
			list = append(list, r.fact)
		}
	}
	return list
}

// others returns all live members but the own host.
func (s *State) others() []Member {
	return slices.DeleteFunc(s.live(), func(m Member) bool { return m.Name == s.self.Name })
}

func names(members []Member) (list []string) {
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

// dial returns the peer address of a member. The host list goes before what the member
// says of itself.
func (s *State) dial(m Member) string {
	if e, ok := s.listed[m.Name]; ok && e.Peer != "" {
		return e.Peer
	}
	return m.Peer
}

// putIn merges a fact into one of the tables of s.
func putIn[K uint64 | string, F fact[K, F]](s *State, now time.Duration, in *store[K, F], f F, bulk bool) bool {
	if !in.put(now, f, bulk) {
		return false
	}
	s.touch()
	return true
}

// touch notes a change of the tables.
func (s *State) touch() {
	s.changed, s.dirty = true, true
	s.graph, s.watch.ranked = nil, nil
}

// sums returns the digest of the tables.
func (s *State) sums() Digest {
	if s.dirty {
		s.digest = Digest{}
		s.members.digest(&s.digest)
		s.leavings.digest(&s.digest)
		s.crashes.digest(&s.digest)
		s.handovers.digest(&s.digest)
		s.dirty = false
	}
	return s.digest
}
