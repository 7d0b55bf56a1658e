package selfreport

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/discovery"
)

const (
	// changeRatio is the relative change from which on another limit counts as a change. Targets adapt
	// their limits all the time.
	changeRatio = 0.1
	// notStated is the age of a fact that was not stated before.
	notStated = -time.Millisecond
)

// incarnation identifies one process of a target.
type incarnation struct {
	id      string
	startID int64
}

func incarnationOf(t discovery.Target) incarnation { return incarnation{id: t.ID, startID: t.StartID} }

func (i incarnation) hash() uint64 {
	return xxhash.Sum64String(i.id + "\x00" + strconv.FormatInt(i.startID, 16))
}

// report is what is known from the statements of one target.
type report struct {
	target discovery.Target
	// hash is that of the incarnation, equal on all hosts.
	hash uint64
	// leavingUntil is until when the target counts as leaving.
	leavingUntil time.Duration
	// limit is in requests per second; negative for none. limitSince is when it last changed, heard
	// when it was last stated to any host.
	limit             float64
	limitSince, heard time.Duration
	// version is that of the newest record about the target that this host has or has sent, at the
	// time published.
	version   uint64
	published time.Duration
	pause     pause

	cold   coldState
	bucket bucket
	// hostsVersion and shareLimit are those for which the share of the bucket was computed.
	hostsVersion uint64
	shareLimit   float64
}

// Table has the statements of all targets. It is not safe for concurrent use.
type Table struct {
	// hostsVersion counts the changes of hosts.
	hosts        hostList
	hostsVersion uint64
	// reports has the targets that have stated anything, and those only.
	reports map[incarnation]*report
	// records has the records to send to other hosts.
	records []Record
	slow    slowStarts
}

// Option configures a Table.
type Option func(*Table)

// WithColdBound bounds the requests to cold targets.
func WithColdBound(bound ColdBound) Option { return func(t *Table) { t.slow.bound = bound } }

// New returns the empty table of the host with the name.
func New(self string, options ...Option) *Table {
	t := &Table{hosts: newHostList(self, nil), hostsVersion: 1, reports: make(map[incarnation]*report), slow: newSlowStarts(self, ColdBound{})}
	for _, o := range options {
		o(t)
	}
	return t
}

// Len returns the number of targets that have stated anything.
func (t *Table) Len() int { return len(t.reports) }

// SetHosts sets the names of the hosts that send requests. This host counts as one of them.
func (t *Table) SetHosts(names []string) {
	if hosts := newHostList(t.hosts.self, names); !slices.Equal(hosts.names, t.hosts.names) {
		t.hosts = hosts
		t.hostsVersion++
	}
}

// Retain removes the statements of all targets that are not in the lists.
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
		if !s.Leaving && !s.Limited && s.Wait <= 0 && (s.Cold <= 0 || !t.slow.enabled()) {
			return nil
		}
		r = t.add(target)
	}
	if s.Leaving {
		changes = append(changes, r.setLeaving(now, now)...)
	}
	limit := r.limit
	if !s.LimitUnreadable {
		limit = -1
		if s.Limited {
			limit = s.Limit
		}
		r.heard = now
		changes = append(changes, r.setLimit(now, limit)...)
	}
	notable := false
	if s.ColdStated {
		var cold []Change
		cold, notable = t.observeCold(now, r, s.Cold)
		changes = append(changes, cold...)
	}
	if notable || len(changes) > 0 || limit >= 0 && now-r.published >= refreshInterval {
		t.publish(now, r)
	}
	if s.Wait <= 0 {
		r.pause.answered(now)
		return changes
	}
	r.pause.start(now, s.Wait, t.hosts.phase(r.hash))
	return append(changes, Change{target: target, fact: Wait, value: s.Wait.Seconds(), age: notStated})
}

// add adds a report about a target that has stated nothing so far.
func (t *Table) add(target discovery.Target) *report {
	r := &report{target: target, hash: incarnationOf(target).hash(), limit: -1, limitSince: -1}
	t.reports[incarnationOf(target)] = r
	return r
}

// publish queues a record for the other hosts.
func (t *Table) publish(now time.Duration, r *report) {
	r.version++
	r.published = now
	t.records = append(t.records, NewRecord(r.target.ID, r.target.StartID, r.version, r.leaving(now), r.limit, r.recordedCold(now), 0))
}

