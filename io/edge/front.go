package edge

import (
	"context"
	"fmt"
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
	// headerTimeout, idleTimeout and maxHeaderBytes apply to the HTTP servers, defaultMaxBody as
	// long as no configuration sets a limit. The sizes are in bytes.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	defaultMaxBody = 4 << 20
	// startRetryAfter is the retry delay for callers of a host that is starting while others serve,
	// and fleetRetryAfter that while no other host serves either: about the time in which a fleet
	// starts.
	startRetryAfter = 300 * time.Millisecond
	fleetRetryAfter = 1 * time.Second
	// drainRetryAfter is the retry delay for callers that should use another host immediately.
	drainRetryAfter = 50 * time.Millisecond
	// targetRetryAfter is the retry delay for callers for which no target could run the request.
	targetRetryAfter = 400 * time.Millisecond
	// memoryRetryAfter is the retry delay for callers whose request body did not fit into the memory: about
	// the time for which others hold theirs.
	memoryRetryAfter = 500 * time.Millisecond
	// maxTrail is the maximum number of decisions that are logged per request.
	maxTrail = 24
	// responseMargin is how long before its deadline a request ends, so that the response
	// reaches the caller in time.
	responseMargin = 15 * time.Millisecond
)

// frontend is the HTTP handler for callers.
type frontend struct {
	*Edge

	// drainStart is when draining began; zero before.
	drainStart atomic.Int64
}

// server returns the HTTP server for callers.
func (f *frontend) server(address string) *http.Server {
	return &http.Server{
		Addr: address, Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnContext: connContext, ConnState: connState,
	}
}

// exchange is the state of one caller's request.
type exchange struct {
	*frontend

	w http.ResponseWriter
	r *http.Request
	// request has the fields of the caller's headers.
	request platform.Request
	// version is the version of the configuration when the request arrived.
	version   uint64
	route     route.Route
	workspace string
	// pool is the pool that runs the request.
	pool string
	// zones has the availability zones of targets that the request may use, by the home regions of its route
	// and workspace; nil for all.
	zones []string
	// priority is that of the route, plus that of the workspace weighted by workspaceWeight.
	priority int
	// protected is set if the jobs of the request are queued before those of the most urgent level.
	protected bool
	// headStart is the time by which the jobs of the request are queued before new ones.
	headStart time.Duration
	// announced has the announcements of stages that have not started.
	announced []announcement
	// decision is the result of admission control for a request with stages.
	decision admit.Decision
	// conn is the connection of the caller, nil if connections are not bounded.
	conn *callerConn
	// body is the body of the request until no attempt needs it any more; bodyRead is set once it was read
	// to its end.
	body     body
	bodyRead bool
	// fingerprint identifies equal requests, see computeFingerprint. prompt has the first parts of the
	// prompt, at most maxSuspectParts, that other requests may have as well.
	fingerprint uint64
	prompt      []platform.PromptPart
	// arrived is when the request arrived, softDeadline the end of its objective. The caller
	// stops waiting for the whole response at deadline, and for its start or the next event of a
	// stream at startDeadline.
	arrived, softDeadline, deadline, startDeadline time.Duration
	// mayHaveRun is set once a target may have started to run the request.
	mayHaveRun bool
	// committed is set once the response headers were sent.
	committed bool
	// held has the stage results that must be released.
	held []stageResults
	// targets has the IDs of the targets whose attempts failed.
	targets []string
	// stagesDone is when the stages ended, firstEvent when the first event was sent to the caller,
	// and maxGap the longest time between two events, for the log.
	stagesDone, firstEvent, maxGap time.Duration
	// trail has the decisions on the request with the values they are based on, for the log.
	trail []string
	// status, why and detail are how the request ended, for the log.
	status int
	why    reason.Reason
	detail string
}

// stageResults has the results of one stage that this host must release.
type stageResults struct {
	stage             int
	host, pool, group string
	handles           []string
	// bytes is the size of all the results together.
	bytes int64
	// received is when this host received the handles.
	received time.Duration
}

// ServeHTTP implements http.Handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.clock()
	f.running.Add(1)
	f.lastArrival.Store(int64(now))
	defer f.running.Add(-1)
	x := &exchange{frontend: f, w: w, r: r, arrived: now, conn: connOf(r)}
	x.conn.startRequest()
	if f.drainStart.Load() > 0 {
		w.Header().Set("Connection", "close")
	}
	defer x.end()
	x.serve()
}

// end releases the results of the request, and records and logs how it ended.
func (x *exchange) end() {
	x.free()
	x.withdrawAnnouncements()
	x.dropBody()
	x.metrics.Counter("status." + statusClass(x.status)).Inc(1)
	if x.why != reason.None {
		x.metrics.CountRefusal(x.why)
	}
	x.metrics.ObserveDuration("time."+x.route.Kind.String(), x.clock()-x.arrived)
	if x.firstEvent > 0 {
		x.metrics.ObserveDuration("first."+x.route.Kind.String(), x.firstEvent-x.arrived)
	}
	event.Log(x.log, event.RequestEnded, "request", x.request.ID, "route", x.route.Name, "workspace", x.workspace, "status", x.status,
		"reason", x.why.String(), "detail", x.detail, "targets", strings.Join(x.targets, ","), "rank", x.priority,
		"pieces", x.request.Pieces, "prompt", x.request.PromptTokens, "parts", partNames(x.prompt), "staged", (max(x.stagesDone, x.arrived) - x.arrived).Milliseconds(),
		"first", (max(x.firstEvent, x.arrived) - x.arrived).Milliseconds(), "pause", x.maxGap.Milliseconds(), "elapsed", (x.clock() - x.arrived).Milliseconds(), "version", x.version, "trail", strings.Join(x.trail, "; "))
}

