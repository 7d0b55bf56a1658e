package edge_test

import (
	"context"
	"net/http"
	"regexp"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"sassafrasward/platform"
)

// eventObserver is a log that runs a check at the moment at which an event is logged.
type eventObserver struct {
	mutex sync.Mutex
	seen  map[string][]int
	check func() int
}

var eventNumber = regexp.MustCompile(`"event":(\d+)`)

// logger returns a logger that records the result of the check for each event.
func (o *eventObserver) logger() logr.Logger {
	return funcr.NewJSON(func(line string) {
		match := eventNumber.FindStringSubmatch(line)
		if match == nil {
			return
		}
		result := o.check()
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.seen[match[1]] = append(o.seen[match[1]], result)
	}, funcr.Options{})
}

// results returns the results of the check for an event.
func (o *eventObserver) results(number string) []int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.seen[number]
}

// TestEventAfterState guards against events that are logged before the state that they announce is
// published: whoever acts on the line would find the host in the state before.
func TestEventAfterState(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	host := prepareHost(t, s, "e1")
	o := &eventObserver{seen: make(map[string][]int)}
	o.check = func() int {
		r, err := http.Get("http://" + host.ready + "/readyz")
		if err != nil {
			return 0
		}
		_ = r.Body.Close()
		return r.StatusCode
	}
	ctx, stop := context.WithCancel(context.Background())
	host.run(ctx, o.logger())
	// The host is ready once it has both; the targets are known when it waits for changes of them.
	host.wait(func() bool { return s.Waiting(platform.PrefixTargets) > 0 })
	s.PublishConfig(1)
	host.waitReady()
	host.wait(func() bool { return len(o.results("1002")) > 0 })
	is.Equal(o.results("1101"), []int{http.StatusOK}) // configuration accepted
	is.Equal(o.results("1002"), []int{http.StatusOK}) // host serves
	stop()
	host.wait(func() bool { return len(o.results("1003")) > 0 })
	is.Equal(o.results("1003"), []int{http.StatusServiceUnavailable}) // host drains
}