func (r *report) leaving(now time.Duration) bool { return now < r.leavingUntil }

// setLeaving records that the target stated at a time that it leaves, and returns the change if this is
// new.
func (r *report) setLeaving(now, stated time.Duration) (changes []Change) {
	if !r.leaving(now) {
		changes = []Change{{target: r.target, fact: Leaving, value: 1, age: notStated}}
	}
	r.leavingUntil = max(r.leavingUntil, stated+leavingTTL)
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

// HasRecords reports whether there are records to send to other hosts.
func (t *Table) HasRecords() bool { return len(t.records) > 0 }

// TakeRecords returns the records to send to other hosts, and forgets them.
func (t *Table) TakeRecords() (records []Record) {
	records, t.records = t.records, nil
	return records
}

// Merge records what another host was told by a target, and returns what changed by it.
func (t *Table) Merge(now time.Duration, target discovery.Target, record Record) (changes []Change) {
	r, known := t.reports[incarnationOf(target)]
	if !known {
		if record.limit < 0 && !record.leaving && (record.cold <= record.age || !t.slow.enabled()) {
			return nil
		}
		r = t.add(target)
	}
	if record.leaving && record.age < leavingTTL {
		changes = r.setLeaving(now, now-record.age)
	}
	if record.version <= r.version {
		return changes
	}
	r.version, r.published, r.heard = record.version, now-record.age, max(r.heard, now-record.age)
	changes = append(changes, t.mergeCold(now, r, record)...)
	return append(changes, r.setLimit(now, record.limit)...)
}

// Wait returns how long this host may send no request to a target; zero if it may send one now.
func (t *Table) Wait(now time.Duration, target discovery.Target, senders Senders) time.Duration {
	r, ok := t.reports[incarnationOf(target)]
	switch {
	case !ok:
		return 0
	case r.leaving(now):
		return Never
	}
	wait := r.pause.wait(now)
	if t.limited(now, r, senders) {
		wait = max(wait, r.bucket.wait(now))
	}
	if t.isCold(now, r, senders) {
		wait = max(wait, r.cold.wait(now))
	}
	return wait
}

// Paused returns how long the target wants no requests from this host, whatever its limit is.
func (t *Table) Paused(now time.Duration, target discovery.Target) time.Duration {
	if r, ok := t.reports[incarnationOf(target)]; ok {
		return max(r.pause.until-now, 0)
	}
	return 0
}

// Take counts a request that this host sends to a target once the current Wait has passed.
func (t *Table) Take(now time.Duration, target discovery.Target, senders Senders) {
	r, ok := t.reports[incarnationOf(target)]
	if !ok {
		return
	}
	r.pause.take(now)
	if t.limited(now, r, senders) {
		r.bucket.take(now)
	}
	if t.isCold(now, r, senders) {
		r.cold.take(now)
	}
}

// Rate returns how many requests a second this host may send to a target; infinite without a limit.
func (t *Table) Rate(now time.Duration, target discovery.Target, senders Senders) float64 {
	r, ok := t.reports[incarnationOf(target)]
	switch {
	case !ok:
		return math.Inf(1)
	case r.leaving(now):
		return 0
	}
	rate := math.Inf(1)
	if t.limited(now, r, senders) {
		rate = r.bucket.share.rate()
	}
	if t.isCold(now, r, senders) {
		rate = min(rate, r.cold.share.rate())
	}
	return rate
}

// limited reports whether a target has a limit that holds, and brings its bucket up to date.
func (t *Table) limited(now time.Duration, r *report, senders Senders) bool {
	if r.limit >= 0 && now-r.heard > limitTTL {
		r.setLimit(now, -1)
	}
	if r.limit < 0 {
		r.bucket, r.hostsVersion = bucket{}, 0
		return false
	}
	if r.hostsVersion != t.hostsVersion || r.shareLimit != r.limit {
		r.bucket.setShare(now, newShare(senders, r.limit, r.hash, t.hosts), t.hosts.phase(r.hash))
		r.hostsVersion, r.shareLimit = t.hostsVersion, r.limit
	}
	return true
}
