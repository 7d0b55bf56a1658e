package feed

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sassafrasward/core/config"
	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
	"sassafrasward/io/feed/message"
)

// heartbeatInterval is the time between two updates to a follower while there are no changes and the store answers no
// probe.
const heartbeatInterval = 1500 * time.Millisecond

// nothingSent is the number of changes of a follower that got no update yet. Logs count from zero.
const nothingSent = ^uint64(0)

// service serves the copy of a hub to other hosts.
type service struct {
	message.UnimplementedFeedServer

	hub *Hub
}

// Register adds the service by which other hosts follow this one to a server.
func (h *Hub) Register(r grpc.ServiceRegistrar) { message.RegisterFeedServer(r, service{hub: h}) }

// Follow implements message.FeedServer.
func (s service) Follow(p *message.Position, stream grpc.ServerStreamingServer[message.Update]) (err error) {
	known := revision.New(p.GetEra(), p.GetRevision())
	if s.hub.Revision().IsZero() {
		return status.Error(codes.Unavailable, "this host has no copy yet")
	}
	s.hub.addFollowers(1)
	defer s.hub.addFollowers(-1)
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	sent := nothingSent
	for {
		update, changed, err := s.hub.update(known, &sent)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := stream.Send(update); err != nil {
			return Error.Wrap(err)
		}
		known = revision.Max(known, revision.New(update.GetEra(), update.GetRevision()))
		timer.Reset(heartbeatInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-stream.Context().Done():
			return Error.Wrap(stream.Context().Err())
		}
	}
}

// update returns the changes after a revision, and a channel that is closed at the next change. There are none
// if nothing has changed since the last update to the follower; sent is the number of changes as of that update.
func (h *Hub) update(known revision.Revision, sent *uint64) (m *message.Update, changed <-chan struct{}, err error) {
	h.mutex.Lock()
	m = &message.Update{
		Revision: h.log.Revision().Number(), Era: h.log.Revision().Era(), Age: h.freshness.Age(h.clock()).Milliseconds(), Down: h.freshness.Down(), Number: h.version.Number(),
	}
	if h.version != (config.Version{}) {
		hash := h.version.Hash()
		m.Hash = hash[:]
	}
	configAge := (h.clock() - h.configAt).Milliseconds()
	m.ConfigAge = &configAge
	changed = h.changed
	var e *encoding
	if changes := h.log.Changes(); *sent != changes {
		*sent, e = changes, h.encodingSince(known)
	}
	h.mutex.Unlock()
	if e == nil {
		return m, changed, nil
	}
	e.once.Do(func() {
		e.update.Full = e.changes.Full
		e.err = encode(&e.update, e.changes.Items)
		e.changes = feed.Update{}
	})
	m.Full, m.Packed, m.Entries = e.update.GetFull(), e.update.GetPacked(), e.update.GetEntries()
	return m, changed, e.err
}

// encodingSince returns the encoding of the changes after a revision. The mutex is held; the changes are
// encoded without it.
func (h *Hub) encodingSince(known revision.Revision) *encoding {
	if current := h.log.Changes(); h.encodedChanges != current {
		h.encodedChanges = current
		clear(h.encodings)
	}
	e, ok := h.encodings[known]
	if !ok {
		e = &encoding{changes: h.log.Since(known)}
		h.encodings[known] = e
	}
	return e
}
