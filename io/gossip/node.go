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
	// probeTimeout is far above a round trip between availability zones and below the
	// period.
	probeTimeout = 500 * time.Millisecond
	relayTimeout = 2 * probeTimeout
	pullTimeout  = 3 * time.Second
)

// Owner is the goroutine that owns the state.
type Owner interface {
	// Post runs f on the owner. It may drop f once the context has ended.
	Post(ctx context.Context, f func())
	// Clock returns the time since process start.
	Clock() time.Duration
	// Take puts a document that was pulled from a host in force, if it is acceptable.
	// It runs on the owner.
	Take(number uint64, raw []byte) (accepted bool)
}

// Node carries the packets of one member.State.
type Node struct {
	message.UnimplementedGossipServer

	state   *member.State
	owner   Owner
	pool    *peer.Pool
	log     logr.Logger
	metrics *metric.Metrics
	// stop ends the context of running calls.
	ctx  context.Context
	stop context.CancelFunc
	// closing is set on the owner when no more calls are to be made.
	closing bool
	// running counts the calls to other hosts that have not ended.
	running sync.WaitGroup
	// held is the document in force, for other hosts to pull.
	held atomic.Pointer[held]
	// pulled is the document that is being taken, packed as it came; only the owner
	// touches it.
	pulled held
	// current is the published snapshot.
	current atomic.Pointer[Snapshot]
}

// held is a packed document with its hash.
type held struct {
	hash   [sha256.Size]byte
	packed []byte
}

// New returns a node of the state that belongs to the owner.
func New(state *member.State, owner Owner, pool *peer.Pool, log logr.Logger, metrics *metric.Metrics) *Node {
	n := &Node{state: state, owner: owner, pool: pool, log: log, metrics: metrics}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.current.Store(&Snapshot{})
	return n
}

// Register adds the gossip service to a server.
func (n *Node) Register(r grpc.ServiceRegistrar) { message.RegisterGossipServer(r, n) }

// Flush makes no more calls and waits until those that run now have ended; each has a
// time limit. The owner must still run.
func (n *Node) Flush() {
	closed := make(chan struct{})
	n.owner.Post(n.ctx, func() {
		n.closing = true
		close(closed)
	})
	<-closed
	n.running.Wait()
}

// Stop ends all running calls to other hosts.
func (n *Node) Stop() { n.stop() }

// Tick runs the periodic systems. It is called on the owner.
func (n *Node) Tick() { n.run(n.state.Tick) }

// Hold makes the bytes of a document available to other hosts and tells them of its
// version. It is called on the owner.
func (n *Node) Hold(raw []byte, v config.Version) {
	h := n.pulled
	if h.hash != v.Hash() {
		h = held{hash: v.Hash(), packed: pack(raw)}
	}
	n.held.Store(&h)
	n.state.SetConfigVersion(n.owner.Clock(), v)
}

// run runs a step of the state on the owner, counts its time and makes its sends.
func (n *Node) run(step func(now time.Duration) []member.Call) {
	began := time.Now()
	sends := step(n.owner.Clock())
	n.metrics.Counter("gossip.busy.micros").Inc(time.Since(began).Microseconds())
	if n.closing {
		return
	}
	for _, send := range sends {
		n.metrics.Counter("gossip.sends." + send.Kind().String()).Inc(1)
		n.running.Go(func() { n.carry(send) })
	}
}

// post runs a step on the owner.
func (n *Node) post(step func(now time.Duration) []member.Call) {
	n.owner.Post(n.ctx, func() { n.run(step) })
}

// carry makes one send and reports its end to the state.
func (n *Node) carry(send member.Call) {
	switch send.Kind() {
	case member.Exchange:
		n.exchange(send)
	case member.IndirectProbe:
		n.relay(send)
	case member.Pull:
		n.pull(send)
	}
}

// call makes one call. A connection on which a call failed is not used again: it may have
// gone silent while new connections work.
func (n *Node) call(address string, timeout time.Duration, m *message.Packet) (answer *message.Packet, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	conn, err := n.pool.Conn(address)
	if err != nil {
		return nil, err
	}
	answer, err = message.NewGossipClient(conn).Exchange(ctx, m)
	if err != nil && n.ctx.Err() == nil {
		n.pool.Drop(address, conn)
	}
	return answer, err
}

func (n *Node) exchange(send member.Call) {
	answer, err := n.call(send.Address(), probeTimeout, encode(send.Packet()))
	var p member.Packet
	ok := err == nil
	if ok {
		p, ok = decode(answer)
	}
	n.post(func(now time.Duration) []member.Call {
		if !ok {
			return n.state.Failed(now, send)
		}
		return n.state.Answered(now, send, p)
	})
}

func (n *Node) relay(send member.Call) {
	incarnation, address := send.Target()
	m := &message.Packet{Probe: &message.Probe{Incarnation: incarnation, Address: address}}
	answer, err := n.call(send.Address(), relayTimeout, m)
	n.post(func(now time.Duration) []member.Call {
		if err != nil || !answer.GetReached() {
			return n.state.Failed(now, send)
		}
		n.state.Reached(send)
		return nil
	})
}

func (n *Node) pull(send member.Call) {
	hash := send.Version().Hash()
	answer, err := n.call(send.Address(), pullTimeout, &message.Packet{Want: hash[:]})
	var raw []byte
	if err == nil && len(answer.GetDocument()) > 0 {
		if raw, err = unpack(answer.GetDocument(), hash); err != nil {
			n.metrics.Counter("gossip.documents.refused").Inc(1)
			event.LogError(n.log, event.ConfigHashMismatch, err, "peer", send.Address(), "version", send.Version().String())
			raw = nil
		}
	}
	n.post(func(time.Duration) []member.Call {
		n.pulled = held{hash: hash, packed: answer.GetDocument()}
		accepted := raw != nil && n.owner.Take(send.Version().Number(), raw)
		n.pulled = held{}
		n.state.Pulled(send, accepted, raw != nil)
		if accepted {
			n.metrics.Counter("gossip.documents.pulled").Inc(1)
		}
		return nil
	})
}

// Exchange implements the gossip service.
func (n *Node) Exchange(ctx context.Context, m *message.Packet) (*message.Packet, error) {
	switch {
	case m.GetProbe() != nil:
		return n.probe(ctx, m.GetProbe())
	case len(m.GetWant()) > 0:
		return n.document(m.GetWant()), nil
	}
	p, ok := decode(m)
	if !ok {
		return nil, Error.New("malformed packet")
	}
	answers := make(chan member.Packet, 1)
	n.owner.Post(ctx, func() {
		n.run(func(now time.Duration) []member.Call {
			answer, sends := n.state.Serve(now, p)
			answers <- answer
			return sends
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

// probe reaches another host on behalf of a third one.
func (n *Node) probe(ctx context.Context, probe *message.Probe) (*message.Packet, error) {
	requests := make(chan func() (*message.Packet, error), 1)
	n.owner.Post(ctx, func() {
		address := n.state.PeerAddress(probe.GetIncarnation(), probe.GetAddress())
		m := encode(n.state.Ping())
		requests <- func() (*message.Packet, error) { return n.call(address, probeTimeout, m) }
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

func (n *Node) document(want []byte) *message.Packet {
	h := n.held.Load()
	if h == nil || string(h.hash[:]) != string(want) {
		return &message.Packet{}
	}
	return &message.Packet{Document: h.packed}
}
