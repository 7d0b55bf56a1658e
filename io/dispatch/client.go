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
	// acceptTimeout is far above a round trip between availability zones. A host that does
	// not accept a job by then is taken for silent.
	acceptTimeout = 250 * time.Millisecond
	// beatTime is how often a host says that it still dispatches a job, and beatTimeout after
	// which time without such a sign it is taken for silent.
	beatTime    = 400 * time.Millisecond
	beatTimeout = 3 * beatTime
	// zoneGain is how much longer a job may wait to have its results in the preferred zone.
	zoneGain = 150 * time.Millisecond
	// ranksMost is how many hosts are tried before this one dispatches by itself.
	ranksMost = 2
	// freeTimeout bounds a call that gives up results.
	freeTimeout = time.Second
)

// Hosts knows which hosts may dispatch.
type Hosts interface {
	// Eligible returns the live hosts, this one included while it serves.
	Eligible() []Host
	// Peer returns the address of a host.
	Peer(host string) (address string, incarnation uint64, ok bool)
}

// Host is a host that may dispatch.
type Host struct{ Name, Zone string }

// Client gives jobs to the host that dispatches their pool. It is safe for concurrent use.
type Client struct {
	self       string
	hosts      Hosts
	peers      *peer.Pool
	dispatcher *Dispatcher
	// ctx ends with the process.
	ctx context.Context

	mutex sync.Mutex
	// board has what the dispatching hosts last told of their pools.
	board *admit.BacklogCache
}

// ChooseGroup returns the group of the pool's targets for a job whose results are preferred in a
// zone, and how long a new job waits there. Of two groups, that of the zone and one at
// random, it takes the one with the shorter wait.
func (c *Client) ChooseGroup(pool, zone string) (group string, backlog admit.Backlog) {
	groups := c.dispatcher.Groups(pool)
	if len(groups) == 0 {
		return "", admit.Backlog{}
	}
	group = groups[rand.IntN(len(groups))]
	backlog = c.Backlog(pool, group)
	if !slices.Contains(groups, zone) || zone == group {
		return group, backlog
	}
	near := c.Backlog(pool, zone)
	if near.OnTimeWait <= backlog.OnTimeWait+zoneGain {
		return zone, near
	}
	return group, backlog
}

// Backlog returns how long a new job of a group waits, as far as this host knows.
func (c *Client) Backlog(pool, group string) admit.Backlog {
	if hosts := c.order(pool, group); len(hosts) == 1 {
		return c.dispatcher.Backlog(pool, group)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.board.Backlog(c.dispatcher.clock(), pool, group)
}

// hear notes the backlog that a dispatching host told.
func (c *Client) hear(j Job, p *message.Progress) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.board.Update(c.dispatcher.clock(), j.Pool, j.Group, admit.Backlog{OnTimeWait: milliseconds(p.GetSoon()), LateWait: milliseconds(p.GetAll()), Growth: p.GetGrowth()})
}

// New returns a client on the host self that dispatches by itself if no other host does.
func New(ctx context.Context, self string, hosts Hosts, peers *peer.Pool, dispatcher *Dispatcher) *Client {
	return &Client{ctx: ctx, self: self, hosts: hosts, peers: peers, dispatcher: dispatcher, board: admit.NewBacklogCache()}
}

// Register adds the service to a server.
func (c *Client) Register(r grpc.ServiceRegistrar) {
	message.RegisterLeadServer(r, service{dispatcher: c.dispatcher})
}

// Outcome is the end of a job.
type Outcome struct {
	// Handles has one result per piece unless there is a fault.
	Handles []string
	// Host dispatched the job.
	Host  string
	Fault Fault
	// RetryAfter is when the caller of a refused job should come back.
	RetryAfter time.Duration
}

// Label tells the outcome in one word, for logs.
func (o Outcome) Label() string {
	if o.Fault == FaultNone {
		return "done"
	}
	return string(o.Fault)
}

// Do runs a job to its end.
func (c *Client) Do(ctx context.Context, j Job) (o Outcome) {
	began := c.dispatcher.clock()
	for _, host := range c.order(j.Pool, j.Group) {
		passed := c.dispatcher.clock() - began
		now := j
		now.Age, now.Aim, now.Left = j.Age+passed, j.Aim-passed, j.Left-passed
		if now.Left <= 0 || ctx.Err() != nil {
			return Outcome{Host: host, Fault: FaultLate}
		}
		if host == c.self {
			return c.local(ctx, now)
		}
		if o = c.remote(ctx, host, now); o.Fault != FaultUnresponsive {
			return o
		}
		event.Log(c.dispatcher.log, event.LeadSilent, "request", j.Request, "pool", j.Pool, "host", host)
	}
	return o
}

