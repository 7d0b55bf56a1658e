package owner

import (
	"context"

	"sassafrasward/core/member"
)

// Directory looks up other hosts and successors of stopped owners. It is safe for concurrent
// use.
type Directory interface {
	// Peer returns the peer address and the incarnation of the newest live process of a host.
	Peer(host string) (address string, incarnation uint64, ok bool)
	// Successor returns the handover that names the process that holds the records of a stopped
	// incarnation.
	Successor(owner uint64) (h member.Handover, ok bool)
	// AnnounceHandover tells all hosts which process now holds the records of this host.
	AnnounceHandover(ctx context.Context, successor uint64, host string)
}

// maxSuccessorHops limits the handovers that are followed when successors have stopped too.
const maxSuccessorHops = 8

// WithDirectory sets the incarnation of this host and the directory that announces and finds
// successors of stopped owners. Without it, the hosts of the host list are asked.
func WithDirectory(incarnation uint64, d Directory) Option {
	return func(o *Owner) { o.incarnation, o.directory = incarnation, d }
}

// successorAddress returns the peer address of the live process that holds the records of a
// stopped incarnation.
func (o *Owner) successorAddress(incarnation uint64) (address string, ok bool) {
	if o.directory == nil {
		return "", false
	}
	for range maxSuccessorHops {
		h, ok := o.directory.Successor(incarnation)
		if !ok {
			return "", false
		}
		address, live, ok := o.directory.Peer(h.Host)
		if ok && live == h.Successor {
			return address, true
		}
		incarnation = h.Successor
	}
	return "", false
}

// announceSuccessor tells all hosts that the given host now holds this host's records.
func (o *Owner) announceSuccessor(ctx context.Context, host string) {
	if o.directory == nil {
		return
	}
	if _, incarnation, ok := o.directory.Peer(host); ok {
		o.directory.AnnounceHandover(ctx, incarnation, host)
	}
}
