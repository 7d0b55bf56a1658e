package edge

import (
	"context"
	"errors"
	"io"
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
	"sassafrasward/io/event"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

const (
	// wholeBytes is up to which size an answer is read whole before it is passed on, so that
	// a broken one can be repeated.
	wholeBytes = 1 << 20
	// silentFactor times the objective is how long a repeatable request waits for a target
	// before it goes to another one, and silentLeast the shortest such time.
	silentFactor = 2
	silentLeast  = 200 * time.Millisecond
	// eventLeast is the shortest time to wait for an event of a stream that can go on at
	// another target.
	eventLeast = 1200 * time.Millisecond
	// unreachedMost bounds how many unreachable targets one request is tried at.
	unreachedMost = 4
	// usualPrompt is the prompt that counts as a load of one.
	usualPrompt = 4000.0 // tokens
)

// verdict says what follows from one attempt.
type verdict int

const (
	// answered requests are done.
	answered verdict = iota
	// unreached attempts reached no target.
	unreached
	// unrun attempts were refused by a target that did not run them.
	unrun
	// broken attempts may have run and brought no usable answer.
	broken
	// failed attempts ran and brought a failure of the target, which can be passed on.
	failed
	// left attempts have lost their caller.
	left
)

// attempt is one send to a target.
type attempt struct {
	target discovery.Target
	began  time.Duration
	// last holds if no other attempt may follow, gone if the target did not run the request
	// because inputs do not exist any more.
	last, gone bool
	// response is the head of the answer.
	response *transport.Response
	body     []byte
	err      error
}

// forward sends the request to targets until one answers, as far as it may be repeated.
func (x *exchange) forward(ctx context.Context, inputs []string) {
	s := &stream{exchange: x}
	unreachable, sends := 0, 0
	for {
		hint := x.hint(inputs)
		t, ok := x.choosers.choose(x.pool, hint)
		if !ok {
			x.detail = "no target"
			x.fail(reason.NoTargets, targetRetry)
			return
		}
		sends++
		a := &attempt{target: t, began: x.clock(), last: sends >= x.route.MaxAttempts}
		v := x.try(ctx, s, a, inputs)
		x.decide("target %s in %q, inputs in %q: %s", t.ID, t.Zone, hint.InputZone, v.word())
		x.choosers.finish(x.pool, pick.Result{
			Target: t.ID, Load: hint.Load, Failed: v == broken || v == failed || v == unrun, NoResponse: v == unreached || v == broken && ctx.Err() == nil && silent(a.err),
			Slowdown: s.pace(a),
		})
		if v == answered {
			x.suspects.complete(x.print)
			return
		}
		if v == broken && ctx.Err() == nil && x.brokeOff(a) {
			x.background.Go(func() { x.suspects.broke(x.ctx, x.print, t.Address) })
		}
		x.targets = append(x.targets, t.ID)
		if v == unreached {
			sends--
			unreachable++
		}
		if !x.again(ctx, v, sends, unreachable) {
			x.giveUp(ctx, v, a)
			return
		}
		if inputs, ok = x.renew(ctx, s, a, inputs); !ok {
			x.giveUp(ctx, v, a)
			return
		}
		event.Log(x.log, event.RequestRepeated, "request", x.request.ID, "pool", x.pool, "target", t.ID, "cause", v.word(), "error", errText(a.err))
		x.metrics.Retry(v.retry())
	}
}

// renew has the stages worked on again if the next attempt would not find its inputs: they are
// given up with the first event of a stream, and lost with the targets that made them.
func (x *exchange) renew(ctx context.Context, s *stream, a *attempt, inputs []string) (renewed []string, ok bool) {
	if a.gone {
		x.free()
	}
	if len(inputs) == 0 || len(x.held) > 0 {
		return inputs, true
	}
	if s.passed > 0 {
		// The stream has begun in time; now its caller waits for the next event.
		x.patience = min(x.deadline, x.clock()+x.route.CallerTimeout())
		x.aim, x.verdict = x.patience, admit.OnTime
	}
	run := newStageRun(x)
	if failure := run.play(ctx); failure != nil {
		return nil, false
	}
	return run.inputs(), true
}

func silent(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || transport.MaybeSent(err)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (v verdict) word() string {
	return [...]string{"answered", "unreached", "unrun", "broken", "failed", "left"}[v]
}

func (v verdict) retry() reason.Retry {
	return [...]reason.Retry{reason.RetryBusy, reason.RetryCrashed, reason.RetryBusy, reason.RetryCrashed, reason.RetryFailed}[v]
}

// brokeOff reports whether the target broke the connection itself.
func (x *exchange) brokeOff(a *attempt) bool {
	return a.err != nil && !errors.Is(a.err, context.Canceled) && !errors.Is(a.err, context.DeadlineExceeded)
}

// hint returns what the choice of a target may use.
func (x *exchange) hint(inputs []string) pick.Request {
	h := x.prompt()
	s := x.state.Load()
	bytes, total := make(map[string]int64), int64(0)
	for _, held := range x.held {
		for _, handle := range held.handles {
			if !slices.Contains(inputs, handle) {
				continue
			}
			zone, size := s.zones[platform.Maker(handle)], held.bytes/int64(len(held.handles))
			total += size
			if bytes[zone] += size; bytes[zone] > bytes[h.InputZone] {
				h.InputZone = zone
			}
		}
	}
	h.InputBytes = total
	return h
}

// prompt returns what the choice of a target may use before the inputs are there.
func (x *exchange) prompt() pick.Request {
	h := pick.Request{Exclude: x.targets, TieBreak: rand.Float64(), Load: 1, PromptTokens: x.request.Prompt}
	if n := len(x.request.Prefix) - 1; n > 0 {
		h.FirstPrefix, h.LastPrefix = x.request.Prefix[0].ID, x.request.Prefix[n-1].ID
		for _, p := range x.request.Prefix[:n] {
			h.SharedTokens += p.Tokens
		}
	}
	if x.request.Prompt > 0 {
		h.Load = float64(x.request.Prompt) / usualPrompt
	}
	return h
}

// again reports whether another attempt may follow one that ended with v.
func (x *exchange) again(ctx context.Context, v verdict, sends, unreachable int) bool {
	switch {
	case ctx.Err() != nil || v == left || unreachable >= unreachedMost:
		return false
	case v == unreached:
		return true
	case sends >= x.route.MaxAttempts:
		return false
	case v != unrun && x.route.AtMostOnce():
		return false
	}
	return x.choosers.repeat(x.pool)
}

// giveUp answers a request whose last attempt ended with v.
func (x *exchange) giveUp(ctx context.Context, v verdict, a *attempt) {
	if a.err != nil {
		x.detail = a.err.Error()
	}
	switch {
	case v == left:
		x.why = reason.CallerGone
		panic(http.ErrAbortHandler) // the answer must not look complete
	case v == failed:
		x.pass(a)
	case ctx.Err() != nil:
		x.fail(reason.DeadlineExceeded, 0)
	case v == unrun:
		x.fail(reason.QueueFull, targetRetry)
	case v == unreached:
		x.fail(reason.NoTargets, targetRetry)
	default:
		x.fail(reason.Crashed, targetRetry)
	}
}

// try sends the request to one target.
func (x *exchange) try(ctx context.Context, s *stream, a *attempt, inputs []string) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := x.watch(a, cancel)
	defer watch.Stop()
	forwarded := platform.Forwarded{
		Target: a.target.ID, Workspace: x.workspace, Left: x.deadline - a.began, Inputs: inputs, Resume: s.last, Priority: -1,
	}
	if x.route.Kind == route.Stream {
		forwarded.Priority = x.rank
	}
	a.response, a.err = x.links.Do(ctx, a.target.Address, transport.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: forwarded.Header(x.r.Header), Body: x.body,
		NewConnection: x.route.Kind != route.Idempotent,
		Matches:       func(status int, h http.Header) bool { return platform.ReadAnswer(status, h).Belongs(x.request.ID) },
	})
	if a.err != nil {
		if !transport.MaybeSent(a.err) {
			return unreached
		}
		x.mayHaveRun = true
		return broken
	}
	answer := platform.ReadAnswer(a.response.Status, a.response.Header)
	if answer.NotRun {
		a.gone = answer.InputsGone
		a.response.Close(false)
		return unrun
	}
	x.mayHaveRun = true
	if a.response.Status/100 == 2 && (!answer.Signed || answer.Encoded) {
		a.response.Close(false)
		a.err = errors.New("the answer is not signed")
		return broken
	}
	if x.route.Kind == route.Stream && a.response.Status == http.StatusOK {
		return s.pass(a, watch)
	}
	return x.whole(a, answer)
}

