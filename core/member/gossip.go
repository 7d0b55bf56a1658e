package member

import (
	"time"

	"sassafrasward/core/config"
)

// requestPacket returns the packet of a regular exchange. It requests a repair if one is due.
func (s *State) requestPacket(now time.Duration, to uint64) Packet {
	p := s.newPacket(now, to)
	interval := repairPeriods * s.period
	if !s.join.joined {
		interval = s.period
	}
	if s.lastRepair == 0 || now-s.lastRepair >= interval {
		s.lastRepair = max(now, 1)
		p.Repair = true
	}
	return p
}

// newPacket returns a packet for a member with the facts that are still to be sent. It includes
// the member's own fact if the member is not considered alive, so that it can refute this.
func (s *State) newPacket(now time.Duration, to uint64) Packet {
	p := s.headerPacket()
	p.Members = s.members.takePending(now, maxPacketFacts)
	p.Loads = s.loads.takePending(now, maxPacketLoads)
	p.Leavings = s.leavings.takePending(now, maxPacketFacts)
	p.Crashes = s.crashes.takePending(now, maxPacketFacts)
	p.Reports = s.reports.takePending(now, maxPacketFacts)
	p.Handovers = s.handovers.takePending(now, maxPacketFacts)
	p.Estimates = s.estimates.takePending(now, maxPacketFacts)
	if m, ok := s.members.get(to); ok && m.Liveness != Alive {
		p.Members = append(p.Members, m)
	}
	return p
}

func (s *State) headerPacket() Packet {
	return Packet{From: s.self, Version: s.configVersion, Digest: s.tableDigest()}
}

// flood returns calls that send the urgent facts and the configuration version to all neighbours.
func (s *State) flood(now time.Duration) (calls []Call) {
	urgent := s.watch.floodDue || s.members.hasUrgent() || s.leavings.hasUrgent() || s.crashes.hasUrgent() || s.reports.hasUrgent() || s.handovers.hasUrgent()
	if !urgent || now-s.lastFlood < minFloodInterval {
		return nil
	}
	s.watch.floodDue = false
	s.lastFlood = now
	p := s.headerPacket()
	p.Members = s.members.takeUrgent(now)
	p.Leavings = s.leavings.takeUrgent(now)
	p.Crashes = s.crashes.takeUrgent(now)
	p.Reports = s.reports.takeUrgent(now)
	p.Handovers = s.handovers.takeUrgent(now)
	for _, m := range s.neighbours() {
		calls = append(calls, s.newExchange(now, m, p))
	}
	return calls
}

func (s *State) newExchange(now time.Duration, m Member, p Packet) Call {
	return Call{kind: Exchange, address: s.dialAddress(m), packet: p, expected: m.Incarnation, startedAt: now}
}

// Serve handles a packet from another host and returns the answer and further calls.
func (s *State) Serve(now time.Duration, p Packet) (answer Packet, calls []Call) {
	s.now = max(s.now, now)
	calls = s.mergePacket(now, p, "")
	mask := s.tableDigest().differ(p.Digest)
	answer = s.newPacket(now, p.From.Incarnation)
	if p.Repair && mask != 0 {
		s.addBuckets(now, &answer, mask)
		answer.DiffMask = mask
	}
	return answer, calls
}

// addBuckets adds all facts in the buckets of the mask to the packet.
func (s *State) addBuckets(now time.Duration, p *Packet, mask uint32) {
	p.Members = append(p.Members, s.members.inBuckets(now, mask)...)
	p.Loads = append(p.Loads, s.loads.inBuckets(now, mask)...)
	p.Leavings = append(p.Leavings, s.leavings.inBuckets(now, mask)...)
	p.Crashes = append(p.Crashes, s.crashes.inBuckets(now, mask)...)
	p.Reports = append(p.Reports, s.reports.inBuckets(now, mask)...)
	p.Handovers = append(p.Handovers, s.handovers.inBuckets(now, mask)...)
	if mask == allBuckets {
		p.Estimates = append(p.Estimates, s.estimates.inBuckets(now, mask)...) // for a host that has just started
	}
}

