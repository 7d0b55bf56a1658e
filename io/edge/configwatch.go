package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
	"sassafrasward/io/event"
	iofeed "sassafrasward/io/feed"
	"sassafrasward/platform"
)

// configWatcher reads the configuration in the store while this host has to. It does so apart from the targets,
// which are small and must not wait for it.
type configWatcher struct {
	store *storeClient
	hub   *iofeed.Hub
	clock func() time.Duration
	log   logr.Logger
	// reader reports whether this host reads the store for others.
	reader func() bool
	// known reports whether this host has a configuration.
	known func() bool
	// apply gets each configuration that was read, nil if there is none that is new, and the time as of which it is
	// the newest.
	apply func(ctx context.Context, raw []byte, at time.Duration)
	// jitter, limits, wait, coalesce and reopened are as in watcher.
	jitter         float64
	limits         feed.Limits
	wait, coalesce time.Duration
	reopened       func()

	mutex sync.Mutex
	poll  feed.Poll

	// revision is the revision of the store up to which the configuration is known, entryRevision that of the
	// configuration itself.
	revision, entryRevision revision.Revision
	// newestOnly is set if the next read asks for the newest configuration instead of each one since the
	// revision: after a failure or a pause, and while configurations come faster than they are read.
	newestOnly bool
	// lastRead is when the last read ended, failures the number of reads that failed since one that did not.
	lastRead time.Duration
	failures int
}

// run reads the configuration until the context ends, then sends nil on done.
func (w *configWatcher) run(ctx context.Context, done chan<- error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if wait := w.readIn(); wait > 0 {
			w.newestOnly = w.newestOnly || w.clock()-w.lastRead > 2*w.limits.MaxAge()
			if w.hub.ConfigAge() < w.limits.MaxAge()/2 {
				w.failures = 0 // a followed host has the newest version
			}
			sleep(ctx, min(wait, idleCheck))
			continue
		}
		raw, err := w.read(ctx)
		w.lastRead = w.clock()
		if err != nil {
			if w.failures == 0 && ctx.Err() == nil && !errors.Is(err, platform.ErrCompacted) {
				event.LogError(w.log, event.StoreReadFailed, err, "entries", "configuration", "revision", w.revision.Number())
			}
			w.failures, w.newestOnly = w.failures+1, true
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		w.failures, backoff = 0, minBackoff
		w.apply(ctx, raw, w.currentAt())
		switch {
		case raw != nil:
			sleep(ctx, w.coalesce)
			w.reopened()
		case w.revision.IsZero():
			sleep(ctx, maxBackoff) // there is no configuration yet, and no revision to wait from
		}
	}
	done <- nil
}

// readIn returns the time after which the configuration has to be read, zero for now.
func (w *configWatcher) readIn() time.Duration {
	return feed.ReadState{
		Reader: w.reader(), Empty: !w.known(), Failures: w.failures, Age: w.hub.ConfigAge(), SinceRead: w.clock() - w.lastRead,
		Limits: w.limits, Jitter: w.jitter,
	}.ReadIn()
}

// read returns the newest configuration if it has changed since the last read.
func (w *configWatcher) read(ctx context.Context) (raw []byte, err error) {
	defer func() { w.ended(err) }()
	if w.revision.IsZero() || w.newestOnly {
		return w.readNewest(ctx)
	}
	w.opened()
	ctx, end := w.store.begin(ctx, w.wait+watchSlack)
	defer end()
	items, at, err := w.store.Watch(ctx, platform.KeyConfig, w.revision, w.wait)
	if err != nil {
		return nil, err
	}
	if restored, err := w.advance(at); err != nil || restored {
		w.newestOnly = true // the changes since the restore are not known
		return nil, err
	}
	w.newestOnly = len(items) > 1
	for _, i := range items {
		if i.Key == platform.KeyConfig && !i.Deleted && i.Revision.After(w.entryRevision) {
			raw, w.entryRevision = i.Value, i.Revision
		}
	}
	return raw, nil
}

// readNewest returns the newest configuration if it has changed since the last read.
func (w *configWatcher) readNewest(ctx context.Context) (raw []byte, err error) {
	ctx, end := w.store.begin(ctx, readTimeout)
	defer end()
	targetRevision := w.hub.Revision()
	item, at, ok, err := w.store.Get(ctx, platform.KeyConfig)
	if err != nil {
		return nil, err
	}
	if !ok {
		if at.Era() != targetRevision.Era() {
			w.revision = revision.Revision{}
			return nil, nil // there is no revision to wait from until the targets are read
		}
		at = targetRevision // the answer has only its era; it is not older than this one
	}
	if _, err := w.advance(at); err != nil {
		return nil, err
	}
	changed := ok && item.Revision.After(w.entryRevision)
	w.newestOnly = w.newestOnly && changed && !w.entryRevision.IsZero()
	if !changed {
		return nil, nil
	}
	w.entryRevision = item.Revision
	return item.Value, nil
}

// opened records that the store is asked for changes from now on.
func (w *configWatcher) opened() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.poll.Opened(w.clock())
}

// ended records the end of a read.
func (w *configWatcher) ended(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err != nil {
		w.poll.Closed()
		return
	}
	w.poll.Answered(w.clock())
}

// currentAt returns the time as of which this host has the newest configuration that was read.
func (w *configWatcher) currentAt() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.poll.CurrentAt()
}

// reached records that the store answered a probe that was sent at a time.
func (w *configWatcher) reached(sentAt time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.poll.Reached(sentAt) {
		w.hub.ConfigCurrent(sentAt)
	}
}

// advance records the revision of an answer of the store. It reports whether the store was restored from a backup
// since the answer before; the configuration that is in force then stays until a later version is published.
func (w *configWatcher) advance(at revision.Revision) (restored bool, err error) {
	switch {
	case at.Era() < w.revision.Era():
		return false, errEarlierEra
	case at.Era() > w.revision.Era() && !w.revision.IsZero():
		event.Log(w.log, event.StoreRestored, "entries", "configuration", "era", w.revision.Era(), "revision", w.revision.Number(), "newera", at.Era(), "newrevision", at.Number())
		restored = true
	}
	w.revision = revision.Max(w.revision, at)
	return restored, nil
}
