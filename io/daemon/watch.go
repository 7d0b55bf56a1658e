package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/io/event"
	"sassafrasward/io/platform"
	"sassafrasward/io/wire"
)

const (
	// pollWait is the duration of a long poll of the platform.
	pollWait = 30 * time.Second
	// minRetryDelay and maxRetryDelay bound the mean of the jittered exponential backoff after
	// failed reads. If all of 370 hosts restart while the platform is down, they make at most
	// 370 calls a second.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// errStale means that the platform returned an older value than before.
var errStale = errors.New("the platform returned an older version than before")

// watcher reads the configuration and the host list from the platform and passes them to
// callbacks. The control goroutine starts and stops it.
type watcher struct {
	platform *platform.Client
	log      logr.Logger
	config   func(ctx context.Context, cfg platform.Config)
	hosts    func(ctx context.Context, list wire.HostList)
	// alive is called after each successful read of a running watch.
	alive func(ctx context.Context)

	// cancel stops the running watch; it is nil if there is none.
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// setRunning starts or stops the watch.
func (w *watcher) setRunning(ctx context.Context, on bool) {
	if on == (w.cancel != nil) {
		return
	}
	if !on {
		w.cancel()
		w.cancel = nil
		event.Log(w.log, event.WatchStopped)
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	w.running.Go(func() { w.poll(watchCtx, w.readConfig(ctx, pollWait)) })
	w.running.Go(func() { w.poll(watchCtx, w.readHosts(ctx, pollWait)) })
	event.Log(w.log, event.WatchStarted)
}

// readOnce reads the configuration and the host list without waiting for a change.
func (w *watcher) readOnce(ctx context.Context) {
	for _, read := range []func(context.Context) error{w.readConfig(ctx, 0), w.readHosts(ctx, 0)} {
		w.running.Go(func() {
			if err := read(ctx); err != nil && ctx.Err() == nil {
				event.LogError(w.log, event.PlatformFailed, err)
			}
		})
	}
}

// poll reads until the context ends, with jittered exponential backoff after failures.
func (w *watcher) poll(ctx context.Context, read func(context.Context) error) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			delay = minRetryDelay
			w.alive(ctx)
			continue
		}
		event.LogError(w.log, event.PlatformFailed, err)
		timer := time.NewTimer(delay/2 + time.Duration(rand.Int64N(int64(delay))))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		delay = min(2*delay, maxRetryDelay)
	}
}

// readConfig returns a function that reads the configuration if it has changed since its last
// call, waiting up to the given time for a change. What it has read is passed on until handlerCtx ends,
// also if the watch stops meanwhile.
func (w *watcher) readConfig(handlerCtx context.Context, wait time.Duration) func(context.Context) error {
	var number uint64
	return func(ctx context.Context) error {
		cfg, changed, err := w.platform.Config(ctx, number, wait)
		if err != nil || !changed {
			return err
		}
		stale := cfg.Version() < number
		number = cfg.Version()
		w.config(handlerCtx, cfg)
		if stale {
			return errStale
		}
		return nil
	}
}

// readHosts is readConfig for the host list.
func (w *watcher) readHosts(handlerCtx context.Context, wait time.Duration) func(context.Context) error {
	var version uint64
	return func(ctx context.Context) error {
		list, changed, err := w.platform.Hosts(ctx, version, wait)
		if err != nil || !changed {
			return err
		}
		stale := list.Version < version
		version = list.Version
		w.hosts(handlerCtx, list)
		if stale {
			return errStale
		}
		return nil
	}
}
