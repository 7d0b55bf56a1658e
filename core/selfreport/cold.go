package selfreport

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxCold is the longest cold time of a target that has started. A longer one is taken as this one, so
	// that no entry or answer can slow a target down for good.
	MaxCold = 10 * time.Minute
	// goneCold is the cold time in records about targets that refuse connections. Their cold time starts
	// only when they are back, and the value differs from all that targets can state.
	goneCold = MaxCold + time.Minute
	// goneTTL is for how long a target that refuses connections counts as cold. Each attempt to reach it
	// starts the time again, and an answer ends it.
	goneTTL = time.Minute
	// coldMargin is added to a cold time, for what records lose by rounding on their way.
	coldMargin = 50 * time.Millisecond

	// minColdUse is the fraction of the cold rate that the hosts must be able to use together.
	minColdUse = 0.9
	// The requests that a share allows in a second are spread over coldSpacing seconds. A request may be
	// sent up to maxColdLag after its time without moving the times of the next ones, so that the delays
	// of timers don't lower the rate. As coldSpacing is one second and maxColdLag, no second has more
	// requests than the share.
	coldSpacing = 1.02
	maxColdLag  = 20 * time.Millisecond
	// maxSendDelay is how much later than booked a request may be sent. After a pause of the process, all
	// requests that waited would otherwise be sent at once.
	maxSendDelay = 50 * time.Millisecond
)

// ColdBound is the bound on the requests that a cold target gets from all hosts in any one second: Factor
// times the cold rate of its pool, plus Slack. A zero Factor means that there is no bound.
type ColdBound struct{ Factor, Slack float64 }

// most returns the largest number of requests in a second.
func (b ColdBound) most(rate float64) int { return int(min(b.Factor*rate+b.Slack, MaxLimit)) }

// budget returns how many requests all hosts that know of each other may send to a cold target in any one
// second. If keepDead is false, two parts of the fleet may use it at the same time; otherwise only one may,
// and hosts that are believed dead keep their shares.
func (b ColdBound) budget(rate float64) (requests int, keepDead bool) {
	most, requests := b.most(rate), int(math.Ceil(rate))
	half := most / 2
	switch {
	case requests <= half:
		return requests, false
	case float64(half)/coldSpacing >= minColdUse*rate:
		return half, false
	}
	return min(requests, most), true
}

// Fleet has the hosts as this one knows them.
type Fleet struct {
	// Live has the names of all hosts that are not believed dead, also of those that have yet to start
	// serving. Dead has those that were known and have neither drained nor come back.
	Live, Dead []string
	// Settled is set once this host has had the time to learn of the others.
	Settled bool
}

// coldFleet is a Fleet as it is used for shares.
type coldFleet struct {
	self    uint64
	live    []uint64
	all     []uint64
	settled bool
}

func newColdFleet(self string, f Fleet) coldFleet {
	live := newHostList(self, f.Live)
	all := newHostList(self, append(append([]string(nil), f.Live...), f.Dead...))
	return coldFleet{self: xxhash.Sum64String(self), live: live.hashes, all: all.hashes, settled: f.Settled}
}

// isMinority reports whether less than half of the known hosts are live. The others may have been cut off
// and use shares of their own. As at most two parts have half of the hosts, at most two use full shares.
func (f coldFleet) isMinority() bool { return 2*len(f.live) < len(f.all) }

// rank returns how many of the hosts come before this one in the order of rendezvous hashing.
func (f coldFleet) rank(hosts []uint64, target uint64) (before int) {
	own := mix(f.self, target)
	for _, h := range hosts {
		if mix(h, target) < own {
			before++
		}
	}
	return before
}

// coldShare is the part of this host in the rate of a cold target. The zero value has none.
type coldShare struct {
	// interval is the time between two requests; zero if nothing may be sent, and it isn't known when.
	interval time.Duration
	// offset is when the first one may be sent, after the start of the cold time.
	offset time.Duration
	// after is set if requests may only be sent after the cold time; offset counts from its end. Their
	// interval keeps all hosts together to the cold rate, so that those that waited don't arrive at once.
	after bool
}

