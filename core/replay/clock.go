package replay

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at time.Duration
	// sequence is the insertion number. It breaks ties between events with the same time.
	sequence uint64
	run      func()
}

// events is a min-heap ordered by time, then insertion.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock holds the virtual time and the pending events.
type clock struct {
	now          time.Duration
	events       events
	lastSequence uint64
}

// after schedules f to run once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.now + max(d, 0), c.lastSequence, f})
}

// step runs the next event and reports whether there was one.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.run()
	return true
}
