package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sassafrasward/core/admit"
	"sassafrasward/core/discovery"
	"sassafrasward/core/pick"
	"sassafrasward/core/reason"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/core/suspect"
	"sassafrasward/io/event"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

const (
	// maxBuffered is the maximum size in bytes of a response other than a stream. It is read
	// whole before it is sent to the caller, so that a truncated one can be retried.
	maxBuffered = 1 << 20
	// attemptFactor times the objective, at least minAttemptTime, is how long a retryable
	// request waits for a target before it is retried at another one.
	attemptFactor  = 2
	minAttemptTime = 200 * time.Millisecond
	// minEventTimeout is the minimum time to wait for an event of a stream that can be resumed at
	// another target.
	minEventTimeout = 1200 * time.Millisecond
	// maxUnreachable is the number of unreachable targets after which a request fails.
	maxUnreachable = 4
	// healthTimeout is the timeout of a health check, which may wait for a slot.
	healthTimeout = 1 * time.Second
	// promptPerLoad is the prompt length that counts as a load of 1.
	promptPerLoad = 4000.0 // tokens
)

// verdict classifies the result of one attempt.
type verdict int

const (
	// answered: a response was sent to the caller.
	answered verdict = iota
	// unreached: no byte of the request can have reached the target.
	unreached
	// notRun: the target refused the request and stated that it didn't run it.
	notRun
	// broken: the request may have run, but there is no usable response.
	broken
	// failed: the target responded with a server error or an unsigned response, which can be sent
	// to the caller.
	failed
	// callerGone: the caller disconnected.
	callerGone
)

// attempt holds the target, the response and the error of one attempt to run the request.
type attempt struct {
	target discovery.Target
	// began is when the request was sent, and beganAt the same on the clock wallClock; answered is when
	// the headers of the response arrived.
	began, beganAt, answered time.Duration
	// last is set if no other attempt may follow. inputsGone is set if the target did not run the
	// request because some of its inputs no longer exist.
	last, inputsGone bool
	// response is the target's response; body has its body unless it is a stream.
	response *transport.Response
	body     []byte
	err      error
	// events is the number of whole events that a stream brought, rest the number of bytes after the
	// last one. progressed is set once one of the events was not sent to the caller before.
	events, rest int
	progressed   bool
}

// forward sends the request to a target, and retries it at others as far as it may be retried.
func (x *exchange) forward(ctx context.Context, inputs []string) {
	s := &stream{exchange: x}
	unreachable, attempts := 0, 0
	for {
		if x.suspects.refused(x.fingerprint, x.prompt) {
			x.fail(reason.CrashSuspect, 0) // the evidence came after the request was admitted
			return
		}
		pickRequest := x.pickRequest(inputs)
		pickRequest.MaxWait = x.maxTargetWait(s)
		t, wait, ok := x.choosers.choose(x.pool, pickRequest)
		if !ok {
			x.failWithoutTarget()
			return
		}
		if wait > 0 && !x.awaitTarget(ctx, t, wait) {
			x.choosers.abandon(x.pool, t.ID, pickRequest.ID, pickRequest.Load)
			if ctx.Err() != nil {
				x.fail(reason.DeadlineExceeded, 0)
				return
			}
			continue
		}
		attempts++
		s.pick = pickRequest
		a := &attempt{target: t, began: x.clock(), beganAt: wallClock(), last: attempts >= x.route.MaxAttempts}
		v := x.try(ctx, s, a, inputs)
		x.recordDecision("target %s in %q, inputs in %q: %s%s", t.ID, t.Zone, pickRequest.InputZone, v.label(), x.describeResponse(a))
		x.choosers.finish(x.pool, pick.Result{
			Target: t.ID, ID: pickRequest.ID, Load: pickRequest.Load, Failed: v == broken || v == failed || v == notRun, NoResponse: v == unreached || v == broken && ctx.Err() == nil && noResponse(a.err),
			Slowdown: s.slowdown(a),
		})
		if v == answered {
			x.suspects.recordCompletion(x.fingerprint, x.prompt, a.response.Status/100 == 2)
			return
		}
		if v == broken && ctx.Err() == nil && x.targetDisconnected(a) {
			d := disconnect{
				request: x.request.ID, fingerprint: x.fingerprint, prompt: x.prompt, target: t,
				progress: suspect.NewProgress(a.response != nil, a.events, x.clock()-a.answered), events: a.events,
			}
			x.background.Go(func() {
				if x.suspects.recordDisconnect(x.ctx, d) {
					x.reports.Refused(d.target)
				}
			})
		}
		x.targets = append(x.targets, t.ID)
		if v == unreached {
			attempts--
			unreachable++
		}
		if !x.mayRetry(ctx, v, attempts, unreachable) {
			x.giveUp(ctx, v, a)
			return
		}
		if inputs, ok = x.renewInputs(ctx, s, a, inputs); !ok {
			x.giveUp(ctx, v, a)
			return
		}
		event.Log(x.log, event.RequestRepeated, "request", x.request.ID, "pool", x.pool, "target", t.ID, "cause", v.label(), "error", errorText(a.err))
		x.metrics.CountRetry(v.retryReason())
	}
}

