package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/headcheck"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("target")

const (
	maxAnswerBytes = 16 << 20 // bytes
	dialTimeout    = time.Second
	// idleTimeout is short because a network device between the two ends may have dropped the
	// state of a connection that was idle for long.
	idleTimeout  = 10 * time.Second
	maxIdleConns = 64 // connections per target
)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	client *http.Client
	// noKeepAlive opens a new connection for each call.
	noKeepAlive *http.Client
	clock       func() time.Duration
}

// Option configures a Client.
type Option func(*Client)

// maxHeadBytes is the maximum size of the headers of an answer.
const maxHeadBytes = 64 << 10

// WithClock sets the clock against which the deadlines of commands are checked. It must be
// monotonic.
func WithClock(clock func() time.Duration) Option { return func(c *Client) { c.clock = clock } }

// New returns a Client. Without WithClock, its clock starts at zero.
func New(options ...Option) *Client {
	start := time.Now()
	transport := &http.Transport{
		DialContext:         dialer().DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	noKeepAlive := &http.Transport{DialContext: dialer().DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	c := &Client{
		client: &http.Client{Transport: headcheck.NewTransport(transport)}, noKeepAlive: &http.Client{Transport: headcheck.NewTransport(noKeepAlive)},
		clock: func() time.Duration { return time.Since(start) },
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Reply is the result of one call, after its answer was checked to belong to the call.
type Reply struct {
	status schedule.CallStatus
	output json.RawMessage
	load   wire.Load
	tokens int
	detail string
	// sent is true if a byte of a command was written.
	sent bool
	// refusal is the reason why a command was not sent; None if it was sent.
	refusal reason.Reason
}

// Status returns how the call ended.
func (r Reply) Status() schedule.CallStatus { return r.status }

// Output returns the output of a completed call.
func (r Reply) Output() json.RawMessage { return r.output }

// Load returns the load that came with the answer.
func (r Reply) Load() wire.Load { return r.load }

// Tokens returns the number of tokens of a streamed answer.
func (r Reply) Tokens() int { return r.tokens }

// Detail returns the target's description of a failure.
func (r Reply) Detail() string { return r.detail }

// Sent reports whether a byte of a command was written.
func (r Reply) Sent() bool { return r.sent }

// Refusal returns the reason why a command was not sent, or None.
func (r Reply) Refusal() reason.Reason { return r.refusal }

// WithoutKeepAlives closes all idle connections and returns a client that opens a new connection
// for each call. It is used to retry calls whose connection was unresponsive or broke, since the
// same network fault may have broken the idle connections.
func (c *Client) WithoutKeepAlives() *Client {
	c.client.CloseIdleConnections()
	return &Client{client: c.noKeepAlive, noKeepAlive: c.noKeepAlive, clock: c.clock}
}

// Cancel tells the target at address to end an attempt. Closing the connection of the attempt is
// not enough: if the network drops its packets, the target does not notice.
func (c *Client) Cancel(ctx context.Context, address string, run wire.Run) (err error) {
	defer func() { err = Error.Wrap(err) }()
	url := fmt.Sprintf("http://%s%s/%s/%s/%d", address, wire.PathRun, run.Request, run.Stage, run.Attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	response, err := c.noKeepAlive.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Run calls the target at address. Tokens of a streamed answer are passed to onToken, which may
// be nil. The context carries the deadline.
func (c *Client) Run(ctx context.Context, address string, run wire.Run, onToken func(wire.Token) error) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	body, err := json.Marshal(run)
	if err != nil {
		return Reply{status: schedule.Rejected}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathRun, bytes.NewReader(body))
	if err != nil {
		return Reply{status: schedule.Rejected}, err
	}
	// Without GetBody the transport cannot resend the request by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", wire.ContentTypeJSON)
	response, err := c.client.Do(request)
	if err != nil {
		return Reply{status: classify(ctx, err)}, err
	}
	defer func() { _ = response.Body.Close() }()
	reply, err = readResponse(response, run, onToken)
	if err != nil {
		reply.status = classify(ctx, err)
	}
	return reply, err
}

// aliveTimeout bounds the check whether a target still answers. The host of a crashed target
// refuses the connection at once; the timeout is for a target that the network no longer reaches.
const aliveTimeout = 250 * time.Millisecond

// Alive reports whether the target answers a request for its report on a new connection. Any HTTP
// answer counts, because plain services need not have reports.
func (c *Client) Alive(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wire.PathReport, nil)
	if err != nil {
		return false
	}
	response, err := c.WithoutKeepAlives().client.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

// errMismatch is the class of errors about an answer that belongs to another call.
var errMismatch = errs.Class("crossed")

// classify returns the status of a call that failed with err: cancelled, timed out, not
// connected, answered with an invalid response, or crashed (any other broken connection).
func classify(ctx context.Context, err error) schedule.CallStatus {
	if errors.Is(ctx.Err(), context.Canceled) {
		return schedule.Cancelled
	}
	var timeout interface{ Timeout() bool }
	if ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return schedule.TimedOut
	}
	var opError *net.OpError
	var syntaxError *json.SyntaxError
	switch {
	case errors.As(err, &opError) && opError.Op == "dial":
		return schedule.ConnectFailed
	case errors.As(err, &syntaxError), errMismatch.Has(err):
		return schedule.BadResponse
	}
	return schedule.Crashed
}

// newReply converts an answer into a Reply. It returns an error if the answer belongs to another
// call.
func newReply(ran wire.RunResult, run wire.Run) (reply Reply, err error) {
	if ran.Request != run.Request || ran.Stage != run.Stage || ran.Attempt != run.Attempt {
		return Reply{}, errMismatch.New("answer of request %s stage %s attempt %d came for request %s stage %s attempt %d",
			ran.Request, ran.Stage, ran.Attempt, run.Request, run.Stage, run.Attempt)
	}
	reply = Reply{output: ran.Output, load: ran.Load, detail: ran.Detail, status: schedule.Rejected}
	o, ok := outcome.Parse(ran.Outcome)
	switch {
	case ok && o == outcome.Done:
		reply.status = schedule.Completed
	case ok && o == outcome.NotRun:
		reply.status = schedule.Busy
	}
	return reply, nil
}
