package dispatch

import (
	"context"
	"net/http"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/platform"
)

// Free releases results of a pool at their targets.
func (d *Dispatcher) Free(pool, group string, handles []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if g, ok := d.findGroup(pool, group); ok {
		d.free(g, handles)
		d.startCalls(g)
	}
}

// free queues results for release. Handles that arrive while a release call to their target is
// in progress are sent together in the next call.
func (d *Dispatcher) free(g *group, handles []string) {
	for _, h := range handles {
		if h == "" {
			continue
		}
		address := platform.HandleAddress(h)
		g.toFree[address] = append(g.toFree[address], h)
		if !g.freeing[address] {
			g.freeing[address] = true
			d.running.Go(func() { d.sendFrees(g, address) })
		}
	}
}

// sendFrees sends release calls to a target until none of its handles is queued, and counts the
// memory of the released results as free.
func (d *Dispatcher) sendFrees(g *group, address string) {
	for {
		d.mutex.Lock()
		handles := g.toFree[address]
		if len(handles) == 0 {
			delete(g.freeing, address)
			d.mutex.Unlock()
			return
		}
		target, ttl := g.results[handles[0]].target, g.spec.ResultTTL
		d.mutex.Unlock()
		err := d.awaitPause(target, ttl)
		if err == nil {
			err = d.awaitTurn(target, ttl)
		}
		d.mutex.Lock()
		handles = g.toFree[address] // with those that came during the wait
		delete(g.toFree, address)
		d.mutex.Unlock()
		if err == nil {
			err = d.postFree(target, address, handles)
		}
		d.mutex.Lock()
		if err != nil {
			// The target drops the results itself when they expire.
			d.metrics.Counter("stage.free.failed").Inc(1)
		} else {
			for _, h := range handles {
				if r, ok := g.results[h]; ok {
					g.batcher.ReleaseMemory(r.target.ID, r.bytes)
					delete(g.results, h)
				}
			}
			d.startCalls(g)
		}
		d.mutex.Unlock()
	}
}

// errPaused is returned if results expire before their target wants requests again.
var errPaused = Error.New("the target wants no requests until the results have expired")

// awaitPause waits for the end of the pause that a target has asked for, unless the results there expire
// within the pause.
func (d *Dispatcher) awaitPause(target discovery.Target, ttl time.Duration) (err error) {
	return d.sleepWithin(d.gate.Paused(d.clock(), target), ttl)
}

// coldFreeInterval is the time for which results at a cold target are gathered before they are released. The release
// counts as one of the few requests that such a target takes.
const coldFreeInterval = 500 * time.Millisecond

// awaitTurn counts a release call towards the limit of the target, so that fewer other calls follow. If the
// target is cold, it waits for more results to release, and until the call may be sent.
func (d *Dispatcher) awaitTurn(target discovery.Target, ttl time.Duration) (err error) {
	if _, cold := d.reports.SoonestWarm([]discovery.Target{target}); !cold {
		d.gate.Take(d.clock(), target)
		return nil
	}
	if err = d.sleepWithin(coldFreeInterval, ttl); err != nil {
		return err
	}
	now := d.clock()
	wait := d.gate.Wait(now, target)
	if wait+coldFreeInterval >= ttl {
		return errPaused
	}
	d.gate.Take(now, target)
	return d.sleepWithin(wait, ttl)
}

// sleepWithin waits, or returns errPaused if the results expire before.
func (d *Dispatcher) sleepWithin(wait, ttl time.Duration) (err error) {
	switch {
	case wait == 0:
		return nil
	case wait >= ttl:
		return errPaused
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// postFree sends one release call to a target.
func (d *Dispatcher) postFree(target discovery.Target, address string, handles []string) (err error) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	body, err := platform.EncodeFree(handles)
	if err != nil {
		return err
	}
	status, answer, _, err := d.send(ctx, "", address, platform.PathFree, body, false)
	if err == nil && status == http.StatusServiceUnavailable {
		d.reports.Observe(target, answer.Statement)
	}
	return err
}
