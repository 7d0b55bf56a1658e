package feed

import "time"

const (
	// maxAgePart is the part of the time limit for taking over a change that a copy may be old. The rest is for the
	// read that follows and for requests that are on their way.
	maxAgePart = 0.75
	// probePart is the part of the maximum age between two probes of the store, so that one lost probe does not make
	// all followers read the store.
	probePart = 0.4
	// startLimit is the time after which a host without a copy reads the store.
	startLimit = 1500 * time.Millisecond
	// firstRetry is the time after a failed read until the next one. It doubles with each further one.
	firstRetry = 400 * time.Millisecond
	// maxDoublings bounds the doublings of firstRetry, which then exceeds any limit of the settings.
	maxDoublings = 16
	// spread is the random part of these times, so that hosts don't read all at once.
	spread = 0.25
)

// Limits are the times within which a host has to know what the store has.
type Limits struct {
	// Change is the time within which a change has to be in force at a host that the store responds to.
	Change time.Duration
	// Recovery is the time after the end of a disruption from which on that holds.
	Recovery time.Duration
}

// MaxAge returns the age of the copy at which a host reads the store itself at the latest.
func (l Limits) MaxAge() time.Duration { return time.Duration(maxAgePart * float64(l.Change)) }

// ProbeInterval returns the time between two probes of the store by a host that others follow.
func (l Limits) ProbeInterval() time.Duration {
	return time.Duration(probePart * float64(l.MaxAge()))
}

// ReadState is what a host knows when it decides whether to read the store.
type ReadState struct {
	// Reader is set if the host reads the store for others, Empty if it has no copy of the entries.
	Reader, Empty bool
	// Failures is the number of its reads that failed since the last one that did not.
	Failures int
	// Age is the age of the copy, SinceRead the time since the last read of the store.
	Age, SinceRead time.Duration
	Limits         Limits
	// Jitter is a random number of the host in [0, 1).
	Jitter float64
}

// ReadIn returns the time after which the host reads the store, zero for now. A copy is old by what the host knows of
// the store, through whomever: what other hosts say of their own reads does not keep it from a store in its reach.
func (s ReadState) ReadIn() time.Duration {
	if s.Reader {
		return 0
	}
	early := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - spread*s.Jitter)) }
	wait := early(s.Limits.MaxAge()) - s.Age
	if s.Empty {
		wait = time.Duration(float64(startLimit)*(1+spread*s.Jitter)) - s.Age
	}
	if s.Failures > 0 {
		// The host has to be up to date again Recovery after the store is back.
		retry := min(firstRetry<<min(s.Failures-1, maxDoublings), s.Limits.Recovery)
		wait = max(wait, early(retry)-s.SinceRead)
	}
	return max(wait, 0)
}