// order returns the hosts to try, ending with this one. Those in the zone of the group come
// first.
func (c *Client) order(pool, group string) (hosts []string) {
	var near, far []string
	for _, h := range c.hosts.Eligible() {
		if h.Zone == group {
			near = append(near, h.Name)
		} else {
			far = append(far, h.Name)
		}
	}
	k := key(pool, group)
	for _, h := range append(member.Rank(k, near), member.Rank(k, far)...) {
		if h == c.self || len(hosts) == ranksMost {
			break
		}
		hosts = append(hosts, h)
	}
	return append(hosts, c.self)
}

func (c *Client) local(ctx context.Context, j Job) Outcome {
	w, wait, ok := c.dispatcher.Submit(j)
	if !ok {
		return Outcome{Host: c.self, Fault: FaultRefused, RetryAfter: wait}
	}
	handles, fault := c.dispatcher.Wait(ctx, w)
	return Outcome{Host: c.self, Handles: handles, Fault: fault}
}

// remote runs a job at another host. A silent one is given up for the next.
func (c *Client) remote(ctx context.Context, host string, j Job) (o Outcome) {
	o = Outcome{Host: host, Fault: FaultUnresponsive}
	address, _, ok := c.hosts.Peer(host)
	if !ok {
		return o
	}
	conn, err := c.peers.Conn(address)
	if err != nil {
		return o
	}
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watch ends the call if the host gives no sign of life in time.
	watch := time.AfterFunc(acceptTimeout, cancel)
	defer watch.Stop()
	stream, err := message.NewLeadClient(conn).Run(ctx, encode(j))
	if err != nil {
		return c.silent(conn, address, o)
	}
	for {
		p, err := stream.Recv()
		if err != nil && outer.Err() != nil {
			o.Fault = FaultLate
			return o
		}
		if err != nil {
			return c.silent(conn, address, o)
		}
		c.hear(j, p)
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
			watch.Reset(beatTimeout)
		default:
			watch.Reset(beatTimeout)
		}
	}
}

// silent gives up the connection to a host that gave no sign of life: it may have gone
// silent while new ones work.
func (c *Client) silent(conn *grpc.ClientConn, address string, o Outcome) Outcome {
	c.peers.Retire(address, conn)
	return o
}

// Free gives up results at the host that dispatched them, without waiting for it.
func (c *Client) Free(host, pool, group string, handles []string) {
	if len(handles) == 0 {
		return
	}
	if host == c.self {
		c.dispatcher.Free(pool, group, handles)
		return
	}
	c.dispatcher.running.Go(func() {
		if err := c.free(host, pool, group, handles); err != nil {
			// The dispatching host is away; any other one can give the results up.
			c.dispatcher.Free(pool, group, handles)
		}
	})
}

func (c *Client) free(host, pool, group string, handles []string) (err error) {
	defer func() { err = Error.Wrap(err) }()
	address, _, ok := c.hosts.Peer(host)
	if !ok {
		return errors.New("the host is not known")
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

func encode(j Job) *message.Job {
	return &message.Job{
		Pool: j.Pool, Request: j.Request, Stage: int32(j.Stage), Pieces: int32(j.Pieces), Key: j.Key, Inputs: j.Inputs,
		Age: j.Age.Milliseconds(), Aim: j.Aim.Milliseconds(), Left: j.Left.Milliseconds(), Rank: int32(j.Rank), Bytes: j.Bytes, Zone: j.Zone,
		Begun: j.Begun, Group: j.Group, Near: j.Near,
	}
}

func decode(m *message.Job) Job {
	return Job{
		Pool: m.GetPool(), Request: m.GetRequest(), Stage: int(m.GetStage()), Pieces: int(m.GetPieces()), Key: m.GetKey(), Inputs: m.GetInputs(),
		Age: milliseconds(m.GetAge()), Aim: milliseconds(m.GetAim()), Left: milliseconds(m.GetLeft()), Rank: int(m.GetRank()),
		Bytes: m.GetBytes(), Zone: m.GetZone(), Begun: m.GetBegun(), Group: m.GetGroup(), Near: m.GetNear(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