// renewInputs runs the stages again if the inputs of the next attempt no longer exist: they are
// released at the first event of a stream, and lost with the targets that hold them.
func (x *exchange) renewInputs(ctx context.Context, s *stream, a *attempt, inputs []string) (renewed []string, ok bool) {
	if a.inputsGone {
		x.free()
	}
	if len(inputs) == 0 || len(x.held) > 0 {
		return inputs, true
	}
	if s.sent > 0 {
		// The stream started in time; the stages now only have to be done before the caller stops
		// waiting for the next event.
		x.startDeadline = min(x.deadline, x.clock()+x.route.CallerTimeout())
		x.softDeadline, x.decision = x.startDeadline, admit.OnTime
	}
	run := newStageRun(x)
	if failure := run.execute(ctx); failure != nil {
		return nil, false
	}
	return run.inputs(), true
}

// describeResponse returns for the log what the target sent and how it marked the end, empty without
// a response.
func (x *exchange) describeResponse(a *attempt) string {
	switch {
	case a.response == nil:
		return ""
	case x.route.Kind == route.Stream:
		return fmt.Sprintf(", %d events and %d bytes framed by %s", a.events, a.rest, a.response.Framing)
	}
	return fmt.Sprintf(", %d bytes framed by %s", len(a.body), a.response.Framing)
}

// noResponse reports whether an attempt with the error timed out, or failed after the request may
// have reached the target.
func noResponse(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || transport.MaybeSent(err)
}

// errorText returns the message of an error, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// label returns the name of the verdict in the log.
func (v verdict) label() string {
	return [...]string{"answered", "unreached", "unrun", "broken", "failed", "left"}[v]
}

// retryReason returns the reason of a retry after the verdict, for the metrics. It is not called for
// answered and callerGone, after which there is no retry.
func (v verdict) retryReason() reason.Retry {
	return [...]reason.Retry{reason.RetryBusy, reason.RetryCrashed, reason.RetryBusy, reason.RetryCrashed, reason.RetryFailed}[v]
}

// targetDisconnected reports whether the attempt failed at the target: with an error other than a
// timeout or a cancellation.
func (x *exchange) targetDisconnected(a *attempt) bool {
	return a.err != nil && !errors.Is(a.err, context.Canceled) && !errors.Is(a.err, context.DeadlineExceeded)
}

// targetCrashed reports whether the target of a response that ended with its connection is gone: then
// the end shows nothing, because the connections of a process are closed when it crashes. If this host
// stood still meanwhile, another process may be at the address by now.
func (x *exchange) targetCrashed(a *attempt) bool {
	switch {
	case a.response.Framing != transport.FramedByClose:
		return false
	case refusesConnection(probe(x.r.Context(), a.target.Address)):
		return true
	}
	return x.pauses.PausedSince(wallClock(), a.beganAt) && !x.confirmsIdentity(a.target)
}

