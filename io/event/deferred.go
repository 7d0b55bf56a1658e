package event

import "github.com/go-logr/logr"

// Deferred holds events until the state that they announce is published. It is not safe for
// concurrent use.
type Deferred struct {
	log   logr.Logger
	lines []func()
}

// NewDeferred returns an empty Deferred that logs to l.
func NewDeferred(l logr.Logger) *Deferred { return &Deferred{log: l} }

// Add adds an event with key and value pairs.
func (d *Deferred) Add(e Event, pairs ...any) {
	d.lines = append(d.lines, func() { Log(d.log, e, pairs...) })
}

// Flush logs the added events in their order.
func (d *Deferred) Flush() {
	for _, line := range d.lines {
		line()
	}
	d.lines = nil
}
