package owner

import (
	"sync/atomic"
	"time"
)

const (
	// maxGap is the longest time between two observations of a process that was not paused.
	// The control goroutine observes the time at each tick (100 ms).
	maxTickGap = 500 * time.Millisecond
	// afterWake is how long a host that was paused takes no commands, so that those that
	// waited in its buffers during the pause are all read by then.
	resumeDelay = 200 * time.Millisecond
)

// pauseDetector tells whether the process was paused a moment ago. A request that waited in
// the buffers of a paused host may be past its deadline, of which only the length travels,
// and its caller may have been told an end.
type pauseDetector struct {
	// last and woke are clock readings: the last observation, and the first one after a pause.
	lastTick, resumed atomic.Int64
}

func (p *pauseDetector) observe(now time.Duration) {
	if now-time.Duration(p.lastTick.Load()) > maxTickGap {
		p.resumed.Store(int64(now))
	}
	p.lastTick.Store(int64(now))
}

func (p *pauseDetector) paused(now time.Duration) bool {
	resumed := time.Duration(p.resumed.Load())
	return now-time.Duration(p.lastTick.Load()) > maxTickGap || (resumed > 0 && now-resumed < resumeDelay)
}
