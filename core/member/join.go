package member

import (
	"time"

	"sassafrasward/core/config"
)

// Entry is an entry host of the host list.
type HostEntry struct {
	Host    string
	Address string
	Peer    string
	Leaving bool
}

// List is the host list as far as membership needs it.
type HostList struct {
	Version uint64
	Entries []HostEntry
	// Leaving and Live are the addresses of machines of all kinds.
	Leaving []string
	Live    []string
}

// join is the progress of a starting host.
type join struct {
	// heard holds the configuration last stated by each host that was heard from, by its
	// name and by its peer addresses.
	heard map[string]config.Version
	// stale is set after a pause until one host was heard from again or staleUntil.
	stale      bool
	staleUntil time.Duration
	joined     bool
}

func newJoin() join { return join{heard: make(map[string]config.Version)} }

// Ready reports whether the host has heard from more than half of the listed entry hosts
// and knows what happened during its last pause. Without a host list, the seeds and the
// known members count as listed.
func (s *State) Ready() bool { return s.join.joined && !s.join.stale }

// SetServing states whether the host takes requests, for other hosts to know.
func (s *State) SetServing(now time.Duration, serving bool) {
	if serving {
		s.setStage(now, Serving)
	} else {
		s.setStage(now, Joining)
	}
}

// hear notes a packet from another host.
func (s *State) hear(p Packet, address string) {
	if !s.behind(p.Version) {
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

// behind reports whether there is an acceptable configuration newer than the own one.
func (s *State) behind(v config.Version) bool { return v.Newer(s.version) && v != s.refused }

// caughtUp reports whether the host was heard from and its configuration is known here.
func (s *State) caughtUp(host string) bool {
	v, ok := s.join.heard[host]
	return ok && !s.behind(v)
}

// unheard returns the addresses of listed hosts and seeds that a joining host still has
// to hear from.
func (s *State) unheard() (addresses []string) {
	for _, e := range s.list.Entries {
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

// updateJoin runs on each tick.
func (s *State) updateJoin(now time.Duration) {
	if now >= s.join.staleUntil {
		s.join.stale = false
	}
	if s.join.joined {
		return
	}
	listed, heard := s.majority()
	s.join.joined = s.alone || heard*2 > listed
	if s.join.joined {
		s.changed = true
		s.join.heard = nil
	}
}

// majority counts the listed entry hosts and those that were heard from, this host
// included.
func (s *State) majority() (listed, heard int) {
	if s.list.Version > 0 {
		own := false
		for _, e := range s.list.Entries {
			if e.Leaving && e.Host != s.self.Name {
				continue
			}
			own = own || e.Host == s.self.Name
			listed++
			if e.Host == s.self.Name || s.caughtUp(e.Host) {
				heard++
			}
		}
		if !own && listed > 0 {
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
	for _, m := range s.others() {
		known[m.Peer] = true
	}
	for address := range known {
		if address == s.self.Peer || s.caughtUp(address) {
			heard++
		}
	}
	return len(known), heard
}

// SetList takes a host list that was read from the platform. An older one is ignored.
func (s *State) SetHostList(now time.Duration, l HostList) {
	if l.Version <= s.list.Version {
		return
	}
	s.list = l
	s.listed = make(map[string]HostEntry, len(l.Entries))
	for _, e := range l.Entries {
		s.listed[e.Host] = e
	}
	s.changed = true
	s.announce(now)
}

// Listed reports whether a host list was read.
func (s *State) HasHostList() bool { return s.list.Version > 0 }

// announce derives facts from the own host list. A machine that is no longer listed
// stays leaving; only the list makes it live again.
func (s *State) announce(now time.Duration) {
	for _, address := range s.list.Leaving {
		if !s.IsLeaving(address) {
			putIn(s, now, s.leavings, Leaving{Address: address, Version: s.list.Version, Leaves: true}, false)
		}
	}
	for _, address := range s.list.Live {
		if s.IsLeaving(address) {
			putIn(s, now, s.leavings, Leaving{Address: address, Version: s.list.Version}, false)
		}
	}
}

// contacts returns the peer addresses of listed hosts and seeds that no live member has,
// and of dead members.
func (s *State) contacts() (addresses []string) {
	known := map[string]bool{"": true, s.self.Peer: true}
	if e, ok := s.listed[s.self.Name]; ok {
		known[e.Peer] = true
	}
	for _, m := range s.others() {
		known[m.Peer], known[s.dial(m)] = true, true
	}
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, e := range s.list.Entries {
		add(e.Peer)
	}
	for _, seed := range s.seeds {
		add(seed)
	}
	for _, r := range s.members.rows.All() {
		if r.fact.Liveness == Dead && r.fact.Name != s.self.Name {
			add(s.dial(r.fact))
		}
	}
	return addresses
}
