package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"sassafrasward/io/event"
)

const (
	// pollWait is how long one waiting read of the platform lasts.
	pollWait = 30 * time.Second
	// pollRetry is the longest delay after a failed read; the delay is jittered.
	pollRetry = time.Second
)

// watch follows the configuration and the host list; its end is reported on done.
func (d *Daemon) watch(ctx context.Context, done chan<- error) {
	hosts := make(chan struct{})
	go func() {
		defer close(hosts)
		d.repeat(ctx, d.readHosts())
	}()
	d.repeat(ctx, d.readConfig())
	<-hosts
	done <- nil
}

// repeat reads until the context ends, with a jittered delay after each failure.
func (d *Daemon) repeat(ctx context.Context, read func(context.Context) error) {
	for ctx.Err() == nil {
		err := read(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		event.Fail(d.log, event.PlatformFailed, err)
		timer := time.NewTimer(time.Duration(rand.Int64N(int64(pollRetry))))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (d *Daemon) readConfig() func(context.Context) error {
	var number uint64
	return func(ctx context.Context) error {
		cfg, changed, err := d.platform.Config(ctx, number, pollWait)
		if err != nil || !changed {
			return err
		}
		number = cfg.Number()
		d.control.send(ctx, func() { d.control.takeConfig(cfg) })
		return nil
	}
}

func (d *Daemon) readHosts() func(context.Context) error {
	var version uint64
	return func(ctx context.Context) error {
		list, changed, err := d.platform.Hosts(ctx, version, pollWait)
		if err != nil || !changed {
			return err
		}
		version = list.Version
		d.control.send(ctx, func() { d.control.takeHosts(list) })
		return nil
	}
}
