package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"sassafrasward/core/discovery"
	"sassafrasward/core/feed"
	"sassafrasward/core/member"
	"sassafrasward/core/quota"
	"sassafrasward/core/selfreport"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/event"
	iofeed "sassafrasward/io/feed"
	"sassafrasward/io/gossip"
	"sassafrasward/io/metric"
	"sassafrasward/io/pause"
	"sassafrasward/io/peer"
	ioselfreport "sassafrasward/io/selfreport"
	"sassafrasward/io/setting"
	"sassafrasward/io/transport"
)

// Error is the error class of this package.
var Error = errs.Class("edge")

const (
	// heapFraction is the fraction of the process's memory limit that is left to the Go heap. The
	// rest is for code and for bytes that were received but not read yet (unreadFraction). callerFraction and
	// responseFraction are parts of it: a tenth is left for the state of the host.
	heapFraction = 0.6
	// streamAcceptTime is how long after the stop signal a host still accepts streams that may be cut
	// off when it stops. The platform excuses those that callers sent within 3 s; the difference is for
	// a signal that arrives late.
	streamAcceptTime = 2700 * time.Millisecond
	// A draining host without requests stops closeMargin before the time at which it is killed, and
	// any other exitMargin before that time.
	closeMargin = 2 * time.Second
	exitMargin  = 300 * time.Millisecond
	// quietTime is how long no request must have arrived before a draining host exits early.
	quietTime = 2500 * time.Millisecond
)

// Edge is an edge host.
type Edge struct {
	settings setting.Settings
	log      logr.Logger
	metrics  *metric.Metrics
	start    time.Time
	state    atomic.Pointer[state]
	choosers *choosers
	conns    *transport.Pool
	reports  *ioselfreport.Registry
	dialPeer PeerDialer
	// peers has the connections for jobs, gossipPeers those for gossip, documentPeers those for
	// configurations, and feedPeers those to the hosts that this one follows. They are separate because
	// gossip and the follower close a connection when a call fails, which would cut off the other calls
	// on it, and because small messages must not wait behind configurations.
	peers          *peer.ConnPool
	gossipPeers    *peer.ConnPool
	documentPeers  *peer.ConnPool
	feedPeers      *peer.ConnPool
	server         *peer.Server
	dispatcher     *dispatch.Dispatcher
	dispatchClient *dispatch.Client
	// retries has the callers that were told when to come back.
	retries       *retryTable
	node          *gossip.Node
	control       *control
	frontend      *frontend
	suspects      *suspects
	watcher       *watcher
	configWatcher *configWatcher
	prober        *prober
	hub           *iofeed.Hub
	follower      *iofeed.Follower
	// running is the number of requests in progress. lastArrival is when the last request arrived,
	// on the clock of this host, in nanoseconds.
	running     atomic.Int64
	lastArrival atomic.Int64
	// background tracks goroutines that may outlive their request; they end with ctx.
	background sync.WaitGroup
	memory     memory
	// callers has the connections of callers, nil without bounds.
	callers *callers
	// pauses tells, on the clock wallClock, whether this host stood still.
	pauses *pause.Detector
	// ctx ends all calls of the process, and requestsCtx the requests of callers.
	ctx, requestsCtx       context.Context
	cancel, cancelRequests context.CancelFunc
}

// PeerDialer connects to another host.
type PeerDialer func(ctx context.Context, address string) (net.Conn, error)

// Option configures an Edge.
type Option func(*Edge)

// WithPeerDialer sets how the host connects to other hosts, for tests of networks that fail.
func WithPeerDialer(dial PeerDialer) Option { return func(e *Edge) { e.dialPeer = dial } }

