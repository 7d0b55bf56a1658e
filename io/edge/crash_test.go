package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

// TestDisconnectIsLogged guards against logs that don't tell which prompts were at a target when it
// was lost: the parts that they share, whether their answer had begun, and whether the target is gone.
func TestDisconnectIsLogged(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PublishConfig(1)
	var e *standin.Target
	e = newEngine(t, "i-1", func(w http.ResponseWriter, _ *http.Request) { crash(e, w) })
	s.Register(e, "model", "ready")
	host := prepareHost(t, s, "e1")
	log := &lineRecorder{}
	host.run(context.Background(), log.logger())
	host.waitReady()
	host.wait(func() bool {
		host.call(http.MethodPost, "/chat/", "s1", func(r *http.Request) { standin.SetPrompt(r, "aa", "bb", "own") })
		return log.has(`"event":1702`, `"request":"s1"`, `"target":"i-1"`, `"parts":"aa,bb"`, `"progress":"begun"`, `"events":0`, `"accepts":false`)
	})
	host.wait(func() bool { return log.has(`"event":1302`, `"parts":"aa,bb"`) })
}

// crash sends the headers of an answer and ends the target: it refuses connections, and the
// connection of the answer is closed.
func crash(e *standin.Target, w http.ResponseWriter) {
	_ = e.Listener.Close()
	standin.Sign(w)
	_ = http.NewResponseController(w).Flush()
	go e.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// TestPromptOfManyParts guards against a request that fills the evidence of all hosts, because its
// prompt has thousands of parts.
func TestPromptOfManyParts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	pool := newCrashingPool(t, s, "part999", 0, 2)
	host := prepareHost(t, s, "e1")
	metrics := loopback.FreeAddress()
	host.settings = strings.Replace(host.settings, "[edge]\n", "[edge]\nmetrics = "+metrics+"\n", 1)
	host.run(context.Background(), logr.Discard())
	host.waitReady()
	host.wait(func() bool { return host.sendPrompt("sound", "first", "own") == http.StatusOK })
	var parts []string
	for n := range 1000 {
		parts = append(parts, fmt.Sprintf("part%d", n))
	}
	host.sendPrompt("bad", append(parts, "own")...)
	reached, _ := pool.counts()
	is.True(reached > 0) // the whole prompt is forwarded
	suspected := func() string {
		r, err := http.Get("http://" + metrics)
		if err != nil {
			return ""
		}
		defer func() { _ = r.Body.Close() }()
		body, _ := io.ReadAll(r.Body)
		_, value, _ := strings.Cut(string(body), "suspect.parts ")
		value, _, _ = strings.Cut(value, "\n")
		return value
	}
	host.wait(func() bool { return suspected() != "" && suspected() != "0" })
	is.Equal(suspected(), "64")
}

// contactTime is how long a host is connected to the others before the bounds on crashes hold for it.
const contactTime = 3 * time.Second

// crashingPool is a pool of targets that crash when they begin to answer a request whose prompt has a
// certain part, and that start again under another identity and address.
type crashingPool struct {
	t     *testing.T
	store *standin.Store
	part  string
	// delay is the time from the headers of an answer to the crash.
	delay time.Duration

	mutex sync.Mutex
	// started is the number of targets that were started, reached the number of requests with the
	// part that reached one, crashed that of the targets that ended.
	started, reached, crashed int
}

func newCrashingPool(t *testing.T, s *standin.Store, part string, delay time.Duration, targets int) *crashingPool {
	p := &crashingPool{t: t, store: s, part: part, delay: delay}
	for range targets {
		p.start()
	}
	return p
}

// start starts and registers another target.
func (p *crashingPool) start() {
	p.mutex.Lock()
	p.started++
	id := fmt.Sprintf("i-%d", p.started)
	p.mutex.Unlock()
	var e *standin.Target
	var once sync.Once
	e = standin.NewTarget(id, func(w http.ResponseWriter, r *http.Request) {
		if !standin.HasPart(r, p.part) {
			events(w, 1, 3, true)
			return
		}
		p.mutex.Lock()
		p.reached++
		p.mutex.Unlock()
		standin.Sign(w)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(p.delay)
		once.Do(func() { p.restart(id) })
		crash(e, w)
	})
	p.t.Cleanup(e.Stop)
	p.store.Register(e, "model", "ready")
}

// restart counts a crash and starts another target after a while.
func (p *crashingPool) restart(id string) {
	p.mutex.Lock()
	p.crashed++
	p.mutex.Unlock()
	go func() {
		time.Sleep(200 * time.Millisecond)
		p.store.Put("servers/"+id, "")
		p.start()
	}()
}

// counts returns how many requests with the part reached targets, and how many targets crashed.
func (p *crashingPool) counts() (reached, crashed int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reached, p.crashed
}

// sendPrompt sends a request that differs from all others of the test, and returns its status.
func (host *testHost) sendPrompt(id string, parts ...string) (status int) {
	status, _, _ = host.call(http.MethodPost, "/chat/", id, func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(id)), int64(len(id))
		standin.SetPrompt(r, parts...)
	})
	return status
}

// TestPartThatCrashesTargets guards against requests, no two alike, that crash target after target,
// because one part of their prompts does so at whatever host they arrive; and against sound requests
// that are refused with them, because they have the same key and other parts in common.
func TestPartThatCrashesTargets(t *testing.T) {
	t.Parallel()
	const (
		crashLimit   = 5
		laterAllowed = 3
		tries        = 20
	)
	middle := func(n int) []string { return []string{"first", "bad", fmt.Sprintf("own%d", n)} }
	start := func(n int) []string { return []string{"bad", fmt.Sprintf("mid%d", n), fmt.Sprintf("own%d", n)} }
	for name, test := range map[string]struct {
		prompt func(n int) []string
		delay  time.Duration
	}{
		"in the middle":        {middle, 0},
		"at the start":         {start, 0},
		"in the middle, later": {middle, 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			s.PublishConfig(1)
			pool := newCrashingPool(t, s, "bad", test.delay, 6)
			host, peer := startHost(t, s, "e1")
			hosts := []*testHost{host}
			for _, name := range []string{"e2", "e3"} {
				host, _ := startHost(t, s, name, peer)
				hosts = append(hosts, host)
			}
			sound := func(n int) int {
				return hosts[n%len(hosts)].sendPrompt(fmt.Sprintf("sound%d", n), "first", fmt.Sprintf("mid%d", n%4), fmt.Sprintf("own%d", n))
			}
			bad := func(n int) { hosts[n%len(hosts)].sendPrompt(fmt.Sprintf("bad%d", n), test.prompt(n)...) }
			for n, host := range hosts {
				host.waitReady()
				host.wait(func() bool { return sound(n) == http.StatusOK })
			}
			sent := 0
			for _, crashed := pool.counts(); crashed < crashLimit && sent < 2*tries; _, crashed = pool.counts() {
				bad(sent)
				sent++
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(contactTime)
			before, _ := pool.counts()
			served := 0
			for n := range tries {
				bad(sent + n)
				if sound(100+n) == http.StatusOK {
					served++
				}
			}
			reached, crashed := pool.counts()
			t.Logf("%d targets crashed, %d requests reached targets later, %d of %d sound ones were served", crashed, reached-before, served, tries)
			is.True(reached-before <= laterAllowed)
			is.True(served >= tries/2)
		})
	}
}
