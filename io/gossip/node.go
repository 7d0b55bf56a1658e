package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
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
)

// EventLoop is the goroutine that runs the member.State and the Node.
type EventLoop interface {
	// Post runs f on the loop. It may drop f once the context has ended.
	Post(ctx context.Context, f func())
	// Clock returns the time since process start.
	Clock() time.Duration
	// PrepareDocument decodes a configuration document pulled from another host. It is called outside the
	// loop, because a large document takes long. It returns a function to be called on the loop, which puts
	// the document in force and reports whether it was accepted.
	PrepareDocument(number uint64, raw []byte) (apply func() (accepted bool))
}

// Node sends and receives the packets of one member.State.
type Node struct {
	message.UnimplementedGossipServer

	state *member.State
	loop  EventLoop
	conns *peer.ConnPool
	// documentConns has the connections for documents. They are separate, so that packets do not wait
	// behind a document on a slow link.
	documentConns *peer.ConnPool
	log           logr.Logger
	metrics       *metric.Metrics
	// ctx is the context of all calls to other hosts; stop cancels it.
	ctx  context.Context
	stop context.CancelFunc
	// draining is set on the loop to make no more calls.
	draining bool
	// inFlight counts the running calls to other hosts.
	inFlight sync.WaitGroup
	// document is the configuration in force, which other hosts can pull.
	document atomic.Pointer[document]
	// pulled is the document that is being put in force after a pull. Only the loop uses it.
	pulled *document
	// slowPulls is the number of pulls in a row that timed out.
	slowPulls atomic.Int32
	// snapshot is the published snapshot.
	snapshot atomic.Pointer[Snapshot]
}

// Option configures a Node.
type Option func(*Node)

// WithDocumentConns sets the connections on which documents are pulled. They are those of the packets by
// default.
func WithDocumentConns(conns *peer.ConnPool) Option {
	return func(n *Node) { n.documentConns = conns }
}

// New returns a node for the state, which must only be used on the loop.
func New(state *member.State, loop EventLoop, conns *peer.ConnPool, log logr.Logger, metrics *metric.Metrics, options ...Option) *Node {
	n := &Node{state: state, loop: loop, conns: conns, documentConns: conns, log: log, metrics: metrics}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.snapshot.Store(&Snapshot{})
	for _, o := range options {
		o(n)
	}
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
	if d == nil || d.version != v {
		d = newDocument(raw, v)
	}
	n.document.Store(d)
	n.state.SetConfigVersion(n.loop.Clock(), v)
}

// Announced pulls the version of the configuration that the host at the address has in force, if it is newer
// than that of this host. It is called on the loop.
func (n *Node) Announced(v config.Version, address string) {
	n.runStep(func(now time.Duration) []member.Call { return n.state.Announced(now, v, address) })
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

// Exchange implements message.GossipServer.
func (n *Node) Exchange(ctx context.Context, m *message.Packet) (*message.Packet, error) {
	if m.GetProbe() != nil {
		return n.probe(ctx, m.GetProbe())
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
