package selfreport

import (
	"math"
	"time"

	"sassafrasward/core/discovery"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Senders -linecomment -output=senders_string.go

// Senders tells which hosts send requests to a target.
type Senders int

// The senders.
const (
	// AllHosts share the limit of a target.
	AllHosts Senders = iota // all
	// OneHost dispatches the pool and uses the whole limit.
	OneHost // one
)

// Never is the wait for a target to which this host may send no request until it is told otherwise.
const Never = time.Duration(math.MaxInt64)

// Gate is asked before each request that is sent to a target.
type Gate interface {
	// Wait returns how long no request may be sent to the target: zero if one may be sent now, Never
	// if it is not known when.
	Wait(now time.Duration, t discovery.Target) time.Duration
	// Paused returns how long the target wants no requests at all from this host, not even those that
	// don't count as work.
	Paused(now time.Duration, t discovery.Target) time.Duration
	// Take counts a request that is sent once the current Wait of the target has passed.
	Take(now time.Duration, t discovery.Target)
	// Rate returns how many requests a second may be sent to the target; infinite without a limit.
	Rate(now time.Duration, t discovery.Target) float64
}

// ColdGate is a Gate that knows which targets are cold: they have just started and are slow.
type ColdGate interface {
	Gate
	// Cold reports whether a target is cold.
	Cold(now time.Duration, t discovery.Target) bool
}

// OpenGate is a Gate without limits.
type OpenGate struct{}

// Wait implements Gate.
func (OpenGate) Wait(time.Duration, discovery.Target) time.Duration { return 0 }

// Paused implements Gate.
func (OpenGate) Paused(time.Duration, discovery.Target) time.Duration { return 0 }

// Take implements Gate.
func (OpenGate) Take(time.Duration, discovery.Target) {}

// Rate implements Gate.
func (OpenGate) Rate(time.Duration, discovery.Target) float64 { return math.Inf(1) }
