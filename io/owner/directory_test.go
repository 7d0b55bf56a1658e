package owner_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/member"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/owner"
	"sassafrasward/io/peer"
	"sassafrasward/io/wire"
)

// facts is a directory that all owners of a test share.
type facts struct {
	peers     map[string]string
	processes map[string]uint64
	handovers map[uint64]member.Handover
}

// node is the directory of one host.
type node struct {
	*facts
	incarnation uint64
}

func (n node) Peer(host string) (string, uint64, bool) {
	address, ok := n.peers[host]
	return address, n.processes[host], ok
}

func (n node) Successor(owner uint64) (member.Handover, bool) {
	h, ok := n.handovers[owner]
	return h, ok
}

func (n node) HandOver(_ context.Context, successor uint64, host string) {
	n.handovers[n.incarnation] = member.Handover{Owner: n.incarnation, Successor: successor, Host: host}
}

// listen serves the owner to other hosts and returns its host list entry.
func listen(t *testing.T, f *facts, w *world, host string) wire.HostEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer()
	w.owner.Register(server.Registrar())
	done := make(chan error, 1)
	go server.Serve(listener, done)
	t.Cleanup(func() {
		server.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	f.peers[host] = listener.Addr().String()
	return wire.HostEntry{Host: host, Peer: f.peers[host], Kind: wire.KindEntry, State: wire.StateLive}
}

// TestSuccessors guards against finished commands that are unknown because the host that
// is asked does not have their successor among its listed hosts: it follows the handovers
// of two owners that stopped one after the other.
func TestSuccessors(t *testing.T) {
	is := is.New(t)
	f := &facts{peers: make(map[string]string), processes: map[string]uint64{"a": 1, "b": 2, "c": 3, "d": 4}, handovers: make(map[uint64]member.Handover)}
	worlds := make(map[string]*world)
	listed := make(map[string]wire.HostEntry)
	for host, incarnation := range f.processes {
		worlds[host] = newWorld(t, owner.WithDirectory(incarnation, node{f, incarnation}))
		listed[host] = listen(t, f, worlds[host], host)
	}
	a, b, d := worlds["a"], worlds["b"], worlds["d"]
	key := a.key()
	first := a.send(context.Background(), "1", key)
	<-a.started
	a.answers <- end(outcome.Done, reason.None, `"paid"`)
	is.Equal((<-first).Outcome, outcome.Done.String())

	a.owner.SetHosts(wire.HostList{Hosts: []wire.HostEntry{listed["b"]}})
	is.NoErr(a.owner.Drain(context.Background()))
	delete(f.peers, "a")
	b.owner.SetHosts(wire.HostList{Hosts: []wire.HostEntry{listed["c"]}})
	is.NoErr(b.owner.Drain(context.Background()))
	delete(f.peers, "b")

	answer := <-d.send(context.Background(), "2", key)
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(string(answer.Output), `"paid"`)
}
