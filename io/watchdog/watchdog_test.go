package watchdog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/watchdog"
)

// TestWatchdog guards against an operation that is ended although it makes progress or is over, and against one
// without progress that is not.
func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		expired := make(chan time.Time, 1)
		w := watchdog.New(time.Second, func() { expired <- time.Now() })
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			w.Reset(time.Second)
		}
		is.Equal(len(expired), 0)
		w.Reset(3 * time.Second)
		last := time.Now()
		time.Sleep(time.Minute)
		is.Equal((<-expired).Sub(last), 3*time.Second)
		is.True(!w.Stop())
		w.Reset(time.Second) // has no effect any more

		stopped := watchdog.New(time.Second, func() { t.Error("expired after Stop") })
		is.True(stopped.Stop())
		time.Sleep(time.Minute)
	})
}
