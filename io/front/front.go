package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"sassafrasward/core/config"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/event"
	"sassafrasward/io/metric"
	"sassafrasward/io/runner"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("front")

// Lifetime is how long callers keep an address answer.
const Lifetime = 5 * time.Second

const (
	// readTimeout bounds the arrival of headers and, again, of the body of a request, so that
	// a caller that went silent does not hold up a planned stop.
	readTimeout = 10 * time.Second
	// writeTimeout bounds each write of an answer or token for the same reason. It is longer
	// because a caller may be slow to take a long report.
	writeTimeout = 30 * time.Second
)

// Executor runs a job to its end.
type Executor interface {
	Run(ctx context.Context, job runner.Job) wire.Answer
}

// Keys issues command keys and knows which of them have not been used.
type Keys interface {
	// Issue returns up to n keys for the workspace and how long they are valid.
	Issue(workspace string, n int) (keys []string, lifetime time.Duration)
	// Fresh reports whether the command of the request's key has surely never begun.
	Fresh(pipeline string, request wire.Request) bool
}

// Front is the HTTP server for callers.
type Front struct {
	server  *http.Server
	views   *view.Holder
	runner  Executor
	metrics *metric.Metrics
	log     logr.Logger
	status  func() any
	body    int64
	// read and write bound the arrival of a body and each write.
	read, write time.Duration
	self        wire.Host
	// keys is nil if the host issues no keys.
	keys Keys
}

// Option configures a Front.
type Option func(*Front)

// WithBody bounds the size of request bodies in bytes.
func WithBody(bytes int) Option { return func(f *Front) { f.body = int64(bytes) } }

// WithTimeouts bounds the arrival of a request body and each write of an answer or token.
func WithTimeouts(read, write time.Duration) Option {
	return func(f *Front) { f.read, f.write = read, write }
}

// WithStatus sets the function whose result is served as the status of the host.
func WithStatus(status func() any) Option { return func(f *Front) { f.status = status } }

// WithLog sets the logger; the default writes nothing.
func WithLog(log logr.Logger) Option { return func(f *Front) { f.log = log } }

// WithKeys sets the issuer of command keys.
func WithKeys(keys Keys) Option { return func(f *Front) { f.keys = keys } }

// New returns a server for callers of the host self.
func New(self wire.Host, views *view.Holder, r Executor, metrics *metric.Metrics, options ...Option) *Front {
	f := &Front{self: self, views: views, runner: r, metrics: metrics, log: logr.Discard(), body: 1 << 20, read: readTimeout, write: writeTimeout, status: func() any { return nil }}
	for _, o := range options {
		o(f)
	}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = f.fault
	e.Use(f.release)
	e.GET(wire.PathAddresses, f.addresses)
	e.GET(wire.PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, f.status()) })
	e.GET(wire.PathConfig, f.config)
	e.POST(wire.PathPipelines+":pipeline", f.pipeline)
	f.server = &http.Server{Handler: e, ReadHeaderTimeout: readTimeout}
	return f
}

// Serve serves on the listener until Shutdown; its end is reported on done.
func (f *Front) Serve(listener net.Listener, done chan<- error) {
	err := f.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	done <- Error.Wrap(err)
}

// Close ends the server and cuts off all running requests.
func (f *Front) Close() error { return Error.Wrap(f.server.Close()) }

// Shutdown waits for running requests to end and stops the server.
func (f *Front) Shutdown(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	return f.server.Shutdown(ctx)
}