// New returns an edge host with the settings. Run starts it.
func New(settings setting.Settings, log logr.Logger, options ...Option) *Edge {
	e := &Edge{settings: settings, log: log, metrics: metric.New(), start: time.Now(), pauses: pause.New(wallClock())}
	e.dialPeer = func(ctx context.Context, address string) (net.Conn, error) {
		return transport.Dial(ctx, "tcp", address)
	}
	for _, o := range options {
		o(e)
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.requestsCtx, e.cancelRequests = context.WithCancel(e.ctx)
	e.memory = newMemory(settings.MemoryLimit())
	if m := settings.MemoryLimit(); m > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(m)))
	}
	e.callers = e.newCallers(callerLimits(settings))
	e.state.Store(&state{})
	b := settings.Limits()
	newQuota := func() *quota.Quota { return quota.New(b.RetryWindow, b.RetryRatio, b.RetryAllowance/minHosts) }
	e.reports = ioselfreport.New(settings.Host(), e.clock, log, e.metrics, selfreport.WithColdBound(selfreport.ColdBound{Factor: b.ColdFactor, Slack: b.ColdSlack}))
	e.reports.OnBack(func(t discovery.Target, senders selfreport.Senders) {
		e.background.Go(func() { e.askColdTime(t, senders) })
	})
	e.choosers = newChoosers(e.clock, e.reports.Gate(selfreport.AllHosts), newQuota)
	e.conns = transport.New(func() { e.metrics.Counter("target.connections").Inc(1) })
	dial := grpc.WithContextDialer(e.dialPeer)
	e.peers, e.gossipPeers, e.documentPeers, e.feedPeers = peer.NewConnPool(dial), peer.NewConnPool(dial), peer.NewConnPool(dial), peer.NewConnPool(dial)
	e.server = peer.NewServer()
	e.dispatcher = dispatch.NewDispatcher(e.ctx, e.clock, e.conns, e.reports, log, e.metrics, newQuota)
	e.newControl()
	e.dispatchClient = dispatch.NewClient(e.ctx, settings.Host(), dispatchHosts{e}, e.peers, e.dispatcher, dispatch.WithAnnouncements(settings.AnnounceDelay()))
	e.retries = newRetryTable()
	e.dispatchClient.Register(e.server.Registrar())
	e.frontend = &frontend{Edge: e}
	return e
}

// newControl creates the control state, the gossip node and the store watcher.
func (e *Edge) newControl() {
	c := &control{Edge: e, tasks: make(chan func(), queueLen), targetSet: discovery.New(), announcements: event.NewDeferred(e.log)}
	e.control = c
	s := e.settings
	incarnation := rand.Uint64()
	e.suspects = newSuspects(e.clock, e.log, incarnation, e.metrics)
	c.members = member.New(e.clock(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), member.Member{
		Incarnation: incarnation, Name: s.Host(), Zone: s.Zone(), Address: s.CallerAddress(), Peer: s.PeerAddress(),
	}, member.WithSeeds(s.Seeds()...), member.WithStandalone(true), member.WithPeriod(gossipInterval))
	e.node = gossip.New(c.members, c, e.gossipPeers, e.log, e.metrics, gossip.WithDocumentConns(e.documentPeers))
	e.node.Register(e.server.Registrar())
	e.hub = iofeed.NewHub(e.clock, c)
	e.hub.Register(e.server.Registrar())
	e.follower = iofeed.NewFollower(e.hub, e.feedPeers, iofeed.WithLog(e.log))
	calls := e.metrics.Counter("platform.calls")
	countCall := func() { calls.Inc(1) }
	limits := feed.Limits{Change: s.Limits().MaxChangeDelay(), Recovery: s.Limits().RecoveryTime}
	e.prober = &prober{
		store: newStoreClient(s.PlatformAddress(), countCall), interval: limits.ProbeInterval(), clock: e.clock, due: make(chan struct{}, 1),
		needed: func() bool { return e.watcher.reader.Load() && e.hub.Followed() },
		reached: func(ctx context.Context, sentAt time.Duration) {
			e.configWatcher.reached(sentAt)
			e.watcher.reached(ctx, sentAt)
		},
	}
	e.watcher = &watcher{
		hub: e.hub, clock: e.clock, log: e.log, jitter: rand.Float64(), limits: limits, reopened: e.prober.wake,
		wait:     min(s.Limits().RecoveryTime-watchSlack-watchMargin, maxWait),
		prefixes: newPrefixWatches(s, countCall),
	}
	e.watcher.watches = feed.NewWatches(feed.Watch(len(e.watcher.prefixes)))
	e.configWatcher = &configWatcher{
		hub: e.hub, clock: e.clock, log: e.log, jitter: e.watcher.jitter, limits: limits, reopened: e.prober.wake, wait: e.watcher.wait, coalesce: s.Limits().CoalesceDelay(),
		store:  newStoreClient(s.PlatformAddress(), countCall),
		reader: e.watcher.reader.Load,
		known:  func() bool { return e.state.Load().table != nil },
		apply: func(ctx context.Context, raw []byte, at time.Duration) {
			apply := func() bool { return true }
			if raw != nil {
				apply = c.prepareConfig(raw, "store")
			}
			c.Post(ctx, func() {
				apply()
				c.hub.ConfigCurrent(at)
			})
		},
	}
	c.updatePlan()
}

// dispatchHosts implements dispatch.Hosts with the published state and the gossip node.
type dispatchHosts struct{ edge *Edge }

// Eligible implements dispatch.Hosts.
func (h dispatchHosts) Eligible() []dispatch.Host { return h.edge.state.Load().eligible }

// Peer implements dispatch.Hosts.
func (h dispatchHosts) Peer(host string) (address string, incarnation uint64, ok bool) {
	return h.edge.node.Peer(host)
}

func (e *Edge) clock() time.Duration { return time.Since(e.start) }

