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
	// readTimeout bounds a read of the store that does not wait.
	readTimeout = 1 * time.Second
	// watchSlack is how long the answer to a waiting read may take besides the wait.
	watchSlack = 700 * time.Millisecond
	// watchMargin is what is left of the time to be up to date again for the first read after
	// one that got no answer.
	watchMargin = 300 * time.Millisecond
	// pauseFirst and pauseMost bound the pause after a failed read.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 600 * time.Millisecond
)

// news is what one read of the store brought.
type news struct {
	// configs has the published configurations, oldest first.
	configs []platform.Item
	// targets has the changed entries; if full is set, all entries.
	targets []platform.Item
	full    bool
	// revision is that of the store.
	revision uint64
}

// watcher reads the store and passes on what it brings.
type watcher struct {
	store *platform.Store
	// wait is how long a read waits for changes.
	wait time.Duration
	// gather is how long changes are gathered before the next read.
	gather time.Duration
	// take and lost run on the goroutine of the watcher.
	take func(ctx context.Context, n news)
	lost func(ctx context.Context, err error)
}

// run reads until the context ends; its end is reported on done.
func (w *watcher) run(ctx context.Context, done chan<- error) {
	pause := pauseFirst
	revision := uint64(0)
	for ctx.Err() == nil {
		n, err := w.read(ctx, revision)
		if errors.Is(err, platform.ErrCompacted) {
			revision = 0
			continue
		}
		if err != nil {
			w.lost(ctx, err)
			sleep(ctx, pause)
			pause = min(2*pause, pauseMost)
			continue
		}
		pause = pauseFirst
		revision = n.revision
		w.take(ctx, n)
		if len(n.configs)+len(n.targets) > 0 {
			sleep(ctx, w.gather)
		}
	}
	done <- nil
}

// read brings everything if the revision is zero, and otherwise what changed after it.
func (w *watcher) read(ctx context.Context, revision uint64) (n news, err error) {
	if revision == 0 {
		return w.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, w.wait+watchSlack)
	defer cancel()
	items, n2, err := w.store.Watch(ctx, "", revision, w.wait)
	if err != nil {
		return news{}, err
	}
	n.revision = max(n2, revision)
	for _, i := range items {
		n.add(i)
	}
	return n, nil
}

func (n *news) add(i platform.Item) {
	switch {
	case i.Key == platform.KeyConfig && !i.Deleted:
		n.configs = append(n.configs, i)
	case strings.HasPrefix(i.Key, platform.PrefixTargets):
		n.targets = append(n.targets, i)
	}
}

func (w *watcher) readAll(ctx context.Context) (n news, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := w.store.List(ctx, platform.PrefixTargets)
	if err != nil {
		return news{}, err
	}
	config, _, ok, err := w.store.Get(ctx, platform.KeyConfig)
	if err != nil {
		return news{}, err
	}
	n = news{targets: items, full: true, revision: revision}
	if ok {
		n.configs = append(n.configs, config)
	}
	return n, nil
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeTargets puts the entries of a read into the roster.
func (c *control) takeTargets(n news) {
	now := c.clock()
	var list []discovery.Target
	for _, i := range n.targets {
		id := strings.TrimPrefix(i.Key, platform.PrefixTargets)
		if i.Deleted {
			c.roster.Remove(now, id, i.Revision)
			continue
		}
		t, err := platform.DecodeTarget(i)
		if err != nil {
			event.Fail(c.log, event.EntryIgnored, err, "key", i.Key, "revision", i.Revision)
			if !n.full {
				c.roster.Remove(now, id, i.Revision)
			}
			continue
		}
		list = append(list, t)
	}
	if n.full {
		c.roster.Replace(now, list, n.revision)
		return
	}
	for _, t := range list {
		c.roster.Put(t)
	}
}
