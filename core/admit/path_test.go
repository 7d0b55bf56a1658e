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

// The pools of a small fleet: crews, ledgers and desks.
var specs = []route.Batch{
	{Slots: 1, MaxPieces: 10, CallTime: 200 * time.Millisecond, PieceTime: 17 * time.Millisecond, ResultMemory: 22_000_000, ResultTTL: 4 * time.Second},
	{Slots: 1, MaxPieces: 22, CallTime: 200 * time.Millisecond, PieceTime: 7800 * time.Microsecond, ResultMemory: 2_800_000, ResultTTL: 4 * time.Second},
	{Slots: 1, MaxPieces: 52, CallTime: 200 * time.Millisecond, PieceTime: 3300 * time.Microsecond, ResultMemory: 700_000, ResultTTL: 4 * time.Second},
}

const (
	objective = 2 * time.Second
	patience  = 8 * time.Second
	// answer is the time of the model engine after the stages.
	answer = 170 * time.Millisecond
	// toldEvery is how old what a host knows of a pool may be.
	toldEvery = 200 * time.Millisecond
)

// stage is one stage of the requests of the world, all in a row.
type stage struct {
	pieces int
	bytes  int64
}

// request is a request on its way through the stages.
type request struct {
	id    uint64
	began time.Duration
	// came is when a refused request comes back; zero before.
	came   time.Duration
	rank   int
	stages []stage
	at     int
	// held has the results of the stage before by target, made those of this stage.
	held, made map[string]int64
	left       int
	verdict    admit.Decision
}

// world runs requests through three pools in virtual time.
type world struct {
	random   *rand.Rand
	pools    []*batch.Dispatcher
	slow     map[string]float64
	arrivals []*request
	jobs     map[uint64]*request
	ends     []callEnd
	told     []admit.Backlog
	// frees are results that are given up later, because the message takes a while.
	frees []freed

	inTime, late, refused, given int
	worked                       time.Duration
}

type callEnd struct {
	at    time.Duration
	pool  int
	order batch.Call
}

type freed struct {
	at     time.Duration
	pool   int
	target string
	bytes  int64
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 3)), slow: make(map[string]float64), jobs: make(map[uint64]*request), told: make([]admit.Backlog, len(specs))}
	for p, spec := range specs {
		d := batch.New(spec)
		var list []discovery.Target
		for i := range 5 {
			list = append(list, discovery.Target{ID: fmt.Sprintf("p%d.%d", p, i), Address: fmt.Sprintf("10.0.%d.%d:80", p, i+1), Zone: "a", Slots: 1})
		}
		d.SetTargets(list)
		w.pools = append(w.pools, d)
	}
	return w
}

// arrive adds requests at a rate per second between two times, in clumps.
func (w *world) arrive(from, to time.Duration, rate float64, rank int) {
	for at := from; at < to; at += time.Duration(w.random.ExpFloat64() / rate * 3 * float64(time.Second)) {
		for range 1 + w.random.IntN(5) {
			w.arrivals = append(w.arrivals, &request{
				began: at, rank: rank, held: make(map[string]int64), made: make(map[string]int64),
				stages: []stage{{1, 8_000}, {4, 60_000}, {4 + w.random.IntN(12), 6_000}},
			})
		}
	}
}

func (w *world) run() {
	slices.SortStableFunc(w.arrivals, func(a, b *request) int { return cmp.Compare(a.began, b.began) })
	last := uint64(0)
	for now := time.Duration(0); len(w.arrivals)+len(w.jobs) > 0; now += time.Millisecond {
		if now%toldEvery == 0 {
			for p, d := range w.pools {
				w.told[p].OnTimeWait, w.told[p].LateWait, w.told[p].Growth = d.Backlog(now)
			}
		}
		w.step(now)
		for len(w.arrivals) > 0 && w.arrivals[0].due() <= now {
			r := w.arrivals[0]
			w.arrivals = w.arrivals[1:]
			last++
			r.id = last
			verdict, retry := admit.Admit(w.expect(r, now))
			if r.verdict = verdict; verdict == admit.Refused {
				w.refuse(now, r, retry)
				continue
			}
			w.begin(now, r)
		}
		for p, d := range w.pools {
			for _, o := range d.NextCalls(now) {
				took := specs[p].CallTime + time.Duration(len(o.Items))*specs[p].PieceTime
				took = time.Duration(float64(took) * max(w.slow[o.Target.ID], 1) * (0.97 + 0.06*w.random.Float64()))
				w.worked += took
				w.ends = append(w.ends, callEnd{at: now + took, pool: p, order: o})
			}
		}
	}
}

