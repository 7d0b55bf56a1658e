package quota

import "time"

// bucketCount is the number of buckets that a window is divided into. The ring has one more,
// so that the bound holds for any interval of the length of a window.
const bucketCount = 10

// Quota limits the retries of one host to one pool. It is not safe for concurrent use.
type Quota struct {
	// bucketLength is the length of one bucket in time.
	bucketLength time.Duration
	ratio        float64
	slack        float64
	// ring holds the newest buckets; newest is the number of the newest one since time zero.
	ring   [bucketCount + 1]bucket
	newest int64
}

type bucket struct{ requests, retries int }

// New returns a quota that allows, in each window, retries up to ratio times the requests plus
// slack.
func New(window time.Duration, ratio, slack float64) *Quota {
	return &Quota{bucketLength: window / bucketCount, ratio: ratio, slack: slack}
}

// SetSlack sets the host's part of the slack.
func (q *Quota) SetSlack(slack float64) { q.slack = slack }

// CountRequest counts a request of a caller.
func (q *Quota) CountRequest(now time.Duration) {
	q.advance(now)
	q.ring[q.newest%int64(len(q.ring))].requests++
}

// TrySpend reports whether the quota allows a retry, and counts it if so.
func (q *Quota) TrySpend(now time.Duration) bool {
	q.advance(now)
	var sum bucket
	for _, b := range q.ring {
		sum.requests += b.requests
		sum.retries += b.retries
	}
	if float64(sum.retries+1) > q.ratio*float64(sum.requests)+q.slack {
		return false
	}
	q.ring[q.newest%int64(len(q.ring))].retries++
	return true
}

// advance clears the buckets that began since the last call.
func (q *Quota) advance(now time.Duration) {
	number := int64(now / q.bucketLength)
	for i := max(q.newest+1, number-int64(len(q.ring))+1); i <= number; i++ {
		q.ring[i%int64(len(q.ring))] = bucket{}
	}
	q.newest = max(q.newest, number)
}
