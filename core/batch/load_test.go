package batch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
	"sassafrasward/core/route"
)

// spec is a stage service of the size of today's deployments.
var spec = route.Batch{
	Slots: 1, Queue: 2, MaxPieces: 18, CallTime: 200 * time.Millisecond, PieceTime: 9500 * time.Microsecond,
	ResultMemory: 2_300_000, ResultTTL: 4 * time.Second,
}

// load drives a dispatcher in virtual time against targets that work as published.
type load struct {
	random *rand.Rand
	// arrivals are the jobs to come, by time.
	arrivals []batch.Job
	// slow has the factor by which targets are slowed.
	slow map[string]float64
	// healed is when slowed targets are as usual again; zero for never.
	healed time.Duration
	// calls counts the calls that each target got from some seconds after healed on.
	calls map[string]int
	// hold is how long results are needed after the end of a call.
	hold time.Duration

	ends  []ending
	frees []release
	// jobs has the pieces that are missing from each job.
	missing map[uint64]int
	jobs    map[uint64]batch.Job

	inTime, late, refused, dropped, pieces int
	busy                                   time.Duration
}

type ending struct {
	at    time.Duration
	order batch.Call
}

type release struct {
	at     time.Duration
	target string
	bytes  int64
}

func newLoad(seed uint64) *load {
	return &load{
		random: rand.New(rand.NewPCG(seed, 1)), slow: make(map[string]float64), hold: 350 * time.Millisecond,
		missing: make(map[uint64]int), jobs: make(map[uint64]batch.Job), calls: make(map[string]int),
	}
}

func targets(n int) (list []discovery.Target) {
	for i := range n {
		list = append(list, discovery.Target{ID: fmt.Sprintf("t%d", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a", Slots: 1})
	}
	return list
}

// arrive adds jobs at a rate per second between two times.
func (l *load) arrive(from, to time.Duration, rate float64, job batch.Job) {
	for at := from; at < to; at += time.Duration(l.random.ExpFloat64() / rate * float64(time.Second)) {
		j := job
		j.Arrived, j.SoftDeadline, j.Deadline = at, at+job.SoftDeadline, at+job.Deadline
		l.arrivals = append(l.arrivals, j)
	}
}

// run plays the load until all of it has ended.
func (l *load) run(d *batch.Dispatcher) {
	slices.SortFunc(l.arrivals, func(a, b batch.Job) int { return cmp.Compare(a.Arrived, b.Arrived) })
	for now := time.Duration(0); len(l.arrivals)+len(l.jobs) > 0; now += time.Millisecond {
		l.step(now, d)
	}
}

func (l *load) step(now time.Duration, d *batch.Dispatcher) {
	l.frees = slices.DeleteFunc(l.frees, func(r release) bool {
		if now >= r.at {
			d.ReleaseMemory(r.target, r.bytes)
		}
		return now >= r.at
	})
	l.ends = slices.DeleteFunc(l.ends, func(e ending) bool {
		if now >= e.at {
			l.finish(now, d, e.order)
		}
		return now >= e.at
	})
	for len(l.arrivals) > 0 && l.arrivals[0].Arrived <= now {
		j := l.arrivals[0]
		l.arrivals = l.arrivals[1:]
		j.ID = uint64(1_000_000 - len(l.arrivals))
		if _, ok := d.Offer(now, j); !ok {
			l.refused++
			continue
		}
		l.jobs[j.ID], l.missing[j.ID] = j, j.Pieces
	}
	for _, id := range d.InfeasibleJobs(now) {
		d.RemoveJob(id)
		delete(l.jobs, id)
		l.dropped++
	}
	for _, o := range d.NextCalls(now) {
		took := spec.CallTime + time.Duration(len(o.Items))*spec.PieceTime
		if l.healed == 0 || now < l.healed {
			took = time.Duration(float64(took) * max(l.slow[o.Target.ID], 1))
		}
		if now > l.healed+4*time.Second {
			l.calls[o.Target.ID]++
		}
		l.busy += took
		l.ends = append(l.ends, ending{at: now + took, order: o})
	}
}

func (l *load) finish(now time.Duration, d *batch.Dispatcher, o batch.Call) {
	d.FinishCall(now, o.ID, batch.Completed)
	bytes := int64(0)
	for _, i := range o.Items {
		j, ok := l.jobs[i.Job]
		if !ok {
			continue
		}
		bytes += j.Bytes
		l.pieces++
		if l.missing[i.Job]--; l.missing[i.Job] > 0 {
			continue
		}
		d.RemoveJob(i.Job)
		delete(l.jobs, i.Job)
		if now <= j.SoftDeadline {
			l.inTime++
		} else {
			l.late++
		}
	}
	l.frees = append(l.frees, release{at: now + l.hold, target: o.Target.ID, bytes: bytes})
}

var usual = batch.Job{Pieces: 6, Bytes: 60_000, SoftDeadline: 1200 * time.Millisecond, Deadline: 5 * time.Second}

// TestBurstFillsCalls guards against calls that stay small under a backlog: at a load that
// only nearly full calls can carry, jobs must still end in time.
func TestBurstFillsCalls(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		l := newLoad(seed)
		// Calls of one job carry 19 of these jobs a second, full calls 40.
		l.arrive(0, 6*time.Second, 32, usual)
		d := batch.New(spec)
		d.SetTargets(targets(5))
		l.run(d)
		total := l.inTime + l.late + l.refused + l.dropped
		is.True(l.inTime*10 >= total*9) // 9 of 10 jobs in time
		is.Equal(l.dropped, 0)          // no accepted job is given up
	}
}

// TestThirdOfTargetsSlow guards against calls to slow targets while others are sooner done.
func TestThirdOfTargetsSlow(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		l := newLoad(seed)
		l.arrive(0, 8*time.Second, 14, usual)
		l.slow["t0"], l.slow["t1"] = 5, 5
		d := batch.New(spec)
		d.SetTargets(targets(5))
		l.run(d)
		total := l.inTime + l.late + l.refused + l.dropped
		is.True(l.inTime*10 >= total*8) // 8 of 10 jobs in time with 3 of 5 targets
	}
}

// TestSlowTargetsTakeBacklog guards against slow targets that stay idle while the other ones
// have more waiting than they can do in the same time.
func TestSlowTargetsTakeBacklog(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(2))
	offer := func(now time.Duration, id uint64, pieces int) {
		_, ok := d.Offer(now, batch.Job{ID: id, Pieces: pieces, Bytes: 1, SoftDeadline: 60 * time.Second, Deadline: 90 * time.Second})
		is.True(ok)
	}
	offer(0, 1, 18)
	slow := d.NextCalls(0)[0]
	d.MarkCallLate(2*time.Second, slow.ID)
	d.FinishCall(2*time.Second, slow.ID, batch.Completed)
	offer(2*time.Second, 2, 18)
	offer(2*time.Second, 3, 18)
	next := d.NextCalls(2 * time.Second)
	is.Equal(len(next), 1) // the other target is soon done with both
	is.True(next[0].Target.ID != slow.Target.ID)
	offer(2*time.Second, 4, 180)
	next = d.NextCalls(2 * time.Second)
	is.Equal(len(next), 1)
	is.Equal(next[0].Target.ID, slow.Target.ID)
}

