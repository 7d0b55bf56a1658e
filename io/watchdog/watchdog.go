package watchdog

import (
	"sync"
	"time"
)

// Watchdog calls a function once an operation has made no progress for a time. It is safe for concurrent use.
type Watchdog struct {
	expire func()

	mutex   sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// warned is set if the last check found no progress.
	warned bool
	// stopped is set once the function has been called or must not be called any more.
	stopped bool
}

// New returns a running watchdog that calls expire after the timeout without progress.
func New(timeout time.Duration, expire func()) *Watchdog {
	w := &Watchdog{expire: expire, timeout: timeout}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(timeout/2, w.check)
	return w
}

// Reset records progress and sets the time that may pass until the next one.
func (w *Watchdog) Reset(timeout time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	w.timeout, w.warned = timeout, false
	w.timer.Reset(timeout / 2)
}

// Stop ends the watchdog. It reports false if the function has been called.
func (w *Watchdog) Stop() (stopped bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return false
	}
	w.stopped = true
	w.timer.Stop()
	return true
}

func (w *Watchdog) check() {
	w.mutex.Lock()
	expired := w.warned && !w.stopped
	if expired {
		w.stopped = true
	} else if !w.stopped {
		w.warned = true
		w.timer.Reset(w.timeout / 2)
	}
	w.mutex.Unlock()
	if expired {
		w.expire()
	}
}
