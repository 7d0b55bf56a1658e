package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
	"sassafrasward/io/event"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

// pump makes the calls that can be made now.
func (d *Dispatcher) pump(p *group) {
	if d.ctx.Err() != nil {
		return
	}
	now := d.clock()
	for _, o := range p.dispatcher.NextCalls(now) {
		pieces, items := d.pieces(p, now, o.Items)
		p.orders[o.ID] = pending{items: items, late: now + time.Duration(lateFactor*float64(o.Expected)) + lateExtra}
		event.Log(d.log, event.CallStarted, "pool", p.name, "target", o.Target.ID, "pieces", len(pieces),
			"expected", o.Expected.Milliseconds(), "waiting", p.dispatcher.Waiting())
		d.running.Go(func() { d.call(p, o, pieces, items) })
	}
}

// pieces returns what to ask for the items of jobs that are still wanted.
func (d *Dispatcher) pieces(p *group, now time.Duration, items []batch.Item) (pieces []platform.Piece, wanted []batch.Item) {
	for _, i := range items {
		w, ok := p.jobs[i.Job]
		if !ok {
			continue
		}
		if w.tries[i.Piece] == 0 {
			if w.started++; w.started == w.job.Pieces {
				time.AfterFunc(readTime, func() { close(w.read) })
			}
		}
		w.tries[i.Piece]++
		wanted = append(wanted, i)
		pieces = append(pieces, platform.Piece{
			Request: w.job.Request, Stage: w.job.Stage, Number: i.Piece, Left: w.expires - now, Key: w.job.Key, Inputs: w.job.Inputs,
		})
	}
	return pieces, wanted
}

// call makes one call and takes its end.
func (d *Dispatcher) call(p *group, o batch.Call, pieces []platform.Piece, items []batch.Item) {
	ctx, cancel := context.WithTimeout(d.ctx, callMost)
	defer cancel()
	began := d.clock()
	results, end, err := d.post(ctx, o.Target, pieces)
	d.metrics.Time("stage.call", d.clock()-began)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	_, inTime := p.orders[o.ID]
	delete(p.orders, o.ID)
	if end != batch.Completed {
		p.dispatcher.FinishCall(now, o.ID, end)
		event.Log(d.log, event.CallFailed, "pool", p.name, "target", o.Target.ID, "pieces", len(items), "refused", end == batch.Refused, "error", text(err))
		if inTime {
			d.again(p, now, items)
		}
	} else {
		d.take(p, now, o, items, results)
	}
	d.pump(p)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// again queues items whose call failed, within the bound on repeats. All pieces of a job
// that a call repeats are one repeat of its request.
func (d *Dispatcher) again(p *group, now time.Duration, items []batch.Item) {
	repeated := make(map[uint64]bool)
	for _, i := range items {
		w, ok := p.jobs[i.Job]
		switch {
		case !ok || w.handles[i.Piece] != "":
		case w.tries[i.Piece] >= triesMost || !repeated[i.Job] && !p.quota.TrySpend(now):
			d.fail(p, w, FaultFailed)
		default:
			repeated[i.Job] = true
			p.dispatcher.Requeue([]batch.Item{i})
		}
	}
}

// take assigns the results of a call to their jobs.
func (d *Dispatcher) take(p *group, now time.Duration, o batch.Call, items []batch.Item, results []platform.Made) {
	faults := make(map[platform.Fault]int)
	var done []batch.Item
	for n, r := range results {
		faults[r.Fault]++
		if r.Fault == platform.FaultNone {
			done = append(done, items[n])
		}
	}
	p.dispatcher.FinishPartialCall(now, o.ID, done, faults[platform.FaultRoom] > 0)
	if made := faults[platform.FaultNone]; made < len(items) {
		event.Log(d.log, event.PiecesFailed, "pool", p.name, "target", o.Target.ID, "made", made, "late", faults[platform.FaultLate],
			"gone", faults[platform.FaultGone], "room", faults[platform.FaultRoom], "error", faults[platform.FaultError],
			"taken", p.dispatcher.UsedMemory(now, o.Target.ID))
	}
	var missing []batch.Item
	for n, i := range items {
		w, ok := p.jobs[i.Job]
		r := results[n]
		if r.Fault == platform.FaultNone {
			p.results[r.Handle] = made{target: o.Target, bytes: i.Bytes, until: now + p.spec.ResultTTL}
		}
		switch {
		case !ok || w.handles[i.Piece] != "":
			// The job was given up, or a second call for the piece was faster.
			d.free(p, []string{r.Handle})
		case r.Fault == platform.FaultNone:
			w.handles[i.Piece] = r.Handle
			if w.left--; w.left == 0 {
				p.dispatcher.CompleteJob(now, w.id)
				d.end(p, w)
			}
		case r.Fault == platform.FaultLate:
			d.fail(p, w, FaultLate)
		case r.Fault == platform.FaultGone:
			d.fail(p, w, FaultGone)
		default:
			missing = append(missing, i)
		}
	}
	d.again(p, now, missing)
}

// post sends a call to a target.
func (d *Dispatcher) post(ctx context.Context, t discovery.Target, pieces []platform.Piece) (results []platform.Made, end batch.CallOutcome, err error) {
	if len(pieces) == 0 {
		return nil, batch.Refused, nil
	}
	body, err := platform.EncodePieces(pieces)
	if err != nil {
		return nil, batch.Failed, err
	}
	status, answer, raw, err := d.send(ctx, t.ID, t.Address, platform.PathRun, body)
	switch {
	case err != nil:
		return nil, batch.Failed, err
	case status == http.StatusOK:
		results, err = platform.DecodeMade(raw, len(pieces))
		if err != nil {
			return nil, batch.Failed, err
		}
		return results, batch.Completed, nil
	case answer.NotRun && status == http.StatusServiceUnavailable:
		return nil, batch.Refused, nil
	}
	return nil, batch.Failed, Error.New("status %d", status)
}

// send makes one call to the target at an address, which must be the given incarnation
// unless that is empty.
func (d *Dispatcher) send(ctx context.Context, target, address, path string, body []byte) (status int, answer platform.Answer, raw []byte, err error) {
	h := platform.CallHeader(target)
	response, err := d.links.Do(ctx, address, transport.Request{
		Method: http.MethodPost, URI: path, Host: address, Header: h, Body: body,
	})
	if err != nil {
		return 0, platform.Answer{}, nil, err
	}
	raw, err = io.ReadAll(io.LimitReader(response.Body, answerMost))
	response.Close(err == nil)
	return response.Status, platform.ReadAnswer(response.Status, response.Header), raw, err
}
