package member

import (
	"cmp"
	"time"
)

// estimateTTL is longer than the time after which the hosts publish an estimate again.
const estimateTTL = 90 * time.Second

// estimateRetransmits is how many regular packets carry a new estimate. Estimates are not flooded: at any
// size of the fleet there is a new one in each flood interval, and a flood of all of them costs 40 packets a
// second per host. In regular packets they reach 19 of 20 of 370 hosts within 8 periods.
const estimateRetransmits = 3

// Estimate is the fact of how fast and how busy a process of a target is, as defined by core/capacity.
type Estimate struct {
	// Process identifies the target and the start of its process.
	Process uint64
	// Version orders the estimates of the process. Any host may raise it.
	Version uint64
	// Speed, Slowdown and Demand are in the units of core/capacity.
	Speed, Slowdown int32
	Demand          uint32
	TTL             time.Duration
}

// Age returns how long ago the fact was published.
func (e Estimate) Age() time.Duration {
	if e.TTL <= 0 {
		return 0
	}
	return max(estimateTTL-e.TTL, 0)
}

// Merge returns the fact that takes precedence: the newer one, otherwise that of the slower target.
func (e Estimate) Merge(o Estimate) Estimate {
	c := cmp.Or(cmp.Compare(e.Version, o.Version), cmp.Compare(e.Speed, o.Speed), cmp.Compare(e.Slowdown, o.Slowdown), cmp.Compare(e.Demand, o.Demand))
	return later(c, e, o, e.TTL, o.TTL)
}

func (e Estimate) key() uint64                        { return e.Process }
func (e Estimate) initialTTL() time.Duration          { return estimateTTL }
func (e Estimate) remainingTTL() time.Duration        { return e.TTL }
func (e Estimate) withTTL(ttl time.Duration) Estimate { e.TTL = ttl; return e }

// checksum is zero, since estimates change all the time: digests that hardly ever agree would make each
// repair send members and all other facts. A lost estimate is replaced by the next one.
func (e Estimate) checksum() uint64 { return 0 }

// PublishEstimate publishes the estimate of this host.
func (s *State) PublishEstimate(now time.Duration, e Estimate) { s.estimates.put(now, e, false) }

// mergeEstimate merges the estimate of another host. Readers get it by TakeEstimates.
func (s *State) mergeEstimate(now time.Duration, e Estimate) {
	if s.estimates.put(now, e, false) {
		s.newEstimates[e.Process] = struct{}{}
	}
}

// Estimates returns the estimates of all hosts.
func (s *State) Estimates(now time.Duration) []Estimate {
	return s.estimates.collect(max(s.now, now), -1, func(*row[Estimate]) bool { return true })
}

// TakeEstimates returns the estimates that other hosts have published since the last call, in no order.
func (s *State) TakeEstimates(now time.Duration) (list []Estimate) {
	for process := range s.newEstimates {
		if r, ok := s.estimates.rows.Get(process); ok {
			list = append(list, r.fact.withTTL(max(r.expiresAt-now, 1)))
		}
	}
	clear(s.newEstimates)
	return list
}
