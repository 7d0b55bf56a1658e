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

// spec has the batching parameters of a typical stage service in production.
var spec = route.Batch{
	Slots: 1, Queue: 2, MaxPieces: 18, CallTime: 200 * time.Millisecond, PieceTime: 9500 * time.Microsecond,
	ResultMemory: 2_300_000, ResultTTL: 4 * time.Second,
}

// simulation drives a dispatcher in virtual time. Its targets take the nominal duration of a
// call, unless they are slowed down.
type simulation struct {
	random *rand.Rand
	// arrivals lists the jobs that have not arrived, by arrival time.
	arrivals []batch.Job
	// slowdown is the factor by which calls of a target take longer, by target.
	slowdown map[string]float64
	// recovered is when slow targets return to their nominal speed; zero for never.
	recovered time.Duration
	// calls counts the calls of each target that start more than 4 s after recovered.
	calls map[string]int
	// holdTime is how long results stay at their target after the end of a call.
	holdTime time.Duration

	// onOffer and onCall, if set, are called for each arrived job and each started call.
	onOffer func(batch.Job)
	onCall  func(batch.Call)

	ends     []callEnd
	releases []release
	// missingPieces counts the pieces without a result by job.
	missingPieces map[uint64]int
	jobs          map[uint64]batch.Job

	inTime, late, refused, dropped, pieces int
	busy                                   time.Duration
}

type callEnd struct {
	at   time.Duration
	call batch.Call
}

type release struct {
	at     time.Duration
	target string
	bytes  int64
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), slowdown: make(map[string]float64), holdTime: 350 * time.Millisecond,
		missingPieces: make(map[uint64]int), jobs: make(map[uint64]batch.Job), calls: make(map[string]int),
	}
}

