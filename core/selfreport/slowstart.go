package selfreport

import (
	"maps"
	"slices"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/revision"
	"sassafrasward/core/route"
)

// coldChange is the smallest difference between two ends of a cold time that other hosts are told of.
const coldChange = 250 * time.Millisecond

// slowStarts has what is needed to find the shares of cold targets.
type slowStarts struct {
	bound ColdBound
	fleet coldFleet
	// version counts the changes of the fleet and of the pools.
	version uint64
	known   Fleet
	// pools has the pools whose targets start slowly.
	pools map[string]route.SlowStart
	// entries has the newest revisions of entries whose cold time was taken over.
	entries map[incarnation]revision.Revision
}

func newSlowStarts(self string, bound ColdBound) slowStarts {
	return slowStarts{bound: bound, fleet: newColdFleet(self, Fleet{}), version: 1, entries: make(map[incarnation]revision.Revision)}
}

// enabled reports whether there is a bound on the requests to cold targets.
func (s *slowStarts) enabled() bool { return s.bound.Factor > 0 }

// SetFleet sets the hosts among which the rates of cold targets are shared.
func (t *Table) SetFleet(f Fleet) {
	if k := t.slow.known; k.Settled == f.Settled && slices.Equal(k.Live, f.Live) && slices.Equal(k.Dead, f.Dead) {
		return
	}
	t.slow.known, t.slow.fleet = f, newColdFleet(t.hosts.self, f)
	t.slow.version++
}

// SetSlowStarts sets the pools whose targets start slowly.
func (t *Table) SetSlowStarts(pools map[string]route.SlowStart) {
	if !maps.Equal(pools, t.slow.pools) {
		t.slow.pools = pools
		t.slow.version++
	}
}

// StartEntries starts the cold times that new revisions of the targets' entries state.
func (t *Table) StartEntries(now time.Duration, targets map[string][]discovery.Target) (changes []Change) {
	if !t.slow.enabled() {
		return nil
	}
	entries := make(map[incarnation]revision.Revision)
	for _, list := range targets {
		for _, target := range list {
			if target.ColdFor <= 0 {
				continue
			}
			key := incarnationOf(target)
			entries[key] = target.Revision
			if seen, ok := t.slow.entries[key]; !ok || target.Revision.After(seen) {
				changes = append(changes, t.extendCold(now, target, min(target.ColdFor, MaxCold))...)
			}
		}
	}
	t.slow.entries = entries
	t.forgetWarm(now)
	return changes
}

// forgetWarm removes the reports on targets that had nothing but a cold time, which has ended. Requests are
// sent without a look at the table while it is empty. Those with a version are kept, because the next record
// needs a higher one.
func (t *Table) forgetWarm(now time.Duration) {
	for key, r := range t.reports {
		if r.version == 0 && r.limit < 0 && !r.leaving(now) && !r.pause.untried && !r.cold.active(now) {
			delete(t.reports, key)
		}
	}
}

// StartCold makes targets count as cold for the whole cold time of their pool, on this host. It is for
// events that all hosts learn of by themselves, such as the end of an evacuation.
func (t *Table) StartCold(now time.Duration, targets []discovery.Target) (changes []Change) {
	for _, target := range targets {
		if s, ok := t.slowStart(target); ok {
			changes = append(changes, t.extendCold(now, target, s.Duration)...)
		}
	}
	return changes
}

// extendCold makes the cold time of a target end no sooner than after the given time.
func (t *Table) extendCold(now time.Duration, target discovery.Target, remaining time.Duration) (changes []Change) {
	r := t.reportOf(target)
	if !r.cold.gone {
		remaining = max(remaining, r.cold.remaining(now)-coldMargin)
	}
	return r.setCold(now, remaining, false)
}

// Refused records that a target refuses connections, so that its process has ended. Until it answers again,
// and for the cold time of its pool from then on, it counts as cold on all hosts.
func (t *Table) Refused(now time.Duration, target discovery.Target) (changes []Change) {
	if _, ok := t.slowStart(target); !ok {
		return nil
	}
	r := t.reportOf(target)
	known := r.cold.gone && r.cold.remaining(now) > goneTTL/2
	changes = r.setCold(now, goneTTL, true)
	if r.cold.shared = true; !known {
		t.publish(now, r)
	}
	return changes
}

// Answered records that a target answered a request. It reports whether the target is back after its
// process had ended: its cold time starts then, and nobody knows its actual length yet.
func (t *Table) Answered(now time.Duration, target discovery.Target) (back bool) {
	r, ok := t.reports[incarnationOf(target)]
	if !ok || !r.cold.gone || !r.cold.active(now) {
		return false
	}
	s, ok := t.slowStart(target)
	if !ok {
		return false
	}
	r.setCold(now, s.Duration, false)
	r.cold.unknown = true
	t.publish(now, r)
	return true
}

