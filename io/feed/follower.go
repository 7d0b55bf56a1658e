package feed

import (
	"context"
	"crypto/sha256"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/config"
	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
	"sassafrasward/io/event"
	"sassafrasward/io/feed/message"
	"sassafrasward/io/peer"
	"sassafrasward/io/watchdog"
)

const (
	// maxLinks is the number of hosts that a host follows at a time.
	maxLinks = 2
	// acceptTimeout is how long to wait for the first update of another host. It doubles after each link to
	// the host that ended without one, maxDoublings times at most.
	acceptTimeout = 700 * time.Millisecond
	maxDoublings  = 3
	// heartbeatTimeout is the time without an update after which the other host counts as gone.
	heartbeatTimeout = heartbeatInterval + 1000*time.Millisecond
	// retryDelay is the time after which a host that could not be followed is tried again, and
	// startRetryDelay that time while there is no copy.
	retryDelay      = 1500 * time.Millisecond
	startRetryDelay = 200 * time.Millisecond
	// downRetryDelay is the time after which a host to which the store did not respond is followed
	// again.
	downRetryDelay = 10 * time.Second
)

// errStoreDown is reported if the store does not respond to the followed hosts.
var errStoreDown = errors.New("the store does not respond to the hosts that this one follows")

// Plan is the role of this host in the fleet.
type Plan struct {
	// Reader is set if this host reads the store for others. It follows other hosts only while the
	// store does not respond to it.
	Reader bool
	// Upstreams has the addresses of the hosts that can be followed, the preferred ones first.
	Upstreams []string
}

// Follower keeps the copy of a hub current from other hosts. It is safe for concurrent use.
type Follower struct {
	hub   *Hub
	peers *peer.ConnPool
	log   logr.Logger
	// planned gets a value when the plan changes.
	planned chan struct{}

	mutex sync.Mutex
	plan  Plan
}

// Option configures a Follower.
type Option func(*Follower)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(f *Follower) { f.log = log } }

// NewFollower returns a follower that adds to the hub what it receives. Run starts it.
func NewFollower(hub *Hub, peers *peer.ConnPool, options ...Option) *Follower {
	f := &Follower{hub: hub, peers: peers, log: logr.Discard(), planned: make(chan struct{}, 1)}
	for _, o := range options {
		o(f)
	}
	return f
}

// SetPlan sets the role of this host.
func (f *Follower) SetPlan(p Plan) {
	f.mutex.Lock()
	same := f.plan.Reader == p.Reader && slices.Equal(f.plan.Upstreams, p.Upstreams)
	f.plan = p
	f.mutex.Unlock()
	if same {
		return
	}
	select {
	case f.planned <- struct{}{}:
	default:
	}
}

func (f *Follower) currentPlan() Plan {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.plan
}

// links has the followed hosts by address. Only the goroutine of Run uses it.
type links struct {
	cancels map[string]context.CancelFunc
	// retryAt is when a host that could not be followed is tried again.
	retryAt map[string]time.Duration
	// failures is the number of links in a row to a host that have timed out before the first update.
	failures map[string]int
	// ends receives a value from each link that has ended.
	ends chan linkEnd
}

// linkEnd is how a link ended.
type linkEnd struct {
	address string
	// accepted is set if the other host sent an update, slow if the link timed out before.
	accepted, slow bool
}

// Run follows other hosts until the context ends. It then sends nil on done.
func (f *Follower) Run(ctx context.Context, done chan<- error) {
	l := &links{cancels: make(map[string]context.CancelFunc), retryAt: make(map[string]time.Duration), failures: make(map[string]int), ends: make(chan linkEnd)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		f.adjust(ctx, l)
		timer.Reset(f.delay())
		select {
		case end := <-l.ends:
			f.remove(l, end)
		case <-f.planned:
		case <-timer.C:
			f.replace(l)
		case <-ctx.Done():
		}
	}
	for _, cancel := range l.cancels {
		cancel()
	}
	for len(l.cancels) > 0 {
		f.remove(l, <-l.ends)
	}
	done <- nil
}

// delay returns the time after which the links are looked at again.
func (f *Follower) delay() time.Duration {
	if f.hub.Revision().IsZero() {
		return startRetryDelay
	}
	return retryDelay
}

