package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/platform"
	"sassafrasward/platform/standin"
)

const (
	evacuationOfA = platform.PrefixEvacuations + "a"
	// eventEvacuated and eventRestored are the numbers of the events after which a host uses a zone no more, or again.
	eventEvacuated, eventRestored = `"event":1209,`, `"event":1210,`
)

// slowRoutes are a command and a stream with time for a whole test.
var slowRoutes = []string{
	`{"name":"slow","host":"h.example","prefix":"/slow/","kind":"non_idempotent","timeoutMs":60000,"sloMs":30000,"service":"plain","maxAttempts":2}`,
	`{"name":"long","host":"h.example","prefix":"/long/","kind":"streaming","timeoutMs":60000,"sloMs":30000,"service":"model","maxAttempts":3,"resumable":true,"gapAimMs":30000}`,
}

// zonedTargets is the targets of one availability zone, of each kind.
type zonedTargets []*standin.Target

// newZone publishes targets of each kind in a zone. Requests under /slow/ and /long/ end once release is closed:
// streams then break off, and are to be resumed elsewhere. Requests under /read/busy are refused.
func newZone(t *testing.T, s *standin.Store, zone string, release chan struct{}) (targets zonedTargets) {
	end := make(chan struct{})
	wait := func() {
		select {
		case <-release:
		case <-end: // the test has failed
		}
	}
	plain := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/slow/"):
			wait()
		case strings.HasPrefix(r.URL.Path, "/read/busy"):
			standin.Refuse(w)
			return
		}
		signed("in "+zone)(w, r)
	}
	model := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !strings.HasPrefix(r.URL.Path, "/long/"):
			events(w, 1, 2, true)
		case r.Header.Get("Last-Event-Id") == "":
			events(w, 1, 3, true)
			_ = http.NewResponseController(w).Flush()
			wait()
			events(w, 4, 3, false)
		default:
			events(w, 4, 6, true)
		}
	}
	for _, p := range []struct {
		pool   string
		handle func(http.ResponseWriter, *http.Request)
	}{{"plain", plain}, {"model", model}, {"pieces", nil}} {
		e := newEngine(t, "i-"+zone+"-"+p.pool, p.handle)
		s.RegisterIn(e, zone, p.pool)
		targets = append(targets, e)
	}
	t.Cleanup(func() { close(end) }) // before the targets stop
	return targets
}

// received returns the number of requests that the targets of the zone received.
func (z zonedTargets) received() (requests int) {
	for _, e := range z {
		requests += len(e.Received())
	}
	return requests
}

// used reports whether all targets of the zone have received more requests than counted before.
func (z zonedTargets) used(before []int) bool {
	for i, e := range z {
		if len(e.Received()) <= before[i] {
			return false
		}
	}
	return true
}

// counts returns the number of requests that each target received.
func (z zonedTargets) counts() (requests []int) {
	for _, e := range z {
		requests = append(requests, len(e.Received()))
	}
	return requests
}

// prepareEvacuable returns a host that reads evacuations and does not run yet.
func prepareEvacuable(t *testing.T, s *standin.Store, name string, seeds ...string) *testHost {
	host := prepareHost(t, s, name, seeds...)
	host.settings = strings.Replace(host.settings, "[edge]\n", "[edge]\nevacuate = 5000\n", 1)
	return host
}

// startEvacuable runs a host that reads evacuations, and returns its log as well.
func startEvacuable(t *testing.T, s *standin.Store, name string, seeds ...string) (host *testHost, log *lineRecorder) {
	host, log = prepareEvacuable(t, s, name, seeds...), &lineRecorder{}
	host.run(context.Background(), log.logger())
	host.waitReady()
	return host, log
}

// callAll sends a request of each kind: an idempotent one, one that is refused and retried, a command, a stream, and
// streams with stage calls. It returns whether all but the refused one succeeded.
func (host *testHost) callAll(id string) (served bool) {
	served = true
	for _, c := range []struct {
		method, path string
		change       func(*http.Request)
	}{
		{http.MethodGet, "/read/", nil},
		{http.MethodGet, "/read/busy", nil},
		{http.MethodPost, "/write/", nil},
		{http.MethodPost, "/chat/", nil},
		{http.MethodPost, "/talk/", standin.SetPieces},
		{http.MethodPost, "/plan/", standin.SetPieces},
	} {
		status, _, _ := host.call(c.method, c.path, id+strings.ReplaceAll(c.path, "/", "-"), c.change)
		served = served && (status == http.StatusOK || c.path == "/read/busy")
	}
	return served
}