// newColdShare returns the part of this host in the cold rate (requests per second) of the target with the
// hash. If each view of the fleet has all hosts with which it can exchange messages, then for any views the
// shares in each part of the fleet add up to at most the budget: a host's share is the smaller the more
// hosts it knows.
func newColdShare(senders Senders, rate float64, bound ColdBound, target uint64, f coldFleet) coldShare {
	if !f.settled {
		return coldShare{}
	}
	if senders == OneHost {
		return newSoleColdShare(rate, bound, f)
	}
	requests, keepDead := bound.budget(rate)
	if requests == 0 {
		return coldShare{}
	}
	hosts := f.live
	if keepDead || f.isMinority() {
		hosts = f.all
	}
	total := min(float64(requests)/coldSpacing, rate)
	holders := min(requests, len(hosts))
	rank := f.rank(hosts, target)
	if rank >= holders {
		all := interval(total / float64(len(f.all)))
		return coldShare{interval: all, offset: time.Duration(float64(rank) / float64(len(hosts)) * float64(all)), after: true}
	}
	part := requests / holders
	if rank < requests%holders {
		part++
	}
	every := interval(total * float64(part) / float64(requests))
	return coldShare{interval: every, offset: time.Duration(float64(rank) / float64(holders) * float64(every))}
}

// newSoleColdShare returns the share of a host that dispatches a pool: half of the bound, because two hosts
// may each dispatch for a moment. A host that sees less than half of the fleet has none.
func newSoleColdShare(rate float64, bound ColdBound, f coldFleet) coldShare {
	half := bound.most(rate) / 2
	if half == 0 || f.isMinority() {
		return coldShare{}
	}
	return coldShare{interval: interval(min(float64(half)/coldSpacing, rate))}
}

// coldState is what is known about the cold time of one process of a target.
type coldState struct {
	// since is when this host learned of the present cold time, until is its end.
	since, until time.Duration
	// gone is set while the target refuses connections. Its cold time starts when it is back.
	gone bool
	// unknown is set while this host is to ask the target, which is back, how long it is cold. It is no longer
	// once the host has learned of the cold time from the target, its entry or another host.
	unknown bool
	// shared is set if the other hosts know of it by records.
	shared bool
	// next is the earliest time of the next request, booked the same after the cold time.
	next, booked time.Duration

	share coldShare
	// version and senders are those for which the share was computed.
	version uint64
	senders Senders
}

func (c *coldState) active(now time.Duration) bool { return now < c.until }

// remaining returns the rest of the cold time.
func (c *coldState) remaining(now time.Duration) time.Duration { return max(c.until-now, 0) }

// set starts a cold time, or changes that of a target that is cold already.
func (c *coldState) set(now, remaining time.Duration, gone bool) {
	if !c.active(now) {
		c.since = now
	}
	c.until, c.gone, c.unknown = now, gone, false
	if remaining > 0 {
		c.until += remaining + coldMargin
	}
}

// due returns when the next request may be sent.
func (c *coldState) due() time.Duration {
	if c.share.after {
		return max(c.booked, c.until+c.share.offset)
	}
	return max(c.next, c.since+c.share.offset)
}

// wait returns how long no request may be sent to a cold target.
func (c *coldState) wait(now time.Duration) time.Duration {
	if c.share.interval == 0 {
		return Never
	}
	return max(c.due()-now, 0)
}

// take counts a request that is sent after the wait. Unused time before it is lost but for maxColdLag.
func (c *coldState) take(now time.Duration) {
	next := max(c.due(), now-maxColdLag) + c.share.interval
	if c.share.after {
		c.booked = next
		return
	}
	c.next = next
}

// rate returns the requests per second of the share.
func (s coldShare) rate() float64 { return share{interval: s.interval}.rate() }
