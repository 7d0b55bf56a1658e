package owner

import (
	"sync/atomic"
	"time"
)

const (
	// maxTickGap is the longest time between two ticks of a process that was not paused. The
	// control goroutine ticks every 100 ms.
	maxTickGap = 500 * time.Millisecond
	// resumeDelay is how long a host begins no commands after a pause. It is long enough to read,
	// and refuse, all requests that waited in the socket buffers during the pause.
	resumeDelay = 200 * time.Millisecond
)

// pauseDetector detects that the process is or was recently paused. A request that waited in the
// socket buffers of a paused host may be past its deadline, since requests carry only the
// remaining time, and its caller may have received another answer.
type pauseDetector struct {
	// lastTick is the time of the last tick, and resumed that of the first one after a pause.
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
