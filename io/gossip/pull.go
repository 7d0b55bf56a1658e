package gossip

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
	"sassafrasward/io/event"
	"sassafrasward/io/gossip/message"
	"sassafrasward/io/watchdog"
)

const (
	// partBytes is the size of the parts of a document.
	partBytes = 16 << 10
	// partTimeout is the time that may pass until the next part of a document. It doubles after each pull that
	// took longer, maxSlowPulls times at most, so that a slow host does not pull the same document again and
	// again.
	partTimeout  = 700 * time.Millisecond
	maxSlowPulls = 3
	// pullTimeout is the time for all parts, which doubles as well.
	pullTimeout = 10 * time.Second
	// maxCompressedBytes is above the size of any compressed document, as one that can't be compressed grows.
	maxCompressedBytes = config.MaxBytes + config.MaxBytes/16
)

// pullDocument pulls and decodes a document, and puts it in force on the loop.
func (n *Node) pullDocument(call member.Call) {
	d, raw, err := n.fetch(call)
	if err != nil {
		n.metrics.Counter("gossip.documents.refused").Inc(1)
		event.LogError(n.log, event.ConfigHashMismatch, err, "peer", call.Address(), "version", call.Version().String())
	}
	apply := func() bool { return false }
	if d != nil {
		apply = n.loop.PrepareDocument(d.version.Number(), raw)
	}
	n.postStep(func(time.Duration) []member.Call {
		n.pulled = d
		accepted := apply()
		n.pulled = nil
		if accepted {
			n.metrics.Counter("gossip.documents.pulled").Inc(1)
		}
		return n.state.Pulled(call, accepted, d != nil)
	})
}

// fetch reads the document of a version, or that of a newer one, from another host. There is no document if
// the host did not send one, and an error if the document does not have the hash of its version.
func (n *Node) fetch(call member.Call) (d *document, raw []byte, err error) {
	d = n.receive(call)
	if d == nil || call.Version().Newer(d.version) { // another process now has the address
		return nil, nil, nil
	}
	if raw, err = decompress(d.compressed, d.version.Hash()); err != nil {
		return nil, nil, err
	}
	return d, raw, nil
}

// receive receives a document from another host; nil if the host did not send one.
func (n *Node) receive(call member.Call) (d *document) {
	doublings := n.slowPulls.Load()
	ctx, cancel := context.WithTimeout(n.ctx, pullTimeout<<doublings)
	defer cancel()
	timeout := partTimeout << doublings
	dog := watchdog.New(timeout, cancel)
	conn, err := n.documentConns.Conn(call.Address())
	if err != nil {
		return nil
	}
	defer func() {
		switch {
		case !dog.Stop() || errors.Is(ctx.Err(), context.DeadlineExceeded):
			n.slowPulls.Store(min(n.slowPulls.Load()+1, maxSlowPulls))
		case err == nil:
			n.slowPulls.Store(0)
		}
		if err != nil && n.ctx.Err() == nil {
			n.documentConns.Drop(call.Address(), conn)
		}
	}()
	hash := call.Version().Hash()
	stream, err := message.NewGossipClient(conn).Pull(ctx, &message.Want{Hash: hash[:]})
	if err != nil {
		return nil
	}
	d = &document{version: call.Version()}
	for len(d.compressed) <= maxCompressedBytes {
		var part *message.Part
		if part, err = stream.Recv(); err != nil {
			break
		}
		dog.Reset(timeout)
		if len(part.GetHash()) == sha256.Size {
			d.version = config.NewVersion(part.GetNumber(), [sha256.Size]byte(part.GetHash()))
		}
		d.compressed = append(d.compressed, part.GetDocument()...)
	}
	if !errors.Is(err, io.EOF) {
		return nil
	}
	err = nil
	if len(d.compressed) == 0 {
		return nil
	}
	return d
}

// Pull implements message.GossipServer. It sends the document in force, which may be newer than the wanted one.
func (n *Node) Pull(_ *message.Want, stream grpc.ServerStreamingServer[message.Part]) (err error) {
	defer func() { err = Error.Wrap(err) }()
	d := n.document.Load()
	if d == nil {
		return nil
	}
	compressed, err := d.bytes()
	if err != nil {
		return err
	}
	hash := d.version.Hash()
	part := &message.Part{Number: d.version.Number(), Hash: hash[:]}
	for len(compressed) > 0 {
		size := min(partBytes, len(compressed))
		part.Document, compressed = compressed[:size], compressed[size:]
		if err := stream.Send(part); err != nil {
			return err
		}
		part = &message.Part{}
	}
	return nil
}
