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
	"sassafrasward/core/member"
	"sassafrasward/core/quota"
	"sassafrasward/io/dispatch"
	"sassafrasward/io/event"
	"sassafrasward/io/gossip"
	"sassafrasward/io/metric"
	"sassafrasward/io/peer"
	"sassafrasward/io/setting"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("edge")

const (
	// memoryPart is the part of the process's memory bound that the heap may take; the rest
	// is for stacks, code and bytes that were received and not yet read.
	memoryPart = 0.6
	// streamStop is how long after the signal to stop a host begins streams: a later one
	// might not end before the kill.
	streamStop = 3 * time.Second
	// closeMargin is how long before the kill the host stops taking requests, and exitMargin
	// how long before it the process exits.
	closeMargin = 2 * time.Second
	exitMargin  = 300 * time.Millisecond
	// quietTime is how long no request must have come before a draining host exits early.
	quietTime = 2500 * time.Millisecond
)

// Edge is the process of one edge host.
type Edge struct {
	settings setting.Settings
	log      logr.Logger
	metrics  *metric.Metrics
	start    time.Time
	state    atomic.Pointer[state]
	choosers *choosers
	links    *transport.Pool
	// peers has the connections for jobs and exchanges those for gossip, which drops one when
	// a call fails; that must not cut off the jobs.
	peers      *peer.Pool
	exchanges  *peer.Pool
	server     *peer.Server
	dispatcher *dispatch.Dispatcher
	dispatch   *dispatch.Client
	node       *gossip.Node
	control    *control
	front      *front
	suspects   *suspects
	watcher    *watcher
	// running counts the requests in progress; latest is when the last one came.
	running atomic.Int64
	latest  atomic.Int64
	// background counts goroutines that outlast their request; they end with ctx.
	background sync.WaitGroup
	// ctx ends all calls of the process.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns the edge host with the settings.
func New(settings setting.Settings, log logr.Logger) *Edge {
	e := &Edge{settings: settings, log: log, metrics: metric.New(), start: time.Now()}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if m := settings.Memory(); m > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(m)))
	}
	e.state.Store(&state{})
	b := settings.Bounds()
	newQuota := func() *quota.Quota { return quota.New(b.Window, b.Ratio, b.Slack/fewest) }
	e.choosers = newChoosers(e.clock, newQuota)
	e.links = transport.New(func() { e.metrics.Counter("target.connections").Inc(1) })
	dial := grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return transport.Dial(ctx, "tcp", address)
	})
	e.peers, e.exchanges = peer.NewPool(dial), peer.NewPool(dial)
	e.server = peer.NewServer()
	e.dispatcher = dispatch.NewDispatcher(e.ctx, e.clock, e.links, log, e.metrics, newQuota)
	e.join()
	e.dispatch = dispatch.New(e.ctx, settings.Host(), directory{e}, e.peers, e.dispatcher)
	e.dispatch.Register(e.server.Registrar())
	e.front = &front{Edge: e}
	return e
}

// join makes the control state and connects it to other hosts and the store.
func (e *Edge) join() {
	c := &control{Edge: e, events: make(chan func(), postBound), roster: discovery.New()}
	e.control = c
	s := e.settings
	incarnation := rand.Uint64()
	e.suspects = newSuspects(e.clock, incarnation, e.metrics.Counter("suspect.dropped"))
	c.members = member.New(e.clock(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), member.Member{
		Incarnation: incarnation, Name: s.Host(), Zone: s.Zone(), Address: s.Caller(), Peer: s.Peer(),
	}, member.WithSeeds(s.Seeds()...), member.WithAlone(true), member.WithPeriod(period))
	e.node = gossip.New(c.members, c, e.exchanges, e.log, e.metrics)
	e.node.Register(e.server.Registrar())
	calls := e.metrics.Counter("platform.calls")
	e.watcher = &watcher{
		wait:   s.Bounds().Contact - watchSlack - watchMargin,
		gather: s.Bounds().Gather(),
		store:  platform.NewStore(s.Platform(), transport.Dial, func() { calls.Inc(1) }),
		take:   func(ctx context.Context, n news) { c.Post(ctx, func() { c.take(n) }) },
		lost:   func(ctx context.Context, err error) { c.Post(ctx, func() { c.lose(err) }) },
	}
}

