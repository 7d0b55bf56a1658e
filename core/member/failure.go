package member

import (
	"slices"
	"time"
)

// Tick runs the periodic work and returns the calls to make.
func (s *State) Tick(now time.Duration) (calls []Call) {
	s.now = now
	if now-s.lastTick > maxTickInterval {
		s.resumeAfterPause(now)
	}
	s.lastTick = now
	s.updateJoin(now)
	if now >= s.nextPeriod {
		s.nextPeriod = max(s.nextPeriod+s.period, now)
		s.periods++
		s.expire(now)
		s.confirmSuspicions(now)
		calls = append(calls, s.probe(now)...)
		calls = append(calls, s.contact(now)...)
	}
	return append(calls, s.flood(now)...)
}

// resumeAfterPause runs after a pause of the process. The state of the other hosts may have
// changed in the meantime, and missing answers are no evidence of failures.
func (s *State) resumeAfterPause(now time.Duration) {
	s.resumedAt = now
	s.nextPeriod = now
	clear(s.pendingProbes)
	for incarnation := range s.suspectedAt {
		s.suspectedAt[incarnation] = now
	}
	s.watch.floodDue = true
	clear(s.join.heard)
	if len(s.otherMembers()) > 0 && s.join.joined {
		s.join.stale = true
		s.join.staleUntil = now + suspicionPeriods*s.period
		s.changed = true
	}
}

// neighbours returns the neighbours of this host, including suspected members.
func (s *State) neighbours() (list []Member) {
	if s.neighbourIDs == nil {
		others := s.otherMembers()
		neighbours := Neighbours(s.self.Name, names(others))
		for _, m := range others {
			if _, ok := slices.BinarySearch(neighbours, m.Name); ok {
				s.neighbourIDs = append(s.neighbourIDs, m.Incarnation)
			}
		}
	}
	for _, id := range s.neighbourIDs {
		m, _ := s.members.get(id)
		list = append(list, m)
	}
	return list
}

// probe exchanges packets with the next neighbour and, every ten periods, with a random member.
func (s *State) probe(now time.Duration) (calls []Call) {
	neighbours := s.neighbours()
	if m, ok := s.nextNeighbour(neighbours); ok {
		calls = append(calls, s.newExchange(now, m, s.requestPacket(now, m.Incarnation)))
	}
	if s.periods%randomExchangePeriods != 0 {
		return calls
	}
	if others := s.otherMembers(); len(others) > len(neighbours) {
		m := others[s.random.IntN(len(others))]
		calls = append(calls, s.newExchange(now, m, s.requestPacket(now, m.Incarnation)))
	}
	return calls
}

// nextNeighbour returns the next neighbour of a shuffled round. The rounds bound the time between
// two probes of a neighbour.
func (s *State) nextNeighbour(neighbours []Member) (m Member, ok bool) {
	if len(neighbours) == 0 {
		return Member{}, false
	}
	for range 2 {
		for len(s.probeOrder) > 0 {
			name := s.probeOrder[0]
			s.probeOrder = s.probeOrder[1:]
			if i := slices.IndexFunc(neighbours, func(m Member) bool { return m.Name == name }); i >= 0 {
				return neighbours[i], true
			}
		}
		s.probeOrder = names(neighbours)
		s.random.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	}
	return Member{}, false
}

// contact exchanges packets with listed hosts that are not alive as far as this host knows. A
// joining host contacts many of them; afterwards it contacts one every five periods, which heals
// partitions. A standalone host contacts many for its first periods even though it serves
// already, because the others may be starting at the same time.
func (s *State) contact(now time.Duration) (calls []Call) {
	addresses, n := s.unheardAddresses(), maxJoinContacts
	searching := s.standalone && s.periods <= seedSearchPeriods
	switch {
	case s.join.joined && !searching && s.periods%contactPeriods != 0:
		return nil
	case s.join.joined:
		addresses = s.contactAddresses()
		if !searching {
			n = 1
		}
	}
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(n, len(addresses))] {
		p := s.requestPacket(now, s.deadMemberAt(address))
		calls = append(calls, Call{kind: Exchange, address: address, packet: p, startedAt: now})
	}
	return calls
}

