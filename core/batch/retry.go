package batch

import "time"

// minRetryRate is the fraction of the capacity that is assumed to be available to retries. In a lasting
// overload they compete with new requests; retry times then reach maxRetryAfter.
const minRetryRate = 0.1

// reserveRetry reserves capacity for the retry of a refused request of a level, after those that were
// reserved before, and returns the time until then.
func (d *Dispatcher) reserveRetry(now time.Duration, priority, pieces int) time.Duration {
	l := d.touchLevel(now, priority)
	slot := d.nextRetry(now, l)
	l.nextRetry = now + slot
	if free := d.retryRate(now, priority); free > 0 {
		l.nextRetry += time.Duration(float64(pieces) / free * float64(time.Second))
	}
	return slot
}

// nextRetry returns the time until the next free slot of a level: when the work that waits now is done,
// and after the slots that were given.
func (d *Dispatcher) nextRetry(now time.Duration, l *level) time.Duration {
	capacity := d.capacity(now)
	if capacity == 0 || now < d.scarceUntil {
		return maxRetryAfter // new requests take all room
	}
	room := d.workWait(now, capacity) - d.fillTime(capacity)
	return min(max(room, l.nextRetry-now, minRetryAfter), maxRetryAfter)
}

// retryRate returns the pieces per second that are left for retries of a level by what is admitted of
// this level and the more urgent ones.
func (d *Dispatcher) retryRate(now time.Duration, priority int) float64 {
	capacity := d.capacity(now)
	free := capacity
	for p, l := range d.levels {
		if p <= priority {
			free -= l.admitted.at(now)
		}
	}
	return max(free, minRetryRate*capacity)
}
