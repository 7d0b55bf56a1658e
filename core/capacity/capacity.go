package capacity

import (
	"math"
	"math/bits"
	"time"
)

const (
	// speedGain is the weight of a sample in the lasting time ratio, maxSpeedSample the largest step by one
	// sample, so that a target that is 5 times slower for 6 s hardly counts as lastingly slow, and
	// maxSpeedStep the largest step by one fact.
	speedGain      = 0.15
	maxSpeedSample = 0.08
	maxSpeedStep   = 0.25
	// fasterStep is how much more a fast sample counts for a target that is slower than slowSpeed. It shows
	// that the queue which made the target look slow is gone, and a target that is avoided gets few samples.
	fasterStep = 3.0
	slowSpeed  = 1.0
	// maxSpeed bounds the lasting time ratio to a factor of 2.5 both ways. What is beyond it is a queue or a
	// fault, which ends.
	maxSpeed = 1.32
	// slowGain is the weight of a sample in the present slowdown, maxSlowStep the largest step by one sample
	// or fact, a factor of 4: a target that is 5 times slower for 6 s has to be known after one sample.
	slowGain    = 0.6
	maxSlowStep = 2.0
	// slowHalfLife is the half-life of the present slowdown. Targets are slow for 0.6 to 6 s, and a fact
	// takes two seconds to reach most hosts.
	slowHalfLife = 4 * time.Second
	// maxDemandStep is the largest change of the demand by one fact, in mean loads.
	maxDemandStep = 1.0
	// demandHalfLife is the half-life of the load that a host counts for the demand. A host sees the
	// most popular prompt about once in 5 s.
	demandHalfLife = 45 * time.Second
	// maxMissedFacts bounds the facts that one fact can make up for at a host that missed them.
	maxMissedFacts = 8
	// maxFactWeight bounds the weight of the facts about the demand for a target, and priorWeight is that
	// of no demand. The weight of this host's own share is the number of requests that an average target
	// gets from it within the window.
	maxFactWeight = 4
	priorWeight   = 0.2
	// usualGain is the weight of a sample in the usual time ratio of its class: with 6 samples a second
	// a slowdown of all targets is usual after about 4 s.
	usualGain = 0.05
	// maxUsualStep bounds the difference of a sample that counts, so that the few very slow responses of a
	// queue don't make all others look fast.
	maxUsualStep = 1.0
	// promptClasses is the number of classes of prompts, by the bit length of their tokens.
	promptClasses = 20
)

// Table has the estimates for the targets of one pool. It is not safe for concurrent use.
type Table struct {
	// salt spreads the refreshes of the hosts over time.
	salt    uint64
	entries map[uint64]*entry
	usual   [2 * promptClasses]average
	// load and requests are all load and requests that this host counted for the demand.
	load, requests Decaying
	// tokens is the number of facts that may be published, updated at tokensTime.
	tokens     float64
	tokensTime time.Duration
	nextTake   time.Duration
}

// entry has the estimate of one process.
type entry struct {
	// speed and slow are logarithms of time ratios; slow is that at slowTime.
	speed, slow float64
	slowTime    time.Duration
	// offered is the load that this host meant for the process.
	offered Decaying
	// shared is what all hosts know as far as this one can tell, and sharedTime when it was published.
	shared     estimate
	version    uint64
	sharedTime time.Duration
	// demandFacts is the number of facts about the demand, at most maxFactWeight.
	demandFacts float64
	// merged is the last fact that was merged, without its age.
	merged Fact
}

// estimate is the part of an entry that facts carry, not rounded.
type estimate struct{ speed, slow, demand float64 }

// average is a mean that forgets with usualGain.
type average struct {
	value float64
	count int
}

func (a *average) add(v float64) {
	a.count++
	if a.count == 1 {
		a.value = v
	}
	a.value += max(usualGain, 1/float64(a.count)) * clamp(v-a.value, maxUsualStep)
}

// Decaying is a sum that decays with demandHalfLife.
type Decaying struct {
	value float64
	time  time.Duration
}

// At returns the sum at a time.
func (d Decaying) At(now time.Duration) float64 {
	return d.value * math.Exp2(-float64(now-d.time)/float64(demandHalfLife))
}

// Add adds to the sum.
func (d *Decaying) Add(now time.Duration, v float64) { d.value, d.time = d.At(now)+v, now }

// New returns an empty table of a host. The salt differs between hosts.
func New(salt uint64) *Table { return &Table{salt: salt, entries: make(map[uint64]*entry), tokens: 1} }

// Retain keeps the estimates of these processes only, and starts those of new ones as average targets.
func (t *Table) Retain(processes []uint64) {
	next := make(map[uint64]*entry, len(processes))
	for _, p := range processes {
		if next[p] = t.entries[p]; next[p] == nil {
			next[p] = &entry{}
		}
	}
	t.entries = next
}

// Restart begins the estimate of a new process of a target. Only the demand of the old one is kept, because it
// comes from the prompts of callers and not from the target.
func (t *Table) Restart(old, next uint64) {
	if e, ok := t.entries[old]; ok && t.entries[next] == nil {
		t.entries[next] = &entry{offered: e.offered, shared: estimate{demand: e.shared.demand}, demandFacts: e.demandFacts}
	}
}

