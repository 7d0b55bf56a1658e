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
	"sassafrasward/io/event"
	"sassafrasward/io/front"
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
	settings setting.Settings
	log      logr.Logger
	metrics  *metric.Metrics
	views    *view.Holder
	gates    *gates
	platform *platform.Client
	front    *front.Front
	peers    *peer.Server
	pool     *peer.Pool
	// exchanges has the connections of the gossip, which drops them when a call fails;
	// that must not cut off a forwarded command.
	exchanges *peer.Pool
	owner     *owner.Owner
	node      *gossip.Node
	control   *control
	orders    *order.Controller
	start     time.Time
	// incarnation identifies this process among all processes of all hosts.
	incarnation uint64
	// linger is how long a draining host still takes requests.
	linger time.Duration
	// halted ends when a planned stop is to end at once.
	halted context.Context
	halt   context.CancelFunc

	callers net.Listener
	hosts   net.Listener
}

// spread is the time in which other hosts learn that this one drains; until then their
// address answers still name it. It is the limit of invariant 7.
const spread = 6 * time.Second

// Option configures a Daemon.
type Option func(*Daemon)

// WithLinger sets how long a draining host still takes requests. The default is the
// lifetime of an address answer after all other hosts know of the drain.
func WithLinger(d time.Duration) Option { return func(one *Daemon) { one.linger = d } }

// New opens the listeners of a host and returns its daemon.
func New(settings setting.Settings, log logr.Logger, options ...Option) (d *Daemon, err error) {
	defer func() { err = Error.Wrap(err) }()
	d = &Daemon{
		settings: settings, log: log, metrics: metric.New(), views: view.NewHolder(),
		start: time.Now(), linger: spread + front.Lifetime, incarnation: rand.Uint64(),
	}
	d.halted, d.halt = context.WithCancel(context.Background())
	for _, o := range options {
		o(d)
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	known := newSuspects(d.incarnation, d.metrics.Counter("suspect.dropped"))
	d.gates = newGates(d.clock, settings.Zone(), known)
	d.platform = platform.New(settings.Platform(), d.metrics.Counter("platform.calls"))
	d.peers = peer.NewServer()
	run := &gauge{Executor: runner.New(d.clock, d.gates, target.New(target.WithClock(d.clock)), d.metrics)}
	d.owner = owner.New(settings.Host(), d.clock, run, d.views, d.pool, d.metrics, owner.WithLog(log),
		owner.WithDirectory(d.incarnation, directory{d}))
	d.owner.Register(d.peers.Registrar())
	self := wire.Host{Host: settings.Host(), Address: d.callers.Addr().String(), Zone: settings.Zone()}
	d.orders = order.New(settings.Host(), d.clock, log, d.metrics)
	d.control = newControl(d, self, known, run.count)
	d.gossip()
	d.front = front.New(self, d.views, d.owner, d.metrics, front.WithBody(settings.Body()), front.WithStatus(d.status), front.WithKeys(d.owner), front.WithLog(log))
	return d, nil
}

// listen opens the listeners and the connections to other hosts, whose bytes are counted.
func (d *Daemon) listen() (err error) {
	if d.callers, err = net.Listen("tcp", d.settings.Caller()); err != nil {
		return err
	}
	if d.hosts, err = net.Listen("tcp", d.settings.Peer()); err != nil {
		return errors.Join(err, d.callers.Close())
	}
	counters := peer.NewCounters(d.metrics.Counter("peer.bytes.sent"), d.metrics.Counter("peer.bytes.received"))
	d.hosts = counters.Listen(d.hosts)
	d.pool, d.exchanges = peer.NewPool(counters.Dial()), peer.NewPool(counters.Dial())
	return nil
}

// Address returns the address on which callers are served.
func (d *Daemon) Address() string { return d.callers.Addr().String() }

// directory finds other hosts through the gossip node, which is made after the owner.
type directory struct{ daemon *Daemon }

// Peer implements owner.Directory.
func (d directory) Peer(host string) (address string, incarnation uint64, ok bool) {
	return d.daemon.node.Peer(host)
}

// Successor implements owner.Directory.
func (d directory) Successor(owner uint64) (h member.Handover, ok bool) {
	return d.daemon.node.Successor(owner)
}

// HandOver implements owner.Directory.
func (d directory) HandOver(ctx context.Context, successor uint64, host string) {
	d.daemon.node.HandOver(ctx, successor, host)
}

// gossip connects the control goroutine to other hosts and to the platform.
func (d *Daemon) gossip() {
	c := d.control
	c.members = member.New(d.clock(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), member.Member{
		Incarnation: d.incarnation, Name: d.settings.Host(), Zone: d.settings.Zone(),
		Address: d.callers.Addr().String(), Peer: d.hosts.Addr().String(),
	}, member.WithSeeds(d.settings.Seeds()...), member.WithStandalone(d.settings.Alone()))
	c.node = gossip.New(c.members, c, d.exchanges, d.log, d.metrics)
	c.watcher = &watcher{
		platform: d.platform, log: d.log,
		config: func(ctx context.Context, cfg platform.Config) {
			c.Post(ctx, func() { c.Take(cfg.Number(), cfg.Raw()) })
		},
		hosts: func(ctx context.Context, list wire.Hosts) { c.Post(ctx, func() { c.takeHosts(list) }) },
		alive: func(ctx context.Context) { c.Post(ctx, func() { c.beat() }) },
	}
	d.node = c.node
	d.node.Register(d.peers.Registrar())
}

// Peer returns the address on which other hosts are served.
func (d *Daemon) Peer() string { return d.hosts.Addr().String() }

func (d *Daemon) clock() time.Duration { return time.Since(d.start) }

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	event.Log(d.log, event.HostStarted, "host", d.settings.Host(), "caller", d.Address(), "peer", d.hosts.Addr().String())
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ends := make(chan error, 5)
	go d.front.Serve(d.callers, ends)
	go d.peers.Serve(d.hosts, ends)
	go d.control.run(inner, ends)
	go d.orders.Run(inner, ends)

	select {
	case <-ctx.Done():
		err = d.drain()
	case err = <-ends:
		event.Fail(d.log, event.ListenFailed, err)
	}
	d.node.Flush()
	d.node.Stop()
	cancel()
	d.peers.Stop()
	d.pool.Close()
	d.exchanges.Close()
	event.Log(d.log, event.HostStopped, "host", d.settings.Host())
	return err
}

// Halt ends a planned stop at once and cuts off running requests.
func (d *Daemon) Halt() { d.halt() }

// drain takes the host out of the address answers, serves callers with older answers,
// waits for running requests and stops the servers. The limit of the settings or Halt ends
// it at once.
func (d *Daemon) drain() (err error) {
	event.Log(d.log, event.HostDraining, "host", d.settings.Host())
	ctx, cancel := context.WithTimeout(d.halted, d.settings.Drain())
	defer cancel()
	d.control.drain(ctx)
	timer := time.NewTimer(d.linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err = errors.Join(d.owner.Drain(ctx), d.front.Shutdown(ctx))
	if err == nil {
		return nil
	}
	event.Fail(d.log, event.HostHalted, err, "host", d.settings.Host())
	return errs.Combine(err, d.front.Close())
}
