package callerapi

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

// AddressTTL is how long callers may use an address answer.
const AddressTTL = 5 * time.Second

const (
	// readTimeout bounds the arrival of the headers, and separately of the body, of a request, so
	// that an unresponsive caller does not delay a graceful shutdown.
	readTimeout = 10 * time.Second
	// writeTimeout bounds each write of an answer or token for the same reason. It is longer
	// because a caller may be slow to read a long answer.
	writeTimeout = 30 * time.Second
)

// Runner runs a request to its end and returns its answer.
type Runner interface {
	Run(ctx context.Context, request runner.Request) wire.Answer
}

// KeyIssuer issues command keys and knows which of them are unused.
type KeyIssuer interface {
	// Issue returns up to n keys for the workspace and how long they are valid.
	Issue(workspace string, n int) (keys []string, lifetime time.Duration)
	// NeverBegun reports whether it is certain that the command of the request's key has not
	// begun.
	NeverBegun(pipeline string, request wire.Request) bool
}

// Server is the HTTP server for callers.
type Server struct {
	server  *http.Server
	views   *view.Holder
	runner  Runner
	metrics *metric.Metrics
	log     logr.Logger
	status  func() any
	maxBody int64
	// readTimeout bounds the arrival of a body, and writeTimeout each write.
	readTimeout, writeTimeout time.Duration
	self                      wire.Host
	// keys is nil if the host issues no keys.
	keys KeyIssuer
}

// Option configures a Server.
type Option func(*Server)

// WithMaxBody sets the maximum size of request bodies in bytes; the default is 1 MiB.
func WithMaxBody(bytes int) Option { return func(s *Server) { s.maxBody = int64(bytes) } }

// WithTimeouts sets the timeouts of the arrival of a request body and of each write of an answer
// or token.
func WithTimeouts(read, write time.Duration) Option {
	return func(s *Server) { s.readTimeout, s.writeTimeout = read, write }
}

// WithStatus sets the function whose result is served as the status of the host.
func WithStatus(status func() any) Option { return func(s *Server) { s.status = status } }

// WithLog sets the logger; the default discards all messages.
func WithLog(log logr.Logger) Option { return func(s *Server) { s.log = log } }

// WithKeys sets the issuer of command keys.
func WithKeys(keys KeyIssuer) Option { return func(s *Server) { s.keys = keys } }

// New returns a Server for callers of the host self.
func New(self wire.Host, views *view.Holder, r Runner, metrics *metric.Metrics, options ...Option) *Server {
	s := &Server{self: self, views: views, runner: r, metrics: metrics, log: logr.Discard(), maxBody: 1 << 20, readTimeout: readTimeout, writeTimeout: writeTimeout, status: func() any { return nil }}
	for _, o := range options {
		o(s)
	}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleHTTPError
	e.Use(s.prepareConn)
	e.GET(wire.PathAddresses, s.handleAddresses)
	e.GET(wire.PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, s.status()) })
	e.GET(wire.PathConfig, s.handleConfig)
	e.POST(wire.PathPipelines+":pipeline", s.handlePipeline)
	s.server = &http.Server{Handler: e, ReadHeaderTimeout: readTimeout}
	return s
}

// Serve serves on the listener until Shutdown or Close and then sends its error on done.
func (s *Server) Serve(listener net.Listener, done chan<- error) {
	err := s.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	done <- Error.Wrap(err)
}

// Close stops the server and cuts off all running requests.
func (s *Server) Close() error { return Error.Wrap(s.server.Close()) }

// Shutdown waits for running requests to end and stops the server.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	return s.server.Shutdown(ctx)
}

