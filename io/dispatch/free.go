package dispatch

import (
	"context"
	"time"

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
		delete(g.toFree, address)
		if len(handles) == 0 {
			delete(g.freeing, address)
			d.mutex.Unlock()
			return
		}
		d.mutex.Unlock()
		err := d.postFree(address, handles)
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

// postFree sends one release call to a target.
func (d *Dispatcher) postFree(address string, handles []string) (err error) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	body, err := platform.EncodeFree(handles)
	if err != nil {
		return err
	}
	_, _, _, err = d.send(ctx, "", address, platform.PathFree, body, false)
	return err
}
