package batch

import (
	"cmp"
	"slices"
	"time"

	"sassafrasward/core/route"
)

// NextCalls returns the calls to be sent now and counts them as in progress.
func (d *Dispatcher) NextCalls(now time.Duration) (calls []Call) {
	for len(d.queue) > 0 && d.hasIdleTarget(now) {
		c, ok := d.makeCall(now, d.jobsByUrgency(now))
		if !ok {
			break
		}
		calls = append(calls, c)
		d.recordDispatched(now, len(c.Items))
	}
	d.recordDispatched(now, 0)
	return calls
}

// hasIdleTarget reports whether a target can take a call.
func (d *Dispatcher) hasIdleTarget(now time.Duration) bool {
	for _, ts := range d.targets.All() {
		if d.usable(now, ts) && d.hasFreeSlot(now, ts) {
			return true
		}
	}
	return false
}

// hasFreeSlot reports whether a target takes a call now as far as this host knows.
func (d *Dispatcher) hasFreeSlot(now time.Duration, ts *targetState) bool {
	return now >= ts.fullUntil && d.gate.Wait(now, ts.target) == 0 && ts.runningCalls() < max(d.spec.Slots, 1)
}

// jobsByUrgency returns the jobs with pending pieces, on-time jobs before late ones.
func (d *Dispatcher) jobsByUrgency(now time.Duration) (jobs []*queuedJob) {
	jobs = make([]*queuedJob, 0, len(d.queue))
	for _, late := range []bool{false, true} {
		for _, q := range d.queue {
			if d.missesObjective(now, q.job) == late {
				jobs = append(jobs, q)
			}
		}
	}
	return jobs
}

// makeCall assembles one call for the best idle target.
func (d *Dispatcher) makeCall(now time.Duration, queue []*queuedJob) (c Call, ok bool) {
	pending := 0
	for _, q := range queue {
		pending += len(q.pending)
	}
	idleZones := d.zonesIdleAt(now)
	for _, ts := range d.idleTargets(now, queue[0].job.Zone) {
		selected, bytes := d.selectPieces(now, ts, d.eligibleJobs(now, queue, ts, idleZones))
		pieces := 0
		for _, s := range selected {
			pieces += s.pieces
		}
		// Results that are not yet released leave room for a small call only, which would
		// take nearly as long as a full one.
		if pieces == 0 || d.usedMemory(now, ts) > 0 && float64(pieces) < minFill*float64(min(pending, d.spec.MaxPieces)) && bytes+d.usedMemory(now, ts) > d.spec.ResultMemory/2 {
			continue
		}
		return d.startCall(now, ts, d.dequeuePieces(selected), bytes), true
	}
	return Call{}, false
}

// zonesIdleAt returns when the first target of each zone that is not slow is idle, for those where
// that is within maxZoneWait.
func (d *Dispatcher) zonesIdleAt(now time.Duration) (zones map[string]time.Duration) {
	zones = make(map[string]time.Duration)
	for _, ts := range d.targets.All() {
		if !d.usable(now, ts) {
			continue
		}
		at := d.idleAt(now, ts)
		if at > now+maxZoneWait || d.expectedSlowdown(now, ts) > slowThreshold {
			continue
		}
		if first, ok := zones[ts.target.Zone]; !ok || at < first {
			zones[ts.target.Zone] = at
		}
	}
	return zones
}

// waitsForZone reports whether a job waits for a target of its zone: one is idle soon, and the job
// then still meets its objective.
func (d *Dispatcher) waitsForZone(now time.Duration, j Job, idleZones map[string]time.Duration) bool {
	at, ok := idleZones[j.Zone]
	return ok && (at <= now+minZoneWait || at+d.callDuration(j.Pieces)+zoneReserve <= j.SoftDeadline)
}

// eligibleJobs returns the jobs that may run at a target: first those that prefer its zone or
// do not wait for a zone, then those whose zone has no target that is idle soon.
func (d *Dispatcher) eligibleJobs(now time.Duration, queue []*queuedJob, ts *targetState, idleZones map[string]time.Duration) (list []*queuedJob) {
	var rest []*queuedJob
	for _, q := range queue {
		switch {
		case !route.ZoneAllowed(q.job.Zones, ts.target.Zone):
		case !q.job.WaitForZone || q.job.Zone == ts.target.Zone:
			list = append(list, q)
		case !d.waitsForZone(now, q.job, idleZones):
			rest = append(rest, q)
		}
	}
	return append(list, rest...)
}

