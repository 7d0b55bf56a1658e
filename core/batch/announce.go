package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// announcementTTL is how long after its expected arrival announced work counts if it does not
	// arrive. It is about the time by which the stages before overrun under load.
	announcementTTL = time.Second
	// maxAnnouncements bounds the memory of a pool's announcements to about half a megabyte; the
	// largest deployment has some 1,500 requests on their way.
	maxAnnouncements = 8192
	// leadWeight is the EWMA weight of the time by which one announcement precedes its job.
	leadWeight = 0.05
	// maxAnnouncedLead bounds how far in the future announced work may arrive.
	maxAnnouncedLead = 30 * time.Second
)

// Announcement is work that a host has admitted and that arrives at the pool later, as a job with
// the same announcement ID.
type Announcement struct {
	// ID is unique in the fleet.
	ID       uint64
	Priority int
	Pieces   int
	// ArrivesIn is the expected time until the job arrives.
	ArrivesIn time.Duration
	// Protected is as in Job.
	Protected bool
	// Late is set if the job is queued behind those that can meet their objectives.
	Late bool
}

// announcedJob is an announcement on the dispatcher's clock.
type announcedJob struct {
	Announcement

	at, arrives time.Duration
}

// effectiveArrival is that of the announced job: its request arrived when it was announced.
func (a announcedJob) effectiveArrival() time.Duration {
	return Job{Arrived: a.at, Priority: a.Priority}.effectiveArrival()
}

// Announce counts work that is on its way to the pool. An announcement that is repeated replaces
// the previous one; what exceeds maxAnnouncements is ignored.
func (d *Dispatcher) Announce(now time.Duration, a Announcement) {
	known := d.Withdraw(a.ID)
	d.dropExpired(now)
	if a.Pieces <= 0 || len(d.announced) >= maxAnnouncements {
		return
	}
	a.ArrivesIn = min(max(a.ArrivesIn, 0), maxAnnouncedLead)
	if !known {
		d.touchLevel(now, a.Priority).admitted.add(now, a.Pieces)
		if len(d.announced) == 0 {
			d.lead = a.ArrivesIn
		}
		d.lead += time.Duration(leadWeight * float64(a.ArrivesIn-d.lead))
	}
	if a.Protected {
		a.Priority = d.protectedLevel(a.Priority)
	}
	job := announcedJob{Announcement: a, at: now, arrives: now + a.ArrivesIn}
	i, _ := slices.BinarySearchFunc(d.announced, job, func(a, b announcedJob) int { return cmp.Compare(a.arrives, b.arrives) })
	d.announced = slices.Insert(d.announced, i, job)
}

// Withdraw removes an announcement and reports whether it was known.
func (d *Dispatcher) Withdraw(id uint64) (known bool) {
	i := slices.IndexFunc(d.announced, func(a announcedJob) bool { return a.ID == id })
	if i < 0 {
		return false
	}
	d.announced = slices.Delete(d.announced, i, i+1)
	return true
}

// dropExpired removes the announcements whose jobs should have arrived long ago. They are ordered
// by their expected arrival.
func (d *Dispatcher) dropExpired(now time.Duration) {
	n := 0
	for n < len(d.announced) && now > d.announced[n].arrives+announcementTTL {
		n++
	}
	d.announced = slices.Delete(d.announced, 0, n)
}

// Announced returns the number of pieces that are on their way.
func (d *Dispatcher) Announced(now time.Duration) (pieces int) {
	d.dropExpired(now)
	for _, a := range d.announced {
		pieces += a.Pieces
	}
	return pieces
}

// expectedLead returns by how much later than its admission a request's job arrives.
func (d *Dispatcher) expectedLead() time.Duration {
	if len(d.announced) == 0 {
		return 0
	}
	return d.lead
}

// backlogAt returns the pieces that are ahead of a new request's job when it arrives after a lead,
// if the pool works off its queue and what arrives until then. counts selects the announced work
// that is ahead of the job.
func (d *Dispatcher) backlogAt(now time.Duration, queued, capacity float64, counts func(announcedJob) bool) (pieces float64) {
	pieces = queued
	at, end := now, now+d.expectedLead()
	for _, a := range d.announced {
		if a.arrives > end {
			break
		}
		if !counts(a) {
			continue
		}
		if arrives := max(a.arrives, now); arrives > at {
			pieces = max(pieces-capacity*(arrives-at).Seconds(), 0)
			at = arrives
		}
		pieces += float64(a.Pieces)
	}
	return max(pieces-capacity*(end-at).Seconds(), 0)
}
