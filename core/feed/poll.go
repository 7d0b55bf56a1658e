package feed

import "time"

// Poll is the state of the long polls that one watch makes, one after the other. It tells as of when all changes of the
// watch are known. It is not safe for concurrent use.
type Poll struct {
	// open is set while the store has a call that waits for changes, which was sent at openedAt.
	open     bool
	openedAt time.Duration
	// currentAt is the latest time as of which all changes are known.
	currentAt time.Duration
}

// Opened records that a call which waits for changes is sent.
func (p *Poll) Opened(now time.Duration) { p.open, p.openedAt = true, now }

// Answered records an answer, which has all changes so far.
func (p *Poll) Answered(now time.Duration) { p.open, p.currentAt = false, max(p.currentAt, now) }

// Closed records that the call has failed, or is not made any more.
func (p *Poll) Closed() { p.open = false }

// Reached records that the store answered a probe that was sent at a time. A call that waits since before would have
// told of a change, so that there was none. It reports whether this is news.
func (p *Poll) Reached(sentAt time.Duration) bool {
	if !p.open || sentAt < p.openedAt || sentAt <= p.currentAt {
		return false
	}
	p.currentAt = sentAt
	return true
}

// CurrentAt returns the time as of which all changes are known.
func (p *Poll) CurrentAt() time.Duration { return p.currentAt }