// TestLargeResultsBlockNoSmallOnes guards against a queue whose head does not fit into the
// room of any target and stops jobs that need none.
func TestLargeResultsBlockNoSmallOnes(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	large := batch.Job{ID: 1, Pieces: 1, Bytes: 1_500_000, SoftDeadline: time.Second, Deadline: 5 * time.Second}
	_, ok := d.Offer(0, large)
	is.True(ok)
	first := d.NextCalls(0)
	is.Equal(len(first), 1)
	d.FinishCall(300*time.Millisecond, first[0].ID, batch.Completed) // its result stays

	for id := range uint64(10) {
		j := large
		j.ID, j.SoftDeadline, j.Deadline = 10+id, 4*time.Second, 6*time.Second
		_, ok := d.Offer(300*time.Millisecond, j)
		is.True(ok)
	}
	for id := range uint64(18) {
		_, ok := d.Offer(300*time.Millisecond, batch.Job{ID: 100 + id, Pieces: 1, Bytes: 8_000, SoftDeadline: 4 * time.Second, Deadline: 6 * time.Second})
		is.True(ok)
	}
	next := d.NextCalls(300 * time.Millisecond)
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Items), 18) // all small ones
}

// TestNoRoomNoCall guards against small calls while room is about to be freed.
func TestNoRoomNoCall(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 1, Bytes: 2_200_000, SoftDeadline: 5 * time.Second, Deadline: 9 * time.Second})
	is.True(ok)
	first := d.NextCalls(0)
	d.FinishCall(0, first[0].ID, batch.Completed)
	_, ok = d.Offer(0, batch.Job{ID: 2, Pieces: 18, Bytes: 60_000, SoftDeadline: 5 * time.Second, Deadline: 9 * time.Second})
	is.True(ok)
	is.Equal(len(d.NextCalls(0)), 0) // room for one piece only
	d.ReleaseMemory("t0", 2_200_000)
	is.Equal(len(d.NextCalls(0)[0].Items), 18)
}