// deadMemberAt returns the incarnation of the dead member at a peer address. The packet to this
// address then contains that fact, so that the member can refute it.
func (s *State) deadMemberAt(address string) (incarnation uint64) {
	for _, r := range s.members.rows.All() {
		if r.fact.Liveness == Dead && s.dialAddress(r.fact) == address {
			incarnation = r.fact.Incarnation
		}
	}
	return incarnation
}

// Failed handles an Exchange or IndirectProbe without an answer, or an IndirectProbe whose target
// was not reached.
func (s *State) Failed(now time.Duration, call Call) (calls []Call) {
	s.now = max(s.now, now)
	if call.startedAt < s.resumedAt {
		return nil
	}
	if call.kind == IndirectProbe {
		s.indirectProbeFailed(now, call.target)
		return nil
	}
	m, ok := s.members.get(call.expected)
	if _, running := s.pendingProbes[call.expected]; !ok || running || m.Liveness != Alive {
		return nil
	}
	helpers := s.neighbours()
	s.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, h := range helpers {
		if len(calls) < indirectProbes && h.Incarnation != m.Incarnation && h.Liveness == Alive {
			calls = append(calls, Call{
				kind: IndirectProbe, address: s.dialAddress(h), expected: h.Incarnation,
				target: m.Incarnation, targetAddress: call.address, startedAt: now,
			})
		}
	}
	if len(calls) == 0 {
		s.suspect(now, m)
		return nil
	}
	s.pendingProbes[m.Incarnation] = len(calls)
	return calls
}

// Reached handles an IndirectProbe whose target answered.
func (s *State) Reached(call Call) { delete(s.pendingProbes, call.target) }

func (s *State) indirectProbeFailed(now time.Duration, target uint64) {
	left, ok := s.pendingProbes[target]
	if !ok {
		return
	}
	if left > 1 {
		s.pendingProbes[target] = left - 1
		return
	}
	delete(s.pendingProbes, target)
	if m, ok := s.members.get(target); ok && m.Liveness == Alive {
		s.suspect(now, m)
	}
}

func (s *State) suspect(now time.Duration, m Member) {
	m.Liveness = Suspected
	s.mergeMember(now, m, false)
}

// declareDead marks a member as dead: another process answers at its address, or it did not
// refute a suspicion.
func (s *State) declareDead(now time.Duration, incarnation uint64) {
	if m, ok := s.members.get(incarnation); ok && m.Liveness != Dead {
		m.Liveness = Dead
		s.mergeMember(now, m, false)
	}
}

// confirmSuspicions declares members dead that did not refute their suspicion in time.
func (s *State) confirmSuspicions(now time.Duration) {
	for incarnation, since := range s.suspectedAt {
		if now-since >= suspicionPeriods*s.period {
			s.declareDead(now, incarnation)
		}
	}
}

// mergeMember merges a member fact. Claims about this host are refuted. An earlier process with
// the name and address of this host is taken as dead.
func (s *State) mergeMember(now time.Duration, m Member, bulk bool) {
	if m.Incarnation == s.self.Incarnation {
		s.refute(now, m)
		return
	}
	if m.Name == s.self.Name && m.Peer == s.self.Peer && m.Liveness != Dead {
		m.Liveness = Dead
	}
	if !s.putMember(now, m, bulk) {
		return
	}
	if m.Liveness == Suspected {
		s.suspectedAt[m.Incarnation] = now
	} else {
		delete(s.suspectedAt, m.Incarnation)
	}
}

func (s *State) refute(now time.Duration, m Member) {
	if m.Merge(s.self) == s.self {
		return
	}
	s.self.Counter = m.Counter
	s.publishSelf(now)
}

// expire removes expired facts.
func (s *State) expire(now time.Duration) {
	dead := s.members.expire(now)
	for _, m := range dead {
		s.loads.remove(m.Incarnation)
		delete(s.watch.heartbeats, m.Incarnation)
	}
	if len(dead) > 0 {
		s.neighbourIDs, s.watch.ranked = nil, nil
	}
	s.estimates.expire(now)
	removed := len(dead) + len(s.leavings.expire(now)) + len(s.crashes.expire(now)) + len(s.handovers.expire(now))
	if removed > 0 {
		s.changed = true
		s.publishLeavings(now)
	}
}
