package member

import (
	"slices"
	"time"
)

// Tick runs the periodic systems and returns what to send.
func (s *State) Tick(now time.Duration) (sends []Call) {
	s.now = now
	if now-s.lastTick > pauseLimit {
		s.wake(now)
	}
	s.lastTick = now
	s.updateJoin(now)
	if now >= s.nextPeriod {
		s.nextPeriod = max(s.nextPeriod+s.period, now)
		s.periods++
		s.expire(now)
		s.confirm(now)
		sends = append(sends, s.probe(now)...)
		sends = append(sends, s.contact(now)...)
	}
	return append(sends, s.flood(now)...)
}

// wake runs after a pause of the process: what other hosts did in the meantime is not
// known, and that they did not answer says nothing.
func (s *State) wake(now time.Duration) {
	s.woke = now
	s.nextPeriod = now
	clear(s.probing)
	for incarnation := range s.suspected {
		s.suspected[incarnation] = now
	}
	s.watch.flood = true
	clear(s.join.heard)
	if len(s.others()) > 0 && s.join.joined {
		s.join.stale = true
		s.join.staleUntil = now + suspectPeriods*s.period
		s.changed = true
	}
}

// neighbours returns the neighbours of this host; suspected members stay neighbours.
func (s *State) neighbours() (list []Member) {
	others := s.others()
	if s.graph == nil {
		s.graph = Neighbours(s.self.Name, names(others))
	}
	for _, m := range others {
		if _, ok := slices.BinarySearch(s.graph, m.Name); ok {
			list = append(list, m)
		}
	}
	return list
}

// probe exchanges with the next neighbour and, at times, with a random member.
func (s *State) probe(now time.Duration) (sends []Call) {
	neighbours := s.neighbours()
	if m, ok := s.next(neighbours); ok {
		sends = append(sends, s.exchange(now, m, s.request(now, m.Incarnation)))
	}
	if others := s.others(); s.periods%randomPeriods == 0 && len(others) > len(neighbours) {
		m := others[s.random.IntN(len(others))]
		sends = append(sends, s.exchange(now, m, s.request(now, m.Incarnation)))
	}
	return sends
}

// next returns the next neighbour of a shuffled round, which bounds the time between two
// probes of a neighbour.
func (s *State) next(neighbours []Member) (m Member, ok bool) {
	if len(neighbours) == 0 {
		return Member{}, false
	}
	for range 2 {
		for len(s.order) > 0 {
			name := s.order[0]
			s.order = s.order[1:]
			if i := slices.IndexFunc(neighbours, func(m Member) bool { return m.Name == name }); i >= 0 {
				return neighbours[i], true
			}
		}
		s.order = names(neighbours)
		s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return Member{}, false
}

// contact exchanges with hosts that are listed but not alive here: many while the host
// joins, one at times later, which heals a partition. A host that serves before it has heard
// from others goes on with many for a while, because the others may start at the same time.
func (s *State) contact(now time.Duration) (sends []Call) {
	addresses, n := s.unheard(), joinContacts
	searching := s.alone && s.periods <= searchPeriods
	switch {
	case s.join.joined && !searching && s.periods%contactPeriods != 0:
		return nil
	case s.join.joined:
		addresses = s.contacts()
		if !searching {
			n = 1
		}
	}
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(n, len(addresses))] {
		p := s.request(now, s.deadAt(address))
		sends = append(sends, Call{kind: Exchange, address: address, packet: p, began: now})
	}
	return sends
}

// deadAt returns the dead member at a peer address, which is told so when it answers.
func (s *State) deadAt(address string) (incarnation uint64) {
	for _, r := range s.members.rows.All() {
		if r.fact.Liveness == Dead && s.dial(r.fact) == address {
			incarnation = r.fact.Incarnation
		}
	}
	return incarnation
}

// Failed takes an Exchange or Relay that got no answer, or a Relay whose target was not
// reached.
func (s *State) Failed(now time.Duration, send Call) (sends []Call) {
	s.now = max(s.now, now)
	if send.began < s.woke {
		return nil
	}
	if send.kind == IndirectProbe {
		s.relayFailed(now, send.target)
		return nil
	}
	m, ok := s.members.get(send.to)
	if _, running := s.probing[send.to]; !ok || running || m.Liveness != Alive {
		return nil
	}
	helpers := s.neighbours()
	s.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, h := range helpers {
		if len(sends) < relays && h.Incarnation != m.Incarnation && h.Liveness == Alive {
			sends = append(sends, Call{
				kind: IndirectProbe, address: s.dial(h), to: h.Incarnation,
				target: m.Incarnation, targetAddress: send.address, began: now,
			})
		}
	}
	if len(sends) == 0 {
		s.suspect(now, m)
		return nil
	}
	s.probing[m.Incarnation] = len(sends)
	return sends
}

// Reached takes a Relay whose target answered the helper.
func (s *State) Reached(send Call) { delete(s.probing, send.target) }

func (s *State) relayFailed(now time.Duration, target uint64) {
	left, ok := s.probing[target]
	if !ok {
		return
	}
	if left > 1 {
		s.probing[target] = left - 1
		return
	}
	delete(s.probing, target)
	if m, ok := s.members.get(target); ok && m.Liveness == Alive {
		s.suspect(now, m)
	}
}

func (s *State) suspect(now time.Duration, m Member) {
	m.Liveness = Suspected
	s.takeMember(now, m, false)
}

// replaced notes that another process answers at the address of a member.
func (s *State) replaced(now time.Duration, incarnation uint64) {
	if m, ok := s.members.get(incarnation); ok && m.Liveness != Dead {
		m.Liveness = Dead
		s.takeMember(now, m, false)
	}
}

// confirm declares members dead that did not refute their suspicion.
func (s *State) confirm(now time.Duration) {
	for incarnation, since := range s.suspected {
		if now-since >= suspectPeriods*s.period {
			s.replaced(now, incarnation)
		}
	}
}

// takeMember merges a member fact. This host refutes what is said of itself, and knows
// that an earlier process with its name and address has ended.
func (s *State) takeMember(now time.Duration, m Member, bulk bool) {
	if m.Incarnation == s.self.Incarnation {
		s.refute(now, m)
		return
	}
	if m.Name == s.self.Name && m.Peer == s.self.Peer && m.Liveness != Dead {
		m.Liveness = Dead
	}
	if !putIn(s, now, s.members, m, bulk) {
		return
	}
	if m.Liveness == Suspected {
		s.suspected[m.Incarnation] = now
	} else {
		delete(s.suspected, m.Incarnation)
	}
}

func (s *State) refute(now time.Duration, m Member) {
	if m.Merge(s.self) == s.self {
		return
	}
	s.self.Counter = m.Counter
	s.raise(now)
}

// expire removes old facts.
func (s *State) expire(now time.Duration) {
	dead := s.members.expire(now)
	for _, m := range dead {
		s.loads.rows.Delete(m.Incarnation)
		delete(s.watch.beats, m.Incarnation)
	}
	removed := len(dead) + len(s.leavings.expire(now)) + len(s.crashes.expire(now)) + len(s.handovers.expire(now))
	if removed > 0 {
		s.touch()
		s.announce(now)
	}
}
