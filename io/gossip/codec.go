package gossip

import (
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
	"sassafrasward/io/gossip/message"
)

// encode converts a packet to its protobuf message.
func encode(p member.Packet) *message.Packet {
	hash := p.Version.Hash()
	m := &message.Packet{
		From: encodeMember(p.From), Number: p.Version.Number(), Digest: p.Digest[:],
		Repair: p.Repair, Differ: p.DiffMask,
	}
	if p.Version != (config.Version{}) {
		m.Hash = hash[:]
	}
	for _, f := range p.Members {
		m.Members = append(m.Members, encodeMember(f))
	}
	for _, f := range p.Loads {
		m.Loads = append(m.Loads, &message.Load{Incarnation: f.Incarnation, Pulse: f.Sequence, Level: f.Level, Beat: f.Heartbeat})
	}
	for _, f := range p.Leavings {
		m.Leavings = append(m.Leavings, &message.Leaving{Address: f.Address, Version: f.Version, Leaves: f.Leaves, Life: encodeTTL(f.TTL)})
	}
	for _, f := range p.Crashes {
		m.Crashes = append(m.Crashes, &message.Crash{Fingerprint: f.Fingerprint, Observer: f.Observer, Part: f.Part, Crashes: f.Crashes, Cleared: f.Cleared, Life: encodeTTL(f.TTL)})
	}
	for _, f := range p.Reports {
		m.Reports = append(m.Reports, &message.Report{Target: f.Target, Start: f.StartID, Version: f.Version, Leaving: f.Leaving, Limited: f.Limited, Limit: f.Limit, Cold: encodeTTL(f.Cold), Life: encodeTTL(f.TTL)})
	}
	for _, f := range p.Handovers {
		m.Handovers = append(m.Handovers, &message.Handover{Owner: f.Owner, Successor: f.Successor, Host: f.Host, Life: encodeTTL(f.TTL)})
	}
	for _, f := range p.Estimates {
		m.Estimates = append(m.Estimates, &message.Estimate{Process: f.Process, Version: f.Version, Speed: f.Speed, Slowdown: f.Slowdown, Demand: f.Demand, Life: encodeTTL(f.TTL)})
	}
	return m
}

func encodeMember(f member.Member) *message.Member {
	return &message.Member{
		Incarnation: f.Incarnation, Name: f.Name, Address: f.Address, Peer: f.Peer, Zone: f.Zone,
		Counter: f.Counter, Phase: uint32(f.Liveness), Stage: uint32(f.Lifecycle), Life: encodeTTL(f.TTL),
	}
}

// decode converts a protobuf message to a packet and reports whether the message is valid.
func decode(m *message.Packet) (p member.Packet, ok bool) {
	if m.GetFrom().GetIncarnation() == 0 || len(m.GetDigest()) != member.DigestBuckets {
		return p, false
	}
	p = member.Packet{From: decodeMember(m.GetFrom()), Repair: m.GetRepair(), DiffMask: m.GetDiffer()}
	copy(p.Digest[:], m.GetDigest())
	if len(m.GetHash()) > 0 {
		var hash [32]byte
		if copy(hash[:], m.GetHash()) != len(hash) {
			return p, false
		}
		p.Version = config.NewVersion(m.GetNumber(), hash)
	}
	for _, f := range m.GetMembers() {
		p.Members = append(p.Members, decodeMember(f))
	}
	for _, f := range m.GetLoads() {
		p.Loads = append(p.Loads, member.Load{Incarnation: f.GetIncarnation(), Sequence: f.GetPulse(), Level: min(f.GetLevel(), member.MaxLoadLevel), Heartbeat: f.GetBeat()})
	}
	for _, f := range m.GetLeavings() {
		p.Leavings = append(p.Leavings, member.Leaving{Address: f.GetAddress(), Version: f.GetVersion(), Leaves: f.GetLeaves(), TTL: decodeTTL(f.GetLife())})
	}
	for _, f := range m.GetCrashes() {
		p.Crashes = append(p.Crashes, member.Crash{Fingerprint: f.GetFingerprint(), Observer: f.GetObserver(), Part: f.GetPart(), Crashes: f.GetCrashes(), Cleared: f.GetCleared(), TTL: decodeTTL(f.GetLife())})
	}
	for _, f := range m.GetReports() {
		p.Reports = append(p.Reports, member.Report{Target: f.GetTarget(), StartID: f.GetStart(), Version: f.GetVersion(), Leaving: f.GetLeaving(), Limited: f.GetLimited(), Limit: f.GetLimit(), Cold: decodeTTL(min(f.GetCold(), maxColdMillis)), TTL: decodeTTL(f.GetLife())})
	}
	for _, f := range m.GetHandovers() {
		p.Handovers = append(p.Handovers, member.Handover{Owner: f.GetOwner(), Successor: f.GetSuccessor(), Host: f.GetHost(), TTL: decodeTTL(f.GetLife())})
	}
	for _, f := range m.GetEstimates() {
		p.Estimates = append(p.Estimates, member.Estimate{Process: f.GetProcess(), Version: f.GetVersion(), Speed: f.GetSpeed(), Slowdown: f.GetSlowdown(), Demand: f.GetDemand(), TTL: decodeTTL(f.GetLife())})
	}
	return p, true
}

// decodeMember limits Liveness and Lifecycle to the values that this version knows, in case a
// newer host sends others.
func decodeMember(f *message.Member) member.Member {
	return member.Member{
		Incarnation: f.GetIncarnation(), Name: f.GetName(), Address: f.GetAddress(), Peer: f.GetPeer(), Zone: f.GetZone(),
		Counter: f.GetCounter(), Liveness: min(member.Liveness(f.GetPhase()), member.Dead),
		Lifecycle: min(member.Lifecycle(f.GetStage()), member.Draining), TTL: decodeTTL(f.GetLife()),
	}
}

// maxColdMillis is above all cold times that hosts send. A larger one could overflow a duration.
const maxColdMillis = uint64(time.Hour / time.Millisecond)

func encodeTTL(d time.Duration) uint64  { return uint64(d.Milliseconds()) }
func decodeTTL(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
