package gossip

import (
	"context"
	"time"

	"sassafrasward/core/member"
)

// Snapshot is the part of the state that other goroutines may read. It is immutable.
type Snapshot struct {
	members   []Member
	leavings  []string
	peers     map[string]member.Peer
	handovers map[uint64]member.Handover
	crashes   []member.Crash
}

// Member holds a member and its load level.
type Member struct {
	member.Member
	LoadLevel uint32
}

// Members returns all members, including dead ones, in the order of their incarnations.
func (s *Snapshot) Members() []Member { return s.members }

// LeavingAddresses returns the addresses of leaving machines.
func (s *Snapshot) LeavingAddresses() []string { return s.leavings }

// Crashes returns the crash records of all hosts.
func (s *Snapshot) Crashes() []member.Crash { return s.crashes }

// Snapshot returns the newest snapshot.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// Publish replaces the snapshot if the state has changed, and reports whether it has. It is
// called on the loop.
func (n *Node) Publish() bool {
	if !n.state.Changed() {
		return false
	}
	s := &Snapshot{leavings: n.state.LeavingAddresses(), peers: n.state.Peers(), handovers: make(map[uint64]member.Handover), crashes: n.state.Crashes(n.loop.Clock())}
	for _, m := range n.state.Members() {
		s.members = append(s.members, Member{Member: m, LoadLevel: n.state.LoadLevel(m.Incarnation)})
	}
	for _, h := range n.state.Handovers() {
		s.handovers[h.Owner] = h
	}
	n.snapshot.Store(s)
	return true
}

// Peer returns the peer address and the incarnation of the newest live process of a host.
func (n *Node) Peer(host string) (address string, incarnation uint64, ok bool) {
	p, ok := n.Snapshot().peers[host]
	return p.Address, p.Incarnation, ok
}

// Successor returns the handover of a stopped incarnation, which names the process that holds its
// records.
func (n *Node) Successor(owner uint64) (h member.Handover, ok bool) {
	h, ok = n.Snapshot().handovers[owner]
	return h, ok
}

// AnnounceHandover tells all hosts which process now holds the records of this host.
func (n *Node) AnnounceHandover(ctx context.Context, successor uint64, host string) {
	n.change(ctx, func(now time.Duration) { n.state.AnnounceHandover(now, successor, host) })
}

// change applies a change to the state on the loop, sends it to all neighbours and publishes
// the new snapshot. It returns once that is done.
func (n *Node) change(ctx context.Context, change func(now time.Duration)) {
	done := make(chan struct{})
	n.loop.Post(ctx, func() {
		change(n.loop.Clock())
		n.Tick()
		n.Publish()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
}
