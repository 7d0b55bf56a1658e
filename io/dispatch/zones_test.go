package dispatch_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/peer"
	"sassafrasward/platform/standin"
)

// TestZonesOfRemoteJob guards against a job that loses its zones on the way to the host that dispatches its pool, and
// runs elsewhere there.
func TestZonesOfRemoteJob(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	near, home := standin.NewTarget("i-1", nil), standin.NewTarget("i-2", nil)
	t.Cleanup(near.Stop)
	t.Cleanup(home.Stop)
	targets := []discovery.Target{{ID: "i-1", Pool: "pieces", Address: near.Address(), Zone: "a"}, {ID: "i-2", Pool: "pieces", Address: home.Address(), Zone: "b"}}
	server, listenerEnd := peer.NewServer(), make(chan error, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	remote := dispatch.NewClient(ctx, "b", twoHosts{}, peer.NewConnPool(), newDispatcher(ctx, t, targets...))
	remote.Register(server.Registrar())
	go server.Serve(listener, listenerEnd)
	defer func() {
		server.Stop()
		is.NoErr(<-listenerEnd)
	}()
	conns := peer.NewConnPool()
	defer conns.Close()
	client := dispatch.NewClient(ctx, "a", twoHosts{address: listener.Addr().String()}, conns, newDispatcher(ctx, t, targets...))
	do := func(n int, zones ...string) dispatch.Outcome {
		return client.Do(ctx, dispatch.Job{
			Pool: "pieces", Request: fmt.Sprintf("r%d", n), Pieces: 2, Key: "k", SoftDeadlineIn: 5 * time.Second, DeadlineIn: 5 * time.Second, Zone: "a", Zones: zones,
		})
	}
	for n := range 10 {
		o := do(n, "b")
		is.Equal(o.Fault, dispatch.FaultNone)
		is.Equal(o.Host, "b")
	}
	is.Equal(len(near.Received()), 0)
	is.Equal(do(10, "c").Fault, dispatch.FaultRefused) // at once
	is.Equal(do(11).Fault, dispatch.FaultNone)
	is.Equal(len(near.Received()), 1) // the preferred zone
}
