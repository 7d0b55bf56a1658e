package suspect

import (
	"slices"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Progress -linecomment -output=progress_string.go

// Progress is how far the answer to a call had come when its target crashed. Its value is the weight
// of the crash as evidence against the parts of the call's prompt.
type Progress int

// Progress of an answer.
const (
	// Underway answers had been written for a while, so that something else ended the target.
	Underway Progress = iota // underway
	// Unclear answers may have been the ones that the target had begun last.
	Unclear // unclear
	// Begun answers had headers and no content.
	Begun // begun
)

const (
	// partThreshold is the evidence from which a part of a prompt is refused: three crashes right
	// after the answer began, or six under unclear answers. One crash at a time counts.
	partThreshold = 3 * int(Begun)
	// crashInterval is the time within which several crashes count as one, because a failure of
	// another kind may end many targets at the same moment. It covers the time that a record takes
	// from host to host.
	crashInterval = 50 * time.Millisecond
	// maxObservations limits the crashes that are kept for a part.
	maxObservations = 64
)

// justBegun is the time from the beginning of an answer within which its target may crash because of
// it, although some of the answer was written.
const justBegun = 500 * time.Millisecond

// NewProgress returns the progress of an answer that began (begun) some time (age) ago and has pieces,
// such as events or tokens.
func NewProgress(begun bool, pieces int, age time.Duration) Progress {
	switch {
	case !begun || pieces > 0 && age < justBegun:
		return Unclear
	case pieces == 0:
		return Begun
	}
	return Underway
}

// PartRecord holds the evidence that one crash of a target gives against a part of prompts, and how
// much of it is cleared. Both only grow.
type PartRecord struct {
	part, crash       uint64
	evidence, cleared int
}

// NewPartRecord returns a record that was received from another host. The crash identifies a target
// that ended; all hosts use the same value for it.
func NewPartRecord(part, crash uint64, evidence, cleared int) PartRecord {
	return PartRecord{part: part, crash: crash, evidence: evidence, cleared: cleared}
}

// Part returns the part of prompts.
func (r PartRecord) Part() uint64 { return r.part }

// Crash returns the identity of the crash.
func (r PartRecord) Crash() uint64 { return r.crash }

// Evidence returns the weight of the crash.
func (r PartRecord) Evidence() int { return r.evidence }

// Cleared returns how much of the evidence was cleared by later completed calls.
func (r PartRecord) Cleared() int { return r.cleared }

// Parts finds the parts of prompts that crash the targets that begin to answer them, from the crashes
// that all hosts observe. Calls with such a part differ in everything else, so that fingerprints of
// whole calls don't find them. It is not safe for concurrent use.
type Parts struct {
	// notify is called with each record that this host changes; it may be nil.
	notify func(PartRecord)
	// evidence has the crashes by part, suspects the parts with evidence by crash.
	evidence expiring[observations]
	suspects expiring[[]uint64]
	runs     *runLog
}

// observation is one crash as evidence against a part.
type observation struct {
	crash uint64
	// at is when the crash was observed, on the clock of this host.
	at time.Duration
	// cleared is at most evidence.
	evidence, cleared int
}

func (o observation) weight() int { return o.evidence - o.cleared }

// observations are ordered by their time.
type observations []observation

// NewParts returns an empty table. The function notify is called with each record that has to be sent
// to other hosts; it may be nil and must not block.
func NewParts(notify func(PartRecord)) *Parts {
	return &Parts{notify: notify, evidence: newExpiring[observations](), suspects: newExpiring[[]uint64](), runs: newRunLog()}
}

// RecordCrash records that a target crashed with a call whose prompt has the parts. Parts with which a
// call completed on this host lately are not the cause.
func (p *Parts) RecordCrash(now time.Duration, crash uint64, progress Progress, parts []uint64) {
	if progress == Underway {
		return
	}
	for _, part := range parts {
		if p.completes(now, part) {
			continue
		}
		p.merge(now, now, PartRecord{part: part, crash: crash, evidence: int(progress)}, true)
	}
}

// RecordCompletion records that a call whose prompt has the parts completed. What targets complete
// does not crash them, so that all evidence against the parts is cleared.
func (p *Parts) RecordCompletion(now time.Duration, parts []uint64) {
	for _, part := range parts {
		p.runs.record(now, part)
		list, _ := p.evidence.get(now, part)
		for i := range list {
			p.clear(part, &list[i])
		}
	}
}

// Merge merges a record from another host that observed the crash some time (age) ago. Evidence
// against parts with which a call completed on this host lately is cleared for all hosts.
func (p *Parts) Merge(now, age time.Duration, r PartRecord) {
	p.merge(now, now-age, r, false)
	if !p.completes(now, r.part) {
		return
	}
	list, _ := p.evidence.get(now, r.part)
	if i := list.index(r.crash); i >= 0 {
		p.clear(r.part, &list[i])
	}
}

// Refused returns a part because of which calls whose prompts have all the parts must not run, if
// there is one.
//
// Other parts were in the prompts of the same crashed calls. As long as no crash tells them from the
// one that is the cause, a call is refused only if it has all of them: sound calls have some of them.
func (p *Parts) Refused(now time.Duration, parts []uint64) (part uint64, refused bool) {
	for _, part := range parts {
		list, ok := p.evidence.get(now, part)
		if !ok || list.weight() < partThreshold {
			continue
		}
		missing := func(companion uint64) bool { return !slices.Contains(parts, companion) }
		if !slices.ContainsFunc(p.companions(now, part, list), missing) {
			return part, true
		}
	}
	return 0, false
}

// Len returns the number of parts with evidence.
func (p *Parts) Len() int { return p.evidence.len() }

// companions returns the other parts that have the same evidence from each crash of a part, or more.
func (p *Parts) companions(now time.Duration, part uint64, list observations) (companions []uint64) {
	first := slices.IndexFunc(list, func(o observation) bool { return o.weight() > 0 })
	candidates, _ := p.suspects.get(now, list[first].crash)
	for _, other := range candidates {
		if other == part {
			continue
		}
		evidence, _ := p.evidence.get(now, other)
		if evidence.covers(list) {
			companions = append(companions, other)
		}
	}
	return companions
}

// completes reports whether a call with the part completed on this host lately.
func (p *Parts) completes(now time.Duration, part uint64) bool {
	return p.runs.get(now, part).count > 0
}

// merge adds a record. Changes by this host (own) are sent to the others.
func (p *Parts) merge(now, at time.Duration, r PartRecord, own bool) {
	list, _ := p.evidence.get(now, r.part)
	i := list.index(r.crash)
	switch {
	case i < 0 && len(list) >= maxObservations:
		return
	case i < 0:
		list, i = list.insert(observation{crash: r.crash, at: at})
		p.addSuspect(now, r)
	case list[i].evidence >= r.evidence && list[i].cleared >= r.cleared:
		return
	}
	o := &list[i]
	o.evidence = max(o.evidence, r.evidence)
	o.cleared = min(max(o.cleared, r.cleared), o.evidence)
	p.evidence.put(now, r.part, list)
	if own {
		p.publish(r.part, *o)
	}
}

// addSuspect adds the part of a record to those of its crash.
func (p *Parts) addSuspect(now time.Duration, r PartRecord) {
	parts, _ := p.suspects.get(now, r.crash)
	if !slices.Contains(parts, r.part) {
		parts = append(parts, r.part)
	}
	p.suspects.put(now, r.crash, parts)
}

// clear clears the evidence of one crash against a part.
func (p *Parts) clear(part uint64, o *observation) {
	if o.weight() == 0 {
		return
	}
	o.cleared = o.evidence
	p.publish(part, *o)
}

func (p *Parts) publish(part uint64, o observation) {
	if p.notify != nil {
		p.notify(PartRecord{part: part, crash: o.crash, evidence: o.evidence, cleared: o.cleared})
	}
}

// index returns the index of a crash, or -1.
func (l observations) index(crash uint64) int {
	return slices.IndexFunc(l, func(o observation) bool { return o.crash == crash })
}

// insert returns the list with an observation at its place in the order of time, and its index.
func (l observations) insert(o observation) (list observations, index int) {
	index = len(l)
	for index > 0 && l[index-1].at > o.at {
		index--
	}
	return slices.Insert(l, index, o), index
}

// weight returns the evidence that is not cleared. Of crashes within crashInterval the heaviest one
// counts.
func (l observations) weight() (sum int) {
	began, heaviest := time.Duration(0), 0
	for _, o := range l {
		if o.weight() == 0 {
			continue
		}
		if heaviest > 0 && o.at-began < crashInterval {
			sum += max(o.weight()-heaviest, 0)
			heaviest = max(heaviest, o.weight())
			continue
		}
		began, heaviest = o.at, o.weight()
		sum += heaviest
	}
	return sum
}

// covers reports whether the list has at least the evidence of each crash that another one has.
func (l observations) covers(other observations) bool {
	for _, o := range other {
		if o.weight() == 0 {
			continue
		}
		if i := l.index(o.crash); i < 0 || l[i].weight() < o.weight() {
			return false
		}
	}
	return true
}
