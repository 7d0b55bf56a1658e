package edge

import (
	"math/rand/v2"
	"time"

	"sassafrasward/core/admit"
)

const (
	// prefillRate is the assumed number of prompt tokens that a model engine processes per
	// millisecond, and firstEventOverhead the assumed time to its first event apart from that.
	// Both are conservative for today's engines.
	prefillRate        = 30
	firstEventOverhead = 60 * time.Millisecond
	// maxExpectedPrompt is the prompt length above which the expected time no longer grows.
	maxExpectedPrompt = 6000 // tokens
	// shedRetryAfter is the shortest retry delay of a request that is refused because its level
	// exceeds the capacity: scarcity rarely ends sooner.
	shedRetryAfter = time.Second
)

// admitStages decides whether to start the request, from the expected time of all its stages and
// the backlogs of their pools. If not, it returns how long the caller should wait before it
// retries. The request has to wait for its target (targetWait) unless its stages take longer.
func (x *exchange) admitStages(targetWait time.Duration) (retry time.Duration, ok bool) {
	path := x.expectedPath()
	path.AnswerTime += targetWait
	shed, _ := path.Scarcity()
	treatment := path.Treat(rand.Float64())
	if x.protected = treatment == admit.Protected; x.protected {
		path = path.Protect()
	}
	onTime, late := path.Estimate()
	elapsed := x.clock() - x.arrived
	x.decision, retry = admit.Admit(onTime, late, admit.TimeLimits{
		Objective: x.route.Objective, ObjectiveLeft: x.route.Objective - elapsed, Timeout: x.startDeadline - x.arrived, TimeoutLeft: x.startDeadline - x.arrived - elapsed,
	})
	if treatment == admit.Shed {
		x.decision, retry = admit.Refused, max(retry, shedRetryAfter)
	}
	x.recordDecision("admission: level %d, expected %dms if on time, %dms if late, objective %dms, shed %.2f: %s, %s",
		x.priority, onTime.Milliseconds(), late.Milliseconds(), x.route.Objective.Milliseconds(), shed, treatment, x.decision)
	return retry, x.decision != admit.Refused
}

// expectedPath returns the expected times and backlogs of the stages of the request, and the expected time
// to the first event of the model engine.
func (x *exchange) expectedPath() (p admit.Path) {
	s := x.state.Load()
	p.AnswerTime = x.firstEventTime()
	for i, stage := range x.route.Stages {
		pool, ok := s.table.Pool(stage.Pool)
		if !ok || pool.Batch == nil || x.request.Pieces[i] == 0 {
			continue
		}
		_, backlog := x.dispatchClient.ChooseGroup(stage.Pool, x.zone(), x.priority)
		part := admit.Stage{Height: x.route.Height(i), Backlog: backlog, ServiceTime: pool.Batch.CallTime + time.Duration(min(x.request.Pieces[i], pool.Batch.MaxPieces))*pool.Batch.PieceTime}
		if len(stage.DependsOn) > 0 {
			part.InputTTL = pool.Batch.ResultTTL - ttlMargin
		}
		p.Stages = append(p.Stages, part)
	}
	return p
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
