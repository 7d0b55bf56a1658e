package feed

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sassafrasward/io/feed/message"
)

// heartbeatInterval is the time between two updates to a follower while there are no changes.
const heartbeatInterval = 1 * time.Second

// service serves the copy of a hub to other hosts.
type service struct {
	message.UnimplementedFeedServer

	hub *Hub
}

// Register adds the service by which other hosts follow this one to a server.
func (h *Hub) Register(r grpc.ServiceRegistrar) { message.RegisterFeedServer(r, service{hub: h}) }

// Follow implements message.FeedServer.
func (s service) Follow(p *message.Position, stream grpc.ServerStreamingServer[message.Update]) (err error) {
	revision := p.GetRevision()
	if s.hub.Revision() == 0 {
		return status.Error(codes.Unavailable, "this host has no copy yet")
	}
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		update, changed, err := s.hub.update(revision)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := stream.Send(update); err != nil {
			return Error.Wrap(err)
		}
		revision = max(revision, update.GetRevision())
		timer.Reset(heartbeatInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-stream.Context().Done():
			return Error.Wrap(stream.Context().Err())
		}
	}
}

// update returns the changes after a revision, and a channel that is closed at the next change.
func (h *Hub) update(revision uint64) (m *message.Update, changed <-chan struct{}, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	m = &message.Update{Revision: h.log.Revision(), Age: h.freshness.Age(h.clock()).Milliseconds(), Down: h.freshness.Down()}
	if revision == m.GetRevision() {
		return m, h.changed, nil
	}
	u := h.log.Since(revision)
	m.Full = u.Full
	if u.Full && h.snapshotRevision == u.Revision {
		m.Packed = h.snapshot
		return m, h.changed, nil
	}
	if m.Packed, err = pack(u.Items); err != nil {
		return nil, nil, err
	}
	if u.Full {
		h.snapshot, h.snapshotRevision = m.GetPacked(), u.Revision
	}
	return m, h.changed, nil
}