// prepareConn is middleware that runs before each handler. While the host drains, it closes each
// connection after its next answer, so that no caller sends a request on a keep-alive connection
// that the server is about to close.
func (s *Server) prepareConn(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		// The write deadline of the previous answer on the connection may have passed.
		s.extendWriteDeadline(c)
		if s.views.Load().Refusal() == reason.Draining {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// handleHTTPError refuses requests that match no route.
func (s *Server) handleHTTPError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	_ = s.refuse(c, wire.Answer{Detail: err.Error()}, reason.UnknownEndpoint)
}

func (s *Server) handleAddresses(c echo.Context) error {
	v := s.views.Load()
	answer := wire.Addresses{Lifetime: AddressTTL.Milliseconds()}
	first := ""
	if keys, lifetime := s.issueKeys(v, c.QueryParam("workspace"), c.QueryParam("keys")); len(keys) > 0 {
		answer.Keys, answer.Expiry = keys, lifetime.Milliseconds()
		first = s.self.Host
	}
	answer.Hosts = s.chooseHosts(v, c.QueryParam("zone"), first)
	return c.JSON(http.StatusOK, answer)
}

// chooseHosts returns the hosts for a caller in the zone; if it names no zone, this host's zone is
// used. If this host issues keys with the answer, first is its name, because it is their owner.
func (s *Server) chooseHosts(v *view.View, zone, first string) (hosts []wire.Host) {
	if zone == "" {
		zone = s.self.Zone
	}
	random := randv2.New(randv2.NewPCG(randv2.Uint64(), randv2.Uint64()))
	for _, h := range hostselect.Choose(random, zone, first, v.Hosts()) {
		hosts = append(hosts, wire.Host{Host: h.Host, Address: h.Address, Zone: h.Zone})
	}
	return hosts
}

// handleConfig answers with the configuration in force, in the format of the platform.
func (s *Server) handleConfig(c echo.Context) error {
	v := s.views.Load()
	if v.Document() == nil {
		return s.refuse(c, wire.Answer{}, v.Refusal())
	}
	c.Response().Header().Set(wire.HeaderVersion, strconv.FormatUint(v.Version().Number(), 10))
	return c.Blob(http.StatusOK, echo.MIMETextPlainCharsetUTF8, v.Document().Raw())
}

// issueKeys returns the command keys that an address request asks for, or none if the host does
// not serve or the configuration does not contain the workspace.
func (s *Server) issueKeys(v *view.View, workspace, number string) (keys []string, lifetime time.Duration) {
	n, err := strconv.Atoi(number)
	if err != nil || n <= 0 || s.keys == nil || v.Refusal() != reason.None {
		return nil, 0
	}
	if _, ok := v.Document().Workspace(workspace); !ok {
		return nil, 0
	}
	return s.keys.Issue(workspace, n)
}

func (s *Server) handlePipeline(c echo.Context) error {
	answer := wire.Answer{Request: newRequestID()}
	request, p, why, detail := s.admit(c)
	if why != reason.None {
		answer.Detail = detail
		return s.refuseRequest(c, answer, why, request)
	}
	if strings.Contains(c.Request().Header.Get("Accept"), wire.ContentTypeEvents) {
		return s.stream(c, runner.NewRequest(answer.Request, p, request, nil))
	}
	answer = s.runner.Run(c.Request().Context(), runner.NewRequest(answer.Request, p, request, nil))
	return s.respond(c, answer)
}

// admit reads the request and validates it against the configuration in force. A draining host
// still takes requests of callers whose address answer is older than the drain. It also runs the
// commands of its own keys, since no other host may, until its owner.Owner stops accepting them.
func (s *Server) admit(c echo.Context) (request wire.Request, p config.Pipeline, why reason.Reason, detail string) {
	v := s.views.Load()
	request, why, detail = s.decode(c)
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
	if why, detail = validate(request, p); why != reason.None {
		return request, p, why, detail
	}
	// The owner of a key decides on its command: it may have run already.
	if timeout := runner.NewRequest("", p, request, nil).Timeout(); !p.Command() && !v.Outlasts(timeout) {
		return request, p, reason.Draining, ""
	}
	return request, p, reason.None, ""
}

func (s *Server) decode(c echo.Context) (request wire.Request, why reason.Reason, detail string) {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(s.readTimeout))
	// The deadline is cleared again: otherwise the server would treat the connection of a caller
	// that waits for its answer as closed.
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	return Decode(http.MaxBytesReader(c.Response(), c.Request().Body, s.maxBody))
}

func validate(request wire.Request, p config.Pipeline) (why reason.Reason, detail string) {
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

// refuseRequest refuses a request before it reaches the owner of its key. If the request carries
// a key whose command may already have run, the outcome is unknown instead of not-run.
func (s *Server) refuseRequest(c echo.Context, answer wire.Answer, why reason.Reason, request wire.Request) error {
	answer.Outcome = why.Entry().Outcome().String()
	answer.Reason = why.String()
	if request.Key != "" && s.mayBeCommand(c.Param("pipeline")) && (s.keys == nil || !s.keys.NeverBegun(c.Param("pipeline"), request)) {
		answer.Outcome = outcome.Unknown.String()
	}
	return s.respond(c, answer)
}

// mayBeCommand reports whether the pipeline may have a command stage. A pipeline that is missing
// from this host's configuration may have one in another configuration.
func (s *Server) mayBeCommand(pipeline string) bool {
	doc := s.views.Load().Document()
	if doc == nil {
		return true
	}
	p, ok := doc.Pipeline(pipeline)
	return !ok || p.Command()
}

func (s *Server) refuse(c echo.Context, answer wire.Answer, why reason.Reason) error {
	answer.Outcome = why.Entry().Outcome().String()
	answer.Reason = why.String()
	return s.respond(c, answer)
}

// respond counts the answer and writes it.
func (s *Server) respond(c echo.Context, answer wire.Answer) error {
	s.extendWriteDeadline(c)
	return c.JSON(s.count(answer), answer)
}

// extendWriteDeadline sets the write deadline of the connection to writeTimeout from now.
func (s *Server) extendWriteDeadline(c echo.Context) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(s.writeTimeout))
}

// count increments the counters of the answer and returns its HTTP status.
func (s *Server) count(answer wire.Answer) int {
	o, _ := outcome.Parse(answer.Outcome)
	s.metrics.CountOutcome(o)
	why, ok := reason.Parse(answer.Reason)
	if !ok {
		return http.StatusOK
	}
	s.metrics.CountRefusal(why)
	event.Log(s.log, event.RequestRefused, "request", answer.Request, "reason", answer.Reason, "outcome", answer.Outcome, "detail", answer.Detail)
	return why.Entry().Status()
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
