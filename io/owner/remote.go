package owner

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"sassafrasward/core/command"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/forward"
	"sassafrasward/io/runner"
	"sassafrasward/io/wire"
)

const (
	// connectLimit bounds the wait for a connection to a host. Hosts are a few
	// milliseconds apart; a host that takes longer is taken as unreachable.
	connectLimit = 500 * time.Millisecond
	// askLimit bounds the question whether a host holds the records of a stopped owner;
	// it is answered from memory.
	askLimit = 500 * time.Millisecond
	// maxAsked bounds the hosts that are asked for the records of a stopped owner. The
	// successor is the first live host of the owner's list.
	maxAsked = 8
	// grace lets the owner's refusal at the deadline arrive before the forwarder gives up.
	grace = 100 * time.Millisecond
)

// remote answers a command whose key this incarnation did not issue.
func (o *Owner) remote(ctx context.Context, job runner.Job, c parsed) wire.Answer {
	if !c.key.BelongsTo(c.workspace) {
		return refuse(job.ID(), reason.WrongWorkspace, "")
	}
	if answer, ok := o.inherited(job.ID(), c); ok {
		return answer
	}
	if o.pauses.paused(o.clock()) {
		answer := refuse(job.ID(), reason.HostPaused, "")
		answer.Outcome = outcome.Unknown.String()
		return answer
	}
	deadline := o.clock() + job.Limit()
	recognise := o.recognise(job)
	if answer, ok := o.forward(ctx, job, c.key, recognise); ok {
		return answer
	}
	if o.clock() < deadline {
		if answer, ok := o.ask(ctx, job, c.key); ok {
			return answer
		}
	}
	left := deadline - o.clock()
	if !recognise || left <= 0 {
		return refuse(job.ID(), reason.OwnerUnreachable, "host "+c.key.Host())
	}
	return o.takeover(ctx, job, left)
}

// inherited answers a command from the records that its owner handed to this host.
func (o *Owner) inherited(id string, c parsed) (answer wire.Answer, ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.successor.Holds(c.key) {
		return answer, false
	}
	d := o.successor.Lookup(o.clock(), c.key, c.workspace, c.fingerprint)
	if d.Status() == command.Finished {
		return replay(id, d.Result()), true
	}
	return refuse(id, d.Reason(), "host "+c.key.Host()+" stopped"), true
}

// recognise reports whether the pool of each command stage recognises repeated keys.
func (o *Owner) recognise(job runner.Job) bool {
	doc := o.views.Load().Document()
	if doc == nil {
		return false
	}
	for _, s := range job.Pipeline().Stages() {
		if p, _ := doc.Pool(s.Pool()); s.Command() && !p.DeduplicatesKeys() {
			return false
		}
	}
	return true
}

// takeover runs a command of an unreachable owner on pools that recognise its key. The
// owner may have sent it before, so this host can never say that it did not run.
func (o *Owner) takeover(ctx context.Context, job runner.Job, left time.Duration) wire.Answer {
	if doc := o.views.Load().Document(); doc != nil && !doc.ActivePreset().AcceptsRequests() {
		answer := refuse(job.ID(), reason.PresetClosed, doc.ActivePreset().Name())
		answer.Outcome = outcome.Unknown.String()
		return answer
	}
	o.metrics.Counter("command.takeover").Inc(1)
	answer := o.executor.Run(ctx, job.Within(left))
	if answer.Outcome == outcome.NotRun.String() {
		answer.Outcome = outcome.Unknown.String()
	}
	return answer
}

// forward passes the command to its owner. It is not ok if the owner cannot be reached or
// has ended.
func (o *Owner) forward(ctx context.Context, job runner.Job, key command.Key, recognise bool) (answer wire.Answer, ok bool) {
	listed, ok := o.find(key.Host())
	if !ok || key.Host() == o.host {
		return answer, false
	}
	o.metrics.Counter("command.forwarded").Inc(1)
	limit := job.Limit()
	if recognise {
		// The other half of the time is kept for sending the command from here.
		limit /= 2
	}
	return o.call(ctx, listed.Peer, job, limit, grace)
}

// ask looks for the host that holds the records of a stopped owner: the one that
// membership knows of, or else one of the listed hosts.
func (o *Owner) ask(ctx context.Context, job runner.Job, key command.Key) (answer wire.Answer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	if address, found := o.successorOf(key.Incarnation()); found {
		if answer, ok := o.call(ctx, address, job, askLimit, 0); ok {
			return answer, true
		}
	}
	answers := make(chan *wire.Answer, maxAsked)
	asked := 0
	for _, h := range o.listed.Load().Hosts {
		if h.Kind != wire.KindEntry || h.Host == o.host || h.Host == key.Host() || h.Peer == "" {
			continue
		}
		if asked++; asked > maxAsked {
			asked = maxAsked
			break
		}
		go func() {
			if answer, ok := o.call(ctx, h.Peer, job, askLimit, 0); ok {
				answers <- &answer
				return
			}
			answers <- nil
		}()
	}
	for range asked {
		if found := <-answers; found != nil {
			return *found, true
		}
	}
	return answer, false
}

// find returns the host list entry of an entry host.
func (o *Owner) find(host string) (listed wire.HostEntry, ok bool) {
	for _, h := range o.listed.Load().Hosts {
		if h.Kind == wire.KindEntry && h.Host == host && h.Peer != "" {
			return h, true
		}
	}
	return listed, false
}

// call sends the command to the host at address. It is not ok if the host cannot be
// reached or does not answer for the key.
func (o *Owner) call(ctx context.Context, address string, job runner.Job, limit, extra time.Duration) (answer wire.Answer, ok bool) {
	request := job.Request()
	request.Deadline = max(limit.Milliseconds(), 1)
	body, err := json.Marshal(request)
	if err != nil {
		return answer, false
	}
	ctx, cancel := context.WithTimeout(ctx, limit+extra)
	defer cancel()
	conn, ok := o.connect(ctx, address)
	if !ok {
		return answer, false
	}
	reply, err := forward.NewCommandsClient(conn).Forward(ctx, &forward.Command{Request: job.ID(), Pipeline: job.Pipeline().Name(), Body: body})
	if err != nil || !reply.GetHeld() {
		return answer, false
	}
	if err := json.Unmarshal(reply.GetAnswer(), &answer); err != nil {
		return wire.Answer{}, false
	}
	return answer, answer.Request == job.ID()
}

// connect returns a connection that is ready. Without the wait, a call to a silent host
// would use up the whole deadline.
func (o *Owner) connect(ctx context.Context, address string) (conn *grpc.ClientConn, ok bool) {
	conn, err := o.peers.Conn(address)
	if err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	for {
		switch state := conn.GetState(); state {
		case connectivity.Ready:
			return conn, true
		case connectivity.TransientFailure, connectivity.Shutdown:
			conn.ResetConnectBackoff()
			return nil, false
		default:
			conn.Connect()
			if !conn.WaitForStateChange(ctx, state) {
				return nil, false
			}
		}
	}
}
