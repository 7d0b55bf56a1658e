package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"sassafrasward/core/member"
	"sassafrasward/io/callerapi"
	"sassafrasward/io/event"
	"sassafrasward/io/gossip"
	"sassafrasward/io/metric"
	"sassafrasward/io/order"
	"sassafrasward/io/owner"
	"sassafrasward/io/peer"
	"sassafrasward/io/platform"
	"sassafrasward/io/runner"
	"sassafrasward/io/setting"
	"sassafrasward/io/target"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

// Daemon is the process of one entry host.
type Daemon struct {
	settings     setting.Settings
	log          logr.Logger
	metrics      *metric.Metrics
	views        *view.Holder
	pools        *poolSet
	platform     *platform.Client
	callers      *callerapi.Server
	peerServer   *peer.Server
	forwardConns *peer.ConnPool
	// gossipConns holds the connections of the gossip protocol. They are separate from
	// forwardConns because the gossip drops a connection when a call on it fails, which must
	// not cut off a forwarded command.
	gossipConns *peer.ConnPool
	// documentConns holds the connections on which configuration documents are pulled.
	documentConns *peer.ConnPool
	owner         *owner.Owner
	node          *gossip.Node
	control       *control
	orders        *order.Controller
	start         time.Time
	// incarnation identifies this process among all processes of all hosts.
	incarnation uint64
	// drainDelay is how long a draining host still takes requests.
	drainDelay time.Duration
	// haltCtx is cancelled when a graceful shutdown is to end at once.
	haltCtx context.Context
	halt    context.CancelFunc

	callerListener net.Listener
	peerListener   net.Listener
}

// drainPropagation is the time within which all other hosts learn that this one drains; until
// then their address answers still name it. This limit is documented as invariant 7.
const drainPropagation = 6 * time.Second

// Option configures a Daemon.
type Option func(*Daemon)

// WithDrainDelay sets how long a draining host still takes requests. The default is
// drainPropagation plus callerapi.AddressTTL, so that all callers have dropped this host's
// address by then.
func WithDrainDelay(d time.Duration) Option { return func(daemon *Daemon) { daemon.drainDelay = d } }

