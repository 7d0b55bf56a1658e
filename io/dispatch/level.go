package dispatch

import (
	"fmt"
	"strings"

	"sassafrasward/core/admit"
	"sassafrasward/io/dispatch/message"
)

// perMille converts fractions to the unit of messages.
const perMille = 1000

// encodeBacklog adds a backlog to a report.
func encodeBacklog(p *message.Progress, b admit.Backlog) {
	p.Soon, p.All, p.Growth, p.Coming = b.OnTimeWait.Milliseconds(), b.LateWait.Milliseconds(), b.Growth, int64(b.Announced)
	p.Notify = b.WantsAnnouncements
	if b.Scarce {
		p.Call = max(b.CallDuration.Milliseconds(), 1)
	}
	p.Levels = encodeLevels(b.Levels)
}

// decodeBacklog returns the backlog of a report.
func decodeBacklog(p *message.Progress) admit.Backlog {
	return admit.Backlog{
		OnTimeWait: milliseconds(p.GetSoon()), LateWait: milliseconds(p.GetAll()), Growth: p.GetGrowth(), Announced: int(p.GetComing()), WantsAnnouncements: p.GetNotify(),
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

// describeLevels returns the wait and the share of each level, for the log.
func describeLevels(levels []admit.Level) string {
	var parts []string
	for _, l := range levels {
		parts = append(parts, fmt.Sprintf("%d: %dms, shed %.2f", l.Priority, l.OnTimeWait.Milliseconds(), l.Shed))
	}
	return strings.Join(parts, "; ")
}