func targets(n int) (list []discovery.Target) {
	for i := range n {
		list = append(list, discovery.Target{ID: fmt.Sprintf("t%d", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a", Slots: 1})
	}
	return list
}

// addArrivals adds jobs that arrive between two times with the given rate per second.
func (s *simulation) addArrivals(from, to time.Duration, rate float64, job batch.Job) {
	for at := from; at < to; at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		j := job
		j.Arrived, j.SoftDeadline, j.Deadline = at, at+job.SoftDeadline, at+job.Deadline
		s.arrivals = append(s.arrivals, j)
	}
}

// run runs the simulation until all jobs have ended.
func (s *simulation) run(d *batch.Dispatcher) {
	slices.SortFunc(s.arrivals, func(a, b batch.Job) int { return cmp.Compare(a.Arrived, b.Arrived) })
	for now := time.Duration(0); len(s.arrivals)+len(s.jobs) > 0; now += time.Millisecond {
		s.step(now, d)
	}
}

func (s *simulation) step(now time.Duration, d *batch.Dispatcher) {
	s.releases = slices.DeleteFunc(s.releases, func(r release) bool {
		if now >= r.at {
			d.ReleaseMemory(r.target, r.bytes)
		}
		return now >= r.at
	})
	s.ends = slices.DeleteFunc(s.ends, func(e callEnd) bool {
		if now >= e.at {
			s.finishCall(now, d, e.call)
		}
		return now >= e.at
	})
	for len(s.arrivals) > 0 && s.arrivals[0].Arrived <= now {
		j := s.arrivals[0]
		s.arrivals = s.arrivals[1:]
		j.ID = uint64(1_000_000 - len(s.arrivals))
		if s.onOffer != nil {
			s.onOffer(j)
		}
		if _, ok := d.Offer(now, j); !ok {
			s.refused++
			continue
		}
		s.jobs[j.ID], s.missingPieces[j.ID] = j, j.Pieces
	}
	for _, id := range d.InfeasibleJobs(now) {
		d.RemoveJob(id)
		delete(s.jobs, id)
		s.dropped++
	}
	for _, c := range d.NextCalls(now) {
		if s.onCall != nil {
			s.onCall(c)
		}
		duration := spec.CallTime + time.Duration(len(c.Items))*spec.PieceTime
		if s.recovered == 0 || now < s.recovered {
			duration = time.Duration(float64(duration) * max(s.slowdown[c.Target.ID], 1))
		}
		if now > s.recovered+4*time.Second {
			s.calls[c.Target.ID]++
		}
		s.busy += duration
		s.ends = append(s.ends, callEnd{at: now + duration, call: c})
	}
}

func (s *simulation) finishCall(now time.Duration, d *batch.Dispatcher, c batch.Call) {
	d.FinishCall(now, c.ID, batch.Completed)
	bytes := int64(0)
	for _, i := range c.Items {
		j, ok := s.jobs[i.Job]
		if !ok {
			continue
		}
		bytes += j.Bytes
		s.pieces++
		if s.missingPieces[i.Job]--; s.missingPieces[i.Job] > 0 {
			continue
		}
		d.RemoveJob(i.Job)
		delete(s.jobs, i.Job)
		if now <= j.SoftDeadline {
			s.inTime++
		} else {
			s.late++
		}
	}
	s.releases = append(s.releases, release{at: now + s.holdTime, target: c.Target.ID, bytes: bytes})
}

var typicalJob = batch.Job{Pieces: 6, Bytes: 60_000, SoftDeadline: 1200 * time.Millisecond, Deadline: 5 * time.Second}

// TestBurstFillsCalls guards against calls that stay small although there is a backlog. At a
// load that requires nearly full calls, jobs still have to meet their objective.
func TestBurstFillsCalls(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSimulation(seed)
		// The pool processes 19 of these jobs per second with calls of one job each, and 40 with
		// full calls.
		s.addArrivals(0, 6*time.Second, 32, typicalJob)
		d := batch.New(spec)
		d.SetTargets(targets(5))
		s.run(d)
		total := s.inTime + s.late + s.refused + s.dropped
		is.True(s.inTime*10 >= total*9) // 9 of 10 jobs in time
		is.Equal(s.dropped, 0)          // no accepted job is abandoned
	}
}

// TestSlowTargetsAreAvoided guards against calls to slow targets although other targets would
// finish the work sooner.
func TestSlowTargetsAreAvoided(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSimulation(seed)
		s.addArrivals(0, 8*time.Second, 14, typicalJob)
		s.slowdown["t0"], s.slowdown["t1"] = 5, 5
		d := batch.New(spec)
		d.SetTargets(targets(5))
		s.run(d)
		total := s.inTime + s.late + s.refused + s.dropped
		is.True(s.inTime*10 >= total*8) // 8 of 10 jobs in time with 3 of 5 targets
	}
}

// TestSlowTargetsTakeBacklog guards against slow targets that stay idle while the backlog is
// longer than what the other targets finish in the duration of a slow call.
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
	is.Equal(len(next), 1) // the other target finishes both jobs sooner
	is.True(next[0].Target.ID != slow.Target.ID)
	offer(2*time.Second, 4, 180)
	next = d.NextCalls(2 * time.Second)
	is.Equal(len(next), 1)
	is.Equal(next[0].Target.ID, slow.Target.ID)
}

// TestLargeResultsDoNotBlockSmallOnes guards against head-of-line blocking: the first job's
// results do not fit into the memory of any target, but those of later jobs do.
func TestLargeResultsDoNotBlockSmallOnes(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	large := batch.Job{ID: 1, Pieces: 1, Bytes: 1_500_000, SoftDeadline: time.Second, Deadline: 5 * time.Second}
	_, ok := d.Offer(0, large)
	is.True(ok)
	first := d.NextCalls(0)
	is.Equal(len(first), 1)
	d.FinishCall(300*time.Millisecond, first[0].ID, batch.Completed) // its result is not released

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
	is.Equal(len(next[0].Items), 18) // all jobs with small results
}

