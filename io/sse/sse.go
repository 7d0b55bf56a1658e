package sse

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"iter"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("sse")

// ErrCut is returned by Until for a stream that ends before its last event.
var ErrTruncated = errs.New("the stream ended before its end event")

const firstBuffer = 4096 // bytes

// Event is one named event with its data.
type Event struct {
	name string
	data string
}

// Name returns the name of the event; empty if the sender gave none.
func (e Event) Name() string { return e.name }

// Data returns the data; several data lines are joined by line feeds.
func (e Event) Data() string { return e.data }

// Read iterates over the events in body. A line longer than limit bytes or a failed read
// yields an error, which ends the iteration; the end of the body ends it without one.
func Read(body io.Reader, limit int) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		scanner := bufio.NewScanner(body)
		scanner.Buffer(make([]byte, 0, min(firstBuffer, limit)), limit)
		var e Event
		var data []string
		for scanner.Scan() {
			key, value, _ := strings.Cut(scanner.Text(), ":")
			value = strings.TrimPrefix(value, " ")
			switch {
			case scanner.Text() == "":
				if data != nil && !yield(Event{name: e.name, data: strings.Join(data, "\n")}, nil) {
					return
				}
				e, data = Event{}, nil
			case key == "event":
				e.name = value
			case key == "data":
				data = append(data, value)
			}
		}
		if err := scanner.Err(); err != nil {
			yield(Event{}, Error.Wrap(err))
		}
	}
}

// Until passes the data of events called each to the function and returns the data of the
// first event called last. The error is ErrCut if the body ends before that event.
func ReadUntil(body io.Reader, limit int, each, last string, pass func(data []byte) error) (data []byte, err error) {
	for e, err := range Read(body, limit) {
		switch {
		case err != nil:
			return nil, err
		case e.name == last:
			return []byte(e.data), nil
		case e.name == each:
			if err := pass([]byte(e.data)); err != nil {
				return nil, err
			}
		}
	}
	return nil, Error.Wrap(ErrTruncated)
}

// Write writes one event with data as JSON, which has no line breaks.
func Write(w io.Writer, name string, data any) (err error) {
	defer func() { err = Error.Wrap(err) }()
	body, err := json.Marshal(data)
	if err != nil {
		return err
	}
	var event bytes.Buffer
	event.WriteString("event: " + name + "\ndata: ")
	event.Write(body)
	event.WriteString("\n\n")
	_, err = w.Write(event.Bytes())
	return err
}
