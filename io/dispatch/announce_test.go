package dispatch_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/admit"
	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/peer"
)

// maxPolls bounds a wait for announcements to some 20 s.
const maxPolls = 4000

// TestAnnouncementsReachDispatcher guards against announcements and refusals that do not reach the dispatching
// host or stay there, against a host that does not hear of the backlog in return, and against announcements to a
// host that is gone which blocks or fails a caller.
func TestAnnouncementsReachDispatcher(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	target := discovery.Target{ID: "i-1", Pool: "pieces", Address: "127.0.0.1:1", Zone: "z"}
	remote, local := newDispatcher(ctx, t, target), newDispatcher(ctx, t, target)
	server, listenerEnd := peer.NewServer(), make(chan error, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := peer.NewConnPool()
	defer conns.Close()
	dispatch.NewClient(ctx, "b", twoHosts{}, peer.NewConnPool(), remote, dispatch.WithAnnouncements(10*time.Millisecond)).Register(server.Registrar())
	a := dispatch.NewClient(ctx, "a", twoHosts{address: listener.Addr().String()}, conns, local, dispatch.WithAnnouncements(10*time.Millisecond))
	go server.Serve(listener, listenerEnd)
	await := func(holds func(admit.Backlog) bool, tell func()) {
		t.Helper()
		for n := 0; !holds(a.Backlog("pieces", "")); n++ {
			if n == maxPolls {
				t.Fatalf("backlog %+v", a.Backlog("pieces", ""))
			}
			tell()
			time.Sleep(5 * time.Millisecond)
		}
	}
	announcement := batch.Announcement{ID: 7, Priority: 2, Pieces: 3000, ArrivesIn: 20 * time.Second}
	await(func(b admit.Backlog) bool { return b.Announced == 3000 && b.WantsAnnouncements }, func() { a.Announce("pieces", "", announcement) })
	is.Equal(remote.Backlog("pieces", "").Announced, 3000)
	await(func(b admit.Backlog) bool { return b.Announced == 0 && len(b.Levels) == 2 }, func() {
		a.Withdraw("pieces", "", 7)
		a.RecordRefused("pieces", "", 1, 10)
	})
	is.Equal(a.Backlog("pieces", "").Levels[0].Priority, 1)
	quiet := dispatch.NewClient(ctx, "a", twoHosts{address: listener.Addr().String()}, conns, newDispatcher(ctx, t, target))
	is.Equal(len(quiet.Backlog("pieces", "").Levels), 0) // without announcements, backlogs are those of the mean priority
	server.Stop()
	is.NoErr(<-listenerEnd)
	for range 2000 {
		a.Announce("pieces", "", announcement) // is dropped
	}
}
