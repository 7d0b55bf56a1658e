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

// ErrTruncated is returned by ReadUntil for a stream that ends before its last event.
var ErrTruncated = errs.New("the stream ended before its end event")

const initialBufferSize = 4096 // bytes

// Event is one named event with its data.
type Event struct {
	name string
	data string
}

// Name returns the name of the event; empty if the sender gave none.
func (e Event) Name() string { return e.name }

// Data returns the data. Several data lines are joined by line feeds.
func (e Event) Data() string { return e.data }

// Read iterates over the events in body. A line or an event longer than limit bytes, or a failed
// read, yields an error and ends the iteration. The end of the body ends it without an error.
func Read(body io.Reader, limit int) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		scanner := bufio.NewScanner(body)
		scanner.Buffer(make([]byte, 0, min(initialBufferSize, limit)), limit)
		var e Event
		var data []string
		size := 0
		for scanner.Scan() {
			if size += len(scanner.Bytes()); size > limit {
				yield(Event{}, Error.New("event exceeds %d bytes", limit))
				return
			}
			key, value, _ := strings.Cut(scanner.Text(), ":")
			value = strings.TrimPrefix(value, " ")
			switch {
			case scanner.Text() == "":
				if data != nil && !yield(Event{name: e.name, data: strings.Join(data, "\n")}, nil) {
					return
				}
				e, data, size = Event{}, nil, 0
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

// ReadUntil calls pass with the data of each event named each, and returns the data of the first
// event named last. The error is ErrTruncated if the body ends before that event.
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

// Write writes one event with data as JSON on a single line.
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