// callMany sends many requests of each kind, of which some must all be served.
func (host *testHost) callMany(id string) {
	host.t.Helper()
	n := 0
	host.wait(func() bool { n++; return host.callAll(fmt.Sprintf("%s-%d", id, n)) })
	for range 10 {
		n++
		host.callAll(fmt.Sprintf("%s-%d", id, n))
	}
}

// result is a response to a call that runs for a while.
type result struct {
	status int
	body   string
}

// start begins a call that may run for a minute.
func (host *testHost) start(path string) (end chan result) {
	end = make(chan result, 1)
	go func() {
		status, body, _ := host.call(http.MethodPost, path, "run"+strings.ReplaceAll(path, "/", "-"), func(r *http.Request) { standin.SetTimeout(r, time.Minute) })
		end <- result{status, body}
	}()
	return end
}

// TestEvacuation guards against a request, retry, resumed stream, stage call or command that a host sends to an
// evacuated zone once it knows, whether it reads the store or follows another host; against work that is broken off
// there; and against a zone that is not used again afterwards.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, broken := newStore(t), newStore(t)
	broken.SetBroken(true)
	s.PublishConfig(1, slowRoutes...)
	release := make(chan struct{})
	zoneA := newZone(t, s, "a", release)
	reader, readerLog := startEvacuable(t, s, "e1")
	follower, followerLog := startEvacuable(t, broken, "e2", reader.peer)
	hosts := []*testHost{reader, follower}
	for _, h := range hosts {
		h.callMany("only-a")
	}
	before := zoneA.received()
	command, stream := reader.start("/slow/"), follower.start("/long/")
	reader.wait(func() bool { return zoneA.received() == before+2 })
	zoneB := newZone(t, s, "b", release)
	for _, h := range hosts {
		counted := zoneB.received()
		h.wait(func() bool { h.callAll("both"); return zoneB.received() > counted })
	}
	s.Put(evacuationOfA, "{}")
	reader.wait(func() bool { return readerLog.has(eventEvacuated, `"zone":"a"`) && followerLog.has(eventEvacuated) })
	before = zoneA.received()
	for i, h := range hosts {
		h.callMany(fmt.Sprintf("evacuated-%d", i))
	}
	s.RegisterIn(zoneA[0], "a", "plain") // published again during the evacuation
	close(release)
	is.Equal(<-command, result{http.StatusOK, "in a"})
	is.Equal(<-stream, result{http.StatusOK, eventText(1, 6)})
	for i, h := range hosts {
		h.callMany(fmt.Sprintf("later-%d", i))
	}
	is.Equal(zoneA.received(), before)
	s.Put(evacuationOfA, "")
	s.Put(platform.PrefixEvacuations+"b", "{}")
	reader.wait(func() bool {
		return readerLog.has(eventEvacuated, `"zone":"b"`) && followerLog.has(eventEvacuated, `"zone":"b"`)
	})
	is.True(readerLog.has(eventRestored, `"zone":"a"`) && followerLog.has(eventRestored, `"zone":"a"`))
	counts, before := zoneA.counts(), zoneB.received()
	for _, h := range hosts {
		h.callMany("again")
	}
	is.True(zoneA.used(counts))
	is.Equal(zoneB.received(), before)
}

// TestEvacuationWhileStoreAway guards against a host that forgets an evacuation while the store does not respond, one
// that starts meanwhile and does not learn of it, and hosts that miss its end.
func TestEvacuationWhileStoreAway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, release := newStore(t), make(chan struct{})
	s.PublishConfig(1)
	zoneA := newZone(t, s, "a", release)
	newZone(t, s, "b", release)
	first, log := startEvacuable(t, s, "e1")
	first.wait(func() bool { first.callAll("both"); return zoneA.received() > 0 })
	s.Put(evacuationOfA, "{}")
	first.wait(func() bool { return log.has(eventEvacuated) })
	s.SetBroken(true)
	first.wait(func() bool { return log.has(`"event":1203`) && s.Waiting(platform.PrefixEvacuations) == 0 }) // store lost
	s.Put(evacuationOfA, "")
	before := zoneA.received()
	second, _ := startEvacuable(t, s, "e2", first.peer)
	for _, h := range []*testHost{first, second} {
		h.callMany("away")
	}
	is.Equal(zoneA.received(), before)
	s.SetBroken(false)
	for _, h := range []*testHost{first, second} {
		before := zoneA.received()
		h.wait(func() bool { h.callAll("back"); return zoneA.received() > before })
	}
}