// wallClock returns the time of day, which goes on while the machine is suspended. It may be stepped.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Reload applies those new settings that may change while the process runs: the seeds.
func (e *Edge) Reload(s setting.Settings) {
	e.control.Post(e.ctx, func() {
		e.control.members.SetSeeds(s.Seeds())
		event.Log(e.log, event.SettingsReloaded, "host", s.Host(), "seeds", len(s.Seeds()))
	})
}

// Run serves until the context ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	event.Log(e.log, event.HostStarted, "host", e.settings.Host(), "caller", e.settings.CallerAddress(), "peer", e.settings.PeerAddress())
	peerListener, err := transport.Listen(ctx, e.settings.PeerAddress())
	if err != nil {
		return err
	}
	servers := e.servers()
	// ends receives one value each from the HTTP servers, the peer server, the control goroutine,
	// the watchers, the prober, the follower and the dispatcher. It is buffered for all of them, so that none blocks.
	ends := make(chan error, len(servers)+7)
	for _, s := range servers {
		l, err := transport.Listen(ctx, s.Addr)
		if err != nil {
			return err
		}
		go func() { ends <- s.Serve(s.callers.listener(l)) }()
	}
	go e.server.Serve(peerListener, ends)
	go e.control.run(e.ctx, ends)
	go e.watcher.run(e.ctx, ends)
	go e.configWatcher.run(e.ctx, ends)
	go e.prober.run(e.ctx, ends)
	go e.follower.Run(e.ctx, ends)
	go e.dispatcher.Run(e.ctx, ends)
	select {
	case <-ctx.Done():
		err = e.drain(servers)
	case err = <-ends:
		event.LogError(e.log, event.ListenFailed, err)
	}
	e.cancel()
	e.background.Wait()
	e.node.Stop()
	e.server.Stop()
	e.peers.Close()
	e.gossipPeers.Close()
	e.documentPeers.Close()
	e.feedPeers.Close()
	event.Log(e.log, event.HostStopped, "host", e.settings.Host())
	return err
}

// boundedServer is an HTTP server with the bounds for its connections.
type boundedServer struct {
	*http.Server

	callers *callers
}

// servers returns the HTTP servers of the host. The first one serves callers.
func (e *Edge) servers() (servers []boundedServer) {
	servers = append(servers, boundedServer{e.frontend.server(e.settings.CallerAddress()), e.callers})
	for _, s := range []struct {
		address             string
		handler             http.HandlerFunc
		descriptors, memory float64
	}{
		{e.settings.ReadyAddress(), e.serveReady, statusDescriptors, statusMemory},
		{e.settings.DirectoryAddress(), e.serveDirectory, directoryDescriptors, directoryMemory},
		{e.settings.MetricsAddress(), e.serveMetrics, statusDescriptors, statusMemory},
	} {
		if s.address != "" {
			servers = append(servers, boundedServer{&http.Server{
				Addr: s.address, Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxStatusHeader,
				ConnState: connState,
			}, e.newCallers(statusLimits(e.settings, s.descriptors, s.memory))})
		}
	}
	return servers
}

// stopTime returns when a host that began to drain at a time ends the requests that are still in
// progress.
func (e *Edge) stopTime(drainStart time.Duration) time.Duration {
	return drainStart + max(e.settings.Limits().GracePeriod-exitMargin, 0)
}

// drain removes the host from address responses, serves callers with cached addresses until
// there are none or the grace period is almost over, and shuts the servers down. Jobs of other hosts
// that are in progress run to their end.
func (e *Edge) drain(servers []boundedServer) (err error) {
	began := e.clock()
	stop := e.stopTime(began)
	e.frontend.drainStart.Store(int64(began))
	e.dispatchClient.Drain()
	e.control.drain(e.ctx)
	event.Log(e.log, event.HostDraining, "host", e.settings.Host(), "running", e.running.Load())
	for now := e.clock(); now < stop; now = e.clock() {
		quiet := now - max(time.Duration(e.lastArrival.Load()), began)
		if e.running.Load() == 0 && e.dispatchClient.RemoteJobs() == 0 && (quiet >= quietTime || now >= stop+exitMargin-closeMargin) {
			break
		}
		time.Sleep(tickInterval / 4)
	}
	// A request that arrives before its connection is closed still runs to its end.
	err = shutdown(servers[0], stop-e.clock())
	if n := e.running.Load(); n > 0 {
		event.Log(e.log, event.HostForceStopped, "host", e.settings.Host(), "running", n)
		e.cancelRequests()
		err = errors.Join(err, shutdown(servers[0], exitMargin/2))
	}
	for _, s := range servers[1:] {
		err = errors.Join(err, shutdown(s, exitMargin/10))
	}
	return err
}

// shutdown stops a server from accepting connections, and waits for its requests to end, at most for
// the timeout.
func shutdown(s boundedServer, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err = s.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
