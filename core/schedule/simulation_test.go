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

// simulation runs the schedulers of several hosts against simulated targets in virtual time.
// A target has slots and a queue of its own, and reports its load with each answer.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	events       events
	hosts        []*schedule.Scheduler
	targets      []*simTarget
	calls        map[schedule.ID]*call
	offeredCalls []*call
	// attempts counts the calls sent to targets; lastNumber is the last call ID or event number.
	attempts, lastNumber int
	// stopArrivals is set to stop the arrival of calls.
	stopArrivals bool
}

type simTarget struct {
	name     string
	slots    int
	busy     map[schedule.ID]bool
	queue    []func()
	slowdown func(now time.Duration) float64
}

// workload is a stream of calls of one workspace.
type workload struct {
	workspace string
	rate      func(now time.Duration) float64 // calls per second
	service   time.Duration
	deadline  time.Duration
	long      bool
	// sigma is the standard deviation of the logarithm of the service time, whose mean is service.
	sigma float64
}

type call struct {
	source             *workload
	host               *schedule.Scheduler
	arrivedAt, endedAt time.Duration
	refused            bool
	duration           time.Duration
}

func (c *call) inTime() bool {
	return !c.refused && c.endedAt > 0 && c.endedAt <= c.arrivedAt+c.source.deadline
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func newSimulation(seed uint64, hosts, targets, slots int, p schedule.Policy) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(seed, 1)), calls: make(map[schedule.ID]*call)}
	var list []schedule.Target
	for i := range targets {
		name := fmt.Sprintf("t%03d", i)
		m.targets = append(m.targets, &simTarget{name: name, slots: slots, busy: make(map[schedule.ID]bool), slowdown: func(time.Duration) float64 { return 1 }})
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

func (m *simulation) after(d time.Duration, run func()) {
	m.lastNumber++
	heap.Push(&m.events, event{at: m.now + d, number: m.lastNumber, run: run})
}

func (m *simulation) tick(s *schedule.Scheduler) {
	m.after(100*ms, func() {
		m.apply(s, s.Tick(m.now))
		m.tick(s)
	})
}

// addWorkload makes the calls of a workload arrive as a Poisson process.
func (m *simulation) addWorkload(w workload) {
	rate := max(w.rate(m.now), 0.001)
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.rate(m.now) > 0 && !m.stopArrivals {
			m.offer(&w)
		}
		m.addWorkload(w)
	})
}

func (m *simulation) offer(w *workload) {
	m.lastNumber++
	id := schedule.ID(m.lastNumber)
	work := float64(w.service) * math.Exp(w.sigma*m.random.NormFloat64()-w.sigma*w.sigma/2)
	c := &call{source: w, host: m.hosts[m.random.IntN(len(m.hosts))], arrivedAt: m.now, duration: time.Duration(work)}
	m.calls[id] = c
	m.offeredCalls = append(m.offeredCalls, c)
	d := c.host.Offer(m.now, schedule.NewCall(id, w.workspace, m.now+w.deadline,
		schedule.WithLong(w.long), schedule.WithIdempotent(true), schedule.WithPipeline(w.workspace)))
	switch d.Verdict() {
	case schedule.Started:
		m.send(id, c, d.Target())
	case schedule.Refused:
		c.refused = true
	}
}

func (m *simulation) apply(host *schedule.Scheduler, actions schedule.Actions) {
	for _, start := range actions.Starts() {
		c := m.calls[start.ID()]
		if start.Hedge() != 0 {
			c = m.calls[start.Hedge()]
			m.calls[start.ID()] = c
		}
		m.send(start.ID(), c, start.Target())
	}
	for _, refusal := range actions.Refusals() {
		m.calls[refusal.ID()].refused = true
	}
	for _, id := range actions.Cancels() {
		m.cancelRun(id)
		m.apply(host, host.Finish(m.now, schedule.NewResult(id, schedule.Cancelled)))
	}
}

// send sends a call to a target. The network delay is 1 ms in each direction.
func (m *simulation) send(id schedule.ID, c *call, target string) {
	m.attempts++
	i := slices.IndexFunc(m.targets, func(s *simTarget) bool { return s.name == target })
	s := m.targets[i]
	m.after(ms, func() {
		begin := func() {
			s.busy[id] = true
			m.after(time.Duration(float64(c.duration)*s.slowdown(m.now)), func() { m.answer(id, c, s) })
		}
		if len(s.busy) < s.slots {
			begin()
			return
		}
		s.queue = append(s.queue, begin)
	})
}

func (m *simulation) answer(id schedule.ID, c *call, s *simTarget) {
	if !s.busy[id] {
		return
	}
	load := schedule.NewLoad(len(s.busy), len(s.queue), s.slots)
	m.freeSlot(id, s)
	m.after(ms, func() {
		if c.endedAt == 0 {
			c.endedAt = m.now
		}
		m.apply(c.host, c.host.Finish(m.now, schedule.NewResult(id, schedule.Completed, schedule.WithLoad(load))))
	})
}

func (m *simulation) freeSlot(id schedule.ID, s *simTarget) {
	delete(s.busy, id)
	if len(s.queue) > 0 {
		begin := s.queue[0]
		s.queue = s.queue[1:]
		begin()
	}
}

// cancelRun stops a cancelled run on its target.
func (m *simulation) cancelRun(id schedule.ID) {
	for _, s := range m.targets {
		if s.busy[id] {
			m.freeSlot(id, s)
		}
	}
}

func (m *simulation) run(until time.Duration) {
	for m.events[0].at <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// callsOffered returns the calls of a workspace that were offered in the interval.
func (m *simulation) callsOffered(workspace string, from, to time.Duration) (calls []*call) {
	for _, c := range m.offeredCalls {
		if c.source.workspace == workspace && c.arrivedAt >= from && c.arrivedAt < to {
			calls = append(calls, c)
		}
	}
	return calls
}

// answerRate returns the answers in time per second in the interval.
func (m *simulation) answerRate(from, to time.Duration) float64 {
	n := 0
	for _, c := range m.offeredCalls {
		if c.inTime() && c.endedAt >= from && c.endedAt < to {
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

// p99 returns the 99% quantile of the latency of the answered calls.
func p99(calls []*call) time.Duration {
	var times []time.Duration
	for _, c := range calls {
		if c.endedAt > 0 {
			times = append(times, c.endedAt-c.arrivedAt)
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
