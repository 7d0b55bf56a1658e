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
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("target")

const (
	maxAnswer   = 16 << 20 // bytes
	dialTimeout = time.Second
	// idleTimeout is short because a connection that was idle for long may have been
	// forgotten by something between the two ends.
	idleTimeout = 10 * time.Second
	maxIdle     = 64 // connections per target
)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	client *http.Client
	// fresh opens a new connection for each call.
	fresh *http.Client
	clock func() time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithClock sets the clock by which deadlines of commands are checked. It must be
// monotonic.
func WithClock(clock func() time.Duration) Option { return func(c *Client) { c.clock = clock } }

// New returns a client. Without WithClock, its clock starts now.
func New(options ...Option) *Client {
	start := time.Now()
	transport := &http.Transport{
		DialContext:         dialer().DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
	fresh := &http.Transport{DialContext: dialer().DialContext, DisableKeepAlives: true}
	c := &Client{client: &http.Client{Transport: transport}, fresh: &http.Client{Transport: fresh}, clock: func() time.Duration { return time.Since(start) }}
	for _, o := range options {
		o(c)
	}
	return c
}

// Reply is the checked end of one call.
type Reply struct {
	end    schedule.CallStatus
	output json.RawMessage
	load   wire.Load
	tokens int
	detail string
	// sent is true if a byte of a command was written.
	sent bool
	// refusal says why a command was not sent; None if it was sent.
	refusal reason.Reason
}

// End returns how the call ended.
func (r Reply) End() schedule.CallStatus { return r.end }

// Output returns the output of a completed call.
func (r Reply) Output() json.RawMessage { return r.output }

// Load returns the load that came with the answer.
func (r Reply) Load() wire.Load { return r.load }

// Tokens returns the number of tokens of a streamed answer.
func (r Reply) Tokens() int { return r.tokens }

// Detail returns what the target said of a failure.
func (r Reply) Detail() string { return r.detail }

// Sent reports whether a byte of a command was written.
func (r Reply) Sent() bool { return r.sent }

// Refusal returns why a command was not sent, or None.
func (r Reply) Refusal() reason.Reason { return r.refusal }

// Fresh returns a client that opens a new connection for each call, for repeats of calls
// whose connection was silent or broke. Idle connections are closed, since what made one
// silent may have cut off all.
func (c *Client) Fresh() *Client {
	c.client.CloseIdleConnections()
	return &Client{client: c.fresh, fresh: c.fresh, clock: c.clock}
}

// Cancel tells the target at address to end an attempt. The connection of the attempt may
// be silent, so that closing it tells the target nothing.
func (c *Client) Cancel(ctx context.Context, address string, run wire.Run) (err error) {
	defer func() { err = Error.Wrap(err) }()
	url := fmt.Sprintf("http://%s%s/%s/%s/%d", address, wire.PathRun, run.Request, run.Stage, run.Attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	response, err := c.fresh.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Run calls the target at address. Tokens of a streamed answer are passed to each, which
// may be nil. The context carries the deadline.
func (c *Client) Run(ctx context.Context, address string, run wire.Run, each func(wire.Token) error) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	body, err := json.Marshal(run)
	if err != nil {
		return Reply{end: schedule.Rejected}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathRun, bytes.NewReader(body))
	if err != nil {
		return Reply{end: schedule.Rejected}, err
	}
	// Without GetBody the transport never sends a request twice.
	request.GetBody = nil
	request.Header.Set("Content-Type", wire.ContentTypeJSON)
	response, err := c.client.Do(request)
	if err != nil {
		return Reply{end: classify(ctx, err)}, err
	}
	defer func() { _ = response.Body.Close() }()
	reply, err = read(response, run, each)
	if err != nil {
		reply.end = classify(ctx, err)
	}
	return reply, err
}

// aliveTimeout bounds the question whether a target still answers. A target that went down
// refuses at once; the time limits the case that it vanished from the network.
const aliveTimeout = 250 * time.Millisecond

// Alive reports whether the target answers a request for its report on a new connection.
// Any answer counts; plain services need not have reports.
func (c *Client) Alive(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wire.PathReport, nil)
	if err != nil {
		return false
	}
	response, err := c.Fresh().client.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

// errCrossed is the class of answers to other calls.
var errCrossed = errs.Class("crossed")

// classify tells a silent target, a refused or broken connection, an answer that cannot be
// used and a cancelled call from each other.
func classify(ctx context.Context, err error) schedule.CallStatus {
	if errors.Is(ctx.Err(), context.Canceled) {
		return schedule.Cancelled
	}
	var timeout interface{ Timeout() bool }
	if ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return schedule.TimedOut
	}
	var operation *net.OpError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return schedule.ConnectFailed
	case errors.As(err, &syntax), errCrossed.Has(err):
		return schedule.BadResponse
	}
	return schedule.Crashed
}

// check turns an answer into a reply, or an error if it belongs to another call.
func check(ran wire.RunResult, run wire.Run) (reply Reply, err error) {
	if ran.Request != run.Request || ran.Stage != run.Stage || ran.Attempt != run.Attempt {
		return Reply{}, errCrossed.New("answer of request %s stage %s attempt %d came for request %s stage %s attempt %d",
			ran.Request, ran.Stage, ran.Attempt, run.Request, run.Stage, run.Attempt)
	}
	reply = Reply{output: ran.Output, load: ran.Load, detail: ran.Detail, end: schedule.Rejected}
	o, ok := outcome.Parse(ran.Outcome)
	switch {
	case ok && o == outcome.Done:
		reply.end = schedule.Completed
	case ok && o == outcome.NotRun:
		reply.end = schedule.Busy
	}
	return reply, nil
}
