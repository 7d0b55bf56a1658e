package edge

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/feed"
	"sassafrasward/io/event"
	iofeed "sassafrasward/io/feed"
	"sassafrasward/platform"
)

const (
	// maxWait is the longest time that a long poll waits for changes. Hosts that follow this one
	// rely on it to know how current their copy is.
	maxWait = 2 * time.Second
	// idleCheck is the longest time between two checks of a host that does not read the store.
	idleCheck = 1 * time.Second
	// readTimeout is the longest time without a byte from the store during a read that doesn't wait for
	// changes.
	readTimeout = 1 * time.Second
	// watchSlack is how much longer than its wait a long poll may take until its answer begins.
	watchSlack = 700 * time.Millisecond
	// watchMargin is the part of the time within which a host must be up to date again that is
	// reserved for the first read after a long poll without a response.
	watchMargin = 300 * time.Millisecond
	// The backoff after failed reads doubles from minBackoff to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// watcher reads the targets in the store with long polls while this host has to, and adds what it reads to the
// copy that other hosts follow.
type watcher struct {
	store *storeClient
	hub   *iofeed.Hub
	clock func() time.Duration
	log   logr.Logger
	// reader is set while this host reads the store for others.
	reader atomic.Bool
	// jitter is a random number of this host in [0, 1).
	jitter float64
	// wait is how long a long poll waits for changes.
	wait time.Duration
	// coalesce is the delay after a read with changes, so that the next read returns more of them.
	coalesce time.Duration
	// lastRead is when the last read ended, failing whether it failed.
	lastRead time.Duration
	failing  bool
}

// run reads the store until the context ends, then sends nil on done. If the store has compacted
// the last revision, it reads everything again.
func (w *watcher) run(ctx context.Context, done chan<- error) {
	backoff := minBackoff
	compacted := false
	for ctx.Err() == nil {
		if wait := w.readIn(); wait > 0 {
			w.hub.StoreUnread()
			sleep(ctx, min(wait, idleCheck))
			continue
		}
		u, err := w.read(ctx, compacted)
		w.lastRead = w.clock()
		compacted = errors.Is(err, platform.ErrCompacted)
		switch {
		case compacted:
		case err != nil:
			if !w.failing && ctx.Err() == nil {
				event.LogError(w.log, event.StoreReadFailed, err, "entries", "targets", "revision", w.hub.Revision())
			}
			w.failing = true
			w.hub.StoreFailed(ctx, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		default:
			backoff, w.failing = minBackoff, false
			w.hub.StoreResponded(ctx, u)
			if len(u.Items) > 0 {
				sleep(ctx, w.coalesce)
			}
		}
	}
	done <- nil
}

// readIn returns the time after which the store has to be read, zero for now.
func (w *watcher) readIn() time.Duration {
	return feed.ReadState{
		Reader: w.reader.Load(), Empty: w.hub.Revision() == 0, Down: w.hub.DownElsewhere(), Age: w.hub.Age(), SinceRead: w.clock() - w.lastRead, Jitter: w.jitter,
	}.ReadIn()
}

// read returns the changes after the revision of the copy, or everything if there is none or the
// store no longer has the changes.
func (w *watcher) read(ctx context.Context, compacted bool) (u feed.Update, err error) {
	revision := w.hub.Revision()
	if revision == 0 || compacted {
		return w.readAll(ctx)
	}
	ctx, end := w.store.begin(ctx, w.wait+watchSlack)
	defer end()
	items, newRevision, err := w.store.Watch(ctx, platform.PrefixTargets, revision, w.wait)
	if err != nil {
		return feed.Update{}, err
	}
	return feed.Update{Items: entries(items), Revision: max(newRevision, revision)}, nil
}

// entries converts the items of the store to entries of the copy.
func entries(items []platform.Item) (list []feed.Item) {
	for _, i := range items {
		list = append(list, feed.Item(i))
	}
	return list
}

// readAll returns all targets.
func (w *watcher) readAll(ctx context.Context) (u feed.Update, err error) {
	ctx, end := w.store.begin(ctx, readTimeout)
	defer end()
	items, revision, err := w.store.List(ctx, platform.PrefixTargets)
	if err != nil {
		return feed.Update{}, err
	}
	return feed.Update{Items: entries(items), Full: true, Revision: revision}, nil
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyTargets applies changed target entries to the known targets. An invalid entry counts as
// removed.
func (c *control) applyTargets(changes []feed.Item) {
	now := c.clock()
	for _, item := range changes {
		id, ok := strings.CutPrefix(item.Key, platform.PrefixTargets)
		switch {
		case !ok:
			continue
		case item.Deleted:
			c.targetSet.Remove(now, id, item.Revision)
			continue
		}
		t, err := platform.DecodeTarget(platform.Item(item))
		if err != nil {
			event.LogError(c.log, event.EntryIgnored, err, "key", item.Key, "revision", item.Revision)
			c.targetSet.Remove(now, id, item.Revision)
			continue
		}
		c.targetSet.Put(t)
	}
}
