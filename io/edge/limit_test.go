package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// startFleet runs hosts on the store that know each other, and returns their log as well.
func startFleet(t *testing.T, s *standin.Store, n int) (hosts []*testHost, log *lineRecorder) {
	t.Helper()
	log = &lineRecorder{}
	var seeds []string
	for i := range n {
		host := prepareHost(t, s, fmt.Sprintf("e%d", i+1), seeds...)
		host.run(context.Background(), log.logger())
		hosts, seeds = append(hosts, host), append(seeds, host.peer)
	}
	for _, host := range hosts {
		host.waitReady()
	}
	return hosts, log
}

// refusedLate reports whether a request was refused after it had waited for a target.
func refusedLate(log *lineRecorder) bool {
	return log.has(`"event":1302`, `"reason":"limited"`, "waits ")
}

// startPool publishes a configuration and a number of targets of the pool. The pool of pieces gets a model
// that reads its results as well.
func startPool(t *testing.T, s *standin.Store, pool string, targets int) (engines []*standin.Target) {
	t.Helper()
	s.PublishConfig(1)
	answer := signed("ok")
	if pool != "plain" {
		answer = func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) }
	}
	if pool == "pieces" {
		s.Register(newEngine(t, "m-1", answer), "model", "ready")
	}
	for i := range targets {
		engines = append(engines, newEngine(t, fmt.Sprintf("i-%d", i), answer))
		s.Register(engines[i], pool, "ready")
	}
	return engines
}

// load sends requests to hosts in turn at a steady rate, each on a connection of its own, until it is
// stopped.
type load struct {
	running sync.WaitGroup
	stop    chan struct{}
	// served and refused count the responses with status 200 and 503.
	served, refused atomic.Int64
	// longest is the longest time to a refusal, in nanoseconds.
	longest atomic.Int64
}

// startLoad starts a load of requests per second.
func startLoad(hosts []*testHost, perSecond int, method, path string, change func(r *http.Request)) *load {
	l := &load{stop: make(chan struct{})}
	l.running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			l.running.Go(func() {
				began := time.Now()
				// The ID has the time of sending for checks at the target.
				status, _, _ := hosts[n%len(hosts)].call(method, path, fmt.Sprintf("l%d.%d", n, began.UnixMicro()), change)
				switch status {
				case http.StatusOK:
					l.served.Add(1)
				case http.StatusServiceUnavailable:
					l.refused.Add(1)
					l.longest.Store(max(l.longest.Load(), int64(time.Since(began))))
				}
			})
		}
	})
	return l
}

// end stops the load and waits for its responses.
func (l *load) end() {
	close(l.stop)
	l.running.Wait()
}

// mostIn returns the largest number of requests that a target received in any interval of a length,
// counted from a time on.
func mostIn(e *standin.Target, from time.Time, length time.Duration) (most int) {
	var times []time.Time
	for _, r := range e.Received() {
		if r.At.After(from) {
			times = append(times, r.At)
		}
	}
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTargetLimit guards against hosts that together send a target more requests than it has stated to
// take.
func TestTargetLimit(t *testing.T) {
	t.Parallel()
	const (
		limitWindow = 4 * time.Second
		perSecond   = 60
	)
	for name, test := range map[string]struct {
		method, path, pool string
		limit              float64
		hosts, targets     int
		change             func(r *http.Request)
	}{
		"idempotent, one host":     {http.MethodGet, "/read/", "plain", 3, 1, 1, nil},
		"idempotent, three hosts":  {http.MethodGet, "/read/", "plain", 1.2, 3, 3, nil},
		"commands, three hosts":    {http.MethodPost, "/write/", "plain", 3, 3, 2, nil},
		"streams, three hosts":     {http.MethodPost, "/chat/", "model", 2, 3, 3, nil},
		"streams, seven hosts":     {http.MethodPost, "/chat/", "model", 0.5, 7, 4, nil},
		"stage calls, three hosts": {http.MethodPost, "/plan/", "pieces", 2, 3, 2, standin.SetPieces},
		"limit of zero":            {http.MethodGet, "/read/", "plain", 0, 3, 1, nil},
		"many targets":             {http.MethodGet, "/read/", "plain", 0.5, 3, 24, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			engines := startPool(t, s, test.pool, test.targets)
			hosts, _ := startFleet(t, s, test.hosts)
			l := startLoad(hosts, perSecond, test.method, test.path, test.change)
			defer l.end()
			hosts[0].wait(func() bool { return l.served.Load() > perSecond/4 })
			for _, e := range engines {
				e.StateLimit(strconv.FormatFloat(test.limit, 'f', -1, 64))
			}
			time.Sleep(contactTime)
			from := time.Now()
			served := l.served.Load()
			time.Sleep(limitWindow + 3*time.Second)
			elapsed := time.Since(from).Seconds()
			for i, e := range engines {
				most, allowed := mostIn(e, from, limitWindow), int(1.5*test.limit*limitWindow.Seconds())+5
				t.Logf("target %d: %d requests in %v, %d allowed", i, most, limitWindow, allowed)
				is.True(most <= allowed)
			}
			rate := float64(l.served.Load()-served) / elapsed
			t.Logf("served %.1f/s of %.1f/s, refused %d, longest refusal %v", rate, test.limit*float64(test.targets), l.refused.Load(), time.Duration(l.longest.Load()))
			if test.pool != "pieces" {
				is.True(rate >= test.limit*float64(test.targets)/2) // what the targets take is used
			}
			for _, e := range engines {
				e.StateLimit("")
			}
			// Once the limits end, the targets get more requests again. Hosts need not use all of them.
			hosts[0].wait(func() bool {
				received := 0
				for _, e := range engines {
					received += mostIn(e, time.Now().Add(-time.Second), time.Second)
				}
				return received > min(int(2*test.limit+2)*len(engines), perSecond*2/3)
			})
		})
	}
}

