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
	// pollWait is how long one waiting read of the platform lasts.
	pollWait = 30 * time.Second
	// retryFirst and retryLast bound the mean delay after failed reads; the delay is
	// jittered and doubles. If all of 370 hosts restart while the platform is down, they
	// make at most 370 calls a second.
	retryFirst = 500 * time.Millisecond
	retryLast  = 2 * time.Second
)

// errOld means that the service gave an older value than before.
var errOld = errors.New("the value is older than one read before")

// watcher reads the platform. The control goroutine starts and stops it; what it reads
// goes to the functions given.
type watcher struct {
	platform *platform.Client
	log      logr.Logger
	config   func(ctx context.Context, cfg platform.Config)
	hosts    func(ctx context.Context, list wire.HostList)
	// alive is called after each read that succeeded.
	alive func(ctx context.Context)

	// cancel stops the running watch; nil if there is none.
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// set starts or stops the watch.
func (w *watcher) set(ctx context.Context, on bool) {
	if on == (w.cancel != nil) {
		return
	}
	if !on {
		event.Log(w.log, event.WatchStopped)
		w.cancel()
		w.cancel = nil
		return
	}
	event.Log(w.log, event.WatchStarted)
	ctx, w.cancel = context.WithCancel(ctx)
	w.running.Go(func() { w.repeat(ctx, w.readConfig(pollWait)) })
	w.running.Go(func() { w.repeat(ctx, w.readHosts(pollWait)) })
}

// once reads the configuration and the host list without waiting for a change.
func (w *watcher) once(ctx context.Context) {
	for _, read := range []func(context.Context) error{w.readConfig(0), w.readHosts(0)} {
		w.running.Go(func() {
			if err := read(ctx); err != nil && ctx.Err() == nil {
				event.LogError(w.log, event.PlatformFailed, err)
			}
		})
	}
}

// repeat reads until the context ends, with a jittered delay after each failure.
func (w *watcher) repeat(ctx context.Context, read func(context.Context) error) {
	delay := retryFirst
	for ctx.Err() == nil {
		err := read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			delay = retryFirst
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
		delay = min(2*delay, retryLast)
	}
}

// readConfig returns a function that reads the next configuration.
func (w *watcher) readConfig(wait time.Duration) func(context.Context) error {
	var number uint64
	return func(ctx context.Context) error {
		cfg, changed, err := w.platform.Config(ctx, number, wait)
		if err != nil || !changed {
			return err
		}
		old := cfg.Version() < number
		number = cfg.Version()
		w.config(ctx, cfg)
		if old {
			return errOld
		}
		return nil
	}
}

// readHosts returns a function that reads the next host list.
func (w *watcher) readHosts(wait time.Duration) func(context.Context) error {
	var version uint64
	return func(ctx context.Context) error {
		list, changed, err := w.platform.Hosts(ctx, version, wait)
		if err != nil || !changed {
			return err
		}
		old := list.Version < version
		version = list.Version
		w.hosts(ctx, list)
		if old {
			return errOld
		}
		return nil
	}
}
