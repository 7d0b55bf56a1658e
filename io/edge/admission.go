package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sassafrasward/core/admit"
	"sassafrasward/core/batch"
)

const (
	// prefillRate is the assumed number of prompt tokens that a model engine processes per
	// millisecond, and firstEventOverhead the assumed time to its first event apart from that.
	// Both are conservative for today's engines.
	prefillRate        = 30
	firstEventOverhead = 60 * time.Millisecond
	// maxExpectedPrompt is the prompt length above which the expected time no longer grows.
	maxExpectedPrompt = 6000 // tokens
	// maxHeadStart bounds by how much a request that comes back as told is queued before new ones. It is
	// less than a priority level counts for, so that it stays behind more urgent requests.
	maxHeadStart = 250 * time.Millisecond
)

// admitStages decides whether to start the request, from the expected time of all its stages and
// the backlogs of their pools. If not, it returns how long the caller should wait before it
// retries. The request has to wait for its target (targetWait) unless its stages take longer.
func (x *exchange) admitStages(targetWait time.Duration) (retry time.Duration, ok bool) {
	path, parts := x.expectedPath()
	path.AnswerTime += targetWait
	waited, returned := x.retries.returned(x.clock(), x.fingerprint)
	treatment := path.Treat(rand.Float64())
	if returned {
		x.headStart = min(waited, maxHeadStart)
		if treatment == admit.Shed {
			treatment = admit.Ordinary
		}
	}
	if x.protected = treatment == admit.Protected; x.protected {
		path = path.Protect()
	}
	onTime, late := path.Estimate()
	elapsed := x.clock() - x.arrived
	limits := admit.TimeLimits{
		Objective: x.route.Objective, ObjectiveLeft: x.route.Objective - elapsed, Timeout: x.startDeadline - x.arrived, TimeoutLeft: x.startDeadline - x.arrived - elapsed,
		Protected: x.protected,
	}
	x.decision, retry = admit.Admit(onTime, late, limits)
	if treatment == admit.Shed {
		x.decision = admit.Refused
	}
	shed, _ := path.Scarcity()
	x.recordDecision("admission: level %d, expected %dms if on time, %dms if late, objective %dms, shed %.2f, returned %t: %s, %s",
		x.priority, onTime.Milliseconds(), late.Milliseconds(), x.route.Objective.Milliseconds(), shed, returned, treatment, x.decision)
	if x.decision == admit.Refused {
		x.metrics.Counter("admission.refused." + treatment.String()).Inc(1)
		return x.refuseStages(path, parts, treatment, max(retry, path.RetryAfter()), limits.TimeoutLeft), false
	}
	x.announce(path, parts)
	return 0, true
}

// plannedStage is a stage of the path of a request, with the group whose backlog was used.
type plannedStage struct {
	stage, pieces int
	pool, group   string
}

// announcement is a job that this host has announced and not submitted yet.
type announcement struct {
	plannedStage

	id uint64
}

// announce announces the stages that start later to the dispatchers that want to know.
func (x *exchange) announce(path admit.Path, parts []plannedStage) {
	arrivals := path.Arrivals()
	for i, p := range parts {
		if arrivals[i] == 0 || !path.Stages[i].Backlog.WantsAnnouncements {
			continue
		}
		a := announcement{plannedStage: p, id: max(rand.Uint64(), 1)}
		x.announced = append(x.announced, a)
		x.dispatchClient.Announce(p.pool, p.group, batch.Announcement{
			ID: a.id, Priority: x.priority, Pieces: p.pieces, ArrivesIn: arrivals[i], Late: x.decision == admit.Late, Protected: x.protected,
		})
	}
}

// refuseStages tells the dispatcher of the scarcest pool of the demand that was refused, and returns the
// retry delay. room is the time until there is expected to be room for the request.
func (x *exchange) refuseStages(path admit.Path, parts []plannedStage, treatment admit.Treatment, room, timeoutLeft time.Duration) (retry time.Duration) {
	x.detail = "backlog"
	if i := path.Bottleneck(); i >= 0 {
		p, b := parts[i], path.Stages[i].Backlog
		x.dispatchClient.RecordRefused(p.pool, p.group, x.priority, p.pieces)
		x.detail = fmt.Sprintf("backlog of %s: level %d, %s, wait %dms, announced %d", p.pool, x.priority, treatment, b.OnTimeWait.Milliseconds(), b.Announced)
	}
	if x.settings.AnnounceDelay() == 0 {
		return room
	}
	retry = admit.RetryDelay(room, timeoutLeft, rand.Float64())
	x.rememberRetry(retry)
	return retry
}

