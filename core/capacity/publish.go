package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// FleetFactRate is the number of facts a second of all hosts together. A fact takes 27 bytes in
	// each of three packets of each host: 2.6 KB a second per host at any size of the fleet.
	FleetFactRate = 32.0
	// maxBurst bounds the facts that a host publishes at once.
	maxBurst = 4.0
	// takeInterval is the time between two looks for notable changes.
	takeInterval = 300 * time.Millisecond
	// notableSpeed, notableSlow and notableDemand are the differences from the last fact that are published:
	// a twelfth of the lasting time, twice the present time (above what a spell of
	// 0.6 s does, which is over before the fact arrives), two fifths of a mean load.
	notableSpeed  = 0.12
	notableSlow   = 1.0
	notableDemand = 0.4
	// refreshAge is the age from which a fact is published again before it expires, by the host whose
	// turn comes first within refreshSpread; hosts that have just started need it.
	refreshAge    = 40 * time.Second
	refreshSpread = 15 * time.Second
	// refreshChange ranks refreshes behind all changes.
	refreshChange = 0.5
)

// candidate is a process whose estimate has changed notably, and by how many notable differences.
type candidate struct {
	process uint64
	change  float64
}

// TakeFacts returns the facts to publish now, the most notable first, for a fleet of some hosts.
func (t *Table) TakeFacts(now time.Duration, hosts int) (facts []Fact) {
	if now < t.nextTake {
		return nil
	}
	t.nextTake = now + takeInterval
	t.tokens = min(t.tokens+(now-t.tokensTime).Seconds()*FleetFactRate/float64(max(hosts, 1)), maxBurst)
	t.tokensTime = now
	if t.tokens < 1 {
		return nil
	}
	for _, c := range t.candidates(now) {
		if t.tokens < 1 {
			break
		}
		if f, changed := t.publish(now, c); changed {
			t.tokens--
			facts = append(facts, f)
		}
	}
	return facts
}

// candidates returns the processes whose estimate has changed notably, the most notable first.
func (t *Table) candidates(now time.Duration) (list []candidate) {
	for p, e := range t.entries {
		if change := t.change(now, p, e); change > 0 {
			list = append(list, candidate{process: p, change: change})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.change, a.change), cmp.Compare(a.process, b.process))
	})
	return list
}

// change returns by how many notable differences an entry differs from the last fact; zero if it is not
// worth a fact.
func (t *Table) change(now time.Duration, process uint64, e *entry) float64 {
	change := math.Abs(e.speed-e.shared.speed) / notableSpeed
	change = max(change, math.Abs(e.slowAt(now)-decay(e.shared.slow, now-e.sharedTime))/notableSlow)
	change = max(change, math.Abs(t.demand(now, e)-e.shared.demand)/notableDemand)
	if change >= 1 {
		return change
	}
	spread := time.Duration((process ^ t.salt) * 0x9e3779b97f4a7c15 % uint64(refreshSpread))
	if e.version > 0 && now-e.sharedTime > refreshAge+spread && (quantiseLog(e.shared.speed) != 0 || quantiseDemand(e.shared.demand) != 0) {
		return refreshChange
	}
	return 0
}

// publish makes the estimate of a process the shared one, within the steps that other hosts accept. It
// reports false if the fact would equal the last one, unless that is refreshed.
func (t *Table) publish(now time.Duration, c candidate) (f Fact, changed bool) {
	e := t.entries[c.process]
	next := estimate{
		speed:  e.shared.speed + clamp(e.speed-e.shared.speed, maxSpeedStep),
		slow:   e.slowAt(now),
		demand: e.shared.demand + clamp(t.demand(now, e)-e.shared.demand, maxDemandStep),
	}
	f = Fact{Process: c.process, Version: e.version + 1, Speed: quantiseLog(next.speed), Slowdown: quantiseLog(next.slow), Demand: quantiseDemand(next.demand)}
	old := decay(e.shared.slow, now-e.sharedTime)
	same := f.Speed == quantiseLog(e.shared.speed) && f.Slowdown == quantiseLog(old) && f.Demand == quantiseDemand(e.shared.demand)
	if same && c.change != refreshChange {
		return Fact{}, false
	}
	e.shared = estimate{speed: f.speed(), slow: f.slowdown(), demand: f.demand()}
	e.version, e.sharedTime, e.demandFacts = f.Version, now, min(e.demandFacts+1, maxFactWeight)
	return f, true
}
