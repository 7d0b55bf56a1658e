package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sassafrasward/core/reason"
)

const (
	// bodyTimeout is how long a caller may take to send the request body.
	bodyTimeout = 10 * time.Second
	// lingerTime is how long the rest of a refused body is read and discarded, so that a caller that sends
	// its whole request before it reads gets the response. lingerBytes is how much of it is read if the body is
	// over the limit; callers inside the limit are read to the limit.
	lingerTime  = 2 * time.Second
	lingerBytes = 256 << 10
	// firstPart is the size in bytes of the first buffer for a body of unknown length, middlePart that of the
	// second one and the largest first one, and largePart that of all others. Small requests need one or
	// two, and a large body leaves at most one partly filled.
	firstPart  = 4 << 10
	middlePart = 16 << 10
	largePart  = 64 << 10
)

// errNoMemory is returned for a body for which there is no memory, errOverLimit for one that is larger than
// the configuration allows.
var (
	errNoMemory  = errors.New("no memory for the request body")
	errOverLimit = errors.New("request body over the limit")
)

// body is the body of a request in the parts in which it was read, so that a growing body is never copied. It
// is nil for a request without one.
type body [][]byte

// first returns the first part, nil without a body.
func (b body) first() []byte {
	if len(b) == 0 {
		return nil
	}
	return b[0]
}

// rest returns the parts after the first one.
func (b body) rest() [][]byte {
	if len(b) == 0 {
		return nil
	}
	return b[1:]
}

// readBody reads the whole body, so that the request can be retried. It writes the response to a request
// whose body is refused.
func (x *exchange) readBody(limit int) bool {
	if x.r.ContentLength == 0 {
		x.bodyRead = true
		if x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
			x.body = body{{}}
		}
		return true
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	controller := http.NewResponseController(x.w)
	// A connection that doesn't support deadlines is read without one.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	err := x.readParts(int64(limit))
	if err == nil && !x.conn.finishBody() || errors.Is(err, os.ErrDeadlineExceeded) && x.conn.isEvicted() {
		err = errNoMemory
	}
	switch {
	case errors.Is(err, errOverLimit):
		x.refuseBody(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, 0, lingerBytes)
		return false
	case errors.Is(err, errNoMemory):
		x.refuseBody(http.StatusServiceUnavailable, reason.MemoryLow, memoryRetryAfter, int64(limit))
		return false
	case err != nil:
		x.why, x.detail = reason.CallerGone, err.Error()
		panic(http.ErrAbortHandler) // the caller stopped sending the body
	}
	x.bodyRead = true
	// Reset the deadline; otherwise the server's background read would hit it while the caller
	// waits for the response, and treat the connection as closed.
	_ = controller.SetReadDeadline(time.Time{})
	return true
}

// readParts reads the body into parts that are allocated as it arrives, whatever length was announced.
func (x *exchange) readParts(limit int64) (err error) {
	length := x.r.ContentLength
	if length > limit {
		return errOverLimit
	}
	x.body = body{}
	for read, full := int64(0), true; full; {
		size := partSize(read, length)
		if length > 0 {
			size = min(size, length-read)
		}
		size = min(size, limit+1-read) // one byte more, to see that there is one
		if !x.conn.reserve(read, size) {
			return errNoMemory
		}
		part := make([]byte, size)
		n, err := readPart(x.r.Body, part)
		read += int64(n)
		x.body = append(x.body, part[:n])
		switch {
		case read > limit:
			return errOverLimit
		case err != nil && !errors.Is(err, io.EOF):
			return err
		}
		full = err == nil && read != length
	}
	return nil
}

// partSize returns the size of the buffer after the first bytes of a body whose length is negative if unknown.
func partSize(read, length int64) int64 {
	switch {
	case read == 0 && length < 0:
		return firstPart
	case read < middlePart:
		return middlePart
	}
	return largePart
}

// readPart reads until the part is full or the body ends. Unlike io.ReadFull, it returns io.EOF at the end only,
// so that a connection that was cut in the middle of a body is not taken for its end.
func readPart(r io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var more int
		more, err = r.Read(part[n:])
		n += more
	}
	return n, err
}

// refuseBody refuses the request while its body is being read. The response is sent at once; then the rest of
// the body is discarded, at most the given number of bytes for lingerTime, and the connection is closed.
func (x *exchange) refuseBody(status int, why reason.Reason, retry time.Duration, rest int64) {
	x.body = nil
	x.conn.startClosing()
	x.w.Header().Set("Connection", "close")
	x.refuse(status, why, retry)
	if http.NewResponseController(x.w).Flush() != nil {
		return // the caller has gone
	}
	// A body whose reading was interrupted can't be read on; the bytes are read from the connection then.
	if _, err := io.CopyN(io.Discard, x.r.Body, rest); err != nil && !errors.Is(err, io.EOF) {
		x.conn.discard(rest)
	}
}

// boundRest bounds the time for which the server reads the rest of a body that was not read.
func (x *exchange) boundRest() {
	if x.bodyRead || x.r.ContentLength == 0 {
		return
	}
	// A connection that doesn't support deadlines is read without one.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(lingerTime))
}

// dropBody releases the body of the request, which no attempt needs any more.
func (x *exchange) dropBody() {
	// The memory of a body in one part is released with the request.
	if len(x.body) > 1 {
		x.conn.dropBody()
	}
	x.body = nil
}
