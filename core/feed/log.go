package feed

import (
	"sassafrasward/core/revision"
	"sassafrasward/core/sortedmap"
)

// maxRemoved is the number of removed entries that a Log remembers.
const maxRemoved = 2048

// Item is a published entry, or the removal of one.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the store at which the entry last changed.
	Revision revision.Revision
	// Deleted marks a removed entry; it has no value.
	Deleted bool
}

// Update is a set of changes.
type Update struct {
	Items []Item
	// Full is set if Items has all entries. Entries that it lacks were removed.
	Full bool
	// Revision is the revision of the store up to which the receiver is then complete.
	Revision revision.Revision
}

// Log is a copy of the published entries that can tell what changed since a revision. It is not
// safe for concurrent use.
type Log struct {
	// items has all entries, and the last maxRemoved removed ones.
	items *sortedmap.Map[string, Item]
	// removed has the keys of the removed entries, in the order of their removal. A key that was
	// published again may still be listed.
	removed []string
	// complete is the oldest revision since which all removals are known.
	complete revision.Revision
	// revision is of the era of all present entries.
	revision revision.Revision
	// changes counts what changes the result of Since other than the revision.
	changes uint64
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{items: sortedmap.New[string, Item]()} }

// Revision returns the revision of the store up to which the log is complete; the zero value if it is empty. The log
// may have newer items, because the prefixes of the keys are read apart.
func (l *Log) Revision() revision.Revision { return l.revision }

// Changes returns a number that grows when items or known removals change, also while the revision stays.
func (l *Log) Changes() uint64 { return l.changes }

// Apply adds the changes that are newer than the log, and returns these. After a restore of the store, only a full
// update leads to the new era: what the restore has taken back is in no list of changes.
func (l *Log) Apply(u Update) (changes []Item) {
	if !u.Full && u.Revision.Era() > l.revision.Era() {
		return nil
	}
	// The missing items of an older full update tell nothing; its newer items still do.
	u.Full = u.Full && !u.Revision.Before(l.revision)
	complete := l.complete
	if u.Full {
		u.Items = append(l.missing(u), u.Items...)
	}
	for _, item := range u.Items {
		old, known := l.items.Get(item.Key)
		if known && !item.Revision.After(old.Revision) || !(u.Full && known) && !item.Revision.After(l.complete) {
			continue // known, or replaced or removed since
		}
		l.items.Put(item.Key, item)
		if item.Deleted {
			l.removed = append(l.removed, item.Key)
		}
		changes = append(changes, item)
	}
	if u.Full {
		// Entries that were published and removed before the full read are not known.
		l.complete = revision.Max(l.complete, u.Revision)
	}
	l.revision = revision.Max(l.revision, u.Revision)
	l.forget()
	if len(changes) > 0 || l.complete != complete {
		l.changes++
	}
	return changes
}

// missing returns the removals of the entries that a full update lacks.
func (l *Log) missing(u Update) (removals []Item) {
	listed := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		listed[item.Key] = true
	}
	for key, item := range l.items.All() {
		if !listed[key] && !item.Deleted && item.Revision.Before(u.Revision) {
			removals = append(removals, Item{Key: key, Revision: u.Revision, Deleted: true})
		}
	}
	return removals
}

// forget drops the oldest removed entries above maxRemoved. Removals that are newer than the revision are
// kept: a full update up to the revision does not imply them.
func (l *Log) forget() {
	for len(l.removed) > maxRemoved {
		key := l.removed[0]
		item, ok := l.items.Get(key)
		if ok && item.Deleted && item.Revision.After(l.revision) {
			return
		}
		l.removed = l.removed[1:]
		if ok && item.Deleted {
			l.complete = revision.Max(l.complete, item.Revision)
			l.items.Delete(key)
		}
	}
}

// Since returns the changes after a revision. They are all entries, and the removals that are newer than the
// log's revision, if the removals since then are not known any more.
func (l *Log) Since(at revision.Revision) (u Update) {
	u = Update{Revision: l.revision, Full: at.Before(l.complete)}
	for _, item := range l.items.All() {
		if u.Full && (!item.Deleted || item.Revision.After(l.revision)) || !u.Full && item.Revision.After(at) {
			u.Items = append(u.Items, item)
		}
	}
	return u
}
