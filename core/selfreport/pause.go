package selfreport

import "time"

const (
	// The hosts that a target has told to wait return over endSpread of their waits, at most maxEndSpread.
	endSpread    = 0.25
	maxEndSpread = time.Second
	// trialTimeout is how long the first request after a pause may take before another one is sent.
	trialTimeout = time.Second
)

// pause is the time for which a target wants no requests from this host. When it is over, one request is
// sent first; others follow once the target has answered without asking for another pause.
type pause struct {
	// until is the end of the longest pause that the target asked for, on the part of this host.
	until time.Duration
	// untried is set from the start of a pause until the target has answered a request after its end.
	untried bool
	// nextTrial is when another first request may be sent.
	nextTrial time.Duration
}

// start starts a pause, or makes it longer. The phase in (0, 1] spreads the hosts.
func (p *pause) start(now, wait time.Duration, phase float64) {
	spread := min(time.Duration(endSpread*float64(wait)), maxEndSpread)
	p.until = max(p.until, now+wait+time.Duration(phase*float64(spread)))
	p.untried, p.nextTrial = true, p.until
}

// wait returns how long no request may be sent.
func (p *pause) wait(now time.Duration) time.Duration {
	if !p.untried {
		return 0
	}
	return max(p.nextTrial-now, 0)
}

// take counts a request that is sent after the wait.
func (p *pause) take(now time.Duration) {
	if p.untried {
		p.nextTrial = max(now, p.nextTrial) + trialTimeout
	}
}

// answered records an answer that asks for no pause. One to a request from before the pause says nothing.
func (p *pause) answered(now time.Duration) {
	if now >= p.until {
		p.untried = false
	}
}
