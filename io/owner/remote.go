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
	// connectTimeout limits the wait for a connection to a host. Round trips between hosts take
	// a few milliseconds; a host that does not connect in this time counts as unreachable.
	connectTimeout = 500 * time.Millisecond
	// askTimeout limits the search for the host that holds the records of a stopped owner. Hosts
	// answer from memory.
	askTimeout = 500 * time.Millisecond
	// maxAskedHosts limits the hosts that are asked for the records of a stopped owner. A few
	// are enough, as the successor is normally the first live host of the owner's host list.
	maxAskedHosts = 8
	// forwardGrace is added to the deadline of a forwarded command, so that a refusal that the
	// owner sends at the deadline still arrives.
	forwardGrace = 100 * time.Millisecond
)

// runRemote answers a command whose key this incarnation did not issue: from records that its
// owner handed over, through the owner or its successor, or by a takeover.
func (o *Owner) runRemote(ctx context.Context, request runner.Request, c keyedRequest) wire.Answer {
	if !c.key.BelongsTo(c.workspace) {
		return refuse(request.ID(), reason.WrongWorkspace, "")
	}
	if answer, ok := o.answerInherited(request.ID(), c); ok {
		return answer
	}
	if why := o.forwardRefusal(request); why != reason.None {
		answer := refuse(request.ID(), why, "")
		answer.Outcome = outcome.Unknown.String()
		return answer
	}
	deadline := o.clock() + request.Timeout()
	deduplicates := o.deduplicates(request)
	if answer, ok := o.forwardToOwner(ctx, request, c.key, deduplicates); ok {
		return answer
	}
	if o.clock() < deadline {
		if answer, ok := o.askSuccessors(ctx, request, c.key); ok {
			return answer
		}
	}
	remaining := deadline - o.clock()
	if !deduplicates || remaining <= 0 {
		return refuse(request.ID(), reason.OwnerUnreachable, "host "+c.key.Host())
	}
	return o.takeover(ctx, request, remaining)
}

// forwardRefusal returns why this host may not forward a command now, or None.
func (o *Owner) forwardRefusal(request runner.Request) reason.Reason {
	switch {
	case o.paused():
		return reason.HostPaused
	case !o.views.Load().Outlasts(request.Timeout()):
		return reason.Draining
	}
	return reason.None
}

// answerInherited answers a command from the records that its owner handed over to this host.
func (o *Owner) answerInherited(id string, c keyedRequest) (answer wire.Answer, ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.successor.Holds(c.key) {
		return answer, false
	}
	d := o.successor.Lookup(o.clock(), c.key, c.workspace, c.fingerprint)
	if d.Status() == command.Finished {
		return storedAnswer(id, d.Result()), true
	}
	return refuse(id, d.Reason(), "host "+c.key.Host()+" stopped"), true
}

// deduplicates reports whether the pools of all command stages deduplicate requests by key.
func (o *Owner) deduplicates(request runner.Request) bool {
	doc := o.views.Load().Document()
	if doc == nil {
		return false
	}
	for _, s := range request.Pipeline().Stages() {
		if p, _ := doc.Pool(s.Pool()); s.Command() && !p.DeduplicatesKeys() {
			return false
		}
	}
	return true
}

// takeover runs a command of an unreachable owner on pools that deduplicate requests by key. The
// owner may have sent the command already, so the outcome is never not-run.
func (o *Owner) takeover(ctx context.Context, request runner.Request, remaining time.Duration) wire.Answer {
	if doc := o.views.Load().Document(); doc != nil && !doc.ActivePreset().AcceptsRequests() {
		answer := refuse(request.ID(), reason.PresetClosed, doc.ActivePreset().Name())
		answer.Outcome = outcome.Unknown.String()
		return answer
	}
	o.metrics.Counter("command.takeover").Inc(1)
	answer := o.runner.Run(ctx, request.WithTimeout(remaining))
	if answer.Outcome == outcome.NotRun.String() {
		answer.Outcome = outcome.Unknown.String()
	}
	return answer
}

// forwardToOwner forwards the command to its owner. It returns false if the owner cannot be
// reached or that incarnation has stopped.
func (o *Owner) forwardToOwner(ctx context.Context, request runner.Request, key command.Key, deduplicates bool) (answer wire.Answer, ok bool) {
	listed, ok := o.listedHost(key.Host())
	if !ok || key.Host() == o.host {
		return answer, false
	}
	o.metrics.Counter("command.forwarded").Inc(1)
	timeout := request.Timeout()
	if deduplicates {
		// The other half of the time is left for a takeover.
		timeout /= 2
	}
	return o.call(ctx, listed.Peer, request, timeout, forwardGrace)
}

// askSuccessors sends the command to the host that holds the records of a stopped owner: first to
// the successor in the directory, then to up to maxAskedHosts listed hosts at once.
func (o *Owner) askSuccessors(ctx context.Context, request runner.Request, key command.Key) (answer wire.Answer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if address, found := o.successorAddress(key.Incarnation()); found {
		if answer, ok := o.call(ctx, address, request, askTimeout, 0); ok {
			return answer, true
		}
	}
	answers := make(chan *wire.Answer, maxAskedHosts)
	asked := 0
	for _, h := range o.hostList.Load().Hosts {
		if h.Kind != wire.KindEntry || h.Host == o.host || h.Host == key.Host() || h.Peer == "" {
			continue
		}
		if asked++; asked > maxAskedHosts {
			asked = maxAskedHosts
			break
		}
		go func() {
			if answer, ok := o.call(ctx, h.Peer, request, askTimeout, 0); ok {
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

// listedHost returns the entry of an entry host in the host list.
func (o *Owner) listedHost(host string) (listed wire.HostEntry, ok bool) {
	for _, h := range o.hostList.Load().Hosts {
		if h.Kind == wire.KindEntry && h.Host == host && h.Peer != "" {
			return h, true
		}
	}
	return listed, false
}

// call sends the command to the host at address. The host gets the timeout as the deadline, and
// the call is given up after timeout plus grace. It returns false if the host cannot be reached or
// neither owns the key nor holds the owner's records.
func (o *Owner) call(ctx context.Context, address string, request runner.Request, timeout, grace time.Duration) (answer wire.Answer, ok bool) {
	message := request.Body()
	message.Deadline = max(timeout.Milliseconds(), 1)
	body, err := json.Marshal(message)
	if err != nil {
		return answer, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+grace)
	defer cancel()
	conn, ok := o.connect(ctx, address)
	if !ok {
		return answer, false
	}
	reply, err := forward.NewCommandsClient(conn).Forward(ctx, &forward.Command{Request: request.ID(), Pipeline: request.Pipeline().Name(), Body: body})
	if err != nil || !reply.GetHeld() {
		return answer, false
	}
	if err := json.Unmarshal(reply.GetAnswer(), &answer); err != nil {
		return wire.Answer{}, false
	}
	return answer, answer.Request == request.ID()
}

// connect returns a connection that is ready. A call on a connection that is not ready would
// wait for an unresponsive host until the deadline.
func (o *Owner) connect(ctx context.Context, address string) (conn *grpc.ClientConn, ok bool) {
	conn, err := o.conns.Conn(address)
	if err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
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
