package feed

import (
	"time"

	"sassafrasward/core/revision"
)

// Watch is one of the watches of a reader, each of which reads the keys with one prefix.
type Watch int

// The watches of a reader.
const (
	// Targets reads the entries of targets.
	Targets Watch = iota
	// Evacuations reads the evacuated availability zones.
	Evacuations

	watchCount
)

// Watches combines the watches of one reader into the state of its copy: the copy is complete up to the smaller
// of their revisions, as old as the older of them, and the store counts as unreachable while it does
// not respond to one of them. It is not safe for concurrent use.
type Watches struct {
	// count is the number of watches in use.
	count Watch
	state [watchCount]watchState
}

// watchState is the state of one watch.
type watchState struct {
	// revision is the revision of the store up to which the copy has all changes of the prefix.
	revision revision.Revision
	poll     Poll
	// err is the error of the last read; nil if it succeeded.
	err error
}

// NewWatches returns the state of the first count watches before their first read.
func NewWatches(count Watch) *Watches { return &Watches{count: count} }

// After returns the revision from which a watch continues, given that of the copy.
func (w *Watches) After(watch Watch, copyRevision revision.Revision) (after revision.Revision) {
	return revision.Max(w.state[watch].revision, copyRevision)
}

// Read records an answer of the store to a watch that continued from a revision of After, in the era of that revision.
// It returns the revision up to which the copy is complete once the changes of the answer are added.
func (w *Watches) Read(watch Watch, now time.Duration, at, copyRevision revision.Revision) (complete revision.Revision) {
	s := &w.state[watch]
	s.revision, s.err = revision.Max(s.revision, at), nil
	s.poll.Answered(now)
	complete = w.After(0, copyRevision)
	for i := range w.count {
		complete = revision.Min(complete, w.After(i, copyRevision))
	}
	return complete
}

// ReadAll records a full read of all prefixes, which is complete up to a revision.
func (w *Watches) ReadAll(now time.Duration, at revision.Revision) {
	for i := range w.count {
		s := &w.state[i]
		s.revision, s.err = revision.Max(s.revision, at), nil
		s.poll.Answered(now)
	}
}

// Opened records that a watch waits for changes from now on.
func (w *Watches) Opened(watch Watch, now time.Duration) { w.state[watch].poll.Opened(now) }

// Reached records that the store answered a probe that was sent at a time.
func (w *Watches) Reached(sentAt time.Duration) {
	for i := range w.count {
		w.state[i].poll.Reached(sentAt)
	}
}

// Failed records that the store did not respond to a watch.
func (w *Watches) Failed(watch Watch, err error) {
	w.state[watch].poll.Closed()
	w.state[watch].err = err
}

// Stopped records that the watch does not read the store at present.
func (w *Watches) Stopped(watch Watch) { w.Failed(watch, nil) }

// Err returns the error of a watch whose last read failed; nil if there is none.
func (w *Watches) Err() error {
	for _, s := range w.state {
		if s.err != nil {
			return s.err
		}
	}
	return nil
}

// CurrentAt returns the time at which the copy was last known to be current.
func (w *Watches) CurrentAt() (at time.Duration) {
	at = w.state[0].poll.CurrentAt()
	for _, s := range w.state[:w.count] {
		at = min(at, s.poll.CurrentAt())
	}
	return at
}