// TestHopelessIsRefused guards against jobs that wait for a time that does not come.
func TestHopelessIsRefused(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	accepted := 0
	for id := range uint64(100) {
		wait, ok := d.Offer(0, batch.Job{ID: id, Pieces: 6, Bytes: 60_000, SoftDeadline: time.Second, Deadline: 4 * time.Second})
		if ok {
			accepted++
			continue
		}
		is.True(wait >= 200*time.Millisecond) // the caller is told when to come back
	}
	// One target does 48 pieces a second in full calls: 2 s hold 16 jobs.
	is.True(accepted >= 8 && accepted <= 18)
}

// TestRankComesFirst guards against urgent jobs that wait behind others.
func TestRankComesFirst(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	for id, rank := range []int{2, 2, 2, 0} {
		_, ok := d.Offer(0, batch.Job{ID: uint64(id), Priority: rank, Pieces: 18, Bytes: 1, SoftDeadline: 9 * time.Second, Deadline: 20 * time.Second})
		is.True(ok)
	}
	is.Equal(d.NextCalls(0)[0].Items[0].Job, uint64(3))
}

// TestLostAnswers guards against a target that counts as busy for as long as an answer of it
// that was lost could still come, and against results that count twice.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 2, SoftDeadline: 4 * time.Second, Deadline: 5 * time.Second})
	is.True(ok)
	first := d.NextCalls(0)
	is.Equal(len(first), 1)
	d.MarkCallLate(time.Second, first[0].ID)
	d.Requeue(first[0].Items)
	d.Requeue(first[0].Items) // a second report changes nothing
	is.Equal(d.Waiting(), 2)
	is.Equal(len(d.NextCalls(time.Second)), 0) // the target is left alone for a moment
	second := d.NextCalls(2 * time.Second)
	is.Equal(len(second), 1)
	is.Equal(len(second[0].Items), 2)
	is.True(second[0].Expected > second[0].Nominal) // it counts as slow
}

// TestLeavingTargetGetsNoCall guards against new work at a target that leaves.
func TestLeavingTargetGetsNoCall(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	list := targets(1)
	list[0].Leaving = true
	d.SetTargets(list)
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 1, SoftDeadline: time.Second, Deadline: 5 * time.Second})
	is.True(!ok)
	is.Equal(len(d.NextCalls(0)), 0)
}

// TestLargeInputsStayNear guards against jobs that read large inputs from another zone though
// a target of that zone is free soon, and against waiting for one that is not.
func TestLargeInputsStayNear(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	list := targets(2)
	list[1].Zone = "b"
	d.SetTargets(list)
	offer := func(now time.Duration, id uint64, zone string) {
		_, ok := d.Offer(now, batch.Job{ID: id, Pieces: 18, Bytes: 1, Zone: zone, WaitForZone: true, SoftDeadline: 9 * time.Second, Deadline: 9 * time.Second})
		is.True(ok)
	}
	offer(0, 1, "b")
	first := d.NextCalls(0)
	is.Equal(first[0].Target.Zone, "b")
	offer(300*time.Millisecond, 2, "b")
	is.Equal(len(d.NextCalls(300*time.Millisecond)), 0) // that target is free in 71 ms
	d.FinishCall(371*time.Millisecond, first[0].ID, batch.Completed)
	second := d.NextCalls(371 * time.Millisecond)
	is.Equal(second[0].Target.Zone, "b")
	offer(400*time.Millisecond, 3, "b")
	third := d.NextCalls(400 * time.Millisecond)
	is.Equal(third[0].Target.Zone, "a") // 340 ms are too long
}

// TestBurstIsForeseen guards against requests that are admitted to a pool whose wait is short
// now but grows faster than they come to it.
func TestBurstIsForeseen(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(5))
	_, _, growth := d.Backlog(0)
	is.Equal(growth, 0.0)
	// Full calls do 242 pieces a second; 480 come.
	for i := range 80 {
		now := time.Duration(i) * 12500 * time.Microsecond
		d.Offer(now, batch.Job{ID: uint64(i), Pieces: 6, Bytes: 1, SoftDeadline: now + 9*time.Second, Deadline: now + 20*time.Second})
	}
	soon, all, growth := d.Backlog(time.Second)
	is.True(growth > 0.4 && growth < 1.2)
	is.True(soon > time.Second && all >= soon)
	_, _, growth = d.Backlog(5 * time.Second)
	is.Equal(growth, 0.0) // the burst is over
}

// TestRecoveredTargetIsUsed guards against a target that stays idle for many seconds after it
// was slow for a few, while others have more waiting than they can do in time.
func TestRecoveredTargetIsUsed(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		l := newLoad(seed)
		l.slow["t0"], l.slow["t1"] = 5, 5
		l.healed = 4 * time.Second
		l.arrive(0, 14*time.Second, 24, usual)
		d := batch.New(spec)
		d.SetTargets(targets(5))
		l.run(d)
		is.True(l.calls["t0"] >= 8) // in the 6 s that begin 4 s after the end of the slowness
		is.True(l.calls["t1"] >= 8)
	}
}

