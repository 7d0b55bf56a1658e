package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"sassafrasward/core/address"
	"sassafrasward/core/document"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/metric"
	"sassafrasward/io/runner"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("front")

// lifetime is how long callers keep an address answer.
const lifetime = 5 * time.Second

const readTimeout = 10 * time.Second

// Executor runs a job to its end.
type Executor interface {
	Run(ctx context.Context, job runner.Job) wire.Answer
}

// Front is the HTTP server for callers.
type Front struct {
	server  *http.Server
	views   *view.Holder
	runner  Executor
	metrics *metric.Metrics
	status  func() any
	body    int64
	self    wire.Host
}

// Option configures a Front.
type Option func(*Front)

// WithBody bounds the size of request bodies in bytes.
func WithBody(bytes int) Option { return func(f *Front) { f.body = int64(bytes) } }

// WithStatus sets the function whose result is served as the status of the host.
func WithStatus(status func() any) Option { return func(f *Front) { f.status = status } }

// New returns a server for callers of the host self.
func New(self wire.Host, views *view.Holder, r Executor, metrics *metric.Metrics, options ...Option) *Front {
	f := &Front{self: self, views: views, runner: r, metrics: metrics, body: 1 << 20, status: func() any { return nil }}
	for _, o := range options {
		o(f)
	}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = f.fault
	e.GET(wire.PathAddresses, f.addresses)
	e.GET(wire.PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, f.status()) })
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

// Shutdown waits for running requests to end and stops the server.
func (f *Front) Shutdown(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	return f.server.Shutdown(ctx)
}

// fault answers requests that match no route.
func (f *Front) fault(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	_ = f.refuse(c, wire.Answer{Detail: err.Error()}, reason.Method)
}

func (f *Front) addresses(c echo.Context) error {
	v := f.views.Load()
	answer := wire.Addresses{Hosts: f.choose(c, v), Lifetime: lifetime.Milliseconds()}
	return c.JSON(http.StatusOK, answer)
}

// choose returns the hosts for the caller. A host that issues keys leads its answer,
// because it owns them.
func (f *Front) choose(c echo.Context, v *view.View) (hosts []wire.Host) {
	zone, first := c.QueryParam("zone"), ""
	if zone == "" {
		zone = f.self.Zone
	}
	if keys, err := strconv.Atoi(c.QueryParam("keys")); err == nil && keys > 0 {
		first = f.self.Host
	}
	random := randv2.New(randv2.NewPCG(randv2.Uint64(), randv2.Uint64()))
	for _, h := range address.Choose(random, zone, first, v.Hosts()) {
		hosts = append(hosts, wire.Host{Host: h.Host, Address: h.Address, Zone: h.Zone})
	}
	return hosts
}

func (f *Front) pipeline(c echo.Context) error {
	answer := wire.Answer{Request: newRequestID()}
	request, p, why, detail := f.admit(c)
	if why != reason.None {
		answer.Detail = detail
		return f.refuse(c, answer, why)
	}
	if strings.Contains(c.Request().Header.Get("Accept"), wire.ContentEvents) {
		return f.stream(c, runner.NewJob(answer.Request, p, request, nil))
	}
	answer = f.runner.Run(c.Request().Context(), runner.NewJob(answer.Request, p, request, nil))
	return f.end(c, answer)
}

// admit reads and checks the request against the configuration in force.
func (f *Front) admit(c echo.Context) (request wire.Request, p document.Pipeline, why reason.Reason, detail string) {
	v := f.views.Load()
	if v.Refusal() != reason.None {
		return request, p, v.Refusal(), ""
	}
	request, why, detail = f.decode(c)
	if why != reason.None {
		return request, p, why, detail
	}
	p, ok := v.Document().Pipeline(c.Param("pipeline"))
	if !ok {
		return request, p, reason.Pipeline, c.Param("pipeline")
	}
	if _, ok := v.Document().Workspace(request.Workspace); !ok {
		return request, p, reason.Workspace, request.Workspace
	}
	why, detail = check(request, p)
	return request, p, why, detail
}

func (f *Front) decode(c echo.Context) (request wire.Request, why reason.Reason, detail string) {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, f.body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return request, reason.None, ""
	case errors.As(err, &large):
		return request, reason.Oversize, fmt.Sprintf("the body is larger than %d bytes", f.body)
	case strings.Contains(err.Error(), "unknown field"):
		return request, reason.Field, err.Error()
	default:
		return request, reason.Malformed, err.Error()
	}
}

func check(request wire.Request, p document.Pipeline) (why reason.Reason, detail string) {
	limit := p.Deadline().Milliseconds()
	switch {
	case len(request.Input) == 0:
		return reason.Field, "input is missing"
	case request.Deadline < 0 || request.Deadline > limit:
		return reason.Field, fmt.Sprintf("deadline must be 0 to %d ms", limit)
	case request.Size < 0:
		return reason.Field, "size must not be negative"
	case p.Command() && request.Key == "":
		return reason.Keyless, "the pipeline has a stage that may not be repeated"
	}
	return reason.None, ""
}

func (f *Front) refuse(c echo.Context, answer wire.Answer, why reason.Reason) error {
	answer.Outcome = why.Rule().Outcome().String()
	answer.Reason = why.String()
	return f.end(c, answer)
}

// end counts the answer and writes it.
func (f *Front) end(c echo.Context, answer wire.Answer) error {
	return c.JSON(f.count(answer), answer)
}

// count raises the counters of the answer and returns its HTTP status.
func (f *Front) count(answer wire.Answer) int {
	o, _ := outcome.Parse(answer.Outcome)
	f.metrics.End(o)
	why, ok := reason.Parse(answer.Reason)
	if !ok {
		return http.StatusOK
	}
	f.metrics.Refuse(why)
	return why.Rule().Status()
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