// release is run before each handler. It ends each connection with its next answer while the host drains, so that no
// caller sends a request on a kept connection at the moment when the server closes it.
func (f *Front) release(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		// The deadline of the answer before on the same connection may have passed.
		f.limitWrite(c)
		if f.views.Load().Refusal() == reason.Draining {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// fault answers requests that match no route.
func (f *Front) fault(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	_ = f.refuse(c, wire.Answer{Detail: err.Error()}, reason.UnknownEndpoint)
}

func (f *Front) addresses(c echo.Context) error {
	v := f.views.Load()
	answer := wire.Addresses{Lifetime: Lifetime.Milliseconds()}
	first := ""
	if keys, lifetime := f.issue(v, c.QueryParam("workspace"), c.QueryParam("keys")); len(keys) > 0 {
		answer.Keys, answer.Expiry = keys, lifetime.Milliseconds()
		first = f.self.Host
	}
	answer.Hosts = f.choose(v, c.QueryParam("zone"), first)
	return c.JSON(http.StatusOK, answer)
}

// choose returns the hosts for a caller in the zone; this host's own if it names none. A
// host that issues keys comes first, because it owns them.
func (f *Front) choose(v *view.View, zone, first string) (hosts []wire.Host) {
	if zone == "" {
		zone = f.self.Zone
	}
	random := randv2.New(randv2.NewPCG(randv2.Uint64(), randv2.Uint64()))
	for _, h := range hostselect.Choose(random, zone, first, v.Hosts()) {
		hosts = append(hosts, wire.Host{Host: h.Host, Address: h.Address, Zone: h.Zone})
	}
	return hosts
}

// config answers with the configuration in force, in the shape that the platform gives it.
func (f *Front) config(c echo.Context) error {
	v := f.views.Load()
	if v.Document() == nil {
		return f.refuse(c, wire.Answer{}, v.Refusal())
	}
	c.Response().Header().Set(wire.HeaderVersion, strconv.FormatUint(v.Version().Number(), 10))
	return c.Blob(http.StatusOK, echo.MIMETextPlainCharsetUTF8, v.Document().Raw())
}

// issue returns the keys that an address request asks for; none if the host does not
// serve or the workspace is not published.
func (f *Front) issue(v *view.View, workspace, number string) (keys []string, lifetime time.Duration) {
	n, err := strconv.Atoi(number)
	if err != nil || n <= 0 || f.keys == nil || v.Refusal() != reason.None {
		return nil, 0
	}
	if _, ok := v.Document().Workspace(workspace); !ok {
		return nil, 0
	}
	return f.keys.Issue(workspace, n)
}

func (f *Front) pipeline(c echo.Context) error {
	answer := wire.Answer{Request: newRequestID()}
	request, p, why, detail := f.admit(c)
	if why != reason.None {
		answer.Detail = detail
		return f.refuseRequest(c, answer, why, request)
	}
	if strings.Contains(c.Request().Header.Get("Accept"), wire.ContentTypeEvents) {
		return f.stream(c, runner.NewJob(answer.Request, p, request, nil))
	}
	answer = f.runner.Run(c.Request().Context(), runner.NewJob(answer.Request, p, request, nil))
	return f.end(c, answer)
}

// admit reads and checks the request against the configuration in force. A draining host
// still takes requests of callers whose address answer is older than the drain. It runs
// the commands of its own keys too, since no other host may, until the owner stops.
func (f *Front) admit(c echo.Context) (request wire.Request, p config.Pipeline, why reason.Reason, detail string) {
	v := f.views.Load()
	request, why, detail = f.decode(c)
	draining := v.Refusal() == reason.Draining && v.Document() != nil
	if v.Refusal() != reason.None && !draining {
		return request, p, v.Refusal(), ""
	}
	p, ok := v.Document().Pipeline(c.Param("pipeline"))
	// The owner of a key answers resends of its command under any preset.
	resend := ok && p.Command() && request.Key != ""
	if preset := v.Document().ActivePreset(); !preset.AcceptsRequests() && !resend {
		return request, p, reason.PresetClosed, preset.Name()
	}
	if why != reason.None {
		return request, p, why, detail
	}
	if !ok {
		return request, p, reason.UnknownPipeline, c.Param("pipeline")
	}
	if _, ok := v.Document().Workspace(request.Workspace); !ok {
		return request, p, reason.UnknownWorkspace, request.Workspace
	}
	why, detail = check(request, p)
	return request, p, why, detail
}

func (f *Front) decode(c echo.Context) (request wire.Request, why reason.Reason, detail string) {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(f.read))
	// Without a deadline again, or the server would take the silence of a caller that waits
	// for its answer for a closed connection.
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	return Decode(http.MaxBytesReader(c.Response(), c.Request().Body, f.body))
}

func check(request wire.Request, p config.Pipeline) (why reason.Reason, detail string) {
	limit := p.Deadline().Milliseconds()
	switch {
	case len(request.Input) == 0:
		return reason.InvalidField, "input is missing"
	case request.Deadline < 0 || request.Deadline > limit:
		return reason.InvalidField, fmt.Sprintf("deadline must be 0 to %d ms", limit)
	case request.Size < 0:
		return reason.InvalidField, "size must not be negative"
	case p.Command() && request.Key == "":
		return reason.MissingKey, "the pipeline has a stage that may not be repeated"
	}
	return reason.None, ""
}

// refuseRequest refuses a request before it reaches the owner of its key. If it carries a
// key whose command may have run before, this host cannot say that it did not run.
func (f *Front) refuseRequest(c echo.Context, answer wire.Answer, why reason.Reason, request wire.Request) error {
	answer.Outcome = why.Entry().Outcome().String()
	answer.Reason = why.String()
	if request.Key != "" && f.command(c.Param("pipeline")) && (f.keys == nil || !f.keys.Fresh(c.Param("pipeline"), request)) {
		answer.Outcome = outcome.Unknown.String()
	}
	return f.end(c, answer)
}

// command reports whether the pipeline may have a command stage. It may have one in
// another configuration if this host's configuration does not have the pipeline.
func (f *Front) command(pipeline string) bool {
	doc := f.views.Load().Document()
	if doc == nil {
		return true
	}
	p, ok := doc.Pipeline(pipeline)
	return !ok || p.Command()
}

func (f *Front) refuse(c echo.Context, answer wire.Answer, why reason.Reason) error {
	answer.Outcome = why.Entry().Outcome().String()
	answer.Reason = why.String()
	return f.end(c, answer)
}

// end counts the answer and writes it.
func (f *Front) end(c echo.Context, answer wire.Answer) error {
	f.limitWrite(c)
	return c.JSON(f.count(answer), answer)
}

// limitWrite bounds the writes from now on.
func (f *Front) limitWrite(c echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(f.write))
}

// count raises the counters of the answer and returns its HTTP status.
func (f *Front) count(answer wire.Answer) int {
	o, _ := outcome.Parse(answer.Outcome)
	f.metrics.CountOutcome(o)
	why, ok := reason.Parse(answer.Reason)
	if !ok {
		return http.StatusOK
	}
	f.metrics.CountRefusal(why)
	event.Log(f.log, event.RequestRefused, "request", answer.Request, "reason", answer.Reason, "outcome", answer.Outcome, "detail", answer.Detail)
	return why.Entry().Status()
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
