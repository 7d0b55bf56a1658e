package edge

import (
	"context"
	"errors"
	"strings"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/io/event"
	"sassafrasward/platform"
)

const (
	// readTimeout is the timeout of a read of the store that doesn't wait for changes.
	readTimeout = 1 * time.Second
	// watchSlack is how much longer than its wait a long poll may take.
	watchSlack = 700 * time.Millisecond
	// watchMargin is the part of the time within which a host must be up to date again that is
	// reserved for the first read after a long poll without a response.
	watchMargin = 300 * time.Millisecond
	// The backoff after failed reads doubles from minBackoff to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// update is the result of one read of the store.
type update struct {
	// configs has the published configurations, oldest first.
	configs []platform.Item
	// targets has the changed entries of targets, or all entries if full is set.
	targets []platform.Item
	full    bool
	// revision is the revision of the store.
	revision uint64
}

// watcher reads the store with long polls and reports changes.
type watcher struct {
	store *platform.Store
	// wait is how long a long poll waits for changes.
	wait time.Duration
	// coalesce is the delay after a read with changes, so that the next read returns more of them.
	coalesce time.Duration
	// onUpdate is called for each read and onError for each failed read, on the goroutine of the
	// watcher.
	onUpdate func(ctx context.Context, u update)
	onError  func(ctx context.Context, err error)
}

// run reads the store until the context ends, then sends nil on done. If the store has compacted
// the last revision, it reads everything again.
func (w *watcher) run(ctx context.Context, done chan<- error) {
	backoff := minBackoff
	revision := uint64(0)
	for ctx.Err() == nil {
		u, err := w.read(ctx, revision)
		if errors.Is(err, platform.ErrCompacted) {
			revision = 0
			continue
		}
		if err != nil {
			w.onError(ctx, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		revision = u.revision
		w.onUpdate(ctx, u)
		if len(u.configs)+len(u.targets) > 0 {
			sleep(ctx, w.coalesce)
		}
	}
	done <- nil
}

// read returns everything if the revision is zero, otherwise the changes after the revision.
func (w *watcher) read(ctx context.Context, revision uint64) (u update, err error) {
	if revision == 0 {
		return w.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, w.wait+watchSlack)
	defer cancel()
	items, newRevision, err := w.store.Watch(ctx, "", revision, w.wait)
	if err != nil {
		return update{}, err
	}
	u.revision = max(newRevision, revision)
	for _, item := range items {
		u.add(item)
	}
	return u, nil
}

// add adds a changed entry if it is a configuration or a target, and ignores other entries.
func (u *update) add(item platform.Item) {
	switch {
	case item.Key == platform.KeyConfig && !item.Deleted:
		u.configs = append(u.configs, item)
	case strings.HasPrefix(item.Key, platform.PrefixTargets):
		u.targets = append(u.targets, item)
	}
}

// readAll returns the configuration and all targets.
func (w *watcher) readAll(ctx context.Context) (u update, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := w.store.List(ctx, platform.PrefixTargets)
	if err != nil {
		return update{}, err
	}
	config, _, ok, err := w.store.Get(ctx, platform.KeyConfig)
	if err != nil {
		return update{}, err
	}
	u = update{targets: items, full: true, revision: revision}
	if ok {
		u.configs = append(u.configs, config)
	}
	return u, nil
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

// applyTargets applies the target entries of a read to the known targets. An invalid entry counts
// as removed.
func (c *control) applyTargets(u update) {
	now := c.clock()
	var list []discovery.Target
	for _, item := range u.targets {
		id := strings.TrimPrefix(item.Key, platform.PrefixTargets)
		if item.Deleted {
			c.targetSet.Remove(now, id, item.Revision)
			continue
		}
		t, err := platform.DecodeTarget(item)
		if err != nil {
			event.LogError(c.log, event.EntryIgnored, err, "key", item.Key, "revision", item.Revision)
			if !u.full {
				c.targetSet.Remove(now, id, item.Revision)
			}
			continue
		}
		list = append(list, t)
	}
	if u.full {
		c.targetSet.Replace(now, list, u.revision)
		return
	}
	for _, t := range list {
		c.targetSet.Put(t)
	}
}
