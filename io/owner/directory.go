package owner

import (
	"context"

	"sassafrasward/core/member"
)

// Directory is what an owner needs to know of other hosts. It is safe for concurrent use.
type Directory interface {
	// Peer returns the peer address and the incarnation of the newest live process of a
	// host.
	Peer(host string) (address string, incarnation uint64, ok bool)
	// Successor returns which process answers from the records of an incarnation.
	Successor(owner uint64) (h member.Handover, ok bool)
	// HandOver tells all hosts which process answers from the records of this host.
	AnnounceHandover(ctx context.Context, successor uint64, host string)
}

// maxHops bounds how many successors that stopped as well are followed.
const maxSuccessorHops = 8

// WithDirectory sets how stopped owners' successors are told and found. Without it, the
// listed hosts are asked.
func WithDirectory(incarnation uint64, d Directory) Option {
	return func(o *Owner) { o.incarnation, o.directory = incarnation, d }
}

// successorOf returns the peer address of the process that answers from the records of an
// incarnation that has ended.
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

// announce tells all hosts that the host took the records of this one.
func (o *Owner) announceSuccessor(ctx context.Context, host string) {
	if o.directory == nil {
		return
	}
	if _, incarnation, ok := o.directory.Peer(host); ok {
		o.directory.AnnounceHandover(ctx, incarnation, host)
	}
}
