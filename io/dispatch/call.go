package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
	"sassafrasward/core/selfreport"
	"sassafrasward/io/event"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

// startCalls starts the calls that can be made now.
func (d *Dispatcher) startCalls(g *group) {
	if d.ctx.Err() != nil {
		return
	}
	now := d.clock()
	for _, c := range g.batcher.NextCalls(now) {
		pieces, items := d.pieces(g, now, c.Items)
		g.calls[c.ID] = pendingCall{items: items, hedgeAt: now + time.Duration(hedgeFactor*float64(c.Expected)) + hedgeExtra}
		event.Log(d.log, event.CallStarted, "pool", g.key, "target", c.Target.ID, "pieces", len(pieces),
			"expected", c.Expected.Milliseconds(), "waiting", g.batcher.Waiting())
		d.running.Go(func() { d.call(g, c, pieces, items) })
	}
	d.startNextInTime(g, now)
}

// startNextInTime starts the calls that wait for the rate of a target as soon as that allows it. The next
// tick may be so much later that a cold target gets far fewer calls than it takes.
func (d *Dispatcher) startNextInTime(g *group, now time.Duration) {
	wait, ok := g.batcher.NextTurn(now)
	if !ok || g.waking || wait >= tickInterval {
		return
	}
	g.waking = true
	time.AfterFunc(wait, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		g.waking = false
		d.startCalls(g)
	})
}

// pieces returns the pieces to send for the active items, those whose jobs have not ended, and
// these items. It counts an attempt of each.
func (d *Dispatcher) pieces(g *group, now time.Duration, items []batch.Item) (pieces []platform.Piece, active []batch.Item) {
	for _, item := range items {
		a, ok := g.jobs[item.Job]
		if !ok {
			continue
		}
		if a.attempts[item.Piece] == 0 {
			if a.started++; a.started == a.job.Pieces {
				time.AfterFunc(inputReadTime, func() { close(a.inputsRead) })
			}
		}
		a.attempts[item.Piece]++
		active = append(active, item)
		pieces = append(pieces, platform.Piece{
			RequestID: a.job.Request, Stage: a.job.Stage, Number: item.Piece, TimeLeft: a.deadline - now, Key: a.job.Key, Inputs: a.job.Inputs,
		})
	}
	return pieces, active
}

// call sends one call to its target and handles its results or its failure. The items of a hedged
// call were queued again when it was hedged.
func (d *Dispatcher) call(g *group, c batch.Call, pieces []platform.Piece, items []batch.Item) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	began := d.clock()
	results, outcome, err := d.sendPieces(ctx, c.Target, pieces)
	d.metrics.ObserveDuration("stage.call", d.clock()-began)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	_, unhedged := g.calls[c.ID]
	delete(g.calls, c.ID)
	if outcome != batch.Completed {
		g.batcher.FinishCall(now, c.ID, outcome)
		event.Log(d.log, event.CallFailed, "pool", g.key, "target", c.Target.ID, "pieces", len(items), "refused", outcome == batch.Busy, "error", errorText(err))
		switch {
		case !unhedged:
		case outcome == batch.Busy:
			d.requeueRefused(g, items)
		default:
			d.requeue(g, now, items)
		}
	} else {
		d.recordResults(g, now, c, items, results)
	}
	d.startCalls(g)
}

// errorText returns the message of an error, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// requeueRefused queues the items of a call again that the target did not run because it is full.
// Such a call is no attempt; the target is not tried again at once.
func (d *Dispatcher) requeueRefused(g *group, items []batch.Item) {
	for _, item := range items {
		if a, ok := g.jobs[item.Job]; ok && a.handles[item.Piece] == "" {
			a.attempts[item.Piece]--
			g.batcher.Requeue([]batch.Item{item})
		}
	}
}

// requeue queues the items of a failed or late call again, within the retry quota. All items of
// one job in the call count as one retry. A job that may not be retried fails.
func (d *Dispatcher) requeue(g *group, now time.Duration, items []batch.Item) {
	retried := make(map[uint64]bool)
	for _, item := range items {
		a, ok := g.jobs[item.Job]
		switch {
		case !ok || a.handles[item.Piece] != "":
		case a.attempts[item.Piece] >= maxAttempts || !retried[item.Job] && !g.quota.TrySpend(now):
			d.fail(g, a, FaultFailed)
		default:
			retried[item.Job] = true
			g.batcher.Requeue([]batch.Item{item})
		}
	}
}