// New opens the listeners of the host and returns its daemon.
func New(settings setting.Settings, log logr.Logger, options ...Option) (d *Daemon, err error) {
	defer func() { err = Error.Wrap(err) }()
	d = &Daemon{
		settings: settings, log: log, metrics: metric.New(), views: view.NewHolder(),
		start: time.Now(), drainDelay: drainPropagation + callerapi.AddressTTL, incarnation: rand.Uint64(),
	}
	d.haltCtx, d.halt = context.WithCancel(context.Background())
	for _, o := range options {
		o(d)
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	suspects := newSuspectSync(d.incarnation, d.metrics.Counter("suspect.dropped"))
	d.pools = newPoolSet(d.clock, settings.Zone(), suspects)
	d.platform = platform.New(settings.PlatformAddress(), d.metrics.Counter("platform.calls"))
	d.peerServer = peer.NewServer()
	counting := &countingRunner{Runner: runner.New(d.clock, d.pools, target.New(target.WithClock(d.clock)), d.metrics)}
	d.owner = owner.New(settings.Host(), d.clock, counting, d.views, d.forwardConns, d.metrics, owner.WithLog(log),
		owner.WithDirectory(d.incarnation, directory{d}))
	d.owner.Register(d.peerServer.Registrar())
	self := wire.Host{Host: settings.Host(), Address: d.callerListener.Addr().String(), Zone: settings.Zone()}
	d.orders = order.New(settings.Host(), d.clock, log, d.metrics)
	d.control = newControl(d, self, suspects, counting.count)
	d.initGossip()
	d.callers = callerapi.New(self, d.views, d.owner, d.metrics, callerapi.WithMaxBody(settings.MaxBodyBytes()), callerapi.WithStatus(d.status), callerapi.WithKeys(d.owner), callerapi.WithLog(log))
	return d, nil
}

// listen opens the listeners and creates the connection pools for other hosts. It counts the
// bytes that are exchanged with them.
func (d *Daemon) listen() (err error) {
	if d.callerListener, err = net.Listen("tcp", d.settings.CallerAddress()); err != nil {
		return err
	}
	if d.peerListener, err = net.Listen("tcp", d.settings.PeerAddress()); err != nil {
		return errors.Join(err, d.callerListener.Close())
	}
	counters := peer.NewCounters(d.metrics.Counter("peer.bytes.sent"), d.metrics.Counter("peer.bytes.received"))
	d.peerListener = counters.WrapListener(d.peerListener)
	d.forwardConns, d.gossipConns, d.documentConns = peer.NewConnPool(counters.DialOption()), peer.NewConnPool(counters.DialOption()), peer.NewConnPool(counters.DialOption())
	return nil
}

// Address returns the address of the listener for callers.
func (d *Daemon) Address() string { return d.callerListener.Addr().String() }

// directory looks up other hosts in the gossip node. It refers to the daemon because the node is
// created after the owner.
type directory struct{ daemon *Daemon }

// Peer implements owner.Directory.
func (d directory) Peer(host string) (address string, incarnation uint64, ok bool) {
	return d.daemon.node.Peer(host)
}

// Successor implements owner.Directory.
func (d directory) Successor(owner uint64) (h member.Handover, ok bool) {
	return d.daemon.node.Successor(owner)
}

// AnnounceHandover implements owner.Directory.
func (d directory) AnnounceHandover(ctx context.Context, successor uint64, host string) {
	d.daemon.node.AnnounceHandover(ctx, successor, host)
}

// initGossip creates the membership, the gossip node and the platform watcher of the control
// goroutine.
func (d *Daemon) initGossip() {
	c := d.control
	c.members = member.New(d.clock(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), member.Member{
		Incarnation: d.incarnation, Name: d.settings.Host(), Zone: d.settings.Zone(),
		Address: d.callerListener.Addr().String(), Peer: d.peerListener.Addr().String(),
	}, member.WithSeeds(d.settings.Seeds()...), member.WithStandalone(d.settings.StandaloneStart()))
	c.node = gossip.New(c.members, c, d.gossipConns, d.log, d.metrics, gossip.WithDocumentConns(d.documentConns))
	c.watcher = &watcher{
		platform: d.platform, log: d.log,
		config: func(ctx context.Context, cfg platform.Config) {
			apply := c.PrepareDocument(cfg.Version(), cfg.Raw())
			c.Post(ctx, func() { apply() })
		},
		hosts: func(ctx context.Context, list wire.HostList) { c.Post(ctx, func() { c.applyHosts(list) }) },
		alive: func(ctx context.Context) { c.Post(ctx, func() { c.heartbeat() }) },
	}
	d.node = c.node
	d.node.Register(d.peerServer.Registrar())
}

// PeerAddress returns the address of the listener for other hosts.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

func (d *Daemon) clock() time.Duration { return time.Since(d.start) }

// Run serves until the context ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	event.Log(d.log, event.HostStarted, "host", d.settings.Host(), "caller", d.Address(), "peer", d.peerListener.Addr().String())
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveErrs := make(chan error, 5)
	go d.callers.Serve(d.callerListener, serveErrs)
	go d.peerServer.Serve(d.peerListener, serveErrs)
	go d.control.run(serveCtx, serveErrs)
	go d.orders.Run(serveCtx, serveErrs)

	select {
	case <-ctx.Done():
		err = d.drain()
	case err = <-serveErrs:
		event.LogError(d.log, event.ListenFailed, err)
	}
	d.node.DrainCalls()
	d.node.Stop()
	cancel()
	d.peerServer.Stop()
	d.forwardConns.Close()
	d.gossipConns.Close()
	d.documentConns.Close()
	event.Log(d.log, event.HostStopped, "host", d.settings.Host())
	return err
}

// Halt ends a graceful shutdown at once and cuts off running requests.
func (d *Daemon) Halt() { d.halt() }

// drain removes the host from the address answers, serves callers that hold older answers for
// drainDelay, waits for running requests and stops the servers. The drain timeout of the settings
// or Halt ends it at once.
func (d *Daemon) drain() (err error) {
	ctx, cancel := context.WithTimeout(d.haltCtx, d.settings.DrainTimeout())
	defer cancel()
	d.control.drain(ctx)
	event.Log(d.log, event.HostDraining, "host", d.settings.Host())
	timer := time.NewTimer(d.drainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err = errors.Join(d.owner.Drain(ctx), d.callers.Shutdown(ctx))
	if err == nil {
		return nil
	}
	event.LogError(d.log, event.HostForceStopped, err, "host", d.settings.Host())
	return errs.Combine(err, d.callers.Close())
}
