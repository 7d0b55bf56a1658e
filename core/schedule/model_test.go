package schedule_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasward/core/schedule"
)

const ms = time.Millisecond

// model runs schedulers of several hosts against simple targets in virtual time. A target
// has slots and a queue of its own; an answer carries its load.
type model struct {
	random  *rand.Rand
	now     time.Duration
	events  events
	hosts   []*schedule.Scheduler
	targets []*server
	calls   map[schedule.ID]*call
	done    []*call
	// attempts counts the calls that reached a target.
	attempts, last int
	// stop ends the arrival of calls.
	stop bool
}

type server struct {
	name   string
	slots  int
	busy   map[schedule.ID]bool
	queue  []func()
	factor func(now time.Duration) float64
}

// load is one stream of calls.
type load struct {
	workspace string
	rate      func(now time.Duration) float64 // calls per second
	service   time.Duration
	deadline  time.Duration
	long      bool
	// spread is the sigma of the lognormal service time.
	spread float64
}

type call struct {
	load    *load
	host    *schedule.Scheduler
	at, end time.Duration
	refused bool
	work    time.Duration
}

func (c *call) inTime() bool { return !c.refused && c.end > 0 && c.end <= c.at+c.load.deadline }

type event struct {
	at  time.Duration
	n   int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func newModel(seed uint64, hosts, targets, slots int, p schedule.Policy) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), calls: make(map[schedule.ID]*call)}
	var list []schedule.Target
	for i := range targets {
		name := fmt.Sprintf("t%03d", i)
		m.targets = append(m.targets, &server{name: name, slots: slots, busy: make(map[schedule.ID]bool), factor: func(time.Duration) float64 { return 1 }})
		list = append(list, schedule.NewTarget(name, "a", slots, false))
	}
	for i := range hosts {
		s := schedule.New(rand.New(rand.NewPCG(seed, uint64(i)+2)), schedule.WithPolicy(p), schedule.WithZone("a"))
		s.SetTargets(0, list)
		m.hosts = append(m.hosts, s)
		m.tick(s)
	}
	return m
}

func (m *model) after(d time.Duration, run func()) {
	m.last++
	heap.Push(&m.events, event{at: m.now + d, n: m.last, run: run})
}

func (m *model) tick(s *schedule.Scheduler) {
	m.after(100*ms, func() {
		m.step(s, s.Tick(m.now))
		m.tick(s)
	})
}

// add makes the calls of a load arrive at random.
func (m *model) add(l load) {
	rate := max(l.rate(m.now), 0.001)
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if l.rate(m.now) > 0 && !m.stop {
			m.offer(&l)
		}
		m.add(l)
	})
}

func (m *model) offer(l *load) {
	m.last++
	id := schedule.ID(m.last)
	work := float64(l.service) * math.Exp(l.spread*m.random.NormFloat64()-l.spread*l.spread/2)
	c := &call{load: l, host: m.hosts[m.random.IntN(len(m.hosts))], at: m.now, work: time.Duration(work)}
	m.calls[id] = c
	m.done = append(m.done, c)
	d := c.host.Offer(m.now, schedule.NewCall(id, l.workspace, m.now+l.deadline,
		schedule.WithLong(l.long), schedule.WithIdempotent(true), schedule.WithPipeline(l.workspace)))
	switch d.Verdict() {
	case schedule.Started:
		m.send(id, c, d.Target())
	case schedule.Refused:
		c.refused = true
	}
}

func (m *model) step(host *schedule.Scheduler, step schedule.Actions) {
	for _, start := range step.Starts() {
		c := m.calls[start.ID()]
		if start.Hedge() != 0 {
			c = m.calls[start.Hedge()]
			m.calls[start.ID()] = c
		}
		m.send(start.ID(), c, start.Target())
	}
	for _, refusal := range step.Refusals() {
		m.calls[refusal.ID()].refused = true
	}
	for _, id := range step.Cancels() {
		m.release(id)
		m.step(host, host.Finish(m.now, schedule.NewResult(id, schedule.Cancelled)))
	}
}

// send takes 1 ms each way.
func (m *model) send(id schedule.ID, c *call, target string) {
	m.attempts++
	i := slices.IndexFunc(m.targets, func(s *server) bool { return s.name == target })
	s := m.targets[i]
	m.after(ms, func() {
		begin := func() {
			s.busy[id] = true
			m.after(time.Duration(float64(c.work)*s.factor(m.now)), func() { m.answer(id, c, s) })
		}
		if len(s.busy) < s.slots {
			begin()
			return
		}
		s.queue = append(s.queue, begin)
	})
}

func (m *model) answer(id schedule.ID, c *call, s *server) {
	if !s.busy[id] {
		return
	}
	load := schedule.NewLoad(len(s.busy), len(s.queue), s.slots)
	m.free(id, s)
	m.after(ms, func() {
		if c.end == 0 {
			c.end = m.now
		}
		m.step(c.host, c.host.Finish(m.now, schedule.NewResult(id, schedule.Completed, schedule.WithLoad(load))))
	})
}

func (m *model) free(id schedule.ID, s *server) {
	delete(s.busy, id)
	if len(s.queue) > 0 {
		begin := s.queue[0]
		s.queue = s.queue[1:]
		begin()
	}
}

// release stops a cancelled run at its target.
func (m *model) release(id schedule.ID) {
	for _, s := range m.targets {
		if s.busy[id] {
			m.free(id, s)
		}
	}
}

func (m *model) run(until time.Duration) {
	for m.events[0].at <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// offered returns the calls of a workspace that were offered in the interval.
func (m *model) offered(workspace string, from, to time.Duration) (calls []*call) {
	for _, c := range m.done {
		if c.load.workspace == workspace && c.at >= from && c.at < to {
			calls = append(calls, c)
		}
	}
	return calls
}

// answered returns the in-time answers per second that ended in the interval.
func (m *model) answered(from, to time.Duration) float64 {
	n := 0
	for _, c := range m.done {
		if c.inTime() && c.end >= from && c.end < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func attainment(calls []*call) float64 {
	n := 0
	for _, c := range calls {
		if c.inTime() {
			n++
		}
	}
	return float64(n) / float64(max(len(calls), 1))
}

// p99 returns the 99% quantile of the time of the calls that were answered.
func p99(calls []*call) time.Duration {
	var times []time.Duration
	for _, c := range calls {
		if c.end > 0 {
			times = append(times, c.end-c.at)
		}
	}
	slices.Sort(times)
	if len(times) == 0 {
		return 0
	}
	return times[len(times)*99/100]
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}