// TestNoCallWithoutMemory guards against small calls just before result memory is released.
func TestNoCallWithoutMemory(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 1, Bytes: 2_200_000, SoftDeadline: 5 * time.Second, Deadline: 9 * time.Second})
	is.True(ok)
	first := d.NextCalls(0)
	d.FinishCall(0, first[0].ID, batch.Completed)
	_, ok = d.Offer(0, batch.Job{ID: 2, Pieces: 18, Bytes: 60_000, SoftDeadline: 5 * time.Second, Deadline: 9 * time.Second})
	is.True(ok)
	is.Equal(len(d.NextCalls(0)), 0) // the results of only one piece fit
	d.ReleaseMemory("t0", 2_200_000)
	is.Equal(len(d.NextCalls(0)[0].Items), 18)
}

// TestInfeasibleJobIsRefused guards against accepting jobs that cannot end in time.
func TestInfeasibleJobIsRefused(t *testing.T) {
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
		is.True(wait >= 200*time.Millisecond) // the retry delay
	}
	// One target processes 48 pieces per second in full calls: 16 jobs in 2 s.
	is.True(accepted >= 8 && accepted <= 18)
}

// TestHighPriorityComesFirst guards against jobs that wait behind jobs of a lower priority.
func TestHighPriorityComesFirst(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	for id, priority := range []int{2, 2, 2, 0} {
		_, ok := d.Offer(0, batch.Job{ID: uint64(id), Priority: priority, Pieces: 18, Bytes: 1, SoftDeadline: 9 * time.Second, Deadline: 20 * time.Second})
		is.True(ok)
	}
	is.Equal(d.NextCalls(0)[0].Items[0].Job, uint64(3))
}

// TestLostAnswers guards against a target that counts as busy until a lost answer could no
// longer arrive, and against pieces that are queued twice.
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
	d.Requeue(first[0].Items) // has no effect
	is.Equal(d.Waiting(), 2)
	is.Equal(len(d.NextCalls(time.Second)), 0) // backoff
	second := d.NextCalls(2 * time.Second)
	is.Equal(len(second), 1)
	is.Equal(len(second[0].Items), 2)
	is.True(second[0].Expected > second[0].Nominal) // it counts as slow
}

// TestLeavingTargetGetsNoCall guards against new calls to a target that is leaving.
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

// TestLargeInputsStayInZone guards against jobs that read large inputs from another zone
// although a target in that zone is idle soon, and against waiting for one that is not.
func TestLargeInputsStayInZone(t *testing.T) {
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
	is.Equal(len(d.NextCalls(300*time.Millisecond)), 0) // that target is idle in 71 ms
	d.FinishCall(371*time.Millisecond, first[0].ID, batch.Completed)
	second := d.NextCalls(371 * time.Millisecond)
	is.Equal(second[0].Target.Zone, "b")
	offer(400*time.Millisecond, 3, "b")
	third := d.NextCalls(400 * time.Millisecond)
	is.Equal(third[0].Target.Zone, "a") // 340 ms is too long to wait
}

// TestZonesAtModerateLoad guards against results that cross zones while the pool is less than half
// busy and the jobs have time to wait for the target of their zone, and against jobs that are late
// because they waited.
func TestZonesAtModerateLoad(t *testing.T) {
	is := is.New(t)
	near, all, inTime, jobs := 0, 0, 0, 0
	for seed := range uint64(10) {
		s := newSimulation(seed)
		list := targets(5)
		zones := []string{"a", "a", "b", "c", "d"}
		zoneOf := make(map[string]string)
		for i := range list {
			list[i].Zone = zones[i]
			zoneOf[list[i].ID] = zones[i]
		}
		s.holdTime = 200 * time.Millisecond
		d := batch.New(spec)
		d.SetTargets(list)
		for _, zone := range []string{"a", "b", "c", "d"} {
			s.addArrivals(0, 10*time.Second, 9, batch.Job{Pieces: 3, Bytes: 100_000, Zone: zone, WaitForZone: true, SoftDeadline: 750 * time.Millisecond, Deadline: 4 * time.Second})
		}
		zoneOfJob := make(map[uint64]string)
		s.onCall = func(c batch.Call) {
			for _, i := range c.Items {
				all++
				if zoneOf[c.Target.ID] == zoneOfJob[i.Job] {
					near++
				}
			}
		}
		s.onOffer = func(j batch.Job) { zoneOfJob[j.ID] = j.Zone }
		s.run(d)
		inTime, jobs = inTime+s.inTime, jobs+len(zoneOfJob)
	}
	t.Logf("%d of %d pieces made in the preferred zone, %d of %d jobs in time", near, all, inTime, jobs)
	is.True(near*10 >= all*8)
	is.True(inTime*100 >= jobs*98)
}