// recordResults assigns the results of a call to their jobs. It fails the jobs of items that were
// late or whose inputs are gone, and requeues the other items without a result.
func (d *Dispatcher) recordResults(g *group, now time.Duration, c batch.Call, items []batch.Item, results []platform.PieceResult) {
	faults := make(map[platform.Fault]int)
	var done []batch.Item
	for n, r := range results {
		faults[r.Fault]++
		if r.Fault == platform.FaultNone {
			done = append(done, items[n])
		}
	}
	g.batcher.FinishPartialCall(now, c.ID, done, faults[platform.FaultNoMemory] > 0)
	if completed := faults[platform.FaultNone]; completed < len(items) {
		event.Log(d.log, event.PiecesFailed, "pool", g.key, "target", c.Target.ID, "made", completed, "late", faults[platform.FaultExpired],
			"gone", faults[platform.FaultInputMissing], "room", faults[platform.FaultNoMemory], "error", faults[platform.FaultError],
			"taken", g.batcher.UsedMemory(now, c.Target.ID))
	}
	var missing []batch.Item
	for n, item := range items {
		a, ok := g.jobs[item.Job]
		r := results[n]
		if r.Fault == platform.FaultNone {
			g.results[r.Handle] = storedResult{target: c.Target, bytes: item.Bytes, expires: now + g.spec.ResultTTL}
		}
		switch {
		case !ok || a.handles[item.Piece] != "":
			// The job has ended, or a second call for the piece was faster.
			d.free(g, []string{r.Handle})
		case r.Fault == platform.FaultNone:
			a.handles[item.Piece] = r.Handle
			if a.piecesLeft--; a.piecesLeft == 0 {
				g.batcher.CompleteJob(now, a.id)
				d.endJob(g, a)
			}
		case r.Fault == platform.FaultExpired:
			d.fail(g, a, FaultLate)
		case r.Fault == platform.FaultInputMissing:
			d.fail(g, a, FaultGone)
		default:
			missing = append(missing, item)
		}
	}
	d.requeue(g, now, missing)
}

// sendPieces sends a call to a target and returns one result per piece if it completed.
func (d *Dispatcher) sendPieces(ctx context.Context, t discovery.Target, pieces []platform.Piece) (results []platform.PieceResult, outcome batch.CallStatus, err error) {
	if len(pieces) == 0 {
		return nil, batch.Busy, nil
	}
	body, err := platform.EncodePieces(pieces)
	if err != nil {
		return nil, batch.Failed, err
	}
	// Calls have no identity that an answer could name. On a kept connection, a target may write the
	// answer to an earlier call once more.
	status, answer, raw, err := d.send(ctx, t.ID, t.Address, platform.PathRun, body, true)
	if status != 0 {
		d.reports.Observe(t, answer.Statement)
	}
	switch {
	case status != 0 && status != http.StatusMisdirectedRequest:
		d.reports.Answered(t, selfreport.OneHost)
	case errors.Is(err, syscall.ECONNREFUSED):
		d.reports.Refused(t)
	}
	switch {
	case err != nil:
		return nil, batch.Failed, err
	case status == http.StatusOK:
		results, err = platform.DecodeResults(raw, len(pieces))
		if err != nil {
			return nil, batch.Failed, err
		}
		return results, batch.Completed, nil
	case answer.NotRun && status == http.StatusServiceUnavailable:
		return nil, batch.Busy, nil
	}
	return nil, batch.Failed, Error.New("status %d", status)
}

// send posts a body to an address and reads the whole response. Only the target with the given ID
// may handle it; an empty ID allows any target at the address.
func (d *Dispatcher) send(ctx context.Context, target, address, path string, body []byte, newConnection bool) (status int, answer platform.Response, raw []byte, err error) {
	h := platform.RunHeader(target)
	response, err := d.conns.Do(ctx, address, transport.Request{
		Method: http.MethodPost, URI: path, Host: address, Header: h, Body: body, NewConnection: newConnection,
	})
	if err != nil {
		return 0, platform.Response{}, nil, err
	}
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	response.Close(err == nil)
	return response.Status, platform.ReadResponse(response.Status, response.Header), raw, err
}
