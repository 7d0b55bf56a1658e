package edge

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/discovery"
	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
	"sassafrasward/io/event"
	iofeed "sassafrasward/io/feed"
	"sassafrasward/io/setting"
	"sassafrasward/platform"
)

var (
	// errEarlierEra is returned for an answer of the store from before its last restore.
	errEarlierEra = errors.New("the answer of the store is older than its last restore")
	// errRestored is returned if the store was restored between the reads of two prefixes.
	errRestored = errors.New("the store was restored during the read")
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
// copy that other hosts follow. If zones are evacuated, a second goroutine reads the evacuations in the same way.
type watcher struct {
	hub   *iofeed.Hub
	clock func() time.Duration
	log   logr.Logger
	// reader is set while this host reads the store for others.
	reader atomic.Bool
	// jitter is a random number of this host in [0, 1).
	jitter float64
	limits feed.Limits
	// wait is how long a long poll waits for changes.
	wait time.Duration
	// reopened is called when a prefix is about to be read after a delay.
	reopened func()
	// prefixes has the prefixes that are read, the first of which is that of the targets.
	prefixes []prefixWatch

	// mutex makes one of adding the items of an answer to the copy and recording how far its prefix was read,
	// so that the revision of the copy never covers items that it lacks. Full reads are made under it as well.
	mutex   sync.Mutex
	watches *feed.Watches
}

// prefixWatch is the long poll of one prefix.
type prefixWatch struct {
	watch  feed.Watch
	prefix string
	// name is what the prefix has, for the log.
	name  string
	store *storeClient
	// coalesce is the delay after a read with changes, so that the next read returns more of them.
	coalesce time.Duration
}

// newPrefixWatches returns the watches of a host: that of the targets, and that of the evacuations if the
// settings enable it. Evacuations are rare and binding, so that their reads are not delayed after a change.
func newPrefixWatches(s setting.Settings, countCall func()) (watches []prefixWatch) {
	watches = []prefixWatch{{
		watch: feed.Targets, prefix: platform.PrefixTargets, name: "targets", store: newStoreClient(s.PlatformAddress(), countCall), coalesce: s.Limits().CoalesceDelay(),
	}}
	if s.Limits().MaxEvacuationDelay > 0 {
		watches = append(watches, prefixWatch{
			watch: feed.Evacuations, prefix: platform.PrefixEvacuations, name: "evacuations", store: newStoreClient(s.PlatformAddress(), countCall),
		})
	}
	return watches
}

// run reads the prefixes until the context ends, then sends nil on done.
func (w *watcher) run(ctx context.Context, done chan<- error) {
	var others sync.WaitGroup
	for _, p := range w.prefixes[1:] {
		others.Go(func() { w.poll(ctx, p) })
	}
	w.poll(ctx, w.prefixes[0])
	others.Wait()
	done <- nil
}

// poll reads one prefix until the context ends.
func (w *watcher) poll(ctx context.Context, p prefixWatch) {
	backoff, failures, lastRead := minBackoff, 0, time.Duration(0)
	for ctx.Err() == nil {
		if wait := w.readIn(lastRead, failures); wait > 0 {
			if failures > 0 && w.hub.Age() < w.limits.MaxAge()/2 {
				failures = 0 // a followed host has the changes since then
				w.hub.StoreUnread()
			}
			w.stopped(p)
			sleep(ctx, min(wait, idleCheck))
			continue
		}
		delay, err := w.read(ctx, p)
		lastRead = w.clock()
		if err != nil {
			if failures == 0 && ctx.Err() == nil {
				event.LogError(w.log, event.StoreReadFailed, err, "entries", p.name, "revision", w.hub.Revision().Number())
			}
			failures++
			w.failed(ctx, p, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, failures = minBackoff, 0
		if delay > 0 {
			sleep(ctx, delay)
			w.reopened()
		}
	}
}

// readIn returns the time after which the store has to be read, zero for now.
func (w *watcher) readIn(lastRead time.Duration, failures int) time.Duration {
	return feed.ReadState{
		Reader: w.reader.Load(), Empty: w.hub.Revision().IsZero(), Failures: failures, Age: w.hub.Age(), SinceRead: w.clock() - lastRead,
		Limits: w.limits, Jitter: w.jitter,
	}.ReadIn()
}

// read adds the changes of a prefix after the revision up to which it is known to the copy, or all entries of
// all prefixes if there is no copy or the store no longer has the changes. It returns the delay of the next read.
func (w *watcher) read(ctx context.Context, p prefixWatch) (delay time.Duration, err error) {
	after := w.open(p)
	if after.IsZero() {
		return w.readAll(ctx, p, after)
	}
	readCtx, end := p.store.begin(ctx, w.wait+watchSlack)
	items, at, err := p.store.Watch(readCtx, p.prefix, after, w.wait)
	end()
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return w.readAll(ctx, p, after)
	case err != nil:
		return 0, err
	case at.Era() < after.Era():
		return 0, errEarlierEra
	case at.Era() > after.Era():
		return w.readAll(ctx, p, after)
	}
	if len(items) > 0 {
		delay = p.coalesce
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	complete := w.watches.Read(p.watch, w.clock(), revision.Max(at, after), w.hub.Revision())
	w.add(ctx, feed.Update{Items: entries(items), Revision: complete})
	return delay, nil
}

// open returns the revision from which a prefix is read from now on; the zero value without a copy.
func (w *watcher) open(p prefixWatch) (after revision.Revision) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watches.Opened(p.watch, w.clock())
	return w.watches.After(p.watch, w.hub.Revision())
}

// readAll adds all entries of all prefixes, unless another watch has done so since the revision after was found.
// It returns the delay of the next read, which keeps a store that has dropped the changes since this very read from
// being read without a pause.
func (w *watcher) readAll(ctx context.Context, p prefixWatch, after revision.Revision) (delay time.Duration, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.watches.After(p.watch, w.hub.Revision()).After(after) {
		return 0, nil
	}
	u := feed.Update{Full: true}
	for i, other := range w.prefixes {
		readCtx, end := p.store.begin(ctx, readTimeout)
		items, at, err := p.store.List(readCtx, other.prefix)
		end()
		switch {
		case err != nil:
			return 0, err
		case at.Era() < after.Era():
			return 0, errEarlierEra
		case i > 0 && at.Era() != u.Revision.Era():
			return 0, errRestored
		case i == 0 || at.Before(u.Revision):
			u.Revision = at
		}
		u.Items = append(u.Items, entries(items)...)
	}
	w.watches.ReadAll(w.clock(), u.Revision)
	w.add(ctx, u)
	return max(p.coalesce, minBackoff), nil
}

// add adds what was read to the copy. The mutex is held.
func (w *watcher) add(ctx context.Context, u feed.Update) {
	w.hub.StoreRead(ctx, w.watches.CurrentAt(), w.watches.Err(), u)
}

// failed records a failed read of a prefix.
func (w *watcher) failed(ctx context.Context, p prefixWatch, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watches.Failed(p.watch, err)
	w.hub.StoreFailed(ctx, err)
}

// stopped records that this host does not read a prefix at present.
func (w *watcher) stopped(p prefixWatch) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watches.Stopped(p.watch)
}

// reached records that the store answered a probe that was sent at a time.
func (w *watcher) reached(ctx context.Context, sentAt time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watches.Reached(sentAt)
	w.hub.StoreReached(ctx, w.watches.CurrentAt(), w.watches.Err())
}

// entries converts the items of the store to entries of the copy.
func entries(items []platform.Item) (list []feed.Item) {
	for _, i := range items {
		list = append(list, feed.Item(i))
	}
	return list
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

// applyChanges applies changed entries of the copy.
func (c *control) applyChanges(changes []feed.Item) {
	for _, item := range changes {
		c.storeRevision = revision.Max(c.storeRevision, item.Revision)
		switch {
		case strings.HasPrefix(item.Key, platform.PrefixTargets):
			c.applyTarget(item)
		case strings.HasPrefix(item.Key, platform.PrefixEvacuations):
			c.applyEvacuation(item)
		}
	}
}

// applyTarget applies a changed target entry to the known targets. An invalid entry counts as removed.
func (c *control) applyTarget(item feed.Item) {
	now, id := c.clock(), strings.TrimPrefix(item.Key, platform.PrefixTargets)
	if item.Deleted {
		c.targetSet.Remove(now, id, item.Revision)
		return
	}
	t, err := platform.DecodeTarget(platform.Item(item))
	if err != nil {
		event.LogError(c.log, event.EntryIgnored, err, "key", item.Key, "revision", item.Revision.Number())
		c.targetSet.Remove(now, id, item.Revision)
		return
	}
	if c.targetSet.Put(now, t) {
		c.announcements.Add(event.EntryHeld, "key", item.Key, "revision", item.Revision.Number())
	}
}

// applyEvacuation applies the begin or the end of the evacuation of an availability zone.
func (c *control) applyEvacuation(item feed.Item) {
	zone, err := platform.EvacuatedZone(item.Key)
	if err != nil {
		event.LogError(c.log, event.EvacuationIgnored, err, "revision", item.Revision.Number())
		return
	}
	if !item.Deleted {
		targets := c.targetSet.Evacuate(zone)
		c.announcements.Add(event.ZoneEvacuated, "zone", zone, "targets", targets, "revision", item.Revision.Number())
	} else if targets, ok := c.targetSet.EndEvacuation(zone, item.Revision); ok {
		c.zoneRestored(zone, targets, item.Revision)
	}
	c.metrics.Gauge("zones.evacuated").Update(int64(c.targetSet.EvacuatedZones()))
}

// zoneRestored is called on the control goroutine with the targets of an availability zone whose evacuation has
// ended at a revision, before they get work. They may be cold before their entries say so.
func (c *control) zoneRestored(zone string, targets []discovery.Target, at revision.Revision) {
	c.reports.StartCold(targets)
	c.metrics.Counter("targets.restored").Inc(int64(len(targets)))
	c.metrics.Gauge("zones.evacuated").Update(int64(c.targetSet.EvacuatedZones()))
	c.announcements.Add(event.ZoneRestored, "zone", zone, "targets", len(targets), "revision", at.Number())
}
