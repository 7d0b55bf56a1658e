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

// sharedDirectory holds the directory entries that all owners of a test share.
type sharedDirectory struct {
	peers     map[string]string
	processes map[string]uint64
	handovers map[uint64]member.Handover
}

// hostDirectory implements owner.Directory for one host.
type hostDirectory struct {
	*sharedDirectory
	incarnation uint64
}

func (d hostDirectory) Peer(host string) (string, uint64, bool) {
	address, ok := d.peers[host]
	return address, d.processes[host], ok
}

func (d hostDirectory) Successor(owner uint64) (member.Handover, bool) {
	h, ok := d.handovers[owner]
	return h, ok
}

func (d hostDirectory) AnnounceHandover(_ context.Context, successor uint64, host string) {
	d.handovers[d.incarnation] = member.Handover{Owner: d.incarnation, Successor: successor, Host: host}
}

// listen serves the owner to other hosts and returns its host list entry.
func listen(t *testing.T, shared *sharedDirectory, h *harness, host string) wire.HostEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer()
	h.owner.Register(server.Registrar())
	done := make(chan error, 1)
	go server.Serve(listener, done)
	t.Cleanup(func() {
		server.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	shared.peers[host] = listener.Addr().String()
	return wire.HostEntry{Host: host, Peer: shared.peers[host], Kind: wire.KindEntry, State: wire.StateLive}
}

// TestSuccessorChain guards against an unknown outcome for a finished command when the successor
// is not in the host list of the host that gets the resend. Two owners stop one after the other,
// and the host has to follow both handovers.
func TestSuccessorChain(t *testing.T) {
	is := is.New(t)
	shared := &sharedDirectory{peers: make(map[string]string), processes: map[string]uint64{"a": 1, "b": 2, "c": 3, "d": 4}, handovers: make(map[uint64]member.Handover)}
	harnesses := make(map[string]*harness)
	listed := make(map[string]wire.HostEntry)
	for host, incarnation := range shared.processes {
		harnesses[host] = newHarness(t, owner.WithDirectory(incarnation, hostDirectory{shared, incarnation}))
		listed[host] = listen(t, shared, harnesses[host], host)
	}
	a, b, d := harnesses["a"], harnesses["b"], harnesses["d"]
	key := a.key()
	first := a.send(context.Background(), "1", key)
	<-a.started
	a.answers <- result(outcome.Done, reason.None, `"paid"`)
	is.Equal((<-first).Outcome, outcome.Done.String())

	a.owner.SetHosts(wire.HostList{Hosts: []wire.HostEntry{listed["b"]}})
	is.NoErr(a.owner.Drain(context.Background()))
	delete(shared.peers, "a")
	b.owner.SetHosts(wire.HostList{Hosts: []wire.HostEntry{listed["c"]}})
	is.NoErr(b.owner.Drain(context.Background()))
	delete(shared.peers, "b")

	answer := <-d.send(context.Background(), "2", key)
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(string(answer.Output), `"paid"`)
}
