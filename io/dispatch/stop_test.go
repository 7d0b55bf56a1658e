package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/peer"
	"sassafrasward/platform/standin"
)

// TestDrainingDispatcher guards against jobs of other hosts that a stopping host takes, or that it cuts
// off because it doesn't know that they are in progress.
func TestDrainingDispatcher(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pieces := standin.NewTarget("i-1", nil)
	t.Cleanup(pieces.Stop)
	release := make(chan struct{})
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		pieces.ServeHTTP(w, r)
	})
	front := standin.NewTarget("i-1", nil)
	t.Cleanup(front.Stop)
	front.Config.Handler = slow
	target := discovery.Target{ID: "i-1", Pool: "pieces", Address: front.Address(), Zone: "z"}
	server, listenerEnd := peer.NewServer(), make(chan error, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	draining := dispatch.NewClient(ctx, "b", twoHosts{}, peer.NewConnPool(), newDispatcher(ctx, t, target))
	draining.Register(server.Registrar())
	go server.Serve(listener, listenerEnd)
	defer func() {
		server.Stop()
		is.NoErr(<-listenerEnd)
	}()
	conns := peer.NewConnPool()
	defer conns.Close()
	client := dispatch.NewClient(ctx, "a", twoHosts{address: listener.Addr().String()}, conns, newDispatcher(ctx, t, target))
	outcomes := make(chan dispatch.Outcome, 2)
	do := func(request string) {
		outcomes <- client.Do(ctx, dispatch.Job{Pool: "pieces", Request: request, Pieces: 2, Key: "k", SoftDeadlineIn: 5 * time.Second, DeadlineIn: 5 * time.Second})
	}
	go do("r1")
	for n := 0; n < 1000 && draining.RemoteJobs() == 0; n++ {
		time.Sleep(time.Millisecond)
	}
	is.Equal(draining.RemoteJobs(), 1)
	draining.Drain()
	go do("r2")
	close(release)
	hosts := make(map[string]int)
	for range 2 {
		o := <-outcomes
		is.Equal(o.Fault, dispatch.FaultNone)
		is.Equal(len(o.Handles), 2)
		hosts[o.Host]++
	}
	is.Equal(hosts, map[string]int{"a": 1, "b": 1}) // the second job went on to the next host
	is.Equal(draining.RemoteJobs(), 0)
	is.Equal(len(pieces.RequestIDs()), 2) // no piece was run again
}
