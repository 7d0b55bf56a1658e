package dispatch

import (
	"time"

	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
)

// Job describes the pieces of one stage of one request.
type Job struct {
	Pool string
	// Group names the group of the pool's targets that runs the job; see Client.ChooseGroup.
	Group string
	// Request is the request ID.
	Request string
	// Stage is the index of the stage in the request's route.
	Stage  int
	Pieces int
	// Key is the caller's key of the data that the pieces of a stage without inputs read. Those of
	// other stages read Inputs, the handles of results of earlier stages.
	Key    string
	Inputs []string
	// Age is how long ago the request arrived at its entry host.
	Age time.Duration
	// SoftDeadlineIn is the time left for the job if its request is to meet its objective,
	// DeadlineIn the time left if the caller is to get a response before it stops waiting.
	SoftDeadlineIn, DeadlineIn time.Duration
	Priority                   int
	// Protected is set if the job is queued before those of the most urgent level.
	Protected bool
	// Announcement is the ID with which the job was announced to its group; zero for none.
	Announcement uint64
	// Bytes is the size of one result.
	Bytes int64
	// Zone is the availability zone in which the results are preferred.
	Zone string
	// WaitForZone is set if enough data would move between zones that waiting for a target in
	// Zone is worthwhile.
	WaitForZone bool
	// Zones has the availability zones of targets that may run the job; nil for all.
	Zones []string
	// HasPriorWork is set if earlier stages of the request have run.
	HasPriorWork bool
	// OnInputsRead, if not nil, is called at most once, when the targets have read all inputs.
	OnInputsRead func()
}

// Fault is the reason why a job has no results. Its text is sent to other hosts and logged.
type Fault string

// The faults of jobs.
const (
	// FaultNone means that the job has results.
	FaultNone Fault = ""
	// FaultRefused means that the job was refused and no piece has run.
	FaultRefused Fault = "refused"
	// FaultLate means that the deadline of the job has passed or can't be met.
	FaultLate Fault = "late"
	// FaultGone means that an input no longer exists at its target.
	FaultGone Fault = "gone"
	// FaultFailed means that a piece failed and may not be retried again.
	FaultFailed Fault = "failed"
	// FaultUnresponsive means that the dispatching host did not respond in time or is draining.
	FaultUnresponsive Fault = "silent"
)

// ActiveJob is a job that this host dispatches.
type ActiveJob struct {
	id          uint64
	targetGroup *group
	job         Job
	// deadline is the deadline of the job on the dispatcher's clock.
	deadline time.Duration
	// handles has the results by piece, empty for missing ones; attempts counts the calls that
	// each piece was part of.
	handles  []string
	attempts []int
	// piecesLeft is the number of pieces without a result.
	piecesLeft int
	// started counts the pieces that were part of a call. inputsRead is closed inputReadTime
	// after all of them were.
	started    int
	inputsRead chan struct{}
	fault      Fault
	// done is closed when the job ends.
	done chan struct{}
}

// storedResult is a result that occupies memory at a target until it is released or expires. Its
// times are on the dispatcher's clock.
type storedResult struct {
	target  discovery.Target
	bytes   int64
	expires time.Duration
}

// pendingCall is a call in progress that was not hedged yet.
type pendingCall struct {
	items []batch.Item
	// hedgeAt is when its pieces are also queued for another target.
	hedgeAt time.Duration
}