// TestFullTargets guards against a pool that counts as down, or is hammered with calls, while all its
// targets are full for a moment: after a restart of all hosts they still run the calls of before.
func TestFullTargets(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(3))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 6, SoftDeadline: 2 * time.Second, Deadline: 5 * time.Second})
	is.True(ok)
	var items []batch.Item
	calls := 0
	const freeAt = 600 * time.Millisecond
	for now := time.Duration(0); now < freeAt; now += 10 * time.Millisecond {
		for _, c := range d.NextCalls(now) {
			calls++
			items = c.Items
			d.FinishCall(now, c.ID, batch.Busy)
			d.Requeue(items)
		}
		onTime, _, _ := d.Backlog(now)
		is.True(onTime < time.Second) // new requests are not refused
	}
	is.True(calls <= 3*4) // each target is tried after 60, 120 and 240 ms
	started := false
	for now := freeAt; now < 2*freeAt && !started; now += 10 * time.Millisecond {
		started = len(d.NextCalls(now)) > 0
	}
	is.True(started)
}

// TestBacklogGrowth guards against admitting requests to a pool whose wait is short now but
// will have grown when the requests reach it.
func TestBacklogGrowth(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(5))
	_, _, growth := d.Backlog(0)
	is.Equal(growth, 0.0)
	// 480 pieces arrive per second; full calls process 242.
	for i := range 80 {
		now := time.Duration(i) * 12500 * time.Microsecond
		d.Offer(now, batch.Job{ID: uint64(i), Pieces: 6, Bytes: 1, SoftDeadline: now + 9*time.Second, Deadline: now + 20*time.Second})
	}
	onTimeWait, lateWait, growth := d.Backlog(time.Second)
	is.True(growth > 0.4 && growth < 1.2)
	is.True(onTimeWait > time.Second && lateWait >= onTimeWait)
	_, _, growth = d.Backlog(5 * time.Second)
	is.Equal(growth, 0.0) // the burst is over
}

// TestRecoveredTargetIsUsed guards against a target that was slow for a few seconds and then
// stays idle for many, while the others cannot process the load in time.
func TestRecoveredTargetIsUsed(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSimulation(seed)
		s.slowdown["t0"], s.slowdown["t1"] = 5, 5
		s.recovered = 4 * time.Second
		s.addArrivals(0, 14*time.Second, 24, typicalJob)
		d := batch.New(spec)
		d.SetTargets(targets(5))
		s.run(d)
		is.True(s.calls["t0"] >= 8) // in the 6 s that begin 4 s after the recovery
		is.True(s.calls["t1"] >= 8)
	}
}

// TestProbeIsSmall guards against a full call to a target that may still be slow.
func TestProbeIsSmall(t *testing.T) {
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
	probe := d.NextCalls(8 * time.Second)
	is.Equal(len(probe), 1)
	is.Equal(len(probe[0].Items), 6) // one job
	d.FinishCall(8*time.Second+probe[0].Nominal, probe[0].ID, batch.Completed)
	is.Equal(len(d.NextCalls(8*time.Second + probe[0].Nominal)[0].Items), 18)
}