// TestRestartDuringEvacuation guards against a host that serves from an evacuated zone right after its start, before
// it has read the evacuations.
func TestRestartDuringEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, release := newStore(t), make(chan struct{})
	s.PublishConfig(1)
	zoneA := newZone(t, s, "a", release)
	newZone(t, s, "b", release)
	s.Put(evacuationOfA, "{}")
	for i := range 3 {
		host := prepareEvacuable(t, s, fmt.Sprintf("e%d", i))
		ctx, stop := context.WithCancel(context.Background())
		host.run(ctx, (&lineRecorder{}).logger())
		host.callMany("start") // from before it serves
		stop()
	}
	is.Equal(zoneA.received(), 0)
}

// TestEvacuationDuringLargeConfig guards against an evacuation that waits for a configuration, which the host reads
// slowly.
func TestEvacuationDuringLargeConfig(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, release := newStore(t), make(chan struct{})
	s.PublishConfig(1)
	zoneA := newZone(t, s, "a", release)
	newZone(t, s, "b", release)
	host, log := startEvacuable(t, s, "e1")
	host.callMany("both")
	s.SetConfigPause(300 * time.Millisecond) // over three seconds in all
	answers := s.ConfigAnswers()
	s.PublishConfig(2, `{"name":"last","host":"h.example","prefix":"/last/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2}`)
	host.wait(func() bool { return s.ConfigAnswers() > answers })
	s.Put(evacuationOfA, "{}")
	host.wait(func() bool { return log.has(eventEvacuated) })
	before := zoneA.received()
	status, _, _ := host.call(http.MethodGet, "/last/", "early", nil)
	is.Equal(status, http.StatusNotFound) // the configuration is still on its way
	host.callMany("evacuated")
	is.Equal(zoneA.received(), before)
	host.waitServed("/last/")
}

// TestAllZonesEvacuated guards against requests that wait, or run their stages, although a pool that they need has no
// other zone, and against a log that does not say so.
func TestAllZonesEvacuated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, release := newStore(t), make(chan struct{})
	s.PublishConfig(1)
	zoneA := newZone(t, s, "a", release)
	host, log := startEvacuable(t, s, "e1")
	host.callMany("before")
	s.Put(evacuationOfA, "")
	s.Put(platform.PrefixEvacuations, "{}")             // a key without a zone
	s.Put(platform.PrefixEvacuations+"nowhere", "null") // a zone without targets, and another value
	s.Put(evacuationOfA, "null")
	host.wait(func() bool { return log.has(eventEvacuated, `"zone":"a"`) })
	is.True(log.has(`"event":1211`, `names no zone`))
	is.True(log.has(eventEvacuated, `"zone":"nowhere"`, `"targets":0`))
	before := zoneA.received()
	for path, change := range map[string]func(*http.Request){"/read/": nil, "/write/": nil, "/chat/": nil, "/talk/": standin.SetPieces} {
		status, _, h := host.call(http.MethodPost, path, "all"+strings.ReplaceAll(path, "/", "-"), change)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(h.Get("Retry-After") != "")
		is.True(log.has(`"event":1302`, `"request":"all`+strings.ReplaceAll(path, "/", "-"), "are evacuated"))
	}
	is.Equal(zoneA.received(), before)
	s.Put(evacuationOfA, "")
	host.callMany("after")
}

// TestEvacuationOff guards against calls for evacuations in a deployment that has none.
func TestEvacuationOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, release := newStore(t), make(chan struct{})
	s.PublishConfig(1)
	zoneA := newZone(t, s, "a", release)
	s.Put(evacuationOfA, "{}")
	host, _ := startHost(t, s, "e1")
	host.wait(func() bool { host.callAll("off"); return zoneA.used(make([]int, len(zoneA))) })
	host.wait(func() bool { return s.Waiting(platform.PrefixTargets) == 1 })
	is.Equal(s.Waiting(platform.PrefixEvacuations), 0)
}
