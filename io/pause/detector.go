package pause

import (
	"sync/atomic"
	"time"
)

// maxTickGap is the longest time between two ticks of a process that was not paused. The control
// goroutine ticks every 100 ms.
const maxTickGap = 500 * time.Millisecond

// Detector detects that the process is or was paused, by the time between ticks. It is safe for
// concurrent use.
type Detector struct {
	// lastTick is the time of the last tick, and resumed that of the first one after a pause.
	lastTick, resumed atomic.Int64
}

// New returns a detector for a process that runs at the time now. All times of a detector are on one
// clock.
func New(now time.Duration) *Detector {
	d := &Detector{}
	d.lastTick.Store(int64(now))
	return d
}

// Tick records that the process runs.
func (d *Detector) Tick(now time.Duration) {
	if now-time.Duration(d.lastTick.Load()) > maxTickGap {
		d.resumed.Store(int64(now))
	}
	d.lastTick.Store(int64(now))
}

// PausedSince reports whether the process was paused at or after a time.
func (d *Detector) PausedSince(now, since time.Duration) bool {
	resumed := time.Duration(d.resumed.Load())
	return now-time.Duration(d.lastTick.Load()) > maxTickGap || resumed > 0 && resumed > since
}
