package feed

import "time"

const (
	// heardLimit is the age of the copy above which a host reads the store itself. A current copy
	// is younger: a reader waits up to two seconds for changes, and tells its followers once a
	// second.
	heardLimit = 3500 * time.Millisecond
	// startLimit is heardLimit for a host without a copy.
	startLimit = 1500 * time.Millisecond
	// outageInterval is the time between two reads of a host that is no reader, while the store
	// does not respond to the readers.
	outageInterval = 8 * time.Second
	// spread is the maximum random part of these times, so that hosts don't read all at once.
	spread = 0.3
)

// ReadState is what a host knows when it decides whether to read the store.
type ReadState struct {
	// Reader is set if the host reads the store for others.
	Reader bool
	// Empty is set if the host has no copy of the entries, Down if the store does not respond to
	// the hosts that it follows.
	Empty, Down bool
	// Age is the age of the copy, SinceRead the time since the last read of the store.
	Age, SinceRead time.Duration
	// Jitter is a random number of the host in [0, 1).
	Jitter float64
}

// ReadIn returns the time after which the host reads the store, zero for now.
func (s ReadState) ReadIn() time.Duration {
	if s.Reader {
		return 0
	}
	jitter := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + spread*s.Jitter)) }
	limit := heardLimit
	if s.Empty {
		limit = startLimit
	}
	wait := jitter(limit) - s.Age
	if s.Down {
		wait = max(wait, jitter(outageInterval)-s.SinceRead)
	}
	return max(wait, 0)
}