// watch ends an attempt that takes too long while another target could be tried.
func (x *exchange) watch(a *attempt, cancel context.CancelFunc) *time.Timer {
	limit := time.Hour
	switch {
	case a.last || x.route.AtMostOnce():
	case x.route.Kind == route.Stream:
		limit = max(x.route.Objective, eventLeast)
	default:
		limit = max(silentFactor*x.route.Objective, silentLeast)
	}
	return time.AfterFunc(limit, cancel)
}

// whole reads an answer to its end and passes it on.
func (x *exchange) whole(a *attempt, answer platform.Answer) verdict {
	a.body, a.err = io.ReadAll(io.LimitReader(a.response.Body, wholeBytes))
	if a.err == nil && len(a.body) == wholeBytes {
		a.err = errors.New("the answer is too long")
	}
	a.response.Close(a.err == nil)
	switch {
	case a.err != nil:
		return broken
	case a.response.Status >= 500 || !answer.Signed:
		return failed
	}
	x.pass(a)
	return answered
}

// pass answers with the whole answer of a target. A status that promises that the request
// did not run is replaced, because the target made no such promise.
func (x *exchange) pass(a *attempt) {
	status := a.response.Status
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		x.fail(reason.Rejected, 0)
		return
	}
	h := x.w.Header()
	closing := h.Get("Connection")
	platform.CopyAnswer(h, a.response.Header, true)
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