// idleTargets returns the targets that can take a call, best first. A slow target is left out
// if the other targets are expected to finish the whole backlog before it can finish a call, unless
// a job is restricted to its zone.
func (d *Dispatcher) idleTargets(now time.Duration, zone string) (list []*targetState) {
	full := float64(d.nominalDuration(d.spec.MaxPieces))
	soonest, fast := time.Duration(1<<62-1), 0
	for _, ts := range d.targets.All() {
		if !d.usable(now, ts) {
			continue
		}
		slowdown := d.expectedSlowdown(now, ts)
		soonest = min(soonest, d.idleAt(now, ts)+time.Duration(full*slowdown))
		if slowdown <= slowThreshold {
			fast++
		}
		if d.hasFreeSlot(now, ts) {
			list = append(list, ts)
		}
	}
	rounds := float64(d.Waiting()) / float64(d.spec.MaxPieces*max(fast, 1))
	backlogDone := soonest + time.Duration(rounds*full)
	list = slices.DeleteFunc(list, func(ts *targetState) bool {
		slowdown := d.expectedSlowdown(now, ts)
		return slowdown > slowThreshold && now+time.Duration(full*slowdown) > backlogDone && !d.hasJobFor(ts.target.Zone)
	})
	slices.SortStableFunc(list, func(a, b *targetState) int {
		slowA, slowB := d.expectedSlowdown(now, a) > slowThreshold, d.expectedSlowdown(now, b) > slowThreshold
		return cmp.Or(compareBool(slowA, slowB), compareBool(a.target.Zone != zone, b.target.Zone != zone),
			cmp.Compare(d.usedMemory(now, a), d.usedMemory(now, b)))
	})
	return list
}

// hasJobFor reports whether a queued job is restricted to some zones that include the given one. Targets elsewhere
// can't run it instead.
func (d *Dispatcher) hasJobFor(zone string) bool {
	return slices.ContainsFunc(d.queue, func(q *queuedJob) bool { return slices.Contains(q.job.Zones, zone) })
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// selection is the number of pieces of a job that go into a call.
type selection struct {
	queued *queuedJob
	pieces int
}

// selectPieces selects the most urgent pieces whose results fit into the target's memory. A job
// is split only if it is larger than a call or first in the queue. A target that needs a probe
// gets a single job.
func (d *Dispatcher) selectPieces(now time.Duration, ts *targetState, queue []*queuedJob) (selected []selection, bytes int64) {
	freeMemory := d.spec.ResultMemory - d.usedMemory(now, ts)
	left := d.spec.MaxPieces
	probe := d.needsProbe(now, ts)
	for i, q := range queue {
		if probe && len(selected) == 1 {
			break
		}
		n := min(len(q.pending), left)
		if size := q.job.Bytes; size > 0 {
			n = min(n, int((freeMemory-bytes)/size))
		}
		whole := n == len(q.pending) || q.job.Pieces > d.spec.MaxPieces
		if n <= 0 || !whole && i > 0 {
			continue
		}
		selected = append(selected, selection{queued: q, pieces: n})
		bytes += int64(n) * q.job.Bytes
		left -= n
	}
	return selected, bytes
}

// dequeuePieces removes the selected pieces from their jobs and returns them as call items.
func (d *Dispatcher) dequeuePieces(selected []selection) (items []Item) {
	for _, s := range selected {
		for _, p := range s.queued.pending[:s.pieces] {
			items = append(items, Item{Job: s.queued.job.ID, Piece: p, Bytes: s.queued.job.Bytes})
		}
		if s.queued.pending = s.queued.pending[s.pieces:]; len(s.queued.pending) == 0 {
			d.dequeue(s.queued)
		}
	}
	return items
}

func (d *Dispatcher) startCall(now time.Duration, ts *targetState, items []Item, bytes int64) Call {
	d.lastCallID++
	nominal := d.nominalDuration(len(items))
	d.recordCallDuration(nominal)
	c := Call{
		ID: d.lastCallID, Target: ts.target, Items: items, Nominal: nominal,
		Expected: time.Duration(float64(nominal) * d.expectedSlowdown(now, ts)),
	}
	d.gate.Take(now, ts.target)
	ts.calls[c.ID] = &activeCall{call: c, started: now, bytes: bytes}
	return c
}