// recordDecision adds a decision to the trail, with the time since the request arrived.
func (x *exchange) recordDecision(format string, values ...any) {
	if len(x.trail) < maxTrail {
		x.trail = append(x.trail, fmt.Sprintf("%dms ", (x.clock()-x.arrived).Milliseconds())+fmt.Sprintf(format, values...))
	}
}

// statusClass returns the metric name of a response status; zero means that the response was
// cut off.
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

// serve handles the request and writes the response.
func (x *exchange) serve() {
	s := x.state.Load()
	if s.table != nil {
		x.version = s.table.Version()
	}
	if !s.started() {
		x.refuse(http.StatusServiceUnavailable, reason.Joining, s.startRetryAfter())
		return
	}
	if !x.admit(s.table) {
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline-x.clock())
	defer cancel()
	defer context.AfterFunc(x.requestsCtx, cancel)()
	inputs, ok := x.runStages(ctx)
	if !ok {
		return
	}
	x.stagesDone = x.clock()
	x.forward(ctx, inputs)
}

// startRetryAfter returns the retry delay for callers of a host that is starting. It is random, so
// that the callers of a fleet that starts don't return all at once.
func (s *state) startRetryAfter() time.Duration {
	if len(s.hosts) > 0 {
		return startRetryAfter
	}
	return time.Duration(float64(fleetRetryAfter) * (0.8 + 0.4*rand.Float64()))
}

// admit reads the request, checks it against the configuration and sets its limits. It writes
// the response to a request that is not admitted.
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
	x.priority = x.route.Priority
	var homes []string
	if t.RequiresKeys() && !x.route.Public {
		w, ok := t.Workspace(x.request.APIKey)
		if !ok {
			x.refuse(http.StatusUnauthorized, reason.UnknownWorkspace, 0)
			return false
		}
		x.workspace, homes = w.Name, w.Homes
		if w.HasPriority {
			x.priority += workspaceWeight * w.Priority
		}
	}
	x.zones = route.AllowedZones(x.settings.ZoneRegions(), x.route.Homes, homes)
	if !x.readBody(t.Limits().BodyBytes) {
		return false
	}
	shared := x.request.SharedParts()
	x.fingerprint, x.prompt = x.computeFingerprint(), shared[:min(len(shared), maxSuspectParts)]
	if x.suspects.refused(x.fingerprint, x.prompt) {
		x.refuse(http.StatusServiceUnavailable, reason.CrashSuspect, 0)
		return false
	}
	timeLeft := x.route.Timeout
	if x.request.Timeout > 0 && (timeLeft == 0 || x.request.Timeout < timeLeft) {
		timeLeft = x.request.Timeout
	}
	x.softDeadline, x.deadline = x.arrived+x.route.Objective, x.arrived+timeLeft-responseMargin
	x.startDeadline = min(x.deadline, x.arrived+x.route.CallerTimeout()-responseMargin)
	x.pool = x.route.ChoosePool(rand.Float64())
	x.choosers.countRequest(x.pool)
	return x.admitDraining()
}

// workspaceWeight is the number of route priorities that one workspace priority counts for.
const workspaceWeight = 2

// admitDraining refuses requests that a draining host can't wait for: those that may still be in
// progress when it stops, other than early streams.
func (x *exchange) admitDraining() bool {
	drainStart := time.Duration(x.drainStart.Load())
	if drainStart == 0 || x.deadline <= x.stopTime(drainStart) || x.route.Kind == route.Stream && x.clock() < drainStart+streamAcceptTime {
		return true
	}
	x.refuse(http.StatusServiceUnavailable, reason.Draining, drainRetryAfter)
	return false
}

// refuse writes an empty response with a status that this host, not a target, decided on.
func (x *exchange) refuse(status int, why reason.Reason, retry time.Duration) {
	x.status, x.why = status, why
	if x.committed {
		panic(http.ErrAbortHandler) // the response must not look complete
	}
	x.boundRest()
	h := x.w.Header()
	platform.SetRefusalHeader(h, x.request.ID, retry)
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.committed = true
}

// fail writes the response to a request without a usable response of a target: 503 if the
// request certainly has not run, otherwise 504 if its deadline has passed or 502 if not. It aborts
// the response if the caller has disconnected.
func (x *exchange) fail(why reason.Reason, retry time.Duration) {
	if x.requestsCtx.Err() != nil {
		why, retry = reason.Draining, drainRetryAfter
	}
	switch {
	case x.r.Context().Err() != nil:
		x.status, x.why = 0, reason.CallerGone
		panic(http.ErrAbortHandler) // the caller disconnected
	case !x.mayHaveRun:
		x.refuse(http.StatusServiceUnavailable, why, retry)
	case why == reason.DeadlineExceeded:
		x.refuse(http.StatusGatewayTimeout, why, 0)
	default:
		x.refuse(http.StatusBadGateway, why, 0)
	}
}

// free releases the results that the request holds.
func (x *exchange) free() {
	for _, h := range x.held {
		x.dispatchClient.Free(h.host, h.pool, h.group, h.handles)
	}
	x.held = nil
}
