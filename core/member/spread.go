package member

import "time"

// request returns the packet of a regular exchange, which may ask for a repair.
func (s *State) request(now time.Duration, to uint64) Packet {
	p := s.packet(now, to)
	gap := repairPeriods * s.period
	if !s.join.joined {
		gap = s.period
	}
	if s.lastRepair == 0 || now-s.lastRepair >= gap {
		s.lastRepair = max(now, 1)
		p.Repair = true
	}
	return p
}

// packet returns the packet for a member: the facts that are new, and what it needs to
// know of itself.
func (s *State) packet(now time.Duration, to uint64) Packet {
	p := s.envelope()
	p.Members = s.members.fresh(now, packetFacts)
	p.Loads = s.loads.fresh(now, packetLoads)
	p.Leavings = s.leavings.fresh(now, packetFacts)
	p.Crashes = s.crashes.fresh(now, packetFacts)
	p.Handovers = s.handovers.fresh(now, packetFacts)
	if m, ok := s.members.get(to); ok && m.Liveness != Alive {
		p.Members = append(p.Members, m)
	}
	return p
}

func (s *State) envelope() Packet {
	return Packet{From: s.self, Version: s.version, Digest: s.sums()}
}

// flood returns sends of the urgent facts and the version to all neighbours.
func (s *State) flood(now time.Duration) (sends []Call) {
	urgent := s.watch.flood || s.members.hasUrgent() || s.leavings.hasUrgent() || s.crashes.hasUrgent() || s.handovers.hasUrgent()
	if !urgent || now-s.lastFlood < floodGap {
		return nil
	}
	s.watch.flood = false
	s.lastFlood = now
	p := s.envelope()
	p.Members = s.members.urgent(now)
	p.Leavings = s.leavings.urgent(now)
	p.Crashes = s.crashes.urgent(now)
	p.Handovers = s.handovers.urgent(now)
	for _, m := range s.neighbours() {
		sends = append(sends, s.exchange(now, m, p))
	}
	return sends
}

func (s *State) exchange(now time.Duration, m Member, p Packet) Call {
	return Call{kind: Exchange, address: s.dial(m), packet: p, to: m.Incarnation, began: now}
}

// Serve takes a packet of another host and returns the answer and further sends.
func (s *State) Serve(now time.Duration, p Packet) (answer Packet, sends []Call) {
	s.now = max(s.now, now)
	sends = s.take(now, p, "")
	mask := s.sums().differ(p.Digest)
	answer = s.packet(now, p.From.Incarnation)
	if p.Repair && mask != 0 {
		s.fill(now, &answer, mask)
		answer.DiffMask = mask
	}
	return answer, sends
}

// fill adds all facts in the marked buckets.
func (s *State) fill(now time.Duration, p *Packet, mask uint32) {
	p.Members = append(p.Members, s.members.within(now, mask)...)
	p.Loads = append(p.Loads, s.loads.within(now, mask)...)
	p.Leavings = append(p.Leavings, s.leavings.within(now, mask)...)
	p.Crashes = append(p.Crashes, s.crashes.within(now, mask)...)
	p.Handovers = append(p.Handovers, s.handovers.within(now, mask)...)
}

// Answered takes the answer to an Exchange.
func (s *State) Answered(now time.Duration, send Call, p Packet) (sends []Call) {
	s.now = max(s.now, now)
	delete(s.probing, send.to)
	if send.to != 0 && p.From.Incarnation != send.to {
		s.replaced(now, send.to)
	}
	sends = s.take(now, p, send.address)
	if p.DiffMask == 0 || !send.packet.Repair {
		return sends
	}
	back := s.envelope()
	s.fill(now, &back, p.DiffMask)
	return append(sends, Call{kind: Exchange, address: send.address, packet: back, to: p.From.Incarnation, began: now})
}

// take merges what a packet says and asks for a newer configuration.
func (s *State) take(now time.Duration, p Packet, address string) (sends []Call) {
	if p.From.Incarnation == s.self.Incarnation {
		return nil
	}
	bulk := len(p.Members)+len(p.Leavings)+len(p.Crashes)+len(p.Handovers) > 2*packetFacts
	s.takeMember(now, p.From, false)
	for _, m := range p.Members {
		s.takeMember(now, m, bulk)
	}
	for _, l := range p.Loads {
		s.takeLoad(now, l)
	}
	for _, l := range p.Leavings {
		putIn(s, now, s.leavings, l, bulk)
	}
	if len(p.Leavings) > 0 {
		s.announce(now)
	}
	for _, c := range p.Crashes {
		putIn(s, now, s.crashes, c, bulk)
	}
	for _, h := range p.Handovers {
		putIn(s, now, s.handovers, h, bulk)
	}
	s.hear(p, address)
	return s.pull(now, p, address)
}

// maxPulls is the number of hosts from which one version is read at the same time; more
// than one, because the first may have become unreachable. The next one begins a period
// later, since most hosts hear of a version from several others at once.
const maxPulls = 2

// pulls are the running pulls of one version.
type pulls struct {
	running int
	began   time.Duration // of the last one
}

func (s *State) pull(now time.Duration, p Packet, address string) []Call {
	of := s.pulling[p.Version]
	busy := of.running >= maxPulls || (of.running > 0 && now-of.began < s.period)
	if !s.behind(p.Version) || busy {
		return nil
	}
	if address == "" {
		address = s.dial(p.From)
	}
	s.pulling[p.Version] = pulls{running: of.running + 1, began: now}
	return []Call{{kind: Pull, address: address, version: p.Version, to: p.From.Incarnation, began: now}}
}

// Pulled reports the end of a Pull: whether the document was accepted, and whether it
// was there but not acceptable, in which case it is not read again.
func (s *State) Pulled(send Call, accepted, refused bool) {
	of := s.pulling[send.version]
	of.running--
	s.pulling[send.version] = of
	if of.running <= 0 {
		delete(s.pulling, send.version)
	}
	if !accepted && refused {
		s.refused = send.version
	}
}

// Ping returns a packet that tells nothing but who sends it.
func (s *State) Ping() Packet { return s.envelope() }