// MustAsk reports whether this host is still to ask a target that is back how long it is cold. Another host may
// have got an answer of the target at the same time, and asked before.
func (t *Table) MustAsk(target discovery.Target) bool {
	r, ok := t.reports[incarnationOf(target)]
	return ok && r.cold.unknown
}

// ObserveHealth records the remaining cold time that a target has stated in its answer to a health check. Such
// an answer says nothing about the other facts.
func (t *Table) ObserveHealth(now time.Duration, target discovery.Target, s Statement) (changes []Change) {
	r, ok := t.reports[incarnationOf(target)]
	if !s.ColdStated || !ok && s.Cold <= 0 || !t.slow.enabled() {
		return nil
	}
	if !ok {
		r = t.add(target)
	}
	changes, notable := t.observeCold(now, r, s.Cold)
	if notable {
		t.publish(now, r)
	}
	return changes
}

// observeCold records the remaining cold time that a target has stated, and reports whether the other hosts
// have to be told.
func (t *Table) observeCold(now time.Duration, r *report, remaining time.Duration) (changes []Change, notable bool) {
	if !t.slow.enabled() || remaining <= 0 && !r.cold.active(now) {
		return nil, false
	}
	before := r.cold.remaining(now)
	changes = r.setCold(now, min(remaining, MaxCold), false)
	r.cold.shared = true
	return changes, (before - r.cold.remaining(now)).Abs() > coldChange
}

// mergeCold records the cold time of a record that is newer than those before.
func (t *Table) mergeCold(now time.Duration, r *report, record Record) (changes []Change) {
	if !t.slow.enabled() || record.cold <= 0 {
		return nil
	}
	r.cold.shared = true
	if record.cold >= goneCold {
		return r.setCold(now, goneTTL-record.age, true)
	}
	return r.setCold(now, min(record.cold, MaxCold)-record.age, false)
}

// setCold sets the rest of the cold time and returns the change if the target wasn't cold before, or is no
// longer.
func (r *report) setCold(now, remaining time.Duration, gone bool) (changes []Change) {
	before := r.cold.active(now)
	r.cold.set(now, remaining, gone)
	if r.cold.active(now) == before {
		return nil
	}
	return []Change{{target: r.target, fact: Cold, value: max(remaining, 0).Seconds(), age: notStated}}
}

// recordedCold returns the cold time for a record; zero if there is nothing to tell. A cold time that has
// been ended is told as the smallest one, because zero would leave the other hosts with theirs.
func (r *report) recordedCold(now time.Duration) time.Duration {
	switch {
	case !r.cold.shared:
		return 0
	case r.cold.gone && r.cold.active(now):
		return goneCold
	}
	return max(r.cold.remaining(now)-coldMargin, minRecordedCold)
}

// minRecordedCold is the unit in which records carry cold times.
const minRecordedCold = time.Millisecond

// slowStart returns the slow start of the pool of a target.
func (t *Table) slowStart(target discovery.Target) (s route.SlowStart, ok bool) {
	if !t.slow.enabled() {
		return s, false
	}
	s, ok = t.slow.pools[target.Pool]
	return s, ok
}

// reportOf returns the report about a target, added if needed.
func (t *Table) reportOf(target discovery.Target) *report {
	if r, ok := t.reports[incarnationOf(target)]; ok {
		return r
	}
	return t.add(target)
}

// isCold reports whether a target is cold, and brings its share up to date.
func (t *Table) isCold(now time.Duration, r *report, senders Senders) bool {
	if !r.cold.active(now) {
		return false
	}
	s, ok := t.slowStart(r.target)
	if !ok {
		return false
	}
	if r.cold.version != t.slow.version || r.cold.senders != senders {
		r.cold.share = newColdShare(senders, s.Rate, t.slow.bound, r.hash, t.slow.fleet)
		r.cold.version, r.cold.senders = t.slow.version, senders
	}
	return true
}

// ColdFor returns the rest of the cold time of a target; zero if it is warm.
func (t *Table) ColdFor(now time.Duration, target discovery.Target) time.Duration {
	if r, ok := t.reports[incarnationOf(target)]; ok && t.isCold(now, r, r.cold.senders) {
		return r.cold.remaining(now)
	}
	return 0
}

// MaySend reports whether a request that was booked at a time, to be sent at the time due, may still be sent.
// To a cold target it may not if it is late, or if the target has become cold since.
func (t *Table) MaySend(now time.Duration, target discovery.Target, booked, due time.Duration) bool {
	r, ok := t.reports[incarnationOf(target)]
	if !ok || !t.isCold(now, r, r.cold.senders) {
		return true
	}
	return now-due <= maxSendDelay && r.cold.since <= booked && r.cold.share.interval > 0 && !r.cold.share.after
}
