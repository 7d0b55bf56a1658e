package member

import (
	"time"

	"sassafrasward/core/config"
)

// HostEntry is an entry host of the host list.
type HostEntry struct {
	Host    string
	Address string
	Peer    string
	Leaving bool
}

// HostList is the part of the host list that membership uses.
type HostList struct {
	Version uint64
	Entries []HostEntry
	// Leaving and Live are the addresses of the leaving and the live machines, both entry hosts and
	// targets.
	Leaving []string
	Live    []string
}

// joinState is the join progress of a starting host.
type joinState struct {
	// heard holds the configuration version last announced by each host that was heard from, by its
	// name and by its peer addresses.
	heard map[string]config.Version
	// stale is set after a pause, until a packet arrives from a host whose configuration is not newer
	// or until staleUntil.
	stale      bool
	staleUntil time.Duration
	joined     bool
}

func newJoinState() joinState { return joinState{heard: make(map[string]config.Version)} }

// Ready reports whether the host has heard from more than half of the listed entry hosts and
// has caught up after its last pause. Without a host list, the seeds and the known members
// count as listed.
func (s *State) Ready() bool { return s.join.joined && !s.join.stale }

// SetServing announces to other hosts whether this host accepts requests.
func (s *State) SetServing(now time.Duration, serving bool) {
	if serving {
		s.setLifecycle(now, Serving)
	} else {
		s.setLifecycle(now, Joining)
	}
}

// recordHeard records that a packet from another host arrived.
func (s *State) recordHeard(p Packet, address string) {
	if !s.isBehind(p.Version) {
		s.join.stale = false
	}
	if s.join.joined {
		return
	}
	s.join.heard[p.From.Name] = p.Version
	s.join.heard[p.From.Peer] = p.Version
	if address != "" {
		s.join.heard[address] = p.Version
	}
}

// isBehind reports whether the version is newer than that of this host and was not rejected.
func (s *State) isBehind(v config.Version) bool {
	return v.Newer(s.configVersion) && v != s.rejectedVersion
}

// caughtUp reports whether the given host was heard from and this host is not behind its
// configuration.
func (s *State) caughtUp(host string) bool {
	v, ok := s.join.heard[host]
	return ok && !s.isBehind(v)
}

// unheardAddresses returns the addresses of listed hosts and seeds that a joining host still has
// to hear from.
func (s *State) unheardAddresses() (addresses []string) {
	for _, e := range s.hostList.Entries {
		if e.Host != s.self.Name && e.Peer != "" && !s.caughtUp(e.Host) {
			addresses = append(addresses, e.Peer)
		}
	}
	for _, seed := range s.seeds {
		if seed != s.self.Peer && !s.caughtUp(seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// updateJoin updates the join progress on each tick.
func (s *State) updateJoin(now time.Duration) {
	if now >= s.join.staleUntil {
		s.join.stale = false
	}
	if s.join.joined {
		return
	}
	listed, heard := s.countHeard()
	s.join.joined = s.standalone || heard*2 > listed
	if s.join.joined {
		s.changed = true
		s.join.heard = nil
	}
}

// countHeard returns the number of listed entry hosts and the number of those that were heard
// from, both including this host.
func (s *State) countHeard() (listed, heard int) {
	if s.hostList.Version > 0 {
		selfListed := false
		for _, e := range s.hostList.Entries {
			if e.Leaving && e.Host != s.self.Name {
				continue
			}
			selfListed = selfListed || e.Host == s.self.Name
			listed++
			if e.Host == s.self.Name || s.caughtUp(e.Host) {
				heard++
			}
		}
		if !selfListed && listed > 0 {
			return listed + 1, heard + 1
		}
		return max(listed, 1), heard
	}
	if len(s.seeds) == 0 {
		return 1, 0
	}
	known := map[string]bool{s.self.Peer: true}
	for _, seed := range s.seeds {
		known[seed] = true
	}
	for _, m := range s.otherMembers() {
		known[m.Peer] = true
	}
	for address := range known {
		if address == s.self.Peer || s.caughtUp(address) {
			heard++
		}
	}
	return len(known), heard
}

// SetHostList applies a host list that was read from the platform. An older list is ignored.
func (s *State) SetHostList(now time.Duration, l HostList) {
	if l.Version <= s.hostList.Version {
		return
	}
	s.hostList = l
	s.hostEntries = make(map[string]HostEntry, len(l.Entries))
	for _, e := range l.Entries {
		s.hostEntries[e.Host] = e
	}
	s.changed = true
	s.publishLeavings(now)
}

// HasHostList reports whether a host list was read.
func (s *State) HasHostList() bool { return s.hostList.Version > 0 }

// publishLeavings publishes the facts about leaving machines that follow from the host list. A
// machine that is no longer listed stays leaving until a list names it as live.
func (s *State) publishLeavings(now time.Duration) {
	for _, address := range s.hostList.Leaving {
		if !s.IsLeaving(address) {
			mergeFact(s, now, s.leavings, Leaving{Address: address, Version: s.hostList.Version, Leaves: true}, false)
		}
	}
	for _, address := range s.hostList.Live {
		if s.IsLeaving(address) {
			mergeFact(s, now, s.leavings, Leaving{Address: address, Version: s.hostList.Version}, false)
		}
	}
}

// contactAddresses returns the peer addresses of listed hosts and seeds that belong to no live
// member, and the addresses of dead members.
func (s *State) contactAddresses() (addresses []string) {
	known := map[string]bool{"": true, s.self.Peer: true}
	if e, ok := s.hostEntries[s.self.Name]; ok {
		known[e.Peer] = true
	}
	for _, m := range s.otherMembers() {
		known[m.Peer], known[s.dialAddress(m)] = true, true
	}
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, e := range s.hostList.Entries {
		add(e.Peer)
	}
	for _, seed := range s.seeds {
		add(seed)
	}
	for _, r := range s.members.rows.All() {
		if r.fact.Liveness == Dead && r.fact.Name != s.self.Name {
			add(s.dialAddress(r.fact))
		}
	}
	return addresses
}
