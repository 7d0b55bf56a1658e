package limit

const (
	// allowance is the part of the slots that may wait at the target, as a divisor. A
	// small queue there keeps slots busy during the round trip to the host.
	allowance = 8
	// step is the least growth per round of answers in calls. Larger steps let many hosts
	// overshoot together; a part of growth of the limit keeps large limits fast.
	step   = 0.5
	growth = 1.0 / 16
)

// Limit is the concurrency limit of one target for one host.
type Limit struct {
	// value is at least 1 and at most slots plus the allowance.
	value float64
	slots int
}

// New returns a limit of all slots of a target.
func New(slots int) Limit { return Limit{value: float64(max(slots, 1)), slots: max(slots, 1)} }

// Value returns the limit in calls.
func (l *Limit) Value() int { return int(l.value) }

// Slots returns the slots of the target as last told.
func (l *Limit) Slots() int { return l.slots }

// Resize takes a new number of slots; the limit keeps its part of them.
func (l *Limit) Resize(slots int) {
	slots = max(slots, 1)
	if slots == l.slots {
		return
	}
	l.value = l.value / float64(l.slots) * float64(slots)
	l.slots = slots
	l.clamp()
}

// Observe takes the load that came with an answer. inflight is the number of calls that
// this host had in flight on the target when the answer came, with the answered one.
func (l *Limit) Observe(inflight, running, queued int) {
	excess := queued - l.room()
	switch {
	case excess > 0:
		l.value -= float64(excess) / float64(max(running+queued, 1))
	case float64(inflight) < l.value-1:
	case queued == 0:
		l.value += max(step, l.value*growth) / l.value
	default:
		// Without growth inside the allowance, unequal parts would stay as they are.
		l.value += step / 2 / l.value
	}
	l.clamp()
}

// Busy takes an answer that the target has no room.
func (l *Limit) ObserveBusy() {
	l.value *= 0.8
	l.clamp()
}

func (l *Limit) room() int { return max(l.slots/allowance, 1) }

func (l *Limit) clamp() { l.value = min(max(l.value, 1), float64(l.slots+l.room())) }
