package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sassafrasward/platform"
)

// eventMost bounds one event of a stream.
const eventMost = 1 << 20 // bytes

// stream passes the events of one answer on, from one target after the other.
type stream struct {
	*exchange

	// last is the id of the last event that was passed on; number is its value.
	last   string
	number int64
	// passed counts the events.
	passed int
	// latest is when the last event was passed on.
	latest time.Duration
}

// pass passes events on as they arrive. Only whole events are passed, so that another
// target can go on after the last one.
func (s *stream) pass(a *attempt, watch *time.Timer) verdict {
	reader := bufio.NewReaderSize(a.response.Body, 4<<10)
	control := http.NewResponseController(s.w)
	limit := time.Hour
	if !a.last && !s.route.AtMostOnce() {
		limit = max(eventLeast, 3*s.route.MaxEventGap)
	}
	for {
		raw, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			a.response.Close(true)
			if s.passed == 0 && len(raw) == 0 {
				a.err = errors.New("the stream has no events")
				return broken
			}
			s.write(a, control, raw)
			s.status = http.StatusOK
			return answered
		}
		if err != nil {
			a.response.Close(false)
			a.err = err
			return broken
		}
		watch.Reset(limit)
		if n, err := strconv.ParseInt(id, 10, 64); err == nil {
			if s.last != "" && n <= s.number {
				continue // the target repeats what was passed on
			}
			s.number = n
		}
		if id != "" {
			s.last = id
		}
		if !s.write(a, control, raw) {
			a.response.Close(false)
			a.err = errors.New("the caller takes no events")
			return left
		}
		if len(s.held) > 0 {
			s.free() // the target has read them
		}
	}
}

// pace returns the ratio of the time to the first event of an attempt to the expected one;
// zero if it brought none.
func (s *stream) pace(a *attempt) float64 {
	if s.first <= a.began {
		return 0
	}
	return float64(s.first-a.began) / float64(s.modelTime())
}

// write passes an event on and reports whether the caller takes it.
func (s *stream) write(a *attempt, control *http.ResponseController, raw []byte) bool {
	if len(raw) == 0 {
		return true
	}
	if !s.committed {
		h := s.w.Header()
		closing := h.Get("Connection")
		platform.CopyAnswer(h, a.response.Header, true)
		if closing != "" {
			h.Set("Connection", closing)
		}
		s.w.WriteHeader(a.response.Status)
		s.committed = true
	}
	now := s.clock()
	if s.passed == 0 {
		s.first = now
	} else {
		s.pause = max(s.pause, now-s.latest)
	}
	s.latest = now
	if _, err := s.w.Write(raw); err != nil {
		return false
	}
	s.passed++
	return control.Flush() == nil
}

// readEvent reads the bytes of one event up to and including the empty line after it, and
// its id. At the end of the stream it returns what is left with io.EOF.
func readEvent(r *bufio.Reader) (raw []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(raw) > eventMost {
				return nil, "", errors.New("an event is too long")
			}
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
