package gossip

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
	"sassafrasward/io/event"
	"sassafrasward/io/gossip/message"
	"sassafrasward/io/metric"
	"sassafrasward/io/peer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("gossip")

const (
	// probeTimeout is far above a round trip between availability zones and below the gossip
	// period.
	probeTimeout         = 500 * time.Millisecond
	indirectProbeTimeout = 2 * probeTimeout
	pullTimeout          = 3 * time.Second
)

// EventLoop is the goroutine that runs the member.State and the Node.
type EventLoop interface {
	// Post runs f on the loop. It may drop f once the context has ended.
	Post(ctx context.Context, f func())
	// Clock returns the time since process start.
	Clock() time.Duration
	// ApplyDocument puts a configuration document pulled from another host in force and reports
	// whether it was accepted. It is called on the loop.
	ApplyDocument(number uint64, raw []byte) (accepted bool)
}

// Node sends and receives the packets of one member.State.
type Node struct {
	message.UnimplementedGossipServer

	state   *member.State
	loop    EventLoop
	conns   *peer.ConnPool
	log     logr.Logger
	metrics *metric.Metrics
	// ctx is the context of all calls to other hosts; stop cancels it.
	ctx  context.Context
	stop context.CancelFunc
	// draining is set on the loop to make no more calls.
	draining bool
	// inFlight counts the running calls to other hosts.
	inFlight sync.WaitGroup
	// document is the configuration in force, which other hosts can pull.
	document atomic.Pointer[document]
	// pulled is the document that ApplyDocument is being called with, compressed as it was
	// received. Only the loop uses it.
	pulled document
	// snapshot is the published snapshot.
	snapshot atomic.Pointer[Snapshot]
}

// document is a compressed configuration document with the hash of its uncompressed bytes.
type document struct {
	hash       [sha256.Size]byte
	compressed []byte
}

// New returns a node for the state, which must only be used on the loop.
func New(state *member.State, loop EventLoop, conns *peer.ConnPool, log logr.Logger, metrics *metric.Metrics) *Node {
	n := &Node{state: state, loop: loop, conns: conns, log: log, metrics: metrics}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.snapshot.Store(&Snapshot{})
	return n
}

// Register adds the gossip service to a server.
func (n *Node) Register(r grpc.ServiceRegistrar) { message.RegisterGossipServer(r, n) }

// DrainCalls makes no more calls and waits for the running ones, each of which has a time limit.
// The loop must still be running.
func (n *Node) DrainCalls() {
	closed := make(chan struct{})
	n.loop.Post(n.ctx, func() {
		n.draining = true
		close(closed)
	})
	<-closed
	n.inFlight.Wait()
}

// Stop cancels all running calls to other hosts.
func (n *Node) Stop() { n.stop() }

// Tick runs member.State.Tick and makes the calls that it returns. It is called on the loop.
func (n *Node) Tick() { n.runStep(n.state.Tick) }

// SetDocument makes the bytes of a configuration document available to other hosts and announces
// its version. It is called on the loop.
func (n *Node) SetDocument(raw []byte, v config.Version) {
	d := n.pulled
	if d.hash != v.Hash() {
		d = document{hash: v.Hash(), compressed: compress(raw)}
	}
	n.document.Store(&d)
	n.state.SetConfigVersion(n.loop.Clock(), v)
}

// runStep runs a step of the state on the loop, records its run time and makes the calls that it
// returns.
func (n *Node) runStep(step func(now time.Duration) []member.Call) {
	began := time.Now()
	calls := step(n.loop.Clock())
	n.metrics.Counter("gossip.busy.micros").Inc(time.Since(began).Microseconds())
	if n.draining {
		return
	}
	for _, call := range calls {
		n.metrics.Counter("gossip.sends." + call.Kind().String()).Inc(1)
		n.inFlight.Go(func() { n.perform(call) })
	}
}

// postStep posts a step to the loop.
func (n *Node) postStep(step func(now time.Duration) []member.Call) {
	n.loop.Post(n.ctx, func() { n.runStep(step) })
}

// perform makes one call and reports its result to the state.
func (n *Node) perform(call member.Call) {
	switch call.Kind() {
	case member.Exchange:
		n.exchange(call)
	case member.IndirectProbe:
		n.probeIndirectly(call)
	case member.Pull:
		n.pullDocument(call)
	}
}

