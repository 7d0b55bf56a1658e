package sse

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"iter"

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
		name, hasData, size := "", false, 0
		var data []byte
		for scanner.Scan() {
			line := scanner.Bytes()
			if size += len(line); size > limit {
				yield(Event{}, Error.New("event exceeds %d bytes", limit))
				return
			}
			key, value, _ := bytes.Cut(line, []byte(":"))
			value = bytes.TrimPrefix(value, []byte(" "))
			switch {
			case len(line) == 0:
				if hasData && !yield(Event{name: name, data: string(data)}, nil) {
					return
				}
				name, data, hasData, size = "", data[:0], false, 0
			case string(key) == "event":
				name = string(value)
			case string(key) == "data":
				if hasData {
					data = append(data, '\n')
				}
				data, hasData = append(data, value...), true
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
