package admit_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/admit"
	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
	"sassafrasward/core/route"
)

// specs has the batching parameters of three pools, one for each stage of a request.
var specs = []route.Batch{
	{Slots: 1, MaxPieces: 10, CallTime: 200 * time.Millisecond, PieceTime: 17 * time.Millisecond, ResultMemory: 22_000_000, ResultTTL: 4 * time.Second},
	{Slots: 1, MaxPieces: 22, CallTime: 200 * time.Millisecond, PieceTime: 7800 * time.Microsecond, ResultMemory: 2_800_000, ResultTTL: 4 * time.Second},
	{Slots: 1, MaxPieces: 52, CallTime: 200 * time.Millisecond, PieceTime: 3300 * time.Microsecond, ResultMemory: 700_000, ResultTTL: 4 * time.Second},
}

const (
	timeout = 8 * time.Second
	// answerTime is the time that the model engine takes after the stages.
	answerTime = 170 * time.Millisecond
	// reportInterval is the interval at which pools report their backlogs.
	reportInterval = 200 * time.Millisecond
)

// fleet describes the pools of a simulation and the requests that it gets.
type fleet struct {
	specs []route.Batch
	// targets is the number of targets of each pool.
	targets   int
	objective time.Duration
	// stages returns the stages of a new request.
	stages func(random *rand.Rand) []stageSpec
}

// smallFleet has five targets in each pool.
var smallFleet = fleet{specs: specs, targets: 5, objective: 2 * time.Second, stages: func(random *rand.Rand) []stageSpec {
	return []stageSpec{{1, 8_000}, {4, 60_000}, {4 + random.IntN(12), 6_000}}
}}

// stageSpec is one stage of a request. The stages of a request run in sequence.
type stageSpec struct {
	pieces int
	bytes  int64
}

// request is a request with the state of its current stage.
type request struct {
	id      uint64
	arrived time.Duration
	// retryAt is when a refused request is sent again; zero before its refusal.
	retryAt    time.Duration
	priority   int
	stages     []stageSpec
	stageIndex int
	// inputBytes holds the size of the previous stage's results by target, resultBytes that of
	// the current stage's results.
	inputBytes, resultBytes map[string]int64
	missingPieces           int
	decision                admit.Decision
}

// simulation runs requests through three pools in virtual time.
type simulation struct {
	fleet

	random   *rand.Rand
	pools    []*batch.Dispatcher
	slowdown map[string]float64
	arrivals []*request
	jobs     map[uint64]*request
	ends     []callEnd
	backlogs []admit.Backlog
	// releases lists results that are released once the message has reached their target.
	releases []release

	inTime, late, refused, abandoned int
	busy                             time.Duration
}

type callEnd struct {
	at   time.Duration
	pool int
	call batch.Call
}

type release struct {
	at     time.Duration
	pool   int
	target string
	bytes  int64
}

func newSimulation(seed uint64, f fleet) *simulation {
	sim := &simulation{fleet: f, random: rand.New(rand.NewPCG(seed, 3)), slowdown: make(map[string]float64), jobs: make(map[uint64]*request), backlogs: make([]admit.Backlog, len(f.specs))}
	for p, spec := range f.specs {
		d := batch.New(spec)
		var list []discovery.Target
		for i := range f.targets {
			list = append(list, discovery.Target{ID: fmt.Sprintf("p%d.%d", p, i), Address: fmt.Sprintf("10.0.%d.%d:80", p, i+1), Zone: "a", Slots: 1})
		}
		d.SetTargets(list)
		sim.pools = append(sim.pools, d)
	}
	return sim
}

// addArrivals adds requests that arrive between two times with the given rate per second, in
// bursts of 1 to 5.
func (sim *simulation) addArrivals(from, to time.Duration, rate float64, priority int) {
	for at := from; at < to; at += time.Duration(sim.random.ExpFloat64() / rate * 3 * float64(time.Second)) {
		for range 1 + sim.random.IntN(5) {
			sim.arrivals = append(sim.arrivals, &request{
				arrived: at, priority: priority, inputBytes: make(map[string]int64), resultBytes: make(map[string]int64),
				stages: sim.stages(sim.random),
			})
		}
	}
}

