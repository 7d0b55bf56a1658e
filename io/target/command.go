package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/schedule"
	"sassafrasward/io/headcheck"
	"sassafrasward/io/wire"
)

// maxPause is the maximum time between the two clock readings before the write of a command.
// Encoding the request takes microseconds; a longer time means that the process was paused and
// its state may be stale. 100 ms leaves room for a busy machine.
const maxPause = 100 * time.Millisecond

// Command calls the target at address once, for a stage that may not be repeated. The deadline is
// a time on the client's clock.
//
// The call uses a new connection: a network device may have dropped the state of an idle one, and
// then it could not be known whether the target received the command. The deadline and the time
// between two clock readings are checked right before the write. If the reply is not Sent, the
// command certainly did not reach the target, and Refusal is the reason.
func (c *Client) Command(ctx context.Context, address string, run wire.Run, deadline time.Duration) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	conn, err := dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return notConnected(ctx, err), err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()

	checked := c.clock()
	run.Deadline = (deadline - checked).Milliseconds()
	request, raw, err := encodeRequest(address, run)
	if err != nil {
		return notSent(schedule.Cancelled, reason.Malformed), err
	}
	now := c.clock()
	switch {
	case run.Deadline <= 0 || now >= deadline:
		return notSent(schedule.Cancelled, reason.DeadlineExceeded), errs.New("the deadline passed before the write")
	case now-checked > maxPause:
		return notSent(schedule.Cancelled, reason.HostPaused), errs.New("paused for %s before the write", now-checked)
	}
	n, err := conn.Write(raw)
	if err != nil && n == 0 {
		return notConnected(ctx, err), err
	}
	reply = Reply{status: schedule.Crashed, sent: true}
	if err != nil {
		reply.status = lostAnswerStatus(ctx, err)
		return reply, err
	}
	response, err := readHead(headcheck.NewConn(conn), request)
	if err != nil {
		reply.status = lostAnswerStatus(ctx, err)
		return reply, err
	}
	// The body is not closed, because that would read it to its end; the connection is.
	return readCommandAnswer(ctx, response, run)
}

// readHead reads the head of an answer, which has at most maxHeadBytes. The body is not limited.
func readHead(conn io.Reader, request *http.Request) (response *http.Response, err error) {
	limited := &io.LimitedReader{R: conn, N: maxHeadBytes}
	response, err = http.ReadResponse(bufio.NewReader(limited), request)
	if err != nil && limited.N <= 0 {
		return nil, errs.New("the head of the answer has more than %d bytes", maxHeadBytes)
	}
	limited.N = math.MaxInt64
	return response, err
}

// lostAnswerStatus returns the status of a command without a usable answer. An invalid answer says
// as little about the command as a broken connection, so both count as crashed.
func lostAnswerStatus(ctx context.Context, err error) schedule.CallStatus {
	if status := classify(ctx, err); status != schedule.BadResponse {
		return status
	}
	return schedule.Crashed
}

func notSent(status schedule.CallStatus, why reason.Reason) Reply {
	return Reply{status: status, refusal: why}
}

// notConnected returns the reply of a command of which no byte was written, because the connection
// could not be opened or broke first.
func notConnected(ctx context.Context, err error) Reply {
	if ctx.Err() != nil {
		return notSent(classify(ctx, err), reason.DeadlineExceeded)
	}
	return notSent(classify(ctx, err), reason.Crashed)
}

// encodeRequest returns the HTTP request of a call and its bytes, so that only the write is left
// after the last check.
func encodeRequest(address string, run wire.Run) (request *http.Request, raw []byte, err error) {
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

// readCommandAnswer reads the answer to a command. The outcome done counts only with a 2xx status
// and not-run only with status 503; failed counts with any status. Any other answer leaves open
// whether the command ran.
func readCommandAnswer(ctx context.Context, response *http.Response, run wire.Run) (reply Reply, err error) {
	var ran wire.RunResult
	if reply, ran, err = readJSON(response.Body, run); err != nil {
		return Reply{status: lostAnswerStatus(ctx, err), sent: true}, err
	}
	reply.sent = true
	o, ok := outcome.Parse(ran.Outcome)
	switch {
	case ok && o == outcome.Done && response.StatusCode/100 == 2:
	case ok && o == outcome.NotRun && response.StatusCode == http.StatusServiceUnavailable:
	case ok && o == outcome.Failed:
	default:
		return Reply{status: schedule.Crashed, sent: true, load: reply.load},
			errs.New("status %d with outcome %q does not say whether the command ran", response.StatusCode, ran.Outcome)
	}
	return reply, nil
}
