package feed

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/config"
	"sassafrasward/core/feed"
	"sassafrasward/core/revision"
	"sassafrasward/io/feed/message"
)

// Error is the class of all errors of this package.
var Error = errs.Class("feed")

// storeSource is the name of the store among the sources of the copy.
const storeSource = "store"

// Handler gets what changes in the copy. Its methods are called one at a time. A change is reported once:
// the context ends with the process, not with the connection that brought the change.
type Handler interface {
	// OnChanges is called with the entries that changed, and the revision of the copy. There may be none in
	// the first copy and in that of a new era.
	OnChanges(ctx context.Context, changes []feed.Item, at revision.Revision)
	// OnStoreDown is called when the store responds neither to this host any more nor to those that
	// it follows, and OnStoreUp when it responds again. There was no outage if it responded to this host as soon as
	// that asked: the followed hosts were cut off from it.
	OnStoreDown(ctx context.Context, err error)
	OnStoreUp(ctx context.Context, outage bool)
	// OnVersion is called when the followed host at an address has a newer configuration in force than
	// this one. It is called again by later updates until SetVersion is called with that version.
	OnVersion(ctx context.Context, address string, v config.Version)
}

// Hub holds this host's copy of the published entries. It is safe for concurrent use.
type Hub struct {
	clock   func() time.Duration
	handler Handler
	// order serializes the calls of the handler. It is locked before mutex.
	order sync.Mutex

	mutex     sync.Mutex
	log       *feed.Log
	freshness *feed.Freshness
	// changed is closed and replaced when the copy changes or the store goes down.
	changed chan struct{}
	// version is that of the configuration in force on this host, which was known to be current at configAt.
	version  config.Version
	configAt time.Duration
	// followers is the number of hosts that follow this one.
	followers int
	// encodings has the encoded changes since the revisions that followers have, as of the number of changes
	// of the log encodedChanges.
	encodings      map[revision.Revision]*encoding
	encodedChanges uint64
}

// encoding has changes in the form in which all followers with the same revision receive them.
type encoding struct {
	once sync.Once
	// changes is cleared once it is encoded.
	changes feed.Update
	// update has only the fields that depend on the changes.
	update message.Update
	err    error
}

// NewHub returns a hub without entries.
func NewHub(clock func() time.Duration, handler Handler) *Hub {
	return &Hub{clock: clock, handler: handler, log: feed.NewLog(), freshness: feed.NewFreshness(clock()), configAt: clock(), changed: make(chan struct{}), encodings: make(map[revision.Revision]*encoding)}
}

// Revision returns the revision of the store up to which the copy is complete; the zero value if it is empty.
func (h *Hub) Revision() revision.Revision {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.log.Revision()
}

// Age returns how long ago the copy was last known to be current.
func (h *Hub) Age() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.freshness.Age(h.clock())
}

// ConfigAge returns how long ago this host last knew the newest version of the configuration.
func (h *Hub) ConfigAge() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.clock() - h.configAt
}

// ConfigCurrent records that the newest version of the configuration was known at a time.
func (h *Hub) ConfigCurrent(at time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.configAt = max(h.configAt, at)
}

// Followed reports whether other hosts follow this one.
func (h *Hub) Followed() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.followers > 0
}

// addFollowers adds to the number of hosts that follow this one.
func (h *Hub) addFollowers(n int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.followers += n
}

// failing reports whether the store does not respond to a source.
func (h *Hub) failing(source string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.freshness.Failing(source)
}

// SetVersion sets the version of the configuration in force on this host, which its followers learn of.
func (h *Hub) SetVersion(v config.Version) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.version = v
	h.notify()
}

// announced calls the handler if a followed host has a newer configuration in force than this one.
func (h *Hub) announced(ctx context.Context, address string, v config.Version) {
	h.order.Lock()
	defer h.order.Unlock()
	h.mutex.Lock()
	newer := v.Newer(h.version)
	h.mutex.Unlock()
	if newer {
		h.handler.OnVersion(ctx, address, v)
	}
}

// StoreResponded adds what this host read from the store.
func (h *Hub) StoreResponded(ctx context.Context, u feed.Update) {
	h.apply(ctx, storeSource, 0, nil, u)
}

// StoreRead adds what one of several watches of this host read from the store. The copy was current at a time;
// err is the error of another watch, to which the store does not respond.
func (h *Hub) StoreRead(ctx context.Context, currentAt time.Duration, err error, u feed.Update) {
	h.apply(ctx, storeSource, h.clock()-currentAt, err, u)
}

// StoreFailed records a failed read of the store.
func (h *Hub) StoreFailed(ctx context.Context, err error) {
	h.order.Lock()
	defer h.order.Unlock()
	h.fail(ctx, storeSource, err)
}

// StoreUnread records that this host does not read the store any more, so that a failure of its last read tells nothing.
func (h *Hub) StoreUnread() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.freshness.Failing(storeSource) {
		h.freshness.Gone(storeSource)
	}
}

// StoreReached records that the store answered a probe of this host, whose copy was then current at a time, and tells the
// followers.
func (h *Hub) StoreReached(ctx context.Context, currentAt time.Duration, err error) {
	h.StoreRead(ctx, currentAt, err, feed.Update{Revision: h.Revision()})
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.notify()
}

// apply adds an update of a source whose copy was current age ago. err is set if the store does not respond
// to the source.
func (h *Hub) apply(ctx context.Context, source string, age time.Duration, err error, u feed.Update) {
	h.order.Lock()
	defer h.order.Unlock()
	h.mutex.Lock()
	before := h.log.Revision()
	changes := h.log.Apply(u)
	at := h.log.Revision()
	changed := len(changes) > 0 || before.Era() != at.Era() || before.IsZero() && !at.IsZero()
	// A source that is still in an earlier era tells nothing of the present one.
	outage := source != storeSource || h.freshness.Failing(storeSource)
	recovered := err == nil && u.Revision.Era() == at.Era() && h.freshness.Succeeded(source, h.clock()-age)
	if changed || recovered {
		h.notify()
	}
	h.mutex.Unlock()
	if recovered {
		h.handler.OnStoreUp(ctx, outage)
	}
	if changed {
		h.handler.OnChanges(ctx, changes, at)
	}
	if err != nil {
		h.fail(ctx, source, err)
	}
}

// fail records that the store does not respond to a source. The order is locked.
func (h *Hub) fail(ctx context.Context, source string, err error) {
	h.mutex.Lock()
	lost := h.freshness.Failed(source)
	if lost {
		h.notify()
	}
	h.mutex.Unlock()
	if lost {
		h.handler.OnStoreDown(ctx, err)
	}
}

// gone records that a source itself does not respond.
func (h *Hub) gone(source string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.freshness.Gone(source)
}

// notify wakes those that wait for a change. The mutex is held.
func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}