// confirmsIdentity asks for the health of a target, and reports whether the answer comes from the target
// and not from another process at its address. The answer doesn't have to be good.
func (x *exchange) confirmsIdentity(t discovery.Target) bool {
	table := x.state.Load().table
	p, ok := table.Pool(t.Pool)
	if !ok || p.HealthPath == "" || x.choosers.gate.Wait(x.clock(), t) > 0 {
		return false
	}
	x.choosers.gate.Take(x.clock(), t)
	ctx, cancel := context.WithTimeout(x.r.Context(), healthTimeout)
	defer cancel()
	response, err := x.conns.Do(ctx, t.Address, transport.Request{
		Method: http.MethodGet, URI: p.HealthPath, Host: t.Address, Header: platform.HealthHeader(t.ID), NewConnection: true,
	})
	if err != nil {
		return false
	}
	response.Close(false)
	return platform.IsHealthOf(t.ID, response.Status, response.Header)
}

// pickRequest returns the parameters for choosing a target, including the zone that holds most of
// the inputs.
func (x *exchange) pickRequest(inputs []string) pick.Request {
	h := x.promptPickRequest()
	s := x.state.Load()
	bytes, total := make(map[string]int64), int64(0)
	for _, held := range x.held {
		for _, handle := range held.handles {
			if !slices.Contains(inputs, handle) {
				continue
			}
			zone, size := s.zones[platform.HandleAddress(handle)], held.bytes/int64(len(held.handles))
			total += size
			if bytes[zone] += size; bytes[zone] > bytes[h.InputZone] {
				h.InputZone = zone
			}
		}
	}
	h.InputBytes = total
	return h
}

// promptPickRequest returns the parameters for choosing a target that don't depend on the inputs.
func (x *exchange) promptPickRequest() pick.Request {
	h := pick.Request{Exclude: x.targets, Zones: x.zones, TieBreak: rand.Float64(), Load: 1, PromptTokens: x.request.PromptTokens}
	if shared := x.request.SharedParts(); len(shared) > 0 {
		h.FirstPrefix, h.LastPrefix = shared[0].ID, shared[len(shared)-1].ID
		for _, p := range shared {
			h.SharedTokens += p.Tokens
		}
	}
	if x.request.PromptTokens > 0 {
		h.Load = float64(x.request.PromptTokens) / promptPerLoad
		h.ID, h.Expected = x.request.ID, x.unloadedFirstEventTime()
		h.Spare = max(float64(x.arrived+x.route.Objective-x.clock()), 1) / float64(h.Expected)
	}
	return h
}

// mayRetry reports whether another attempt may follow one that ended with v. Attempts that
// reached no target don't count as retries.
func (x *exchange) mayRetry(ctx context.Context, v verdict, attempts, unreachable int) bool {
	switch {
	case ctx.Err() != nil || v == callerGone || unreachable >= maxUnreachable:
		return false
	case v == unreached:
		return true
	case attempts >= x.route.MaxAttempts:
		return false
	case v != notRun && x.route.AtMostOnce():
		return false
	}
	return x.choosers.allowRetry(x.pool)
}

// giveUp writes the response to a request whose last attempt ended with v.
func (x *exchange) giveUp(ctx context.Context, v verdict, a *attempt) {
	if a.err != nil {
		x.detail = a.err.Error()
	}
	switch {
	case v == callerGone:
		x.why = reason.CallerGone
		panic(http.ErrAbortHandler) // the response must not look complete
	case v == failed && !x.committed:
		x.writeResponse(a)
	case ctx.Err() != nil:
		x.fail(reason.DeadlineExceeded, 0)
	case v == notRun:
		x.fail(reason.QueueFull, targetRetryAfter)
	case v == unreached:
		x.fail(reason.NoTargets, targetRetryAfter)
	default:
		x.fail(reason.Crashed, targetRetryAfter)
	}
}