// rememberRetry records that the caller is told to retry after a delay.
func (x *exchange) rememberRetry(delay time.Duration) {
	if x.settings.AnnounceDelay() > 0 {
		x.retries.tell(x.clock(), x.fingerprint, delay)
	}
}

// retryTable is an admit.Retries that is safe for concurrent use.
type retryTable struct {
	mutex   sync.Mutex
	retries *admit.Retries
}

func newRetryTable() *retryTable { return &retryTable{retries: admit.NewRetries()} }

// tell records that a request was refused with a retry delay.
func (t *retryTable) tell(now time.Duration, fingerprint uint64, delay time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.retries.Tell(now, fingerprint, delay)
}

// returned reports whether a request was refused and comes back as told, and how long ago that was.
func (t *retryTable) returned(now time.Duration, fingerprint uint64) (waited time.Duration, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.retries.Returned(now, fingerprint)
}

// takeAnnouncement returns the ID with which the job of a stage was announced to a group; zero if it
// was not. An announcement to another group is withdrawn.
func (x *exchange) takeAnnouncement(stage int, group string) (id uint64) {
	x.announced = slices.DeleteFunc(x.announced, func(a announcement) bool {
		if a.stage == stage && a.group == group {
			id = a.id
		} else if a.stage == stage {
			x.dispatchClient.Withdraw(a.pool, a.group, a.id)
		}
		return a.stage == stage
	})
	return id
}

// withdrawAnnouncements withdraws the announcements of stages that have not started.
func (x *exchange) withdrawAnnouncements() {
	for _, a := range x.announced {
		x.dispatchClient.Withdraw(a.pool, a.group, a.id)
	}
	x.announced = nil
}

// expectedPath returns the expected times and backlogs of the stages of the request, and the expected time
// to the first event of the model engine. parts has the same stages.
func (x *exchange) expectedPath() (p admit.Path, parts []plannedStage) {
	s := x.state.Load()
	p.AnswerTime = x.firstEventTime()
	for i, stage := range x.route.Stages {
		pool, ok := s.table.Pool(stage.Pool)
		if !ok || pool.Batch == nil || x.request.Pieces[i] == 0 {
			continue
		}
		group, backlog := x.dispatchClient.ChooseGroup(stage.Pool, x.zone(), x.zones, x.priority)
		part := admit.Stage{Height: x.route.Height(i), Backlog: backlog, ServiceTime: pool.Batch.CallTime + time.Duration(min(x.request.Pieces[i], pool.Batch.MaxPieces))*pool.Batch.PieceTime}
		if len(stage.DependsOn) > 0 {
			part.InputTTL = pool.Batch.ResultTTL - ttlMargin
		}
		p.Stages = append(p.Stages, part)
		parts = append(parts, plannedStage{stage: i, pieces: x.request.Pieces[i], pool: stage.Pool, group: group})
	}
	return p, parts
}

// firstEventTime returns the expected time to the first event of a model engine at the current
// slowdown of the pool.
func (x *exchange) firstEventTime() time.Duration {
	return time.Duration(float64(x.unloadedFirstEventTime()) * x.choosers.slowdown(x.pool))
}

// unloadedFirstEventTime returns the expected time to the first event of an unloaded model engine.
// Prompts count only up to maxExpectedPrompt, so that the longest ones are not refused more often
// than others.
func (x *exchange) unloadedFirstEventTime() time.Duration {
	return firstEventOverhead + time.Duration(min(x.request.PromptTokens, maxExpectedPrompt)/prefillRate)*time.Millisecond
}

// timeAfter returns the minimum time that the stages after a stage and the model engine need.
func (x *exchange) timeAfter(stage int) time.Duration {
	longest := time.Duration(0)
	for i, s := range x.route.Stages {
		for _, dep := range s.DependsOn {
			if dep != stage || x.request.Pieces[i] == 0 {
				continue
			}
			serviceTime := time.Duration(0)
			if p, ok := x.state.Load().table.Pool(s.Pool); ok && p.Batch != nil {
				serviceTime = p.Batch.CallTime + time.Duration(min(x.request.Pieces[i], p.Batch.MaxPieces))*p.Batch.PieceTime
			}
			longest = max(longest, serviceTime+x.timeAfter(i))
		}
	}
	if longest > 0 {
		return longest
	}
	return x.firstEventTime()
}
