package limit

const (
	// queueDivisor: slots/queueDivisor calls may be queued at the target. A small queue there
	// keeps the slots busy during the round trip to the host.
	queueDivisor = 8
	// minGrowth is the minimum growth per round of answers, in calls; larger steps make many
	// hosts overshoot together. growthFraction is the growth as a fraction of the limit, so
	// that large limits grow fast enough.
	minGrowth      = 0.5
	growthFraction = 1.0 / 16
)

// Limit is the concurrency limit of one target for one host.
type Limit struct {
	// value is at least 1 and at most slots plus the queue allowance.
	value float64
	slots int
}

// New returns a limit that starts at all slots of a target.
func New(slots int) Limit { return Limit{value: float64(max(slots, 1)), slots: max(slots, 1)} }

// Value returns the limit in calls.
func (l *Limit) Value() int { return int(l.value) }

// Slots returns the last known number of slots of the target.
func (l *Limit) Slots() int { return l.slots }

// Resize sets the number of slots and scales the limit in proportion.
func (l *Limit) Resize(slots int) {
	slots = max(slots, 1)
	if slots == l.slots {
		return
	}
	l.value = l.value / float64(l.slots) * float64(slots)
	l.slots = slots
	l.clamp()
}

// Observe updates the limit with the load that the target reported with an answer. inflight
// is the number of calls that this host had in flight on the target when the answer arrived,
// including the answered one.
func (l *Limit) Observe(inflight, running, queued int) {
	excess := queued - l.queueAllowance()
	switch {
	case excess > 0:
		l.value -= float64(excess) / float64(max(running+queued, 1))
	case float64(inflight) < l.value-1:
	case queued == 0:
		l.value += max(minGrowth, l.value*growthFraction) / l.value
	default:
		// Without growth inside the allowance, unequal limits of hosts would never even out.
		l.value += minGrowth / 2 / l.value
	}
	l.clamp()
}

// ObserveBusy shrinks the limit after the target refused a call because it was full.
func (l *Limit) ObserveBusy() {
	l.value *= 0.8
	l.clamp()
}

// queueAllowance returns how many calls may be queued at the target.
func (l *Limit) queueAllowance() int { return max(l.slots/queueDivisor, 1) }

func (l *Limit) clamp() { l.value = min(max(l.value, 1), float64(l.slots+l.queueAllowance())) }
