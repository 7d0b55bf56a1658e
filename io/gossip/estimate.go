package gossip

import (
	"sassafrasward/core/capacity"
	"sassafrasward/core/member"
)

// EstimateFact returns the fact that tells other hosts how fast and how busy a target is.
func EstimateFact(f capacity.Fact) member.Estimate {
	return member.Estimate{Process: f.Process, Version: f.Version, Speed: f.Speed, Slowdown: f.Slowdown, Demand: f.Demand}
}

// CapacityFact returns what a fact of another host says about a target.
func CapacityFact(e member.Estimate) capacity.Fact {
	return capacity.Fact{Process: e.Process, Version: e.Version, Speed: e.Speed, Slowdown: e.Slowdown, Demand: e.Demand, Age: e.Age()}
}
