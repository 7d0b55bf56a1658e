package edge

import (
	"context"
	"errors"
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
	// known reports whether this host has a configuration, and heardAt returns when it last got a packet from
	// another host, which tells the version that is in force there.
	known   func() bool
	heardAt func() time.Duration
	// apply gets each configuration that was read.
	apply func(ctx context.Context, raw []byte)
	// jitter, wait and coalesce are as in watcher.
	jitter         float64
	wait, coalesce time.Duration

	// revision is the revision of the store up to which the configuration is known, entryRevision that of the
	// configuration itself.
	revision, entryRevision revision.Revision
	// newestOnly is set if the next read asks for the newest configuration instead of each one since the
	// revision: after a failure, and while configurations come faster than they are read.
	newestOnly bool
	// lastRead is when the last read ended.
	lastRead time.Duration
}

// run reads the configuration until the context ends, then sends nil on done.
func (w *configWatcher) run(ctx context.Context, done chan<- error) {
	backoff := minBackoff
	failing := false
	for ctx.Err() == nil {
		if wait := w.readIn(); wait > 0 {
			w.newestOnly = true
			sleep(ctx, min(wait, idleCheck))
			continue
		}
		raw, err := w.read(ctx)
		w.lastRead = w.clock()
		if err != nil {
			if !failing && ctx.Err() == nil && !errors.Is(err, platform.ErrCompacted) {
				event.LogError(w.log, event.StoreReadFailed, err, "entries", "configuration", "revision", w.revision.Number())
			}
			failing, w.newestOnly = true, true
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		failing, backoff = false, minBackoff
		switch {
		case raw != nil:
			w.apply(ctx, raw)
			sleep(ctx, w.coalesce)
		case w.revision.IsZero():
			sleep(ctx, maxBackoff) // there is no configuration yet, and no revision to wait from
		}
	}
	done <- nil
}

// readIn returns the time after which the configuration has to be read, zero for now.
func (w *configWatcher) readIn() time.Duration {
	sinceRead := w.clock() - w.lastRead
	age := w.clock() - w.heardAt()
	if w.hub.DownElsewhere() {
		age = w.hub.Age()
	}
	return feed.ReadState{
		Reader: w.reader(), Empty: !w.known(), Down: w.hub.DownElsewhere(), Age: min(age, sinceRead), SinceRead: sinceRead, Jitter: w.jitter,
	}.ReadIn()
}

// read returns the newest configuration if it has changed since the last read.
func (w *configWatcher) read(ctx context.Context) (raw []byte, err error) {
	if w.revision.IsZero() || w.newestOnly {
		return w.readNewest(ctx)
	}
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
