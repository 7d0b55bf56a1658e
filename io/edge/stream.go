package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sassafrasward/core/pick"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

// Errors of a response that its target ended in good order.
var (
	errEmptyStream = errors.New("stream ended without a new event")
	errInsideEvent = errors.New("stream ended inside an event")
	errCrashed     = errors.New("response ended with its connection, and the target accepts no other one")
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// stream sends the events of a streamed response to the caller. If a target fails, the next one
// resumes the stream after the last event.
type stream struct {
	*exchange

	// lastID is the ID of the last event that was sent, lastNumber its numeric value.
	lastID     string
	lastNumber int64
	// sent is the number of events that were sent.
	sent int
	// progressed is set once an event other than a comment was sent.
	progressed bool
	// unfinished is set while the stream is known to have an event after the last one that was sent,
	// because a target broke off inside it.
	unfinished bool
	// lastTime is when the last event was sent.
	lastTime time.Duration
	// pick is the request by which the target of the running attempt was chosen.
	pick pick.Request
	// contentType is that of the response whose headers were sent.
	contentType string
}

// continuedBy reports whether the body of a response can follow the events that were sent: anything but
// a stream, such as the text of an error, can't.
func (s *stream) continuedBy(r *transport.Response) bool {
	contentType := r.Header.Get("Content-Type")
	return r.Status == http.StatusOK && (contentType == "" || s.contentType == "" || contentType == s.contentType)
}

// forwardEvents sends the events of one target to the caller as they arrive. Only complete events
// are sent, so that another target can resume after the last one. The timer cancels the attempt
// if the next event takes too long.
func (s *stream) forwardEvents(a *attempt, timer *time.Timer) verdict {
	reader := bufio.NewReaderSize(a.response.Body, 4<<10)
	controller := http.NewResponseController(s.w)
	limit := time.Hour
	if !a.last && !s.route.AtMostOnce() {
		limit = max(minEventTimeout, 3*s.route.MaxEventGap)
	}
	for {
		raw, id, err := readEvent(reader)
		if err != nil {
			a.rest = len(raw)
			s.unfinished = s.unfinished || !isComment(raw)
		}
		if errors.Is(err, io.EOF) {
			return s.finish(a, controller, raw)
		}
		if err != nil {
			a.response.Close(false)
			a.err = err
			return broken
		}
		a.events++
		if !isComment(raw) {
			timer.Reset(limit)
		}
		if n, err := strconv.ParseInt(id, 10, 64); err == nil {
			if s.lastID != "" && n <= s.lastNumber {
				continue // the target repeats an event that was sent already
			}
			s.lastNumber = n
		}
		if id != "" {
			s.lastID = id
		}
		if !isComment(raw) {
			a.progressed, s.progressed, s.unfinished = true, true, false
		}
		if !s.writeEvent(a, controller, raw) {
			a.response.Close(false)
			a.err = errors.New("failed to write an event to the caller")
			return callerGone
		}
		if s.sent == 1 {
			s.choosers.firstEvent(s.pool, a.target, s.pick, s.slowdown(a))
		}
		if len(s.held) > 0 {
			s.free() // the target has read its inputs
		}
	}
}

// finish ends a stream whose target ended its response in good order; rest is what came after the
// last whole event. Neither a closed connection nor a last chunk proves that the target sent all: a
// stream that ends inside an event has broken off, and so has an unframed one whose target is gone.
func (s *stream) finish(a *attempt, controller *http.ResponseController, rest []byte) verdict {
	switch {
	case !a.progressed && (!s.progressed || s.unfinished || a.response.Framing == transport.FramedByClose):
		a.err = errEmptyStream
	case !isComment(rest):
		a.err = errInsideEvent
	case s.targetCrashed(a):
		a.err = errCrashed
	}
	a.response.Close(a.err == nil)
	if a.err != nil {
		return broken
	}
	s.writeEvent(a, controller, rest)
	s.status = http.StatusOK
	return answered
}

// isComment reports whether all lines of an event are comments, as targets send them to keep a
// connection open while they produce nothing.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// slowdown returns the time to the first event of an attempt as a ratio to the expected time of an
// unloaded engine; zero if the attempt did not bring the stream's first event.
func (s *stream) slowdown(a *attempt) float64 {
	if s.firstEvent <= a.began {
		return 0
	}
	return float64(s.firstEvent-a.began) / float64(s.unloadedFirstEventTime())
}

// writeEvent sends an event to the caller and reports whether that succeeded.
func (s *stream) writeEvent(a *attempt, controller *http.ResponseController, raw []byte) bool {
	if len(raw) == 0 {
		return true
	}
	if !s.committed {
		h := s.w.Header()
		closing := h.Get("Connection")
		platform.CopyResponseHeader(h, a.response.Header, true)
		if closing != "" {
			h.Set("Connection", closing)
		}
		s.w.WriteHeader(a.response.Status)
		s.committed, s.contentType = true, h.Get("Content-Type")
	}
	now := s.clock()
	if s.sent == 0 {
		s.firstEvent = now
	} else {
		s.maxGap = max(s.maxGap, now-s.lastTime)
	}
	s.lastTime = now
	if _, err := s.w.Write(raw); err != nil {
		return false
	}
	s.sent++
	return controller.Flush() == nil
}

// readEvent reads one event, up to and including the empty line after it, and returns its bytes
// and its ID. At the end of the stream it returns the remaining bytes and io.EOF.
func readEvent(r *bufio.Reader) (raw []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case len(raw) > maxEventBytes:
			return nil, "", errors.New("event exceeds the maximum size")
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return raw, id, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return raw, id, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}
