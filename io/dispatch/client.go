package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"sassafrasward/core/admit"
	"sassafrasward/core/member"
	"sassafrasward/io/dispatch/message"
	"sassafrasward/io/event"
	"sassafrasward/io/peer"
)

const (
	// acceptTimeout is how long to wait until a host accepts a job; after it the host counts as
	// unresponsive. It is far above a round trip between availability zones.
	acceptTimeout = 250 * time.Millisecond
	// heartbeatInterval is how often a host reports that it still dispatches a job. After
	// heartbeatTimeout without a report it counts as unresponsive.
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 3 * heartbeatInterval
	// maxZoneDelay is how much longer a job may wait to have its results in the preferred zone.
	maxZoneDelay = 150 * time.Millisecond
	// maxRemoteHosts is how many other hosts are tried before this one dispatches the job itself.
	maxRemoteHosts = 2
	// freeTimeout is the timeout of a call that releases results.
	freeTimeout = time.Second
)

// Hosts provides the hosts that may dispatch.
type Hosts interface {
	// Eligible returns the live, serving hosts, this one included while it serves. The list is not
	// changed once it was returned.
	Eligible() []Host
	// Peer returns the address and incarnation of a host.
	Peer(host string) (address string, incarnation uint64, ok bool)
}

// Host is a host that may dispatch.
type Host struct{ Name, Zone string }

