package limit

import "math"

const (
	// sampleWeight is the EWMA weight of the newest observation: the limit follows a change
	// within about 16 answers. With 32 or 64 answers, it lags behind the start of a load peak.
	sampleWeight = 1.0 / 16
	// headroom times the square root of the host's slots, but at least one call, is added to
	// them. Without it, unequal limits of hosts would never even out; and as hosts choose targets
	// independently, some targets would be idle if the limits added up to exactly the slots. The
	// spread of random choices grows with the square root as well.
	headroom = 0.8
	// freeSlotsDivisor: a host may always use 1/freeSlotsDivisor of the free slots. The measured
	// fraction is unreliable where calls are few.
	freeSlotsDivisor = 8
	// prior is added to both averages, in calls per target, so that a host may use all of an
	// idle pool.
	prior = 0.05
)

// PoolLimit is the concurrency limit of one host on a pool: the slots times the fraction of
// the calls reported by targets that are the host's own. As the fractions of all hosts add up
// to one, all hosts together converge to the slots of the pool in one round of answers. The
// zero value is ready to use.
type PoolLimit struct {
	// own and all are EWMAs of calls per target: of this host, and of all hosts.
	own, all float64
}

// Observe updates the limit after an answer with the mean number of the host's own calls per
// target, and the number of all calls on the target that answered.
func (p *PoolLimit) Observe(own, all float64) {
	p.own += sampleWeight * (own - p.own)
	p.all += sampleWeight * (max(all, own) - p.all)
}

// Allowed returns the number of calls that the host may have in flight on a number of targets
// with the given total of slots. While slots are free, the host may also take its fraction of
// the free ones.
func (p *PoolLimit) Allowed(slots float64, targets int) float64 {
	free := max(slots-p.all*float64(targets), 0)
	hostSlots := slots * p.Fraction()
	return max(hostSlots+free*p.Fraction()+max(headroom*math.Sqrt(hostSlots), 1), free/freeSlotsDivisor)
}

// Fraction returns the fraction of the calls of all hosts that are this host's own.
func (p *PoolLimit) Fraction() float64 { return (p.own + prior) / (p.all + prior) }

// OthersLoad returns the mean number of calls of other hosts per target.
func (p *PoolLimit) OthersLoad() float64 { return max(p.all-p.own, 0) }
