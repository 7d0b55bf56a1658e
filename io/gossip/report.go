package gossip

import (
	"math"

	"sassafrasward/core/member"
	"sassafrasward/core/selfreport"
)

// limitUnits is the number of units of a limit in a fact that make one request per second.
const limitUnits = 1000

// ReportFact returns the fact that tells other hosts what a target has stated.
func ReportFact(r selfreport.Record) member.Report {
	return member.Report{
		Target: r.ID(), StartID: r.StartID(), Version: r.Version(), Leaving: r.Leaving(), Limited: r.Limit() >= 0,
		Limit: uint64(math.Round(max(r.Limit(), 0) * limitUnits)), Cold: r.Cold(),
	}
}

// ReportRecord returns what a target has stated according to a fact.
func ReportRecord(r member.Report) selfreport.Record {
	limit := -1.0
	if r.Limited {
		limit = min(float64(r.Limit)/limitUnits, selfreport.MaxLimit)
	}
	return selfreport.NewRecord(r.Target, r.StartID, r.Version, r.Leaving, limit, r.Cold, r.Age())
}
