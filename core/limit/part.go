package limit

import "math"

const (
	// partWeight is the weight of the newest observation: the part follows a change within
	// about 16 answers. Slower parts (32, 64) lag behind the start of a load peak.
	partWeight = 1.0 / 16
	// partRoom is added to the part, times its square root. Without it, unequal parts would
	// stay as they are; and hosts choose targets without agreement, so that some would stand
	// idle at exactly the slots. The spread of random choices grows with the root as well.
	partRoom = 0.8
	// partFloor is the part of the free slots that a host may use in any case, as a divisor.
	// The measured part says little where calls are few.
	partFloor = 8
	// partPrior stands for observations on an idle pool, all of which a host may use.
	partPrior = 0.05
)

// Part is the part of a pool's slots that one host may use: the part that it has of the
// calls that targets report, times the slots. As the parts that hosts see add up to one,
// all hosts together come to the slots of the pool in one round of answers.
type PoolLimit struct {
	// own and all are moving averages of calls per target.
	own, all float64
}

// Observe takes the load of an answer: the mean of the host's own calls per target, and all
// calls on the target that answered.
func (p *PoolLimit) Observe(own, all float64) {
	p.own += partWeight * (own - p.own)
	p.all += partWeight * (max(all, own) - p.all)
}

// Of returns the calls that the host may have in flight on a number of targets with the
// given slots in all. While slots are free, the host may take twice its part of them.
func (p *PoolLimit) Allowed(slots float64, targets int) float64 {
	free := max(slots-p.all*float64(targets), 0)
	part := slots * p.Fraction()
	return max(part+free*p.Fraction()+max(partRoom*math.Sqrt(part), 1), free/partFloor)
}

// Ratio returns the host's part of the calls of all hosts.
func (p *PoolLimit) Fraction() float64 { return (p.own + partPrior) / (p.all + partPrior) }

// Others returns the mean calls of other hosts per target.
func (p *PoolLimit) OthersLoad() float64 { return max(p.all-p.own, 0) }
