package quota

import "time"

// buckets is the number of parts of a window. The counts cover one part more than the
// window, so that any span of its length is bounded.
const buckets = 10

// Quota bounds the repeats of one host to one pool. It is not safe for concurrent use.
type Quota struct {
	// span is the length of one bucket.
	span  time.Duration
	ratio float64
	slack float64
	// counts is a ring over buckets; number is the number of the newest one.
	counts [buckets + 1]count
	number int64
}

type count struct{ requests, repeats int }

// New returns a quota with a ratio of the requests and a slack per window.
func New(window time.Duration, ratio, slack float64) *Quota {
	return &Quota{span: window / buckets, ratio: ratio, slack: slack}
}

// SetSlack changes the host's part of the slack.
func (q *Quota) SetSlack(slack float64) { q.slack = slack }

// Request counts a request of a caller.
func (q *Quota) CountRequest(now time.Duration) {
	q.advance(now)
	q.counts[q.number%int64(len(q.counts))].requests++
}

// Spend counts a repeat and reports whether the quota allows it.
func (q *Quota) TrySpend(now time.Duration) bool {
	q.advance(now)
	var sum count
	for _, c := range q.counts {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	if float64(sum.repeats+1) > q.ratio*float64(sum.requests)+q.slack {
		return false
	}
	q.counts[q.number%int64(len(q.counts))].repeats++
	return true
}

// advance empties the buckets that were entered since the last call.
func (q *Quota) advance(now time.Duration) {
	number := int64(now / q.span)
	for i := max(q.number+1, number-int64(len(q.counts))+1); i <= number; i++ {
		q.counts[i%int64(len(q.counts))] = count{}
	}
	q.number = max(q.number, number)
}
