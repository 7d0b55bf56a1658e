package gossip_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
	"sassafrasward/io/compress"
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

func (l *testLoop) PrepareDocument(_ uint64, raw []byte) func() bool {
	return func() bool {
		l.documents <- raw
		return true
	}
}

// forgingPeer announces a configuration with the given hash and answers pulls with the given
// document, whatever its hash.
type forgingPeer struct {
	message.UnimplementedGossipServer
	hash     [sha256.Size]byte
	document []byte
	// pause is the time before each of the two halves of the document.
	pause time.Duration
	// pulls counts the pulls.
	pulls atomic.Int64
}

func (p *forgingPeer) Pull(_ *message.Want, stream grpc.ServerStreamingServer[message.Part]) error {
	p.pulls.Add(1)
	half := len(p.document) / 2
	for _, part := range [][]byte{p.document[:half], p.document[half:]} {
		time.Sleep(p.pause)
		if err := stream.Send(&message.Part{Document: part}); err != nil {
			return err
		}
	}
	return nil
}

func (p *forgingPeer) Exchange(context.Context, *message.Packet) (*message.Packet, error) {
	return &message.Packet{
		From: &message.Member{Incarnation: 2, Name: "b", Counter: 1}, Number: 7, Hash: p.hash[:],
		Digest: make([]uint32, member.DigestBuckets),
	}, nil
}

func encode(t *testing.T, raw []byte) []byte {
	t.Helper()
	packed, err := compress.Encode(raw)
	if err != nil {
		t.Fatal(err)
	}
	return packed
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
		"valid":          {good, encode(t, good), true},
		"other document": {good, encode(t, []byte("[document]\npreset = peak\n")), false},
		"uncompressed":   {good, good, false},
		"truncated":      {good, encode(t, good)[:20], false},
		"too large":      {large, encode(t, large), false},
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

// slowLoop is a testLoop on which the preparation of a document takes until a value arrives on free.
type slowLoop struct {
	testLoop
	preparing, free chan struct{}
}

func (l *slowLoop) PrepareDocument(number uint64, raw []byte) func() bool {
	l.preparing <- struct{}{}
	<-l.free
	return l.testLoop.PrepareDocument(number, raw)
}

// countBytes returns a dial option that adds the received bytes to a counter.
func countBytes(received *atomic.Int64) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, received}, err
	})
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// TestPacketsDuringPull guards against packets that wait for a large configuration: on the loop, while it is
// decoded, or on the connection by which it comes.
func TestPacketsDuringPull(t *testing.T) {
	is := is.New(t)
	random, document := rand.New(rand.NewPCG(1, 1)), make([]byte, config.MaxBytes/2)
	for i := range document {
		document[i] = byte(random.Uint32())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewServer()
	message.RegisterGossipServer(server.Registrar(), &forgingPeer{hash: sha256.Sum256(document), document: encode(t, document)})
	ended := make(chan error, 1)
	go server.Serve(listener, ended)
	defer func() {
		server.Stop()
		is.NoErr(<-ended)
	}()
	loop := &slowLoop{testLoop{steps: make(chan func()), documents: make(chan []byte, 1)}, make(chan struct{}), make(chan struct{})}
	state := member.New(0, rand.New(rand.NewPCG(1, 1)), member.Member{Incarnation: 1, Name: "a"}, member.WithSeeds(listener.Addr().String()))
	var packetBytes, documentBytes atomic.Int64
	conns, documentConns := peer.NewConnPool(countBytes(&packetBytes)), peer.NewConnPool(countBytes(&documentBytes))
	defer conns.Close()
	defer documentConns.Close()
	n := gossip.New(state, loop, conns, logr.Discard(), metric.New(), gossip.WithDocumentConns(documentConns))
	defer n.Stop()
	n.Tick()
	(<-loop.steps)() // the response to the exchange
	<-loop.preparing
	answered := make(chan error, 1)
	go func() {
		_, err := n.Exchange(context.Background(), &message.Packet{From: &message.Member{Incarnation: 3, Name: "c", Counter: 1}, Digest: make([]uint32, member.DigestBuckets)})
		answered <- err
	}()
	(<-loop.steps)()
	is.NoErr(<-answered)
	is.True(packetBytes.Load() < int64(len(document))/100)
	is.True(documentBytes.Load() >= int64(len(document)))
	close(loop.free)
	(<-loop.steps)() // the result of the pull
	is.True(bytes.Equal(<-loop.documents, document))
}

// TestSlowPull guards against a pull that is given up although its parts arrive, and against pulls from a slow
// host that are given up and repeated for ever.
func TestSlowPull(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		pulls int64
	}{
		"parts arrive":           {400 * time.Millisecond, 1},
		"more time is necessary": {1200 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			document := []byte("[document]\npreset = ordinary\n")
			p := &forgingPeer{hash: sha256.Sum256(document), document: encode(t, document), pause: test.pause}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := peer.NewServer()
			message.RegisterGossipServer(server.Registrar(), p)
			ended := make(chan error, 1)
			go server.Serve(listener, ended)
			defer func() {
				server.Stop()
				is.NoErr(<-ended)
			}()
			loop := &testLoop{steps: make(chan func()), documents: make(chan []byte, 1)}
			state := member.New(0, rand.New(rand.NewPCG(1, 1)), member.Member{Incarnation: 1, Name: "a"}, member.WithSeeds(listener.Addr().String()))
			conns := peer.NewConnPool()
			defer conns.Close()
			n := gossip.New(state, loop, conns, logr.Discard(), metric.New())
			defer n.Stop()
			for range 2 * test.pulls {
				if len(loop.documents) == 0 {
					n.Announced(config.NewVersion(7, p.hash), listener.Addr().String())
					(<-loop.steps)() // the result of the pull
				}
			}
			is.Equal(len(loop.documents), 1)
			is.True(bytes.Equal(<-loop.documents, document))
			is.Equal(p.pulls.Load(), test.pulls)
		})
	}
}
