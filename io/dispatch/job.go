package dispatch

import (
	"time"

	"sassafrasward/core/batch"
	"sassafrasward/core/discovery"
)

// Job is the pieces of one stage of one request.
type Job struct {
	Pool string
	// Group is the part of the pool's targets that works on the job; the client sets it.
	Group   string
	Request string
	Stage   int
	Pieces  int
	Key     string
	Inputs  []string
	// Age is how long ago the request came to its host.
	Age time.Duration
	// Aim is the time left for an answer in time, Left that for any answer.
	Aim, Left time.Duration
	Rank      int
	Bytes     int64
	Zone      string
	// Near holds if so much is moved to or from another zone that it is worth some waiting.
	Near bool
	// Begun holds if earlier stages of the request were worked on.
	Begun bool
	// OnInputsRead is called at most once, when the targets have read all inputs; nil if nobody asks.
	OnInputsRead func()
}

// Fault says why a job has no results.
type Fault string

// The faults of jobs.
const (
	// FaultNone means that there are results.
	FaultNone Fault = ""
	// FaultRefused means that no piece was worked on.
	FaultRefused Fault = "refused"
	// FaultLate means that the time of the job has passed.
	FaultLate Fault = "late"
	// FaultGone means that an input does not exist any more.
	FaultGone Fault = "gone"
	// FaultFailed means that a piece failed too often.
	FaultFailed Fault = "failed"
	// FaultUnresponsive means that the dispatching host gave no sign of life.
	FaultUnresponsive Fault = "silent"
)

// ActiveJob is a job that is dispatched here.
type ActiveJob struct {
	id      uint64
	pool    *group
	job     Job
	expires time.Duration
	handles []string
	tries   []int
	left    int
	// started counts the pieces that were in a call; read is closed a while after all were.
	started int
	read    chan struct{}
	fault   Fault
	done    chan struct{}
}

// made is a result that occupies room at a target.
type made struct {
	target discovery.Target
	bytes  int64
	until  time.Duration
}

// pending is a call in progress.
type pending struct {
	items []batch.Item
	// late is when its pieces are also given to another target.
	late time.Duration
}
