package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/batch"
)

// TestAnnouncedWorkCounts guards against backlogs that leave out work on its way, that count it twice
// when it arrives, or that keep the work of requests and hosts that are gone. Load: announcements of
// 400 pieces for 5 targets that do about 240 a second.
func TestAnnouncedWorkCounts(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(5))
	d.RecordRefused(0, 1, 1)
	wait := func(now time.Duration) time.Duration { return d.LevelBacklogs(now)[0].OnTimeWait }
	idle := wait(0)
	for id := range uint64(20) {
		d.Announce(0, batch.Announcement{ID: id + 1, Priority: 1, Pieces: 20, ArrivesIn: 100 * time.Millisecond})
	}
	d.Announce(0, batch.Announcement{ID: 20, Priority: 1, Pieces: 20, ArrivesIn: 100 * time.Millisecond}) // repeated
	is.Equal(d.Announced(0), 400)
	announced := wait(0)
	is.True(announced > idle+500*time.Millisecond)
	for id := range uint64(10) {
		d.Offer(0, batch.Job{ID: id + 1, Announcement: id + 1, Priority: 1, SoftDeadline: 20 * time.Second, Deadline: 20 * time.Second, Pieces: 20, Bytes: 1})
	}
	is.Equal(d.Announced(0), 200)
	is.True(d.Withdraw(11) && !d.Withdraw(11))
	is.Equal(d.Announced(0), 180)
	is.Equal(d.Announced(1200*time.Millisecond), 0) // the rest expired a second after its expected arrival
}

// TestMoreUrgentLevelWaitsLess guards against a backlog of the mean priority, with which all levels are
// refused alike. Load: a burst of twice the capacity, three quarters of it of the more urgent level.
func TestMoreUrgentLevelWaitsLess(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(5))
	for i := range 100 {
		now := time.Duration(i) * 10 * time.Millisecond
		d.Announce(now, batch.Announcement{ID: uint64(i + 1), Priority: i % 4 / 3 * 2, Pieces: 5, ArrivesIn: 600 * time.Millisecond})
	}
	levels := d.LevelBacklogs(time.Second)
	is.Equal(len(levels), 2)
	is.True(levels[0].OnTimeWait < levels[1].OnTimeWait)
	is.True(levels[0].Share == 1 && levels[1].Share < 1)
	is.True(levels[1].Share >= 0.1 && levels[1].Protected > 0)
	restarted := batch.New(spec) // without announcements it knows of no scarcity until jobs arrive
	restarted.SetTargets(targets(5))
	is.Equal(len(restarted.LevelBacklogs(time.Second)), 0)
}

// TestFirstLevelBeyondCapacity guards against shedding a level by chance that fits in part, only because a
// few more urgent requests exist. Load: twice the capacity; 2% of level 0, 78% of level 1, 18% of level
// 2 and 2% of level 3.
func TestFirstLevelBeyondCapacity(t *testing.T) {
	is := is.New(t)
	d := batch.New(spec)
	d.SetTargets(targets(5))
	for i := range 100 {
		priority := 1
		switch {
		case i%50 == 0:
			priority = 0
		case i%50 == 1:
			priority = 3
		case i%5 == 2 && i > 9:
			priority = 2
		}
		d.Announce(time.Duration(i)*10*time.Millisecond, batch.Announcement{ID: uint64(i + 1), Priority: priority, Pieces: 5, ArrivesIn: 600 * time.Millisecond})
	}
	levels := d.LevelBacklogs(time.Second)
	is.Equal(len(levels), 4)
	is.True(levels[0].Share == 1 && levels[1].Share == 1 && levels[1].Protected == 0)
	is.True(levels[2].Share < 0.3 && levels[2].Protected == levels[2].Share) // its minimum share
	is.True(levels[3].Share > levels[2].Share)                               // a light level is shed as much as level 1 would be
}