func (sim *simulation) run() {
	slices.SortStableFunc(sim.arrivals, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	last := uint64(0)
	for now := time.Duration(0); len(sim.arrivals)+len(sim.jobs) > 0; now += time.Millisecond {
		if now%reportInterval == 0 {
			for p, d := range sim.pools {
				sim.backlogs[p].OnTimeWait, sim.backlogs[p].LateWait, sim.backlogs[p].Growth = d.Backlog(now)
			}
		}
		sim.step(now)
		for len(sim.arrivals) > 0 && sim.arrivals[0].nextArrival() <= now {
			r := sim.arrivals[0]
			sim.arrivals = sim.arrivals[1:]
			last++
			r.id = last
			decision, retryAfter := admit.Admit(sim.estimate(r, now))
			if r.decision = decision; decision == admit.Refused {
				sim.refuse(now, r, retryAfter)
				continue
			}
			sim.offerStage(now, r)
		}
		for p, d := range sim.pools {
			for _, c := range d.NextCalls(now) {
				duration := sim.specs[p].CallTime + time.Duration(len(c.Items))*sim.specs[p].PieceTime
				duration = time.Duration(float64(duration) * max(sim.slowdown[c.Target.ID], 1) * (0.97 + 0.06*sim.random.Float64()))
				sim.busy += duration
				sim.ends = append(sim.ends, callEnd{at: now + duration, pool: p, call: c})
			}
		}
	}
}

// estimate returns the expected durations of a request's path and its time limits.
func (sim *simulation) estimate(r *request, now time.Duration) (onTime, late time.Duration, limits admit.TimeLimits) {
	p := admit.Path{AnswerTime: answerTime}
	for i, s := range r.stages {
		spec := sim.specs[i]
		inputTTL := time.Duration(0)
		if i > 0 {
			inputTTL = spec.ResultTTL
		}
		p.Stages = append(p.Stages, admit.Stage{
			Height: len(r.stages) - i, Backlog: sim.backlogs[i], ServiceTime: spec.CallTime + time.Duration(s.pieces)*spec.PieceTime, InputTTL: inputTTL,
		})
	}
	onTime, late = p.Estimate()
	elapsed := now - r.arrived
	return onTime, late, admit.TimeLimits{Objective: sim.objective, ObjectiveLeft: sim.objective - elapsed, Timeout: timeout, TimeoutLeft: timeout - elapsed}
}

// offerStage offers the current stage of a request to its pool.
func (sim *simulation) offerStage(now time.Duration, r *request) {
	s := r.stages[r.stageIndex]
	remaining := answerTime
	for i := r.stageIndex + 1; i < len(r.stages); i++ {
		remaining += sim.specs[i].CallTime + time.Duration(r.stages[i].pieces)*sim.specs[i].PieceTime
	}
	deadline := r.arrived + timeout - remaining
	if r.stageIndex > 0 {
		deadline = min(deadline, now+sim.specs[r.stageIndex].ResultTTL)
	}
	softDeadline := r.arrived + sim.objective - remaining
	if r.decision == admit.Late {
		softDeadline = 0
	}
	job := batch.Job{
		ID: r.id, Arrived: r.arrived, Priority: r.priority, SoftDeadline: softDeadline, Deadline: deadline,
		Pieces: s.pieces, Bytes: s.bytes, HasPriorWork: r.stageIndex > 0,
	}
	if _, ok := sim.pools[r.stageIndex].Offer(now, job); !ok {
		sim.abandon(now, r)
		return
	}
	r.missingPieces = s.pieces
	sim.jobs[r.id] = r
}

// refuse refuses a request. Its caller retries once, after at most a third of its remaining time.
func (sim *simulation) refuse(now time.Duration, r *request, retryAfter time.Duration) {
	if r.retryAt > 0 {
		sim.refused++
		return
	}
	r.retryAt = now + min(retryAfter, (r.arrived+timeout-now)/3)
	sim.arrivals = append(sim.arrivals, r)
	slices.SortStableFunc(sim.arrivals, func(a, b *request) int { return cmp.Compare(a.nextArrival(), b.nextArrival()) })
}

// nextArrival returns when a request arrives, or arrives again after a refusal.
func (r *request) nextArrival() time.Duration { return max(r.arrived, r.retryAt) }

// abandon ends a request without an answer.
func (sim *simulation) abandon(now time.Duration, r *request) {
	sim.abandoned++
	delete(sim.jobs, r.id)
	sim.releaseInputs(now, r)
}

// releaseInputs releases the results of the previous stage.
func (sim *simulation) releaseInputs(now time.Duration, r *request) {
	for target, bytes := range r.inputBytes {
		sim.releases = append(sim.releases, release{at: now + 4*time.Millisecond, pool: r.stageIndex - 1, target: target, bytes: bytes})
	}
	r.inputBytes = make(map[string]int64)
}

func (sim *simulation) step(now time.Duration) {
	sim.releases = slices.DeleteFunc(sim.releases, func(r release) bool {
		if now >= r.at {
			sim.pools[r.pool].ReleaseMemory(r.target, r.bytes)
		}
		return now >= r.at
	})
	sim.ends = slices.DeleteFunc(sim.ends, func(e callEnd) bool {
		if now >= e.at {
			sim.finishCall(now, e)
		}
		return now >= e.at
	})
	for p, d := range sim.pools {
		for _, id := range d.InfeasibleJobs(now) {
			d.RemoveJob(id)
			if r, ok := sim.jobs[id]; ok && r.stageIndex == p {
				sim.abandon(now, r)
			}
		}
	}
}

func (sim *simulation) finishCall(now time.Duration, e callEnd) {
	d := sim.pools[e.pool]
	d.FinishCall(now, e.call.ID, batch.Completed)
	for _, i := range e.call.Items {
		r, ok := sim.jobs[i.Job]
		if !ok || r.stageIndex != e.pool {
			continue
		}
		r.resultBytes[e.call.Target.ID] += r.stages[r.stageIndex].bytes
		if r.missingPieces--; r.missingPieces > 0 {
			continue
		}
		d.CompleteJob(now, r.id)
		d.RemoveJob(r.id)
		sim.releaseInputs(now, r)
		r.inputBytes, r.resultBytes = r.resultBytes, make(map[string]int64)
		r.stageIndex++
		if r.stageIndex < len(r.stages) {
			sim.offerStage(now, r)
			continue
		}
		delete(sim.jobs, r.id)
		// The model engine reads the last results before its first event.
		sim.releaseInputs(now+answerTime, r)
		if now+answerTime <= r.arrived+sim.objective {
			sim.inTime++
		} else {
			sim.late++
		}
	}
}

// TestBurstEndsInTime guards against admitting requests that are expected to end just in time.
// Most of them end slightly late if the load is a little above the capacity of the pools.
func TestBurstEndsInTime(t *testing.T) { testBurst(t, 1) }

// TestBurstOfLowPriority guards against a backlog that is reported for more urgent requests than those
// that arrive, which would overtake most of the queue.
func TestBurstOfLowPriority(t *testing.T) { testBurst(t, 3) }

func testBurst(t *testing.T, priority int) {
	inTime, late, abandoned, refused := 0, 0, 0, 0
	for seed := range uint64(20) {
		sim := newSimulation(seed, smallFleet)
		sim.addArrivals(0, 2*time.Second, 30, priority)
		sim.addArrivals(2*time.Second, 8*time.Second, 90, priority)
		sim.addArrivals(8*time.Second, 10*time.Second, 30, priority)
		sim.run()
		inTime, late, abandoned, refused = inTime+sim.inTime, late+sim.late, abandoned+sim.abandoned, refused+sim.refused
	}
	t.Logf("in time %d, late %d, abandoned %d, refused %d", inTime, late, abandoned, refused)
	is := is.New(t)
	is.True(late*5 <= inTime)              // including retried requests
	is.True(refused+abandoned <= inTime/4) // most retries are served
}

// grownFleet is the part of a grown deployment in one availability zone.
var grownFleet = fleet{
	specs: []route.Batch{
		{Slots: 1, MaxPieces: 20, CallTime: 200 * time.Millisecond, PieceTime: 8600 * time.Microsecond, ResultMemory: 45_000_000, ResultTTL: 4 * time.Second},
		{Slots: 1, MaxPieces: 62, CallTime: 200 * time.Millisecond, PieceTime: 2800 * time.Microsecond, ResultMemory: 8_200_000, ResultTTL: 4 * time.Second},
		{Slots: 1, MaxPieces: 86, CallTime: 200 * time.Millisecond, PieceTime: 2 * time.Millisecond, ResultMemory: 1_100_000, ResultTTL: 4 * time.Second},
	},
	targets: 4, objective: 1800 * time.Millisecond,
	stages: func(random *rand.Rand) []stageSpec {
		return []stageSpec{{1, 8_000}, {6, 60_000}, {5 + random.IntN(11), 6_000}}
	},
}

// TestPeakOfPipeline guards against a peak at twice what the pools can do in which most of the work
// is spent on requests that end just after their objective.
func TestPeakOfPipeline(t *testing.T) {
	is := is.New(t)
	inTime, late, abandoned, refused := 0, 0, 0, 0
	const seeds, peak = 20, 6 * time.Second
	for seed := range uint64(seeds) {
		sim := newSimulation(seed, grownFleet)
		sim.addArrivals(0, 2*time.Second, 45, 3)
		sim.addArrivals(2*time.Second, 2*time.Second+peak, 200, 3)
		sim.addArrivals(2*time.Second+peak, 10*time.Second, 45, 3)
		sim.run()
		inTime, late, abandoned, refused = inTime+sim.inTime, late+sim.late, abandoned+sim.abandoned, refused+sim.refused
	}
	last := grownFleet.specs[2]
	rate := float64(grownFleet.targets*last.MaxPieces) / (last.CallTime + time.Duration(last.MaxPieces)*last.PieceTime).Seconds() / 10
	possible := int(seeds * (4*45 + rate*peak.Seconds()))
	t.Logf("in time %d of %d possible, late %d, abandoned %d, refused %d", inTime, possible, late, abandoned, refused)
	is.True(float64(inTime) >= 0.95*float64(possible))
}
