package selfreport

import (
	"math"
	"time"

	"sassafrasward/core/discovery"
)

// changeRatio is the relative change from which on another limit counts as a change. Targets adapt their
// limits all the time.
const changeRatio = 0.1

// notStated is the age of a fact that was not stated before.
const notStated = -time.Millisecond

// incarnation identifies one process of a target.
type incarnation struct {
	id      string
	startID int64
}

func incarnationOf(t discovery.Target) incarnation { return incarnation{id: t.ID, startID: t.StartID} }

// report is what is known from the statements of one target.
type report struct {
	target discovery.Target
	// leavingSince is when the target first stated that it leaves; negative if it did not.
	leavingSince time.Duration
	// limit is in requests per second; negative for none. limitSince is when it last changed.
	limit      float64
	limitSince time.Duration
	// waitUntil is the end of the longest wait that the target asked for.
	waitUntil time.Duration
}

// Table has the statements of all targets. It is not safe for concurrent use.
type Table struct {
	// reports has the targets that have stated anything, and those only.
	reports map[incarnation]*report
}

// New returns an empty table.
func New() *Table { return &Table{reports: make(map[incarnation]*report)} }

// Len returns the number of targets that have stated anything.
func (t *Table) Len() int { return len(t.reports) }

// Retain removes the statements of all targets that are not in the list.
func (t *Table) Retain(targets map[string][]discovery.Target) {
	if len(t.reports) == 0 {
		return
	}
	known := make(map[incarnation]bool)
	for _, list := range targets {
		for _, target := range list {
			known[incarnationOf(target)] = true
		}
	}
	for key := range t.reports {
		if !known[key] {
			delete(t.reports, key)
		}
	}
}

// Observe records what an answer of a target states, and returns what changed by it.
func (t *Table) Observe(now time.Duration, target discovery.Target, s Statement) (changes []Change) {
	r, known := t.reports[incarnationOf(target)]
	if !known {
		if !s.Leaving && !s.Limited && s.Wait <= 0 {
			return nil
		}
		r = &report{target: target, leavingSince: -1, limit: -1, limitSince: -1}
		t.reports[incarnationOf(target)] = r
	}
	if s.Leaving && r.leavingSince < 0 {
		r.leavingSince = now
		changes = append(changes, Change{target: target, fact: Leaving, value: 1, age: notStated})
	}
	if !s.LimitUnreadable {
		limit := -1.0
		if s.Limited {
			limit = s.Limit
		}
		changes = append(changes, r.setLimit(now, limit)...)
	}
	if s.Wait > 0 {
		age := notStated
		if r.waitUntil > 0 {
			age = max(now-r.waitUntil, 0)
		}
		changes = append(changes, Change{target: target, fact: Wait, value: s.Wait.Seconds(), age: age})
		r.waitUntil = max(r.waitUntil, now+s.Wait)
	}
	return changes
}

// setLimit sets the limit and returns the change if it is a notable one.
func (r *report) setLimit(now time.Duration, limit float64) (changes []Change) {
	if limit == r.limit {
		return nil
	}
	if limit < 0 || r.limit < 0 || math.Abs(limit-r.limit) > changeRatio*r.limit {
		age := notStated
		if r.limitSince >= 0 {
			age = now - r.limitSince
		}
		changes = []Change{{target: r.target, fact: Limit, value: limit, age: age}}
		r.limitSince = now
	}
	r.limit = limit
	return changes
}
