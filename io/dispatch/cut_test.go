package dispatch_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/core/quota"
	"sassafrasward/core/route"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/metric"
	"sassafrasward/io/peer"
	"sassafrasward/io/selfreport"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
	"sassafrasward/platform/standin"
)

// twoHosts are the hosts a, which submits, and b, which dispatches at an address.
type twoHosts struct{ address string }

func (h twoHosts) Eligible() []dispatch.Host { return []dispatch.Host{{Name: "b", Zone: "z"}} }

func (h twoHosts) Peer(string) (address string, incarnation uint64, ok bool) {
	return h.address, 1, true
}

// newDispatcher returns a dispatcher of a pool with the targets.
func newDispatcher(ctx context.Context, t *testing.T, targets ...discovery.Target) *dispatch.Dispatcher {
	t.Helper()
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	metrics := metric.New()
	d := dispatch.NewDispatcher(ctx, clock, transport.New(func() {}), selfreport.New("b", clock, logr.Discard(), metrics), logr.Discard(), metrics,
		func() *quota.Quota { return quota.New(10*time.Second, 1, 1000) })
	d.Configure(newTable(ctx, t), map[string][]discovery.Target{"pieces": targets})
	return d
}

// newTable returns the configuration that the stand-in of the store publishes.
func newTable(ctx context.Context, t *testing.T) (table *route.Table) {
	t.Helper()
	s := standin.NewStore()
	defer s.Close()
	s.PublishConfig(1)
	item, _, _, err := platform.NewStore(s.Address(), transport.Dial, func() {}).Get(ctx, platform.KeyConfig)
	if err != nil {
		t.Fatal(err)
	}
	if table, err = platform.DecodeConfig(item.Value); err != nil {
		t.Fatal(err)
	}
	return table
}

// cutProxy is a TCP proxy that closes each connection once it has passed on a number of bytes from the
// server.
func cutProxy(t *testing.T, server string, cut *atomic.Int64) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(client net.Conn) {
		defer func() { _ = client.Close() }()
		upstream, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		defer func() { _ = upstream.Close() }()
		go func() { _, _ = io.Copy(upstream, client) }()
		_, _ = io.CopyN(client, upstream, cut.Load())
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(client)
		}
	}()
	return listener.Addr().String()
}

// TestJobCutAnywhere guards against a job at another host that counts as done, refused or failed for
// reasons of its pieces, although the connection between the hosts broke, at any byte of the answer.
func TestJobCutAnywhere(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pieces := standin.NewTarget("i-1", nil)
	t.Cleanup(pieces.Stop)
	remote := newDispatcher(ctx, t, discovery.Target{ID: "i-1", Pool: "pieces", Address: pieces.Address(), Zone: "z"})
	local := newDispatcher(ctx, t, discovery.Target{ID: "i-1", Pool: "pieces", Address: pieces.Address(), Zone: "z"})
	server, listenerEnd := peer.NewServer(), make(chan error, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	dispatch.NewClient(ctx, "b", twoHosts{}, peer.NewConnPool(), remote).Register(server.Registrar())
	go server.Serve(listener, listenerEnd)
	defer func() {
		server.Stop()
		is.NoErr(<-listenerEnd)
	}()
	var cut atomic.Int64
	address := cutProxy(t, listener.Addr().String(), &cut)
	const most = 1 << 20
	job := dispatch.Job{Pool: "pieces", Request: "r", Pieces: 2, Key: "k", SoftDeadlineIn: 5 * time.Second, DeadlineIn: 5 * time.Second}
	do := func(at int64) dispatch.Outcome {
		cut.Store(at)
		conns := peer.NewConnPool()
		defer conns.Close()
		return dispatch.NewClient(ctx, "a", twoHosts{address: address}, conns, local).Do(ctx, job)
	}
	whole := do(most)
	is.Equal(whole.Host, "b")
	is.Equal(len(whole.Handles), job.Pieces)
	remotely := 0
	for at := int64(0); at < 600 && remotely < 20; at++ {
		o := do(at)
		is.Equal(o.Fault, dispatch.FaultNone) // this host dispatches the job itself
		is.Equal(o.Handles, whole.Handles)
		if o.Host == "b" {
			remotely++ // all of the answer was passed on
		}
	}
	is.True(remotely > 0)
}
