package edge

import (
	"time"

	"sassafrasward/core/admit"
)

const (
	// readSpeed is the assumed prompt tokens that a model engine reads in a millisecond, and
	// firstEvent the time to its first event besides; both are on the safe side of today's
	// engines.
	readSpeed  = 30
	firstEvent = 60 * time.Millisecond
	// longestPrompt is up to which length a prompt counts in what is expected.
	longestPrompt = 6000 // tokens
)

// admitPath decides whether the request is begun, from its whole path with what waits at the
// pools of its stages. It returns when the caller should come back otherwise.
func (x *exchange) admitPath() (retry time.Duration, ok bool) {
	soon, all := x.path().Estimate()
	passed := x.clock() - x.began
	x.verdict, retry = admit.Admit(soon, all, admit.TimeLimits{
		Objective: x.route.Objective, ObjectiveLeft: x.route.Objective - passed, Timeout: x.patience - x.began, TimeoutLeft: x.patience - x.began - passed,
	})
	x.decide("door: in time %dms, after all others %dms, objective %dms: %s", soon.Milliseconds(), all.Milliseconds(), x.route.Objective.Milliseconds(), x.verdict)
	return retry, x.verdict != admit.Refused
}

// path returns what is expected of the stages of the request and its model engine.
func (x *exchange) path() (p admit.Path) {
	s := x.state.Load()
	p.AnswerTime = x.answerTime()
	for i, stage := range x.route.Stages {
		pool, ok := s.table.Pool(stage.Pool)
		if !ok || pool.Batch == nil || x.request.Pieces[i] == 0 {
			continue
		}
		_, backlog := x.dispatch.ChooseGroup(stage.Pool, x.zone())
		part := admit.Stage{Height: x.route.Height(i), Backlog: backlog, ServiceTime: pool.Batch.CallTime + time.Duration(min(x.request.Pieces[i], pool.Batch.MaxPieces))*pool.Batch.PieceTime}
		if len(stage.After) > 0 {
			part.InputTTL = pool.Batch.ResultTTL - keepMargin
		}
		p.Stages = append(p.Stages, part)
	}
	return p
}

// answerTime returns the time to the first event of a model engine as most answers of the pool
// take it now.
func (x *exchange) answerTime() time.Duration {
	return time.Duration(float64(x.modelTime()) * x.choosers.pace(x.pool))
}

// modelTime returns the time to the first event of an unloaded model engine. Prompts count up to a
// length only, so that the longest ones are not refused more often than others.
func (x *exchange) modelTime() time.Duration {
	return firstEvent + time.Duration(min(x.request.Prompt, longestPrompt)/readSpeed)*time.Millisecond
}

// later returns the least time that the stages after one and the model engine need.
func (x *exchange) later(stage int) time.Duration {
	longest := time.Duration(0)
	for i, s := range x.route.Stages {
		for _, a := range s.After {
			if a != stage || x.request.Pieces[i] == 0 {
				continue
			}
			own := time.Duration(0)
			if p, ok := x.state.Load().table.Pool(s.Pool); ok && p.Batch != nil {
				own = p.Batch.CallTime + time.Duration(min(x.request.Pieces[i], p.Batch.MaxPieces))*p.Batch.PieceTime
			}
			longest = max(longest, own+x.later(i))
		}
	}
	if longest > 0 {
		return longest
	}
	return x.answerTime()
}
