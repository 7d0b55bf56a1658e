package selfreport

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLimit is the smallest limit, in requests per second. A target with a smaller one still gets a
	// request now and then, because only an answer can end a limit.
	minLimit = 0.25
	// extraBurst is how many requests beyond the limit of one second all hosts together may send at
	// once. It is also the minimum number of hosts that share a limit.
	extraBurst = 3
	// A host that sends all requests to a target may send soleBurstSeconds times its limit plus
	// soleExtraBurst at once: less than hosts that share one, because two hosts may each believe for
	// a moment that they dispatch a pool.
	soleBurstSeconds = 0.25
	soleExtraBurst   = 1
)

// share is the part of a target's limit that one host may use.
type share struct {
	// interval is the mean time between two requests; zero if the host has no part.
	interval time.Duration
	// burst is the number of requests that may be sent at once after a while without any.
	burst float64
}

// newShare returns the part of this host in the limit (requests per second) of the target with the hash. A
// few hosts share a limit, so that a host with a part can use it in whole requests, and so that what all
// of them send at once is bounded. Every host with the same list of hosts gets the same result.
func newShare(senders Senders, limit float64, target uint64, hosts hostList) share {
	limit = max(limit, minLimit)
	if senders == OneHost {
		return share{interval: interval(limit), burst: soleBurstSeconds*limit + soleExtraBurst}
	}
	holders := min(int(min(limit, MaxLimit))+extraBurst, len(hosts.hashes))
	if !hosts.first(target, holders) {
		return share{}
	}
	return share{interval: interval(limit / float64(holders)), burst: (limit + extraBurst) / float64(holders)}
}

// interval returns the time between two requests at a rate per second.
func interval(rate float64) time.Duration {
	return max(time.Duration(float64(time.Second)/rate), 1)
}

// hostList has the hosts that send requests, this one included.
type hostList struct {
	self string
	// names is sorted; hashes has the hashes of the names in the same order, and own that of self.
	names  []string
	hashes []uint64
	own    uint64
}

func newHostList(self string, names []string) hostList {
	names = append([]string{self}, names...)
	slices.Sort(names)
	l := hostList{self: self, names: slices.Compact(names), own: xxhash.Sum64String(self)}
	for _, name := range l.names {
		l.hashes = append(l.hashes, xxhash.Sum64String(name))
	}
	return l
}

// first reports whether this host is one of the first n in the order of the hosts for a target, which
// rendezvous hashing gives. It ends once n other hosts are found that come before.
func (l hostList) first(target uint64, n int) bool {
	own, before := mix(l.own, target), 0
	for _, h := range l.hashes {
		if mix(h, target) < own {
			if before++; before >= n {
				return false
			}
		}
	}
	return true
}

// mix combines the hashes of a host and a target.
func mix(host, target uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	x := (host ^ target) * multiplier
	return (x ^ x>>29) * multiplier
}

// bucket limits the requests of this host to its share. It is a token bucket that stores the time at
// which it is full again instead of a number of tokens.
type bucket struct {
	share share
	// full is when a bucket without further requests has share.burst tokens.
	full time.Duration
}

// setShare changes the share. A bucket that had none starts empty, and gets its first token after a
// fraction phase of the interval: hosts that learn of a limit together must not send together.
func (b *bucket) setShare(now time.Duration, s share, phase float64) {
	switch {
	case s == b.share:
		return
	case b.share.interval == 0:
		b.full = now + time.Duration((s.burst-1+phase)*float64(s.interval))
	default:
		b.full = min(b.full, now+time.Duration(s.burst*float64(s.interval)))
	}
	b.share = s
}

// wait returns the time until a request may be sent.
func (b *bucket) wait(now time.Duration) time.Duration {
	if b.share.interval == 0 {
		return Never
	}
	return max(b.full-time.Duration((b.share.burst-1)*float64(b.share.interval))-now, 0)
}

// take takes the next token.
func (b *bucket) take(now time.Duration) { b.full = max(b.full, now) + b.share.interval }

// phase returns a number in (0, 1] that differs between the hosts that share a target.
func (l hostList) phase(target uint64) float64 {
	return float64(mix(l.own, target)>>11+1) / (1 << 53)
}

// rate returns the requests per second of the share.
func (s share) rate() float64 {
	if s.interval == 0 {
		return 0
	}
	return math.Min(1/s.interval.Seconds(), MaxLimit)
}