// remove forgets a link that has ended.
func (f *Follower) remove(l *links, end linkEnd) {
	address := end.address
	switch {
	case end.accepted:
		delete(l.failures, address)
	case end.slow:
		l.failures[address] = min(l.failures[address]+1, maxDoublings)
	}
	l.cancels[address]()
	delete(l.cancels, address)
	delay := f.delay()
	if f.hub.failing(address) {
		delay = downRetryDelay
	}
	l.retryAt[address] = f.hub.clock() + delay
	f.hub.gone(address)
}

// wanted returns the number of hosts to follow.
func (f *Follower) wanted(plan Plan) int {
	if plan.Reader && !f.hub.failing(storeSource) {
		return 0
	}
	return min(maxLinks, len(plan.Upstreams))
}

// available returns the hosts of the plan that can be followed in addition.
func (f *Follower) available(l *links, plan Plan) (addresses []string) {
	now := f.hub.clock()
	for _, address := range plan.Upstreams {
		if l.cancels[address] == nil && now >= l.retryAt[address] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// adjust starts and ends links so that their number matches the plan.
func (f *Follower) adjust(ctx context.Context, l *links) {
	plan := f.currentPlan()
	want := f.wanted(plan)
	for address, cancel := range l.cancels {
		if len(l.cancels) > want && !slices.Contains(plan.Upstreams[:want], address) || want == 0 {
			cancel()
			return // the links are looked at again once this one has ended
		}
	}
	for _, address := range f.available(l, plan) {
		if len(l.cancels) < want {
			f.start(ctx, l, address)
		}
	}
}

// replace ends a link if an available host is preferred: because the store does not respond to the
// followed one, or by the order of the plan.
func (f *Follower) replace(l *links) {
	plan := f.currentPlan()
	want, available := f.wanted(plan), f.available(l, plan)
	for address, cancel := range l.cancels {
		preferred := len(available) > 0 && slices.Contains(plan.Upstreams[:want], available[0])
		if len(available) > 0 && f.hub.failing(address) || preferred && !slices.Contains(plan.Upstreams[:want], address) {
			cancel()
			return
		}
	}
}

// start follows a host.
func (f *Follower) start(ctx context.Context, l *links, address string) {
	linkCtx, cancel := context.WithCancel(ctx)
	l.cancels[address] = cancel
	timeout := acceptTimeout << l.failures[address]
	go func() { l.ends <- f.follow(ctx, linkCtx, address, timeout) }()
}

// follow adds the updates of another host to the hub until it does not respond or the context of the
// link ends. An update that has arrived by then is still applied. The timeout is that for the first update.
func (f *Follower) follow(ctx, linkCtx context.Context, address string, timeout time.Duration) (end linkEnd) {
	end.address = address
	conn, err := f.peers.Conn(address)
	if err != nil {
		return end
	}
	callCtx, cancel := context.WithCancel(linkCtx)
	defer cancel()
	dog := watchdog.New(timeout, cancel)
	known := f.hub.Revision()
	stream, err := message.NewFeedClient(conn).Follow(callCtx, &message.Position{Revision: known.Number(), Era: known.Era()})
	for err == nil {
		var m *message.Update
		if m, err = stream.Recv(); err != nil {
			break
		}
		end.accepted = true
		dog.Reset(heartbeatTimeout)
		err = f.receive(ctx, address, m)
	}
	end.slow = !dog.Stop() && !end.accepted
	if linkCtx.Err() == nil {
		event.LogError(f.log, event.LinkEnded, err, "address", address, "revision", f.hub.Revision().Number(), "accepted", end.accepted)
		// The connection may be dead while new ones to the host work.
		f.peers.Drop(address, conn)
	}
	return end
}

// receive adds one update of a followed host to the hub.
func (f *Follower) receive(ctx context.Context, address string, m *message.Update) (err error) {
	items, err := decode(m)
	if err != nil {
		return err
	}
	u := feed.Update{Items: items, Full: m.GetFull(), Revision: revision.New(m.GetEra(), m.GetRevision())}
	var down error
	if m.GetDown() {
		down = errStoreDown
	}
	f.hub.apply(ctx, address, time.Duration(m.GetAge())*time.Millisecond, down, u)
	if m.ConfigAge != nil {
		f.hub.ConfigCurrent(f.hub.clock() - time.Duration(m.GetConfigAge())*time.Millisecond)
	}
	if hash := m.GetHash(); len(hash) == sha256.Size {
		f.hub.announced(ctx, address, config.NewVersion(m.GetNumber(), [sha256.Size]byte(hash)))
	}
	return nil
}
