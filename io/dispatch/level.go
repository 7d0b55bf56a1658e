package dispatch

import (
	"sassafrasward/core/admit"
	"sassafrasward/io/dispatch/message"
)

// perMille converts fractions to the unit of messages.
const perMille = 1000

// encodeBacklog adds a backlog to a report.
func encodeBacklog(p *message.Progress, b admit.Backlog) {
	p.Soon, p.All, p.Growth, p.Ahead = b.OnTimeWait.Milliseconds(), b.LateWait.Milliseconds(), b.Growth, b.Forecast
	p.Notify = b.WantsNews
	if b.Scarce {
		p.Call = max(b.CallDuration.Milliseconds(), 1)
	}
	p.Levels = encodeLevels(b.Levels)
}

// decodeBacklog returns the backlog of a report.
func decodeBacklog(p *message.Progress) admit.Backlog {
	return admit.Backlog{
		OnTimeWait: milliseconds(p.GetSoon()), LateWait: milliseconds(p.GetAll()), Growth: p.GetGrowth(), Forecast: p.GetAhead(), WantsNews: p.GetNotify(),
		Scarce: p.GetCall() > 0, CallDuration: milliseconds(p.GetCall()), Levels: decodeLevels(p.GetLevels()),
	}
}

// encodeLevels converts the backlogs of priority levels to their messages.
func encodeLevels(levels []admit.Level) (list []*message.Level) {
	for _, l := range levels {
		list = append(list, &message.Level{
			Rank: int32(l.Priority), Soon: l.OnTimeWait.Milliseconds(), All: l.LateWait.Milliseconds(),
			Shed: int32(l.Shed * perMille), Kept: int32(l.Protected * perMille), Retry: l.RetryAfter.Milliseconds(),
		})
	}
	return list
}

// decodeLevels converts messages to the backlogs of priority levels.
func decodeLevels(list []*message.Level) (levels []admit.Level) {
	for _, m := range list {
		levels = append(levels, admit.Level{
			Priority: int(m.GetRank()), OnTimeWait: milliseconds(m.GetSoon()), LateWait: milliseconds(m.GetAll()),
			Shed: float64(m.GetShed()) / perMille, Protected: float64(m.GetKept()) / perMille, RetryAfter: milliseconds(m.GetRetry()),
		})
	}
	return levels
}
