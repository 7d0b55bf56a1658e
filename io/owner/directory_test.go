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
type sharedDirectory struct {
	peers     map[string]string
	processes map[string]uint64
	handovers map[uint64]member.Handover
}

// node is the directory of one host.
type hostDirectory struct {
	*sharedDirectory
	incarnation uint64
}

func (n hostDirectory) Peer(host string) (string, uint64, bool) {
	address, ok := n.peers[host]
	return address, n.processes[host], ok
}

func (n hostDirectory) Successor(owner uint64) (member.Handover, bool) {
	h, ok := n.handovers[owner]
	return h, ok
}

func (n hostDirectory) AnnounceHandover(_ context.Context, successor uint64, host string) {
	n.handovers[n.incarnation] = member.Handover{Owner: n.incarnation, Successor: successor, Host: host}
}

// listen serves the owner to other hosts and returns its host list entry.
func listen(t *testing.T, f *sharedDirectory, w *harness, host string) wire.Listed {
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
	return wire.Listed{Host: host, Peer: f.peers[host], Kind: wire.KindEntry, State: wire.StateLive}
}

// TestSuccessors guards against finished commands that are unknown because the host that
// is asked does not have their successor among its listed hosts: it follows the handovers
// of two owners that stopped one after the other.
func TestSuccessorChain(t *testing.T) {
	is := is.New(t)
	f := &sharedDirectory{peers: make(map[string]string), processes: map[string]uint64{"a": 1, "b": 2, "c": 3, "d": 4}, handovers: make(map[uint64]member.Handover)}
	harnesses := make(map[string]*harness)
	listed := make(map[string]wire.Listed)
	for host, incarnation := range f.processes {
		harnesses[host] = newHarness(t, owner.WithDirectory(incarnation, hostDirectory{f, incarnation}))
		listed[host] = listen(t, f, harnesses[host], host)
	}
	a, b, d := harnesses["a"], harnesses["b"], harnesses["d"]
	key := a.key()
	first := a.send(context.Background(), "1", key)
	<-a.started
	a.answers <- end(outcome.Done, reason.None, `"paid"`)
	is.Equal((<-first).Outcome, outcome.Done.String())

	a.owner.SetHosts(wire.Hosts{Hosts: []wire.Listed{listed["b"]}})
	is.NoErr(a.owner.Drain(context.Background()))
	delete(f.peers, "a")
	b.owner.SetHosts(wire.Hosts{Hosts: []wire.Listed{listed["c"]}})
	is.NoErr(b.owner.Drain(context.Background()))
	delete(f.peers, "b")

	answer := <-d.send(context.Background(), "2", key)
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(string(answer.Output), `"paid"`)
}