// roundTrip sends a message and returns the response. A connection on which a call failed is not
// used again, since it may be dead while new connections work.
func (n *Node) roundTrip(address string, timeout time.Duration, m *message.Packet) (answer *message.Packet, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	conn, err := n.conns.Conn(address)
	if err != nil {
		return nil, err
	}
	answer, err = message.NewGossipClient(conn).Exchange(ctx, m)
	if err != nil && n.ctx.Err() == nil {
		n.conns.Drop(address, conn)
	}
	return answer, err
}

func (n *Node) exchange(call member.Call) {
	answer, err := n.roundTrip(call.Address(), probeTimeout, encode(call.Packet()))
	var p member.Packet
	ok := err == nil
	if ok {
		p, ok = decode(answer)
	}
	n.postStep(func(now time.Duration) []member.Call {
		if !ok {
			return n.state.Failed(now, call)
		}
		return n.state.Answered(now, call, p)
	})
}

func (n *Node) probeIndirectly(call member.Call) {
	incarnation, address := call.Target()
	m := &message.Packet{Probe: &message.Probe{Incarnation: incarnation, Address: address}}
	answer, err := n.roundTrip(call.Address(), indirectProbeTimeout, m)
	n.postStep(func(now time.Duration) []member.Call {
		if err != nil || !answer.GetReached() {
			return n.state.Failed(now, call)
		}
		n.state.Reached(call)
		return nil
	})
}

func (n *Node) pullDocument(call member.Call) {
	hash := call.Version().Hash()
	answer, err := n.roundTrip(call.Address(), pullTimeout, &message.Packet{Want: hash[:]})
	var raw []byte
	if err == nil && len(answer.GetDocument()) > 0 {
		if raw, err = decompress(answer.GetDocument(), hash); err != nil {
			n.metrics.Counter("gossip.documents.refused").Inc(1)
			event.LogError(n.log, event.ConfigHashMismatch, err, "peer", call.Address(), "version", call.Version().String())
			raw = nil
		}
	}
	n.postStep(func(time.Duration) []member.Call {
		n.pulled = document{hash: hash, compressed: answer.GetDocument()}
		accepted := raw != nil && n.loop.ApplyDocument(call.Version().Number(), raw)
		n.pulled = document{}
		n.state.Pulled(call, accepted, raw != nil)
		if accepted {
			n.metrics.Counter("gossip.documents.pulled").Inc(1)
		}
		return nil
	})
}

// Exchange implements message.GossipServer.
func (n *Node) Exchange(ctx context.Context, m *message.Packet) (*message.Packet, error) {
	switch {
	case m.GetProbe() != nil:
		return n.probe(ctx, m.GetProbe())
	case len(m.GetWant()) > 0:
		return n.lookupDocument(m.GetWant()), nil
	}
	p, ok := decode(m)
	if !ok {
		return nil, Error.New("malformed packet")
	}
	answers := make(chan member.Packet, 1)
	n.loop.Post(ctx, func() {
		n.runStep(func(now time.Duration) []member.Call {
			answer, calls := n.state.Serve(now, p)
			answers <- answer
			return calls
		})
	})
	select {
	case answer := <-answers:
		return encode(answer), nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-n.ctx.Done():
		return nil, Error.Wrap(n.ctx.Err())
	}
}

// probe probes a host on behalf of another one and reports whether it answered.
func (n *Node) probe(ctx context.Context, probe *message.Probe) (*message.Packet, error) {
	requests := make(chan func() (*message.Packet, error), 1)
	n.loop.Post(ctx, func() {
		address := n.state.PeerAddress(probe.GetIncarnation(), probe.GetAddress())
		m := encode(n.state.Ping())
		requests <- func() (*message.Packet, error) { return n.roundTrip(address, probeTimeout, m) }
	})
	select {
	case request := <-requests:
		answer, err := request()
		reached := err == nil && answer.GetFrom().GetIncarnation() == probe.GetIncarnation()
		return &message.Packet{Reached: reached}, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// lookupDocument returns the document in force if it has the wanted hash, and an empty packet
// otherwise.
func (n *Node) lookupDocument(want []byte) *message.Packet {
	d := n.document.Load()
	if d == nil || string(d.hash[:]) != string(want) {
		return &message.Packet{}
	}
	return &message.Packet{Document: d.compressed}
}