// Class returns the class of a request by its prompt, for Observe. Warm requests went to a target that
// should have the shared parts of the prompt in its cache.
func Class(promptTokens int, warm bool) (class int) {
	class = min(bits.Len(uint(max(promptTokens, 0))), promptClasses-1)
	if warm {
		class += promptClasses
	}
	return class
}

// Observe records the time of one response of a process as a ratio to the expected time. It is compared with
// what is usual for the class at this host, which takes out that the host itself or all targets are slow.
func (t *Table) Observe(now time.Duration, process uint64, class int, ratio float64) {
	e, ok := t.entries[process]
	if !ok || ratio <= 0 {
		return
	}
	sample := clamp(math.Log2(ratio), 2*maxLog)
	usual := &t.usual[class]
	usual.add(sample)
	sample = clamp(sample-usual.value, maxLog)
	slow := e.slowAt(now)
	e.slow, e.slowTime = slow+clamp(slowGain*(sample-e.speed-slow), maxSlowStep), now
	e.speed = clamp(e.speed+speedStep(e.speed, sample), maxSpeed)
}

// ObserveLate records that a response of a process takes at least this ratio to the expected time. It raises
// the present slowdown only, since the response may still come.
func (t *Table) ObserveLate(now time.Duration, process uint64, class int, ratio float64) {
	e, ok := t.entries[process]
	if !ok || t.usual[class].count == 0 {
		return
	}
	slow := e.slowAt(now)
	if more := clamp(math.Log2(ratio)-t.usual[class].value, maxLog) - e.speed - slow; more > 0 {
		e.slow, e.slowTime = slow+min(more, maxSlowStep), now
	}
}

// speedStep returns the step of a lasting time ratio by a sample.
func speedStep(speed, sample float64) float64 {
	step := clamp(speedGain*(sample-speed), maxSpeedSample)
	if speed > slowSpeed && sample < 0 {
		return fasterStep * step
	}
	return step
}

// slowAt returns the present slowdown as a logarithm.
func (e *entry) slowAt(now time.Duration) float64 { return decay(e.slow, now-e.slowTime) }

// decay returns what is left of a present slowdown after a time.
func decay(slow float64, after time.Duration) float64 {
	return slow * math.Exp2(-float64(after)/float64(slowHalfLife))
}

// Count counts the load of a request of this host, whether it has shared parts or not.
func (t *Table) Count(now time.Duration, load float64) {
	t.load.Add(now, load)
	t.requests.Add(now, 1)
}

// Requests returns the recent number of requests that this host counted.
func (t *Table) Requests(now time.Duration) float64 { return t.requests.At(now) }

// Offer counts the load of a request that is meant for a process because of its shared parts.
func (t *Table) Offer(now time.Duration, process uint64, load float64) {
	if e, ok := t.entries[process]; ok {
		e.offered.Add(now, load)
	}
}

// Speed returns the lasting time ratio of a process as a binary logarithm; 0 is average, 1 half as fast.
func (t *Table) Speed(process uint64) (log float64) {
	if e, ok := t.entries[process]; ok {
		return e.speed
	}
	return 0
}

// Slowdown returns the present slowdown of a process as a binary logarithm, without its lasting part.
func (t *Table) Slowdown(now time.Duration, process uint64) (log float64) {
	if e, ok := t.entries[process]; ok {
		return e.slowAt(now)
	}
	return 0
}

// Demand returns the load of all hosts that is meant for a process, in mean loads of a target.
func (t *Table) Demand(now time.Duration, process uint64) (meanLoads float64) {
	if e, ok := t.entries[process]; ok {
		return t.demand(now, e)
	}
	return 0
}

// demand weighs what this host sees and what the facts say.
func (t *Table) demand(now time.Duration, e *entry) float64 {
	own, weight := 0.0, t.requests.At(now)/float64(len(t.entries))
	if all := t.load.At(now); all > 0 {
		own = e.offered.At(now) / all * float64(len(t.entries))
	}
	return (weight*own + e.demandFacts*e.shared.demand) / (weight + e.demandFacts + priorWeight)
}

// Merge takes in a fact of another host. The steps are bounded for each version, so that neither a wrong
// fact nor a host that was cut off moves an estimate at once. It reports whether the process is known.
func (t *Table) Merge(now time.Duration, f Fact) bool {
	e, ok := t.entries[f.Process]
	if !ok {
		return false
	}
	age := f.Age
	f.Age = 0
	if f.Version < e.version || f == e.merged {
		return true // a fact from before the last one, or the last one again
	}
	e.merged = f
	steps := float64(min(max(f.Version-e.version, 1), maxMissedFacts))
	ownSpeed := e.speed - e.shared.speed
	e.shared.speed += clamp(f.speed()-e.shared.speed, maxSpeedStep*steps)
	e.speed = e.shared.speed + ownSpeed/2 // the fact reflects what is common to the hosts' samples
	slow, told := e.slowAt(now), decay(f.slowdown(), age)
	e.slow, e.slowTime = slow+clamp(told-slow, maxSlowStep), now
	e.shared.slow = told
	e.shared.demand += clamp(f.demand()-e.shared.demand, maxDemandStep*steps)
	e.version, e.sharedTime, e.demandFacts = f.Version, now-age, min(e.demandFacts+steps, maxFactWeight)
	return true
}