// drainTime is how long after a target has stated that it leaves it may get requests of callers.
const drainTime = 2 * time.Second

// sentAt returns when a caller sent a request of a load, from its ID.
func sentAt(r standin.ReceivedRequest) (at time.Time, ok bool) {
	_, micros, found := strings.Cut(r.ID(), ".")
	n, err := strconv.ParseInt(micros, 10, 64)
	return time.UnixMicro(n), found && err == nil
}

// TestTargetsThatLeave guards against requests to targets that have stated in their answers that they
// leave, while the store says nothing of it: one target after the other leaves, the last one too.
func TestTargetsThatLeave(t *testing.T) {
	t.Parallel()
	const perSecond = 60
	for name, test := range map[string]struct {
		method, path, pool string
		hosts, targets     int
		change             func(r *http.Request)
	}{
		"idempotent, one host, one target": {http.MethodGet, "/read/", "plain", 1, 1, nil},
		"commands, three hosts":            {http.MethodPost, "/write/", "plain", 3, 3, nil},
		"streams, three hosts":             {http.MethodPost, "/chat/", "model", 3, 3, nil},
		"stage calls, three hosts":         {http.MethodPost, "/plan/", "pieces", 3, 3, standin.SetPieces},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			engines := startPool(t, s, test.pool, test.targets)
			hosts, log := startFleet(t, s, test.hosts)
			l := startLoad(hosts, perSecond, test.method, test.path, test.change)
			defer l.end()
			hosts[0].wait(func() bool { return l.served.Load() > perSecond/4 })
			s.SetBroken(true)
			var left []time.Time
			for _, e := range engines {
				e.StateLeaving(true)
				left = append(left, time.Now())
				time.Sleep(drainTime + 500*time.Millisecond)
			}
			served := l.served.Load()
			time.Sleep(drainTime)
			late := 0
			for i, e := range engines {
				// The time starts when the first host is told; all others are bound by it as well.
				told := time.Time{}
				for _, r := range e.Received() {
					if told.IsZero() && r.At.After(left[i]) {
						told = r.At
					}
					if told.IsZero() {
						continue
					}
					if at, ok := sentAt(r); ok && at.After(told.Add(drainTime)) || !ok && r.At.After(told.Add(drainTime+time.Second)) {
						late++
					}
				}
			}
			t.Logf("%d late requests, longest refusal %v", late, time.Duration(l.longest.Load()))
			is.Equal(late, 0)
			is.Equal(l.served.Load(), served) // no target is left
			is.True(!refusedLate(log))
		})
	}
}

// TestTargetsThatWantAPause guards against requests to a target that has refused one and stated for how
// long it wants none from the host, and against targets that stay unused when that time is over.
func TestTargetsThatWantAPause(t *testing.T) {
	t.Parallel()
	const (
		perSecond = 60
		grace     = 500 * time.Millisecond
		perHost   = 2
	)
	for name, test := range map[string]struct {
		path, pool     string
		seconds        string
		hosts, targets int
		change         func(r *http.Request)
	}{
		"one target, 0 s":               {"/read/", "plain", "0", 1, 1, nil},
		"one target, 0.2 s":             {"/read/", "plain", "0.2", 1, 1, nil},
		"one target, 3 s":               {"/read/", "plain", "3", 1, 1, nil},
		"one target, a minute":          {"/read/", "plain", "60", 1, 1, nil},
		"streams, three targets":        {"/chat/", "model", "2.5", 3, 3, nil},
		"stage calls, two targets, 3 s": {"/plan/", "pieces", "3", 3, 2, standin.SetPieces},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			engines := startPool(t, s, test.pool, test.targets)
			hosts, log := startFleet(t, s, test.hosts)
			method := http.MethodGet
			if test.pool != "plain" {
				method = http.MethodPost
			}
			l := startLoad(hosts, perSecond, method, test.path, test.change)
			defer l.end()
			hosts[0].wait(func() bool { return l.served.Load() > perSecond/4 })
			seconds, err := strconv.ParseFloat(test.seconds, 64)
			is.NoErr(err)
			wait := min(time.Duration(seconds*float64(time.Second)), 5*time.Second)
			began := time.Now()
			for _, e := range engines {
				e.RefuseFor(wait, test.seconds)
			}
			// Each host's time starts when it is told; the margin is for hosts that are told later.
			time.Sleep(wait)
			for i, e := range engines {
				during := 0
				for _, r := range e.Received() {
					if r.At.After(began.Add(grace)) && r.At.Before(began.Add(wait)) {
						during++
					}
				}
				t.Logf("target %d: %d requests during its pause", i, during)
				if seconds >= 1 {
					is.True(during <= perHost*test.hosts)
				}
			}
			t.Logf("longest refusal %v", time.Duration(l.longest.Load()))
			is.True(!refusedLate(log))
			if seconds > wait.Seconds() {
				return
			}
			served := l.served.Load()
			hosts[0].wait(func() bool { return l.served.Load() > served+perSecond/2 }) // used again
			t.Logf("used again %v after the pause", time.Since(began)-wait)
		})
	}
}
