package gossip_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
	"sassafrasward/io/gossip"
	"sassafrasward/io/gossip/message"
	"sassafrasward/io/metric"
	"sassafrasward/io/peer"
)

// testLoop is an event loop whose steps the test runs one at a time. It records the documents
// that it gets.
type testLoop struct {
	steps     chan func()
	documents chan []byte
}

func (l *testLoop) Post(ctx context.Context, f func()) {
	select {
	case l.steps <- f:
	case <-ctx.Done():
	}
}

func (l *testLoop) Clock() time.Duration { return time.Second }

func (l *testLoop) ApplyDocument(_ uint64, raw []byte) bool {
	l.documents <- raw
	return true
}

// forgingPeer announces a configuration with the given hash and answers pulls with the given
// document, whatever its hash.
type forgingPeer struct {
	message.UnimplementedGossipServer
	hash     [sha256.Size]byte
	document []byte
}

func (p *forgingPeer) Exchange(_ context.Context, m *message.Packet) (*message.Packet, error) {
	if len(m.GetWant()) > 0 {
		return &message.Packet{Document: p.document}, nil
	}
	return &message.Packet{
		From: &message.Member{Incarnation: 2, Name: "b", Counter: 1}, Number: 7, Hash: p.hash[:],
		Digest: make([]uint32, member.DigestBuckets),
	}, nil
}

func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}

// TestPulledDocument guards against accepting a configuration whose bytes do not have the hash of
// its version, that is truncated or uncompressed, or that is larger than config.MaxBytes.
func TestPulledDocument(t *testing.T) {
	good := []byte("[document]\npreset = ordinary\n")
	large := bytes.Repeat([]byte("#\n"), config.MaxBytes)
	for name, c := range map[string]struct {
		hashed, sent []byte
		accepted     bool
	}{
		"valid":          {good, compress(good), true},
		"other document": {good, compress([]byte("[document]\npreset = peak\n")), false},
		"uncompressed":   {good, good, false},
		"truncated":      {good, compress(good)[:20], false},
		"too large":      {large, compress(large), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := peer.NewServer()
			message.RegisterGossipServer(server.Registrar(), &forgingPeer{hash: sha256.Sum256(c.hashed), document: c.sent})
			ended := make(chan error, 1)
			go server.Serve(listener, ended)
			defer func() {
				server.Stop()
				is.NoErr(<-ended)
			}()
			loop := &testLoop{steps: make(chan func()), documents: make(chan []byte, 1)}
			state := member.New(0, rand.New(rand.NewPCG(1, 1)), member.Member{Incarnation: 1, Name: "a"}, member.WithSeeds(listener.Addr().String()))
			conns, metrics := peer.NewConnPool(), metric.New()
			defer conns.Close()
			n := gossip.New(state, loop, conns, logr.Discard(), metrics)
			defer n.Stop()
			n.Tick()
			(<-loop.steps)() // the response to the exchange
			(<-loop.steps)() // the result of the pull
			is.Equal(len(loop.documents) == 1, c.accepted)
			is.Equal(metrics.Counter("gossip.documents.refused").Count() == 0, c.accepted)
			is.True(!c.accepted || bytes.Equal(<-loop.documents, good))
		})
	}
}
