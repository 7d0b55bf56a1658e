package limit

const (
	// partWeight is the weight of the newest observation: the part follows a change
	// within about 32 answers.
	partWeight = 1.0 / 64
	// partRoom is the overcommitment of a pool by all hosts together. Hosts choose targets
	// without agreement, so that some targets would stand idle at exactly the slots.
	partRoom = 1.0 / 8
	// partStep is added to the part in calls, so that small parts grow towards equal ones.
	partStep = 1
	// partPrior stands for observations on an idle pool, all of which a host may use.
	partPrior = 0.05
)

// Part is the part of a pool's slots that one host may use: the part that it has of the
// calls that targets report, times the slots. As the parts that hosts see add up to one,
// all hosts together come to the slots of the pool in one round of answers.
type Part struct {
	// own and all are moving averages of calls per target.
	own, all float64
}

// Observe takes the load of an answer: the host's own other calls on the target and all
// other calls there.
func (p *Part) Observe(own, all int) {
	p.own += partWeight * (float64(own) - p.own)
	p.all += partWeight * (float64(max(all, own)) - p.all)
}

// Of returns the calls that the host may have in flight on a number of targets with the
// given slots in all. While slots are free, the host may take twice its part of them.
func (p *Part) Of(slots float64, targets int) float64 {
	free := max(slots-p.all*float64(targets), 0)
	return (slots*(1+partRoom)+free)*p.Ratio() + partStep
}

// Ratio returns the host's part of the calls of all hosts.
func (p *Part) Ratio() float64 { return (p.own + partPrior) / (p.all + partPrior) }

// Others returns the mean calls of other hosts per target.
func (p *Part) Others() float64 { return max(p.all-p.own, 0) }