// TestLostAnswerReleasesMemory guards against memory that counts as used by a call with a lost
// answer for longer than the target keeps results.
func TestLostAnswerReleasesMemory(t *testing.T) {
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

// TestLateJobIsAbandoned guards against late jobs of requests with prior work that wait behind
// all on-time jobs until their deadline has passed.
func TestLateJobIsAbandoned(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 18, Bytes: 1, SoftDeadline: 60 * time.Second, Deadline: 90 * time.Second})
	is.True(ok)
	is.Equal(len(d.NextCalls(0)), 1)
	_, ok = d.Offer(0, batch.Job{ID: 2, Pieces: 6, Bytes: 1, SoftDeadline: 700 * time.Millisecond, Deadline: 4 * time.Second, HasPriorWork: true})
	is.True(ok)
	// One target processes 48 pieces per second; 300 pieces of on-time jobs take 6 s.
	for id := range uint64(50) {
		_, ok = d.Offer(0, batch.Job{ID: 10 + id, Pieces: 6, Bytes: 1, SoftDeadline: 30 * time.Second, Deadline: 60 * time.Second})
		is.True(ok)
	}
	is.Equal(len(d.InfeasibleJobs(0)), 0)                         // it can still meet its objective
	is.Equal(d.InfeasibleJobs(600*time.Millisecond), []uint64{2}) // it would start after 6 s
	d.RemoveJob(2)
	is.Equal(len(d.InfeasibleJobs(700*time.Millisecond)), 0)
}

// TestOverrunRaisesBacklog guards against admission by a backlog that jobs always exceed, and
// against a pool that is avoided forever because it was slow once.
func TestOverrunRaisesBacklog(t *testing.T) {
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

// TestMissingResultsUseNoMemory guards against memory that counts as used by pieces without a
// result, and against calls to a target whose memory is used by results of other hosts.
func TestMissingResultsUseNoMemory(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(1))
	_, ok := d.Offer(0, batch.Job{ID: 1, Pieces: 18, Bytes: 100_000, SoftDeadline: 4 * time.Second, Deadline: 5 * time.Second})
	is.True(ok)
	c := d.NextCalls(0)[0]
	d.FinishPartialCall(371*time.Millisecond, c.ID, c.Items[:2], true)
	d.Requeue(c.Items[2:])
	is.Equal(len(d.NextCalls(372*time.Millisecond)), 0) // other hosts' results use the remaining memory
	is.Equal(d.UsedMemory(time.Second, "t0"), int64(200_000))
	is.Equal(len(d.NextCalls(time.Second)[0].Items), 16)
}

// TestZonesOfJobs guards against pieces that run outside the zones of their job, jobs that wait for a zone without
// targets, and a restricted job that a slow target in its zone never gets because faster ones elsewhere are idle.
func TestZonesOfJobs(t *testing.T) {
	is := is.New(t)
	d := batch.New(route.Batch{Slots: 1, MaxPieces: 4, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemory: 1e6, ResultTTL: time.Second})
	d.SetTargets([]discovery.Target{{ID: "a", Zone: "a"}, {ID: "b", Zone: "b"}})
	job := func(id uint64, zones ...string) batch.Job {
		return batch.Job{ID: id, Pieces: 4, Bytes: 1, SoftDeadline: 5 * time.Second, Deadline: 5 * time.Second, Zones: zones}
	}
	_, ok := d.Offer(0, job(1, "b"))
	is.True(ok)
	_, ok = d.Offer(0, job(2, "b"))
	is.True(ok)
	calls := d.NextCalls(0)
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Target.Zone, "b")
	_, ok = d.Offer(0, job(3, "c"))
	is.True(!ok) // refused at once
	_, ok = d.Offer(0, job(4))
	is.True(ok)
	other := d.NextCalls(0)
	is.Equal(len(other), 1)
	is.Equal(other[0].Target.Zone, "a")
	is.Equal(other[0].Items[0].Job, uint64(4))
	const slow = 600 * time.Millisecond // four times the nominal duration
	d.FinishPartialCall(slow/4, other[0].ID, other[0].Items, false)
	d.FinishPartialCall(slow, calls[0].ID, calls[0].Items, false)
	calls = d.NextCalls(slow)
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Target.Zone, "b")
	is.Equal(calls[0].Items[0].Job, uint64(2))
}