// try sends the request to one target.
func (x *exchange) try(ctx context.Context, s *stream, a *attempt, inputs []string) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attemptTimer := x.attemptTimer(a, cancel)
	defer attemptTimer.Stop()
	forwarded := platform.TargetRequest{
		Target: a.target.ID, Workspace: x.workspace, TimeLeft: x.deadline - a.began, Inputs: inputs, LastEventID: s.lastID, Priority: -1,
	}
	if x.route.Kind == route.Stream {
		forwarded.Priority = x.priority
	}
	a.response, a.err = x.conns.Do(ctx, a.target.Address, transport.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: forwarded.Header(x.r.Header), Body: x.body.first(), More: x.body.rest(),
		NewConnection: x.route.Kind != route.Idempotent,
		Match:         x.match,
	})
	if a.err != nil {
		if refusesConnection(a.err) {
			x.reports.Refused(a.target)
		}
		if !transport.MaybeSent(a.err) {
			return unreached
		}
		x.mayHaveRun = true
		return broken
	}
	a.answered = x.clock()
	answer := platform.ReadResponse(a.response.Status, a.response.Header)
	x.reports.Observe(a.target, answer.Statement)
	if a.response.Status != http.StatusMisdirectedRequest {
		x.reports.Answered(a.target, selfreport.AllHosts)
	}
	if answer.NotRun {
		a.inputsGone = answer.InputsGone
		a.response.Close(false)
		return notRun
	}
	x.mayHaveRun = true
	if (a.last || x.route.AtMostOnce()) && a.response.Sent() {
		x.dropBody()
	}
	if a.response.Status/100 == 2 && (!answer.Signed || answer.Encoded) {
		a.response.Close(false)
		a.err = errors.New("response is not signed or its body is encoded")
		return broken
	}
	if x.committed && !s.continuedBy(a.response) {
		a.response.Close(false)
		a.err = fmt.Errorf("status %d, %q instead of the rest of the stream", a.response.Status, a.response.Header.Get("Content-Type"))
		return failed
	}
	if x.route.Kind == route.Stream && a.response.Status == http.StatusOK {
		return s.forwardEvents(a, attemptTimer)
	}
	return x.forwardWhole(ctx, a, answer)
}

// match tells whether a response belongs to the request. One that was made without reading the request
// has no ID.
func (x *exchange) match(status int, h http.Header) transport.Match {
	switch platform.ReadResponse(status, h).ID {
	case x.request.ID:
		return transport.Belongs
	case "":
		return transport.Unidentified
	}
	return transport.Stray
}

// attemptTimer returns a timer that cancels an attempt which takes too long while another target
// could be tried. Otherwise the timer is set to an hour, and the deadline of the request ends the
// attempt.
func (x *exchange) attemptTimer(a *attempt, cancel context.CancelFunc) *time.Timer {
	limit := time.Hour
	switch {
	case a.last || x.route.AtMostOnce():
	case x.route.Kind == route.Stream:
		limit = max(x.route.Objective, minEventTimeout)
	default:
		limit = max(attemptFactor*x.route.Objective, minAttemptTime)
	}
	return time.AfterFunc(limit, cancel)
}

// forwardWhole reads a response to its end and sends it to the caller unless it is truncated, a
// server error or not signed.
func (x *exchange) forwardWhole(ctx context.Context, a *attempt, answer platform.Response) verdict {
	body, release, err := x.memory.readWhole(ctx, a.response.Body)
	defer release()
	a.body, a.err = body, err
	if a.err == nil && len(a.body) == maxBuffered {
		a.err = errors.New("response exceeds the maximum size")
	}
	if a.err == nil && x.targetCrashed(a) {
		a.err = errCrashed
	}
	a.response.Close(a.err == nil)
	switch {
	case a.err != nil:
		return broken
	case a.response.Status >= 500 || !answer.Signed:
		return failed
	}
	x.writeResponse(a)
	return answered
}

// writeResponse sends the buffered response of a target to the caller. A status by which callers
// conclude that the request did not run is replaced, because the target did not state that.
func (x *exchange) writeResponse(a *attempt) {
	status := a.response.Status
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		x.fail(reason.Rejected, 0)
		return
	}
	h := x.w.Header()
	closing := h.Get("Connection")
	platform.CopyResponseHeader(h, a.response.Header, true)
	if closing != "" {
		h.Set("Connection", closing)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.status, x.committed = status, true
	x.w.WriteHeader(status)
	if _, err := x.w.Write(a.body); err != nil {
		x.why, x.detail = reason.CallerGone, err.Error()
	}
}