// Answered handles the answer to an Exchange.
func (s *State) Answered(now time.Duration, call Call, p Packet) (calls []Call) {
	s.now = max(s.now, now)
	delete(s.pendingProbes, call.expected)
	if call.expected != 0 && p.From.Incarnation != call.expected {
		s.declareDead(now, call.expected)
	}
	calls = s.mergePacket(now, p, call.address)
	if p.DiffMask == 0 || !call.packet.Repair {
		return calls
	}
	reply := s.headerPacket()
	s.addBuckets(now, &reply, p.DiffMask)
	return append(calls, Call{kind: Exchange, address: call.address, packet: reply, expected: p.From.Incarnation, startedAt: now})
}

// mergePacket merges the facts of a packet and pulls the sender's configuration if it is newer.
func (s *State) mergePacket(now time.Duration, p Packet, address string) (calls []Call) {
	if p.From.Incarnation == s.self.Incarnation {
		return nil
	}
	bulk := len(p.Members)+len(p.Leavings)+len(p.Crashes)+len(p.Reports)+len(p.Handovers) > 2*maxPacketFacts
	s.mergeMember(now, p.From, false)
	for _, m := range p.Members {
		s.mergeMember(now, m, bulk)
	}
	for _, l := range p.Loads {
		s.mergeLoad(now, l)
	}
	for _, l := range p.Leavings {
		mergeFact(s, now, s.leavings, l, bulk)
	}
	if len(p.Leavings) > 0 {
		s.publishLeavings(now)
	}
	for _, c := range p.Crashes {
		s.mergeCrash(now, c, bulk)
	}
	for _, r := range p.Reports {
		s.mergeReport(now, r, bulk)
	}
	for _, e := range p.Estimates {
		s.mergeEstimate(now, e)
	}
	for _, h := range p.Handovers {
		mergeFact(s, now, s.handovers, h, bulk)
	}
	s.recordHeard(p, address)
	if address == "" {
		address = s.dialAddress(p.From)
	}
	return s.pull(now, announcement{version: p.Version, address: address, incarnation: p.From.Incarnation})
}

// announcement is a configuration version that another host has in force.
type announcement struct {
	version config.Version
	// address is the peer address of the host, incarnation its process; zero if not known.
	address     string
	incarnation uint64
}

// pullState tracks the pulls of configuration documents. There is at most one pull at a time, so that a
// host on which pulls take long does not add to its load.
type pullState struct {
	running bool
	// current is the pull that is running.
	current announcement
	// next is the newest version that was announced during the pull. An announcement of the current
	// version by another host counts as well, in case the first host does not respond.
	next announcement
}

// Announced handles the news, received by other means than a Packet, that the host at the address has a
// version of the configuration in force. It returns the call by which to read a newer version.
func (s *State) Announced(now time.Duration, v config.Version, address string) (calls []Call) {
	s.now = max(s.now, now)
	return s.pull(now, announcement{version: v, address: address})
}

// pull returns the call by which to read an announced version that is newer than that of this host. While
// another pull is running, the version is read after it.
func (s *State) pull(now time.Duration, a announcement) []Call {
	switch {
	case !s.isBehind(a.version):
		return nil
	case !s.pulls.running:
		s.pulls = pullState{running: true, current: a}
		return []Call{{kind: Pull, address: a.address, version: a.version, expected: a.incarnation, startedAt: now}}
	}
	if a.version.Newer(s.pulls.next.version) && (a.version != s.pulls.current.version || a.address != s.pulls.current.address) {
		s.pulls.next = a
	}
	return nil
}

// Pulled reports the end of a Pull: whether the document was accepted, and whether it was read
// but rejected. A rejected version is not read again. It returns the call by which to read the newest
// version that was announced meanwhile.
func (s *State) Pulled(call Call, accepted, rejected bool) (calls []Call) {
	next := s.pulls.next
	s.pulls = pullState{}
	if !accepted && rejected {
		s.rejectedVersion = call.version
	}
	return s.pull(s.now, next)
}

// Ping returns a packet without facts other than the sender's member.
func (s *State) Ping() Packet { return s.headerPacket() }
