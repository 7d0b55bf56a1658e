package dispatch

import (
	"context"
	"time"

	"sassafrasward/platform"
)

// Free gives up results.
func (d *Dispatcher) Free(pool, group string, handles []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if p, ok := d.find(pool, group); ok {
		d.free(p, handles)
		d.pump(p)
	}
}

// free gives results up. What comes while a call to their target runs waits for its end.
func (d *Dispatcher) free(p *group, handles []string) {
	for _, h := range handles {
		if h == "" {
			continue
		}
		address := platform.Maker(h)
		p.frees[address] = append(p.frees[address], h)
		if !p.freeing[address] {
			p.freeing[address] = true
			d.running.Go(func() { d.flush(p, address) })
		}
	}
}

// flush sends the calls that give up results at a target, and then counts their room as free.
func (d *Dispatcher) flush(p *group, address string) {
	for {
		d.mutex.Lock()
		handles := p.frees[address]
		delete(p.frees, address)
		if len(handles) == 0 {
			delete(p.freeing, address)
			d.mutex.Unlock()
			return
		}
		d.mutex.Unlock()
		err := d.release(address, handles)
		d.mutex.Lock()
		if err != nil {
			// The target drops the results by itself when their time ends.
			d.metrics.Counter("stage.free.failed").Inc(1)
		} else {
			for _, h := range handles {
				if m, ok := p.results[h]; ok {
					p.dispatcher.ReleaseMemory(m.target.ID, m.bytes)
					delete(p.results, h)
				}
			}
			d.pump(p)
		}
		d.mutex.Unlock()
	}
}

// release makes the call that gives up results.
func (d *Dispatcher) release(address string, handles []string) (err error) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	body, err := platform.EncodeFree(handles)
	if err != nil {
		return err
	}
	_, _, _, err = d.send(ctx, "", address, platform.PathFree, body)
	return err
}
