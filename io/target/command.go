package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/wire"
)

// maxPause is the longest time between the two clock readings before the write of a
// command. Composing the call takes microseconds; a longer time means that the process was
// paused and that what it knows is old. 100 ms leaves room for a busy machine.
const maxPause = 100 * time.Millisecond

// Command calls the target at address once, for a stage that may not be repeated. The
// deadline is a reading of the client's clock.
//
// The call goes over a new connection: an idle one may have been forgotten by something
// between the two ends, and whether the target then got the command could not be known.
// The deadline and the time between two clock readings are checked right before the
// write. A reply that is not Sent is certain not to have reached the target, and its
// Refusal says why.
func (c *Client) Command(ctx context.Context, address string, run wire.Run, deadline time.Duration) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	conn, err := dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return broken(ctx, err), err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()

	checked := c.clock()
	run.Deadline = (deadline - checked).Milliseconds()
	request, raw, err := compose(address, run)
	if err != nil {
		return unsent(schedule.Cancelled, reason.Malformed), err
	}
	now := c.clock()
	switch {
	case run.Deadline <= 0 || now >= deadline:
		return unsent(schedule.Cancelled, reason.DeadlineExceeded), errs.New("the deadline passed before the write")
	case now-checked > maxPause:
		return unsent(schedule.Cancelled, reason.HostPaused), errs.New("paused for %s before the write", now-checked)
	}
	n, err := conn.Write(raw)
	if err != nil && n == 0 {
		return broken(ctx, err), err
	}
	reply = Reply{end: schedule.Crashed, sent: true}
	if err != nil {
		reply.end = cut(ctx, err)
		return reply, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		reply.end = cut(ctx, err)
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	return settle(ctx, response, run)
}

// cut returns the end of a command whose answer did not arrive. An answer that cannot be
// used tells as little of the command as a broken connection.
func cut(ctx context.Context, err error) schedule.CallStatus {
	if end := classify(ctx, err); end != schedule.BadResponse {
		return end
	}
	return schedule.Crashed
}

func unsent(end schedule.CallStatus, why reason.Reason) Reply {
	return Reply{end: end, refusal: why}
}

// broken returns the reply of a call that could not be connected.
func broken(ctx context.Context, err error) Reply {
	if ctx.Err() != nil {
		return unsent(classify(ctx, err), reason.DeadlineExceeded)
	}
	return unsent(classify(ctx, err), reason.Crashed)
}

// compose returns the HTTP request of a call with its bytes, so that nothing but the write
// follows the last check.
func compose(address string, run wire.Run) (request *http.Request, raw []byte, err error) {
	body, err := json.Marshal(run)
	if err != nil {
		return nil, nil, err
	}
	request, err = http.NewRequest(http.MethodPost, "http://"+address+wire.PathRun, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Content-Type", wire.ContentTypeJSON)
	request.Close = true
	var b bytes.Buffer
	err = request.Write(&b)
	return request, b.Bytes(), err
}

// settle takes the answer to a command. Only a 2xx status makes it done and only status
// 503 makes it not run; each answer that states neither a success, a failure nor that
// promise leaves open whether the command ran.
func settle(ctx context.Context, response *http.Response, run wire.Run) (reply Reply, err error) {
	var ran wire.RunResult
	if reply, ran, err = readWhole(response.Body, run); err != nil {
		return Reply{end: cut(ctx, err), sent: true}, err
	}
	reply.sent = true
	o, ok := outcome.Parse(ran.Outcome)
	switch {
	case ok && o == outcome.Done && response.StatusCode/100 == 2:
	case ok && o == outcome.NotRun && response.StatusCode == http.StatusServiceUnavailable:
	case ok && o == outcome.Failed:
	default:
		return Reply{end: schedule.Crashed, sent: true, load: reply.load},
			errs.New("status %d with outcome %q does not say whether the command ran", response.StatusCode, ran.Outcome)
	}
	return reply, nil
}
