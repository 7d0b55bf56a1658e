package selfreport

import (
	"time"

	"sassafrasward/core/discovery"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Fact -linecomment -output=fact_string.go

// Fact is a kind of fact that a target states.
type Fact int

// The facts.
const (
	// Leaving means that the target is about to stop and wants no new requests.
	Leaving Fact = iota // leaving
	// Limit is the number of requests a second that the target takes from all hosts together.
	Limit // limit
	// Wait is how long the target wants no requests from the host that it refused.
	Wait // wait
	// Cold is how long the target, which has started, takes few requests only.
	Cold // cold
)

const (
	// MaxLimit is the largest limit, in requests per second. A larger one is taken as this one.
	MaxLimit = 1e6
	// MaxWait is the longest wait. A longer one is taken as this one, so that no answer can stop a
	// target for good.
	MaxWait = 10 * time.Minute
)

// Statement is what one answer of a target states.
type Statement struct {
	Leaving bool
	// Limited is set if the answer has a limit. An answer without one ends the limit, unless its limit
	// can't be read (LimitUnreadable).
	Limited, LimitUnreadable bool
	// Limit is in requests per second, at most MaxLimit.
	Limit float64
	// Wait is at most MaxWait; zero if the answer asks for none.
	Wait time.Duration
	// ColdStated is set if the answer has the remaining cold time Cold.
	ColdStated bool
	Cold       time.Duration
	// Unreadable is the number of facts whose values can't be read. They state nothing.
	Unreadable int
}

// Change is a change of what this host knows from a target's statements.
type Change struct {
	target discovery.Target
	fact   Fact
	// value is 1 or 0 for Leaving, requests per second for Limit (negative for none) and seconds for
	// Wait and Cold.
	value float64
	// age is the time since the fact last changed; negative if it was not stated before.
	age time.Duration
}

// Target returns the target that the change is about.
func (c Change) Target() discovery.Target { return c.target }

// Fact returns the fact that changed.
func (c Change) Fact() Fact { return c.fact }

// Value returns the new value: 1 or 0 for Leaving, requests per second for Limit (negative if the
// target no longer has one) and seconds for Wait and Cold.
func (c Change) Value() float64 { return c.value }

// Age returns how long the previous value held; negative if the fact was not stated before.
func (c Change) Age() time.Duration { return c.age }
