package admit

import "time"

const (
	// callerPatience is the fraction of the time that a caller has left for which it waits before it
	// retries.
	callerPatience = 1.0 / 3
	// slotSpread is the time over which the retries of one slot are spread. Hosts that have not heard of
	// each other's refusals yet give the same slot.
	slotSpread = 400 * time.Millisecond
	// lastPart is the part of the time that a caller waits over which retries are spread if there is no
	// room before. Those that come back earlier take the place of new requests, which could still meet
	// their objectives.
	lastPart = 0.1
	// maxRetries bounds the memory for the callers that were told to retry to some 100 KB. A host with
	// more refusals within maxRetryAfter forgets the oldest ones.
	maxRetries = 1024
	// A retry is as told if it comes at most earlyTolerance of its delay too early and lateTolerance too
	// late: clocks and networks are not exact, and connections are opened.
	earlyTolerance = 0.1
	lateTolerance  = time.Second
)

// RetryDelay returns the delay after which a refused caller should retry. Room is the time after which
// there is expected to be room for it. Delays are spread by draw, which is uniform in [0, 1): after
// room, or over the last part of the time that the caller waits if there is no room within it.
func RetryDelay(room, timeoutLeft time.Duration, draw float64) time.Duration {
	longest := min(maxRetryAfter, time.Duration(callerPatience*float64(timeoutLeft)))
	earliest := max(room, minRetryAfter)
	spread := slotSpread
	if earliest+spread > longest {
		spread = min(spread, time.Duration(lastPart*float64(longest)))
		earliest = longest - spread
	}
	return max(earliest+time.Duration(draw*float64(spread)), minRetryAfter)
}

// Retries remembers the callers that this host told to retry, by the fingerprint of their requests. It
// is not safe for concurrent use.
type Retries struct {
	told map[uint64]toldRetry
	// order has the fingerprints in the order of the refusals, some of them gone.
	order []uint64
}

// toldRetry is a refusal with the time at which the caller should retry.
type toldRetry struct{ refusedAt, due time.Duration }

// NewRetries returns an empty table.
func NewRetries() *Retries { return &Retries{told: make(map[uint64]toldRetry)} }

// Tell records that a request was refused with a retry delay.
func (r *Retries) Tell(now time.Duration, fingerprint uint64, delay time.Duration) {
	for len(r.order) >= maxRetries {
		delete(r.told, r.order[0])
		r.order = r.order[1:]
	}
	r.told[fingerprint] = toldRetry{refusedAt: now, due: now + delay}
	r.order = append(r.order, fingerprint)
}

// Returned reports whether a request is one that was refused and comes back as told, and how long ago
// it was refused. It forgets the refusal.
func (r *Retries) Returned(now time.Duration, fingerprint uint64) (waited time.Duration, ok bool) {
	t, ok := r.told[fingerprint]
	if !ok {
		return 0, false
	}
	delete(r.told, fingerprint)
	early := time.Duration(earlyTolerance * float64(t.due-t.refusedAt))
	return now - t.refusedAt, now >= t.due-early && now <= t.due+lateTolerance
}
