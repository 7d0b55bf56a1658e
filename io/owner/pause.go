package owner

import (
	"sync/atomic"
	"time"
)

const (
	// maxGap is the longest time between two observations of a process that was not paused.
	// The control goroutine observes the time at each tick (100 ms).
	maxGap = 500 * time.Millisecond
	// afterWake is how long a host that was paused takes no commands, so that those that
	// waited in its buffers during the pause are all read by then.
	afterWake = 200 * time.Millisecond
)

// pauseDetector tells whether the process was paused a moment ago. A request that waited in
// the buffers of a paused host may be past its deadline, of which only the length travels,
// and its caller may have been told an end.
type pauseDetector struct {
	// last and woke are clock readings: the last observation, and the first one after a pause.
	last, woke atomic.Int64
}

func (p *pauseDetector) observe(now time.Duration) {
	if now-time.Duration(p.last.Load()) > maxGap {
		p.woke.Store(int64(now))
	}
	p.last.Store(int64(now))
}

func (p *pauseDetector) paused(now time.Duration) bool {
	woke := time.Duration(p.woke.Load())
	return now-time.Duration(p.last.Load()) > maxGap || (woke > 0 && now-woke < afterWake)
}
