package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"sassafrasward/core/admit"
	"sassafrasward/core/reason"
	"sassafrasward/core/route"
	"sassafrasward/io/event"
	"sassafrasward/platform"
)

const (
	// headerTimeout, idleTimeout and the byte bounds hold until a configuration is known.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	headerBytes   = 64 << 10
	bodyBytes     = 4 << 20
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 10 * time.Second
	// startRetry is told to callers of a host that does not know a configuration yet.
	startRetry = 300 * time.Millisecond
	// elsewhereRetry is told to callers that should go to another host at once.
	elsewhereRetry = 50 * time.Millisecond
	// targetRetry is told to callers for whom there is no target at the moment.
	targetRetry = 400 * time.Millisecond
	// trailMost bounds the decisions that are logged of one request.
	trailMost = 24
	// answerMargin is how long before the deadline a request ends, so that the answer
	// reaches the caller in time.
	answerMargin = 15 * time.Millisecond
)

// front serves callers.
type front struct {
	*Edge

	// stopped is when the planned stop began; zero before.
	stopped atomic.Int64
}

func (f *front) server(address string) *http.Server {
	return &http.Server{
		Addr: address, Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// exchange is one request of a caller.
type exchange struct {
	*front

	w http.ResponseWriter
	r *http.Request
	// request is what the caller's headers say.
	request platform.Request
	// version is that of the configuration that the request came under.
	version   uint64
	route     route.Route
	workspace string
	// pool runs the request.
	pool string
	rank int
	// verdict says whether an answer in time is expected of a request with stages.
	verdict admit.Decision
	body    []byte
	// print is the fingerprint of the request.
	print uint64
	// began is when the request came; aim is when an answer is in time, deadline when the
	// caller stops waiting for the whole answer and patience when for the first of it.
	began, aim, deadline, patience time.Duration
	// mayHaveRun holds once a target may have begun to work on the request.
	mayHaveRun bool
	// committed holds once the head of the answer was sent.
	committed bool
	// held are results of stages by pool and dispatching host, to be given up.
	held []holding
	// targets has where the request was sent to.
	targets []string
	// staged is when the stages were done, first when the first event was passed on; pause is
	// the longest time between two events. They are for the log.
	staged, first, pause time.Duration
	// trail has the decisions on the request with the figures that decided them.
	trail []string
	// status, why and detail tell the log how the request ended.
	status int
	why    reason.Reason
	detail string
}

// holding is the results of one stage.
type holding struct {
	stage             int
	host, pool, group string
	handles           []string
	bytes             int64
	// made is when this host learned of the results.
	made time.Duration
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.clock()
	f.running.Add(1)
	f.latest.Store(int64(now))
	defer f.running.Add(-1)
	x := &exchange{front: f, w: w, r: r, began: now}
	if f.stopped.Load() > 0 {
		w.Header().Set("Connection", "close")
	}
	defer x.end()
	x.serve()
}

// end gives up what the request holds and logs how it ended.
func (x *exchange) end() {
	x.free()
	x.metrics.Counter("status." + statusClass(x.status)).Inc(1)
	if x.why != reason.None {
		x.metrics.Refuse(x.why)
	}
	x.metrics.Time("time."+x.route.Kind.String(), x.clock()-x.began)
	if x.first > 0 {
		x.metrics.Time("first."+x.route.Kind.String(), x.first-x.began)
	}
	event.Log(x.log, event.RequestEnded, "request", x.request.ID, "route", x.route.Name, "workspace", x.workspace, "status", x.status,
		"reason", x.why.String(), "detail", x.detail, "targets", strings.Join(x.targets, ","), "rank", x.rank,
		"pieces", x.request.Pieces, "prompt", x.request.Prompt, "staged", (max(x.staged, x.began) - x.began).Milliseconds(),
		"first", (max(x.first, x.began) - x.began).Milliseconds(), "pause", x.pause.Milliseconds(), "elapsed", (x.clock() - x.began).Milliseconds(), "version", x.version, "trail", strings.Join(x.trail, "; "))
}

// decide adds a decision to the trail, with the time since the request came.
func (x *exchange) decide(format string, values ...any) {
	if len(x.trail) < trailMost {
		x.trail = append(x.trail, fmt.Sprintf("%dms ", (x.clock()-x.began).Milliseconds())+fmt.Sprintf(format, values...))
	}
}

func statusClass(status int) string {
	switch {
	case status == 0:
		return "cut"
	case status < 300:
		return "done"
	case status == http.StatusServiceUnavailable:
		return "refused"
	default:
		return "failed"
	}
}

// serve answers the request.
func (x *exchange) serve() {
	s := x.state.Load()
	if s.table != nil {
		x.version = s.table.Version()
	}
	if s.table == nil {
		x.refuse(http.StatusServiceUnavailable, reason.Joining, startRetry)
		return
	}
	if !x.admit(s.table) {
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline-x.clock())
	defer cancel()
	inputs, ok := x.stages(ctx)
	if !ok {
		return
	}
	x.staged = x.clock()
	x.forward(ctx, inputs)
}

// admit reads and checks the request against the configuration. It answers a request that
// is not admitted.
func (x *exchange) admit(t *route.Table) (ok bool) {
	var err error
	if x.request, err = platform.ReadRequest(x.r.Header); err != nil {
		x.detail = err.Error()
		x.refuse(http.StatusBadRequest, reason.InvalidField, 0)
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route, ok = t.Lookup(x.r.Host, path); !ok {
		x.refuse(http.StatusNotFound, reason.UnknownPipeline, 0)
		return false
	}
	x.rank = x.route.Priority
	if t.RequiresKeys() && !x.route.Public {
		w, ok := t.Workspace(x.request.Key)
		if !ok {
			x.refuse(http.StatusUnauthorized, reason.UnknownWorkspace, 0)
			return false
		}
		x.workspace = w.Name
		if w.HasPriority {
			x.rank += workspaceRank * w.Priority
		}
	}
	if !x.readBody(t.Limits().BodyBytes) {
		return false
	}
	if x.print = x.fingerprint(); x.suspects.refused(x.print) {
		x.refuse(http.StatusServiceUnavailable, reason.CrashSuspect, 0)
		return false
	}
	left := x.route.Timeout
	if x.request.Left > 0 && (left == 0 || x.request.Left < left) {
		left = x.request.Left
	}
	x.aim, x.deadline = x.began+x.route.Objective, x.began+left-answerMargin
	x.patience = min(x.deadline, x.began+x.route.CallerTimeout()-answerMargin)
	x.pool = x.route.ChoosePool(rand.Float64())
	x.choosers.request(x.pool)
	return x.admitStopping()
}

// workspaceRank is how many ranks of routes one rank of workspaces counts.
const workspaceRank = 2

// admitStopping refuses requests that might not end before a stopping host is killed.
func (x *exchange) admitStopping() bool {
	stopped := time.Duration(x.stopped.Load())
	if stopped == 0 {
		return true
	}
	last := x.settings.Bounds().Grace - closeMargin
	if x.route.Kind == route.Stream {
		last = min(last, streamStop)
	}
	if x.clock() < stopped+last {
		return true
	}
	x.refuse(http.StatusServiceUnavailable, reason.Draining, elsewhereRetry)
	return false
}

// readBody reads the whole body, so that a request can be sent again.
func (x *exchange) readBody(limit int) bool {
	if x.r.ContentLength == 0 && (x.r.Method == http.MethodGet || x.r.Method == http.MethodHead) {
		return true
	}
	if limit <= 0 {
		limit = bodyBytes
	}
	control := http.NewResponseController(x.w)
	// A connection that takes no deadline is read without one.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	// Without the deadline again, or the server would take the silence of a caller that waits
	// for its answer for a closed connection.
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, int64(limit)), x.r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.refuse(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, 0)
		return false
	case err != nil:
		x.why, x.detail = reason.CallerGone, err.Error()
		panic(http.ErrAbortHandler) // the caller broke off its request
	}
	x.body = body
	return true
}

// readAll reads to the end; a known length saves copies.
func readAll(r io.Reader, length int64) (body []byte, err error) {
	if length > 0 && length <= bodyBytes {
		body = make([]byte, length)
		_, err = io.ReadFull(r, body)
		return body, err
	}
	body, err = io.ReadAll(r)
	if body == nil {
		body = []byte{}
	}
	return body, err
}

// refuse answers with a status of the system's own.
func (x *exchange) refuse(status int, why reason.Reason, retry time.Duration) {
	x.status, x.why = status, why
	if x.committed {
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
	h := x.w.Header()
	platform.SetRefusal(h, x.request.ID, retry)
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.committed = true
}

// fail answers a request that has no answer of a target: as not run if that is true.
func (x *exchange) fail(why reason.Reason, retry time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.status, x.why = 0, reason.CallerGone
		panic(http.ErrAbortHandler) // the caller has left
	case !x.mayHaveRun:
		x.refuse(http.StatusServiceUnavailable, why, retry)
	case why == reason.DeadlineExceeded:
		x.refuse(http.StatusGatewayTimeout, why, 0)
	default:
		x.refuse(http.StatusBadGateway, why, 0)
	}
}

// free gives up the results that the request holds.
func (x *exchange) free() {
	for _, h := range x.held {
		x.dispatch.Free(h.host, h.pool, h.group, h.handles)
	}
	x.held = nil
}