// TestTrialIsSmall guards against a full call to a target that may still be slow.
func TestTrialIsSmall(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	offer := func(now time.Duration, id uint64, pieces int) {
		_, ok := d.Offer(now, batch.Job{ID: id, Pieces: pieces, Bytes: 1, SoftDeadline: now + 60*time.Second, Deadline: now + 90*time.Second})
		is.True(ok)
	}
	offer(0, 1, 18)
	slow := d.NextCalls(0)[0]
	d.FinishCall(5*slow.Nominal, slow.ID, batch.Completed)
	for id := range uint64(6) {
		offer(8*time.Second, 2+id, 6)
	}
	trial := d.NextCalls(8 * time.Second)
	is.Equal(len(trial), 1)
	is.Equal(len(trial[0].Items), 6) // one job
	d.FinishCall(8*time.Second+trial[0].Nominal, trial[0].ID, batch.Completed)
	is.Equal(len(d.NextCalls(8*time.Second + trial[0].Nominal)[0].Items), 18)
}

// TestLostAnswerGivesUpRoom guards against room that stays taken by a call whose answer was
// lost for longer than a target keeps results.
func TestLostAnswerGivesUpRoom(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 18, Bytes: 100_000, SoftDeadline: 4 * time.Second, Deadline: 5 * time.Second})
	is.True(ok)
	lost := d.NextCalls(0)[0]
	d.MarkCallLate(800*time.Millisecond, lost.ID)
	is.Equal(d.UsedMemory(4*time.Second, "t0"), int64(1_800_000))
	is.Equal(d.UsedMemory(lost.Expected+spec.ResultTTL+time.Millisecond, "t0"), int64(0))
}

// TestLateJobIsGivenUp guards against jobs of begun requests that wait behind all jobs that
// can be in time until their deadline has passed.
func TestLateJobIsGivenUp(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 18, Bytes: 1, SoftDeadline: 60 * time.Second, Deadline: 90 * time.Second})
	is.True(ok)
	is.Equal(len(d.NextCalls(0)), 1)
	_, ok = d.Offer(0, batch.Job{ID: 2, Pieces: 6, Bytes: 1, SoftDeadline: 700 * time.Millisecond, Deadline: 4 * time.Second, HasPriorWork: true})
	is.True(ok)
	// One target does 48 pieces a second; 300 that can be in time take 6 s.
	for id := range uint64(50) {
		_, ok = d.Offer(0, batch.Job{ID: 10 + id, Pieces: 6, Bytes: 1, SoftDeadline: 30 * time.Second, Deadline: 60 * time.Second})
		is.True(ok)
	}
	is.Equal(len(d.InfeasibleJobs(0)), 0)                         // it can still be in time
	is.Equal(d.InfeasibleJobs(600*time.Millisecond), []uint64{2}) // its turn comes after 6 s
	d.RemoveJob(2)
	is.Equal(len(d.InfeasibleJobs(700*time.Millisecond)), 0)
}

// TestExcessIsLearned guards against requests that are admitted by waits that jobs exceed all
// the time, and against a pool that is avoided for good because it once was slow.
func TestExcessIsLearned(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(5))
	before, _, _ := d.Backlog(0)
	now := time.Duration(0)
	for id := range uint64(60) {
		now += 50 * time.Millisecond
		wait, ok := d.Offer(now, batch.Job{ID: id, Pieces: 1, Bytes: 1, SoftDeadline: now + 9*time.Second, Deadline: now + 20*time.Second})
		is.True(ok)
		d.CompleteJob(now+wait+300*time.Millisecond, id)
		d.RemoveJob(id)
	}
	after, _, _ := d.Backlog(now + 300*time.Millisecond)
	is.True(after-before > 200*time.Millisecond && after-before <= 300*time.Millisecond)
	later, _, _ := d.Backlog(now + 6*time.Second)
	is.True(later-before < 10*time.Millisecond)
}

// TestMissingResultsTakeNoRoom guards against room that counts as taken by pieces that a call
// did not make, and against calls to a target whose room others occupy.
func TestMissingResultsTakeNoRoom(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 18, Bytes: 100_000, SoftDeadline: 4 * time.Second, Deadline: 5 * time.Second})
	is.True(ok)
	o := d.NextCalls(0)[0]
	d.FinishPartialCall(371*time.Millisecond, o.ID, o.Items[:2], true)
	d.Requeue(o.Items[2:])
	is.Equal(len(d.NextCalls(372*time.Millisecond)), 0) // the rest of the room is taken by others
	is.Equal(d.UsedMemory(time.Second, "t0"), int64(200_000))
	is.Equal(len(d.NextCalls(time.Second)[0].Items), 16)
}
