package discovery

import (
	"time"

	"sassafrasward/core/revision"
)

const (
	// backupAge is the longest age of a backup for which the departures that it lacks are known. The platform
	// documents some seconds.
	backupAge = 30 * time.Second
	// holdTime is how long after a restore a backup's entry of a departed target is not believed. A target that is
	// gone has no entry any more by then: the store removes it after three heartbeats of silence, which take 3.6 s,
	// and what targets and operators had written is written again within republishTime.
	holdTime = 6 * time.Second
	// maxDepartures is the maximum number of departures that are known.
	maxDepartures = 4096
)

// departures has the targets that stopped taking work, so that the entries of a backup, which were written before, do
// not bring them back into use. It is not safe for concurrent use.
type departures struct {
	// byID has the last departure of each target.
	byID map[string]departure
	// held has the published entries that are not believed at present, by the ID of their targets.
	held map[string]Target
	// restoredAt is the revision at which the restored store was first known; the zero value before a restore.
	// Entries that are newer were written after the restore.
	restoredAt revision.Revision
	// heldUntil is when all entries of the restored store are believed.
	heldUntil time.Duration
}

// departure is the end of the work of a target.
type departure struct {
	// startID is that of the process that ended.
	startID int64
	// at is the revision at which the entry of the target said so or was removed.
	at revision.Revision
	// known is when this host learned of it.
	known time.Duration
}

func newDepartures() departures {
	return departures{byID: make(map[string]departure), held: make(map[string]Target)}
}

// add records that a target leaves or has left, as its entry or the removal of it tells at a revision.
func (d *departures) add(now time.Duration, t Target, at revision.Revision) {
	delete(d.held, t.ID)
	if len(d.byID) >= maxDepartures {
		d.forget(now)
	}
	if _, known := d.byID[t.ID]; known || len(d.byID) < maxDepartures {
		d.byID[t.ID] = departure{startID: t.StartID, at: at, known: now}
	}
}

// forget drops departures that any backup has.
func (d *departures) forget(now time.Duration) {
	for id, known := range d.byID {
		if now >= known.known+backupAge && now >= d.heldUntil {
			delete(d.byID, id)
		}
	}
}

// restored records that the store was restored, as was first known at a revision.
func (d *departures) restored(now time.Duration, at revision.Revision) {
	d.forget(now)
	d.restoredAt, d.heldUntil = at, now+holdTime
}

// bind reports whether the entry of a target is not believed. Otherwise the target's departure is over.
func (d *departures) bind(now time.Duration, t Target) (held bool) {
	delete(d.held, t.ID)
	left, known := d.byID[t.ID]
	switch {
	case !known || t.Leaving:
		return false
	case now < d.heldUntil && t.StartID <= left.startID && left.at.Era() < t.Revision.Era() &&
		// A later number is that of a backup with the departure, or of an entry that was written since.
		t.Revision.Number() <= left.at.Number() && !t.Revision.After(d.restoredAt):
		d.held[t.ID] = t
		return true
	}
	delete(d.byID, t.ID)
	return false
}

// released returns the entries that are believed from now on.
func (d *departures) released(now time.Duration) (entries []Target) {
	if now < d.heldUntil {
		return nil
	}
	for id, t := range d.held {
		entries = append(entries, t)
		delete(d.byID, id)
	}
	clear(d.held)
	return entries
}