// expect returns what the path of a request takes, with its bounds.
func (w *world) expect(r *request, now time.Duration) (soon, all time.Duration, t admit.TimeLimits) {
	p := admit.Path{AnswerTime: answer}
	for i, s := range r.stages {
		spec := specs[i]
		keep := time.Duration(0)
		if i > 0 {
			keep = spec.ResultTTL
		}
		p.Stages = append(p.Stages, admit.Stage{
			Height: len(r.stages) - i, Backlog: w.told[i], ServiceTime: spec.CallTime + time.Duration(s.pieces)*spec.PieceTime, InputTTL: keep,
		})
	}
	soon, all = p.Estimate()
	passed := now - r.began
	return soon, all, admit.TimeLimits{Objective: objective, ObjectiveLeft: objective - passed, Timeout: patience, TimeoutLeft: patience - passed}
}

// begin offers the next stage of a request.
func (w *world) begin(now time.Duration, r *request) {
	s := r.stages[r.at]
	later := answer
	for i := r.at + 1; i < len(r.stages); i++ {
		later += specs[i].CallTime + time.Duration(r.stages[i].pieces)*specs[i].PieceTime
	}
	deadline := r.began + patience - later
	if r.at > 0 {
		deadline = min(deadline, now+specs[r.at].ResultTTL)
	}
	aim := r.began + objective - later
	if r.verdict == admit.Late {
		aim = 0
	}
	job := batch.Job{
		ID: r.id, Arrived: r.began, Priority: r.rank, SoftDeadline: aim, Deadline: deadline,
		Pieces: s.pieces, Bytes: s.bytes, HasPriorWork: r.at > 0,
	}
	if _, ok := w.pools[r.at].Offer(now, job); !ok {
		w.giveUp(now, r)
		return
	}
	r.left = s.pieces
	w.jobs[r.id] = r
}

// refuse ends a request whose caller comes back once, after at most a third of its time.
func (w *world) refuse(now time.Duration, r *request, retry time.Duration) {
	if r.came > 0 {
		w.refused++
		return
	}
	r.came = now + min(retry, (r.began+patience-now)/3)
	w.arrivals = append(w.arrivals, r)
	slices.SortStableFunc(w.arrivals, func(a, b *request) int { return cmp.Compare(a.due(), b.due()) })
}

// due returns when a request comes, or comes back.
func (r *request) due() time.Duration { return max(r.began, r.came) }

// giveUp ends a request without an answer.
func (w *world) giveUp(now time.Duration, r *request) {
	w.given++
	delete(w.jobs, r.id)
	w.free(now, r)
}

// free gives up the results of the stage before.
func (w *world) free(now time.Duration, r *request) {
	for target, bytes := range r.held {
		w.frees = append(w.frees, freed{at: now + 4*time.Millisecond, pool: r.at - 1, target: target, bytes: bytes})
	}
	r.held = make(map[string]int64)
}

func (w *world) step(now time.Duration) {
	w.frees = slices.DeleteFunc(w.frees, func(f freed) bool {
		if now >= f.at {
			w.pools[f.pool].ReleaseMemory(f.target, f.bytes)
		}
		return now >= f.at
	})
	w.ends = slices.DeleteFunc(w.ends, func(e callEnd) bool {
		if now >= e.at {
			w.finish(now, e)
		}
		return now >= e.at
	})
	for p, d := range w.pools {
		for _, id := range d.InfeasibleJobs(now) {
			d.RemoveJob(id)
			if r, ok := w.jobs[id]; ok && r.at == p {
				w.giveUp(now, r)
			}
		}
	}
}

func (w *world) finish(now time.Duration, e callEnd) {
	d := w.pools[e.pool]
	d.FinishCall(now, e.order.ID, batch.Completed)
	for _, i := range e.order.Items {
		r, ok := w.jobs[i.Job]
		if !ok || r.at != e.pool {
			continue
		}
		r.made[e.order.Target.ID] += r.stages[r.at].bytes
		if r.left--; r.left > 0 {
			continue
		}
		d.CompleteJob(now, r.id)
		d.RemoveJob(r.id)
		w.free(now, r)
		r.held, r.made = r.made, make(map[string]int64)
		r.at++
		if r.at < len(r.stages) {
			w.begin(now, r)
			continue
		}
		delete(w.jobs, r.id)
		// The model engine reads the last results before its first event.
		w.free(now+answer, r)
		if now+answer <= r.began+objective {
			w.inTime++
		} else {
			w.late++
		}
	}
}

// TestBurstEndsInTime guards against requests that are admitted to end just in time, of which
// most end a little late at the load that the pools can just not carry.
func TestBurstEndsInTime(t *testing.T) {
	inTime, late, given, refused := 0, 0, 0, 0
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.arrive(0, 2*time.Second, 30, 1)
		w.arrive(2*time.Second, 8*time.Second, 90, 1)
		w.arrive(8*time.Second, 10*time.Second, 30, 1)
		w.run()
		inTime, late, given, refused = inTime+w.inTime, late+w.late, given+w.given, refused+w.refused
	}
	t.Logf("in time %d, late %d, given up %d, refused %d", inTime, late, given, refused)
	is := is.New(t)
	is.True(late*5 <= inTime)          // also of those that come back
	is.True(refused+given <= inTime/4) // most of those that come back are served
}
