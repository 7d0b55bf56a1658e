package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"sassafrasward/core/admit"
	"sassafrasward/core/reason"
	"sassafrasward/io/lead"
	"sassafrasward/platform"
)

const (
	// readSpeed is the assumed prompt tokens that a model engine reads in a millisecond, and
	// firstEvent the time to its first event besides; both are on the safe side of today's
	// engines.
	readSpeed  = 30
	firstEvent = 60 * time.Millisecond
	// longestPrompt is up to which length a prompt counts in what is expected.
	longestPrompt = 6000 // tokens
	// stageRetry is told to callers of a request whose pieces failed, and lateRetry to those of
	// one that was given up because its stages are behind: about the time of their backlog.
	stageRetry = 300 * time.Millisecond
	lateRetry  = 2 * time.Second
	// crowdedWait is the wait of new jobs, about one call, from which on room is short.
	crowdedWait = 300 * time.Millisecond
	// nearBytes is from how much on moving inputs or results between zones is worth avoiding.
	nearBytes = 500_000
	// keepMargin is how long before their end results are no longer relied on: they are kept
	// from the end of a call at the target, which this host learns a little later.
	keepMargin = 150 * time.Millisecond
)

// stages has all stages of the request worked on and returns the handles that the request
// reads, nil if its route has none. It answers a request whose stages fail.
func (x *exchange) stages(ctx context.Context) (inputs []string, ok bool) {
	stages := x.route.Stages
	if len(stages) == 0 {
		return nil, true
	}
	if len(x.request.Pieces) != len(stages) {
		x.detail = "the number of stages differs"
		x.refuse(http.StatusBadRequest, reason.Field, 0)
		return nil, false
	}
	if retry, ok := x.admitPath(); !ok {
		x.detail = "backlog"
		x.fail(reason.Late, retry)
		return nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type end struct {
		stage   int
		group   string
		outcome lead.Outcome
	}
	ends := make(chan end, len(stages))
	results := make([][]string, len(stages))
	done := make([]bool, len(stages))
	read := make([]bool, len(stages)) // stages that need their inputs no more
	reads := make(chan int, len(stages))
	redone := false
	begun := make([]bool, len(stages))
	running := 0
	var failure *lead.Outcome
	for {
		for i := range stages {
			if failure == nil && !begun[i] && x.startable(i, done) {
				begun[i] = true
				if x.request.Pieces[i] == 0 {
					done[i], read[i] = true, true
					continue
				}
				running++
				job := x.job(i, results)
				job.Read = func() { reads <- i }
				go func() { ends <- end{stage: i, group: job.Group, outcome: x.lead.Do(ctx, job)} }()
			}
		}
		if running == 0 {
			break
		}
		var e end
		select {
		case i := <-reads:
			if read[i] = x.crowded(i); read[i] {
				x.freeRead(read)
			}
			continue
		case e = <-ends:
		}
		running--
		x.decide("stage %d at %s group %q: %s", e.stage, e.outcome.Host, e.group, e.outcome.Word())
		if e.outcome.Fault == lead.FaultGone && failure == nil && !redone {
			// The inputs were freed early or lost with their target; they can be made again.
			redone = true
			begun[e.stage] = false
			for _, a := range x.before(e.stage) {
				begun[a], done[a], read[a] = false, false, false
			}
			continue
		}
		if e.outcome.Fault != lead.FaultNone {
			if failure == nil {
				failure = &e.outcome
				cancel()
			}
			continue
		}
		results[e.stage], done[e.stage], read[e.stage] = e.outcome.Handles, true, true
		x.held = append(x.held, holding{
			stage: e.stage, host: e.outcome.Host, pool: stages[e.stage].Pool, group: e.group, handles: e.outcome.Handles,
			bytes: stages[e.stage].Bytes * int64(len(e.outcome.Handles)), made: x.clock(),
		})
		x.freeRead(read)
	}
	if failure != nil {
		x.failStage(*failure)
		return nil, false
	}
	inputs = []string{}
	for _, i := range x.route.Final() {
		inputs = append(inputs, results[i]...)
	}
	return inputs, true
}

// admitPath decides whether the request is begun, from its whole path with what waits at the
// pools of its stages. It returns when the caller should come back otherwise.
func (x *exchange) admitPath() (retry time.Duration, ok bool) {
	soon, all := x.path().Expect()
	passed := x.clock() - x.began
	x.verdict, retry = admit.Admit(soon, all, admit.Times{
		Objective: x.route.Objective, Aim: x.route.Objective - passed, Patience: x.patience - x.began, Left: x.patience - x.began - passed,
	})
	x.decide("door: in time %dms, after all others %dms, objective %dms: %s", soon.Milliseconds(), all.Milliseconds(), x.route.Objective.Milliseconds(), x.verdict)
	return retry, x.verdict != admit.Refused
}

// path returns what is expected of the stages of the request and its model engine.
func (x *exchange) path() (p admit.Path) {
	s := x.state.Load()
	p.Answer = x.answerTime()
	for i, stage := range x.route.Stages {
		pool, ok := s.table.Pool(stage.Pool)
		if !ok || pool.Batch == nil || x.request.Pieces[i] == 0 {
			continue
		}
		_, backlog := x.lead.Choose(stage.Pool, x.zone())
		part := admit.Stage{Height: x.route.Height(i), Backlog: backlog, Own: pool.Batch.Call + time.Duration(min(x.request.Pieces[i], pool.Batch.Size))*pool.Batch.Piece}
		if len(stage.After) > 0 {
			part.Keep = pool.Batch.Keep - keepMargin
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

// before returns the stages whose results a stage depends on, and gives up those that exist.
func (x *exchange) before(stage int) (stages []int) {
	for _, a := range x.route.Stages[stage].After {
		stages = append(append(stages, a), x.before(a)...)
	}
	x.held = slices.DeleteFunc(x.held, func(h holding) bool {
		found := slices.Contains(stages, h.stage)
		if found {
			x.lead.Free(h.host, h.pool, h.group, h.handles)
		}
		return found
	})
	return stages
}

// crowded reports whether room for the results that a stage reads is short: new jobs wait at the
// pools that make them. Only then are they worth freeing before the stage has ended; if it
// fails, they have to be made again.
func (x *exchange) crowded(stage int) bool {
	for _, h := range x.held {
		if slices.Contains(x.route.Stages[stage].After, h.stage) && x.lead.Backlog(h.pool, h.group).Soon > crowdedWait {
			return true
		}
	}
	return false
}

// freeRead gives up the results that all stages after theirs have read, because the room for
// results bounds the size of calls.
func (x *exchange) freeRead(read []bool) {
	x.held = slices.DeleteFunc(x.held, func(h holding) bool {
		followed, unused := false, true
		for i, s := range x.route.Stages {
			if slices.Contains(s.After, h.stage) {
				followed, unused = true, unused && read[i]
			}
		}
		if followed && unused {
			x.lead.Free(h.host, h.pool, h.group, h.handles)
		}
		return followed && unused
	})
}

// kept returns until when the results that a stage reads are kept.
func (x *exchange) kept(stage int) time.Duration {
	until := x.patience
	for _, h := range x.held {
		if p, ok := x.state.Load().table.Pool(h.pool); ok && p.Batch != nil && slices.Contains(x.route.Stages[stage].After, h.stage) {
			until = min(until, h.made+p.Batch.Keep-keepMargin)
		}
	}
	return until
}

// startable reports whether a stage can begin: its inputs are there, and so are the results
// of all stages that have more stages after them than it has. A shorter branch begun with
// a longer one would have its results wait for it and take up room.
func (x *exchange) startable(stage int, done []bool) bool {
	for _, a := range x.route.Stages[stage].After {
		if !done[a] {
			return false
		}
	}
	height := x.route.Height(stage)
	for i := range x.route.Stages {
		if x.request.Pieces[i] > 0 && !done[i] && x.route.Height(i) > height {
			return false
		}
	}
	return true
}

// job returns the pieces of a stage whose inputs are there.
func (x *exchange) job(i int, results [][]string) lead.Job {
	stage := x.route.Stages[i]
	now := x.clock()
	later := x.later(i)
	j := lead.Job{
		Begun: len(stage.After) > 0, Pool: stage.Pool, Request: x.request.ID, Stage: i, Pieces: x.request.Pieces[i], Age: now - x.began,
		Aim: x.aim - later - now, Left: x.patience - later - now, Rank: x.rank, Bytes: stage.Bytes,
	}
	if x.verdict == admit.Late {
		j.Aim = 0
	}
	j.Zone, j.Near = x.place(i)
	j.Group, _ = x.lead.Choose(stage.Pool, j.Zone)
	if len(stage.After) == 0 {
		j.Key = x.request.PieceKey
		return j
	}
	for _, a := range stage.After {
		j.Inputs = append(j.Inputs, results[a]...)
	}
	j.Left = min(j.Left, x.kept(i)-now)
	return j
}

// place returns in which zone a stage is best worked on, and whether so much is moved to or
// from it that it is worth some waiting. Each piece reads all inputs of its stage.
func (x *exchange) place(stage int) (zone string, near bool) {
	s := x.route.Stages[stage]
	read := int64(0)
	for _, h := range x.held {
		if slices.Contains(s.After, h.stage) {
			read += h.bytes * int64(x.request.Pieces[stage])
			zone = x.state.Load().zones[platform.Maker(h.handles[0])]
		}
	}
	if read >= nearBytes && zone != "" {
		return zone, true
	}
	return x.zone(), x.route.Height(stage) == 1 && s.Bytes*int64(x.request.Pieces[stage]) >= nearBytes
}

// zone returns where the results of the next stage are of most use: where the target is that
// is meant to run the request, else where the newest results are, else the own zone.
func (x *exchange) zone() string {
	if t, ok := x.choosers.home(x.pool, x.prompt()); ok {
		return t.Zone
	}
	if n := len(x.held); n > 0 {
		if zone, ok := x.state.Load().zones[platform.Maker(x.held[n-1].handles[0])]; ok {
			return zone
		}
	}
	return x.settings.Zone()
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
				own = p.Batch.Call + time.Duration(min(x.request.Pieces[i], p.Batch.Size))*p.Batch.Piece
			}
			longest = max(longest, own+x.later(i))
		}
	}
	if longest > 0 {
		return longest
	}
	return x.answerTime()
}

// failStage answers a request of which a stage failed. The request itself has not run.
func (x *exchange) failStage(o lead.Outcome) {
	x.detail = "stage " + string(o.Fault) + " at " + o.Host
	switch o.Fault {
	case lead.FaultRefused:
		x.fail(reason.Overload, o.Retry)
	case lead.FaultLate:
		x.fail(reason.Late, lateRetry)
	default:
		x.fail(reason.Crashed, stageRetry)
	}
}