// Client submits jobs to the host that dispatches their pool. It is safe for concurrent use.
type Client struct {
	self       string
	hosts      Hosts
	peers      *peer.ConnPool
	dispatcher *Dispatcher
	// ctx ends with the process.
	ctx context.Context

	mutex sync.Mutex
	// ranked caches the candidates of each group for the eligible hosts rankedHosts.
	ranked      map[string][]string
	rankedHosts []Host
	// backlogs caches the backlogs that the dispatching hosts last reported.
	backlogs *admit.BacklogCache
	// announcements has what is to be told to each dispatching host.
	announcements map[string]*hostDemand
	// announceDelay is how long announcements for a host are collected; zero for none.
	announceDelay time.Duration
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithAnnouncements makes the client tell dispatching hosts of admitted and refused requests, collected for a
// while, use the backlogs of priority levels, and assign slots to retries. Without it, backlogs are
// those of the mean priority.
func WithAnnouncements(delay time.Duration) ClientOption {
	return func(c *Client) { c.announceDelay = delay }
}

// ChooseGroup returns the group of the pool's targets for a job whose results are preferred in a
// zone, and the backlog there of a request of a priority. It compares the group of the zone with a
// random one and takes the zone's unless a new job waits more than maxZoneDelay longer there. It leaves out the
// groups of zones that the job may not use; zones is nil for all.
func (c *Client) ChooseGroup(pool, zone string, zones []string, priority int) (group string, backlog admit.Backlog) {
	groups := c.dispatcher.Groups(pool)
	if zones != nil {
		groups = slices.DeleteFunc(slices.Clone(groups), func(g string) bool { return g != "" && !slices.Contains(zones, g) })
	}
	if len(groups) == 0 {
		return "", admit.Backlog{}
	}
	group = groups[rand.IntN(len(groups))]
	backlog = c.Backlog(pool, group).At(priority)
	if !slices.Contains(groups, zone) || zone == group {
		return group, backlog
	}
	near := c.Backlog(pool, zone).At(priority)
	if near.OnTimeWait <= backlog.OnTimeWait+maxZoneDelay {
		return zone, near
	}
	return group, backlog
}

// Backlog returns what a new job of a group finds. If this host dispatches the group, its own
// dispatcher estimates it; otherwise it is what the dispatching host last reported.
func (c *Client) Backlog(pool, group string) (b admit.Backlog) {
	b = c.reportedBacklog(pool, group)
	if c.announceDelay == 0 {
		return b.WithoutLevels()
	}
	return b
}

// reportedBacklog returns the whole backlog.
func (c *Client) reportedBacklog(pool, group string) admit.Backlog {
	if hosts := c.candidates(pool, group); len(hosts) == 1 {
		return c.dispatcher.Backlog(pool, group)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backlogs.Backlog(c.dispatcher.clock(), pool, group)
}

// recordBacklog stores the backlog that a dispatching host reported.
func (c *Client) recordBacklog(j Job, p *message.Progress) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backlogs.Update(c.dispatcher.clock(), j.Pool, j.Group, decodeBacklog(p))
}

// NewClient returns a client on the host self, which uses the dispatcher for jobs that no other host
// dispatches.
func NewClient(ctx context.Context, self string, hosts Hosts, peers *peer.ConnPool, dispatcher *Dispatcher, options ...ClientOption) *Client {
	c := &Client{ctx: ctx, self: self, hosts: hosts, peers: peers, dispatcher: dispatcher, ranked: make(map[string][]string), backlogs: admit.NewBacklogCache(), announcements: make(map[string]*hostDemand)}
	for _, o := range options {
		o(c)
	}
	dispatcher.takesAnnouncements = c.announceDelay > 0
	return c
}

// Register adds the service by which other hosts submit jobs to this one to a server.
func (c *Client) Register(r grpc.ServiceRegistrar) {
	message.RegisterLeadServer(r, service{dispatcher: c.dispatcher})
}

// Drain makes this host refuse new jobs of other hosts, which go on to the next candidate at once.
func (c *Client) Drain() { c.dispatcher.draining.Store(true) }

// RemoteJobs returns the number of jobs of other hosts that are in progress at this one.
func (c *Client) RemoteJobs() int { return int(c.dispatcher.remoteJobs.Load()) }

// Outcome is the result of a job.
type Outcome struct {
	// Handles has one result per piece unless there is a fault.
	Handles []string
	// Host is the host that dispatched the job.
	Host  string
	Fault Fault
	// RetryAfter is how long the caller of a refused job should wait before it retries.
	RetryAfter time.Duration
}

// Label returns "done" or the fault, for logs.
func (o Outcome) Label() string {
	if o.Fault == FaultNone {
		return "done"
	}
	return string(o.Fault)
}

// Do runs a job and returns its outcome. It goes on to the next candidate host if one is
// unresponsive.
func (c *Client) Do(ctx context.Context, j Job) (o Outcome) {
	began := c.dispatcher.clock()
	for _, host := range c.candidates(j.Pool, j.Group) {
		elapsed := c.dispatcher.clock() - began
		remaining := j
		remaining.Age, remaining.SoftDeadlineIn, remaining.DeadlineIn = j.Age+elapsed, j.SoftDeadlineIn-elapsed, j.DeadlineIn-elapsed
		if remaining.DeadlineIn <= 0 || ctx.Err() != nil {
			return Outcome{Host: host, Fault: FaultLate}
		}
		if host == c.self {
			return c.runLocal(ctx, remaining)
		}
		if o = c.runRemote(ctx, host, remaining); o.Fault != FaultUnresponsive {
			return o
		}
		event.Log(c.dispatcher.log, event.DispatcherSilent, "request", j.Request, "pool", j.Pool, "host", host)
	}
	return o
}

// candidates returns the hosts to try in order, ending with this one. They are ranked once for each
// list of eligible hosts.
func (c *Client) candidates(pool, group string) (hosts []string) {
	eligible, key := c.hosts.Eligible(), groupKey(pool, group)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !sameList(eligible, c.rankedHosts) {
		c.ranked, c.rankedHosts = make(map[string][]string), eligible
	}
	hosts, ok := c.ranked[key]
	if !ok {
		hosts = c.rankCandidates(eligible, key, group)
		c.ranked[key] = hosts
	}
	return hosts
}

// sameList reports whether two lists are the same slice.
func sameList(a, b []Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rankCandidates ranks the eligible hosts for the key of a group. Hosts in the group's zone come
// first.
func (c *Client) rankCandidates(eligible []Host, key, group string) (hosts []string) {
	var near, far []string
	for _, h := range eligible {
		if h.Zone == group {
			near = append(near, h.Name)
		} else {
			far = append(far, h.Name)
		}
	}
	for _, h := range append(member.First(key, maxRemoteHosts+1, near), member.First(key, maxRemoteHosts+1, far)...) {
		if h == c.self || len(hosts) == maxRemoteHosts {
			break
		}
		hosts = append(hosts, h)
	}
	return append(hosts, c.self)
}

// runLocal runs a job on the dispatcher of this host.
func (c *Client) runLocal(ctx context.Context, j Job) Outcome {
	a, wait, ok := c.dispatcher.Submit(j)
	if !ok {
		return Outcome{Host: c.self, Fault: FaultRefused, RetryAfter: wait}
	}
	handles, fault := c.dispatcher.Wait(ctx, a)
	return Outcome{Host: c.self, Handles: handles, Fault: fault}
}

// runRemote runs a job at another host. The fault is FaultUnresponsive if the host could not be
// reached or stopped sending heartbeats.
func (c *Client) runRemote(ctx context.Context, host string, j Job) (o Outcome) {
	o = Outcome{Host: host, Fault: FaultUnresponsive}
	address, _, ok := c.hosts.Peer(host)
	if !ok {
		return o
	}
	conn, err := c.peers.Conn(address)
	if err != nil {
		return o
	}
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer cancels the call if the host doesn't accept the job or send a heartbeat in time.
	timer := time.AfterFunc(acceptTimeout, cancel)
	defer timer.Stop()
	stream, err := message.NewLeadClient(conn).Run(ctx, encode(j))
	if err != nil {
		return c.dropConnection(conn, address, o)
	}
	for {
		p, err := stream.Recv()
		if err != nil && callerCtx.Err() != nil {
			o.Fault = FaultLate
			return o
		}
		if err != nil {
			return c.dropConnection(conn, address, o)
		}
		c.recordBacklog(j, p)
		switch {
		case p.GetRefused() != nil:
			o.Fault, o.RetryAfter = FaultRefused, milliseconds(p.GetRefused().GetRetry())
			return o
		case p.GetEnded() != nil:
			o.Fault, o.Handles = Fault(p.GetEnded().GetFault()), p.GetEnded().GetHandles()
			if o.Fault == FaultNone && len(o.Handles) != j.Pieces {
				o.Fault = FaultFailed
			}
			return o
		case p.GetAccepted().GetWait() == 0 && j.OnInputsRead != nil:
			j.OnInputsRead()
			j.OnInputsRead = nil
			timer.Reset(heartbeatTimeout)
		default:
			timer.Reset(heartbeatTimeout)
		}
	}
}

// dropConnection retires the connection to an unresponsive host, because the connection may be
// dead while new ones to the host would work. It returns o.
func (c *Client) dropConnection(conn *grpc.ClientConn, address string, o Outcome) Outcome {
	c.peers.Retire(address, conn)
	return o
}

// Free releases results through the host that dispatched them, without waiting for it.
func (c *Client) Free(host, pool, group string, handles []string) {
	if len(handles) == 0 {
		return
	}
	if host == c.self {
		c.dispatcher.Free(pool, group, handles)
		return
	}
	c.dispatcher.running.Go(func() {
		if err := c.freeRemote(host, pool, group, handles); err != nil {
			// The dispatching host can't be reached; any other host can release the results.
			c.dispatcher.Free(pool, group, handles)
		}
	})
}

// freeRemote asks another host to release results.
func (c *Client) freeRemote(host, pool, group string, handles []string) (err error) {
	defer func() { err = Error.Wrap(err) }()
	address, _, ok := c.hosts.Peer(host)
	if !ok {
		return errors.New("unknown host")
	}
	conn, err := c.peers.Conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, freeTimeout)
	defer cancel()
	_, err = message.NewLeadClient(conn).Free(ctx, &message.Handles{Pool: pool, Group: group, Handles: handles})
	return err
}

// encode converts a job to its message.
func encode(j Job) *message.Job {
	return &message.Job{
		Pool: j.Pool, Request: j.Request, Stage: int32(j.Stage), Pieces: int32(j.Pieces), Key: j.Key, Inputs: j.Inputs,
		Age: j.Age.Milliseconds(), Aim: j.SoftDeadlineIn.Milliseconds(), Left: j.DeadlineIn.Milliseconds(), Rank: int32(j.Priority), Bytes: j.Bytes, Zone: j.Zone,
		Begun: j.HasPriorWork, Group: j.Group, Near: j.WaitForZone, Zones: j.Zones, Kept: j.Protected, Notice: j.Announcement,
	}
}

// decode converts a message to its job.
func decode(m *message.Job) Job {
	return Job{
		Pool: m.GetPool(), Request: m.GetRequest(), Stage: int(m.GetStage()), Pieces: int(m.GetPieces()), Key: m.GetKey(), Inputs: m.GetInputs(),
		Age: milliseconds(m.GetAge()), SoftDeadlineIn: milliseconds(m.GetAim()), DeadlineIn: milliseconds(m.GetLeft()), Priority: int(m.GetRank()),
		Bytes: m.GetBytes(), Zone: m.GetZone(), HasPriorWork: m.GetBegun(), Group: m.GetGroup(), WaitForZone: m.GetNear(), Zones: m.GetZones(), Protected: m.GetKept(), Announcement: m.GetNotice(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