// directory tells which hosts may dispatch.
type directory struct{ edge *Edge }

// Eligible implements dispatch.Hosts.
func (d directory) Eligible() []dispatch.Host { return d.edge.state.Load().eligible }

// Peer implements dispatch.Hosts.
func (d directory) Peer(host string) (address string, incarnation uint64, ok bool) {
	return d.edge.node.Peer(host)
}

func (e *Edge) clock() time.Duration { return time.Since(e.start) }

// Reload takes what may change while the process runs from new settings.
func (e *Edge) Reload(s setting.Settings) {
	e.control.Post(e.ctx, func() {
		e.control.members.SetSeeds(s.Seeds())
		event.Log(e.log, event.HostReloaded, "host", s.Host(), "seeds", len(s.Seeds()))
	})
}

// Run serves until the context ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	event.Log(e.log, event.HostStarted, "host", e.settings.Host(), "caller", e.settings.Caller(), "peer", e.settings.Peer())
	hosts, err := transport.Listen(ctx, e.settings.Peer())
	if err != nil {
		return err
	}
	servers := e.servers()
	// One end for each server, the peer server, the control goroutine, the watcher and the
	// dispatch.
	ends := make(chan error, len(servers)+4)
	for _, s := range servers {
		l, err := transport.Listen(ctx, s.Addr)
		if err != nil {
			return err
		}
		go func() { ends <- s.Serve(l) }()
	}
	go e.server.Serve(hosts, ends)
	go e.control.run(e.ctx, ends)
	go e.watcher.run(e.ctx, ends)
	go e.dispatcher.Run(e.ctx, ends)
	select {
	case <-ctx.Done():
		err = e.drain(servers)
	case err = <-ends:
		event.Fail(e.log, event.ListenFailed, err)
	}
	e.cancel()
	e.background.Wait()
	e.node.Stop()
	e.server.Stop()
	e.peers.Close()
	e.exchanges.Close()
	event.Log(e.log, event.HostStopped, "host", e.settings.Host())
	return err
}

// servers returns the HTTP servers of the host, that of the callers first.
func (e *Edge) servers() (servers []*http.Server) {
	servers = append(servers, e.front.server(e.settings.Caller()))
	for _, s := range []struct {
		address string
		handler http.HandlerFunc
	}{
		{e.settings.Ready(), e.serveReady}, {e.settings.Directory(), e.serveDirectory}, {e.settings.Metrics(), e.serveMetrics},
	} {
		if s.address != "" {
			servers = append(servers, &http.Server{Addr: s.address, Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
		}
	}
	return servers
}

// drain takes the host out of the address answers, serves callers with older answers for a
// while and waits for running requests.
func (e *Edge) drain(servers []*http.Server) (err error) {
	event.Log(e.log, event.HostDraining, "host", e.settings.Host(), "running", e.running.Load())
	began := e.clock()
	e.front.stopped.Store(int64(began))
	e.control.drain(e.ctx)
	grace := e.settings.Bounds().Grace
	for now := e.clock(); now < began+grace-exitMargin; now = e.clock() {
		quiet := now - max(time.Duration(e.latest.Load()), began)
		if e.running.Load() == 0 && (quiet >= quietTime || now >= began+grace-closeMargin) {
			break
		}
		time.Sleep(tick / 4)
	}
	for _, s := range servers {
		ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
		if e := s.Shutdown(ctx); e != nil && !errors.Is(e, context.DeadlineExceeded) {
			err = errors.Join(err, e)
		}
		cancel()
	}
	if n := e.running.Load(); n > 0 {
		event.Log(e.log, event.HostHalted, "host", e.settings.Host(), "running", n)
	}
	return err
}
