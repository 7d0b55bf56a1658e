package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/caller"
	"sassafrasward/io/sse"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// steadyPause leaves the machine to the processes under test between two short requests.
const requestPause = 2 * time.Millisecond

// pair is two hosts in front of one target for each pool of fourStages.
type hostPair struct {
	platform string
	hosts    []host
	// bookings is the address of the target that runs the commands.
	bookings string
}

func startHostPair(t *testing.T, extra ...string) *hostPair {
	t.Helper()
	p := &hostPair{platform: startPlatform(t)}
	raw := fourStageConfig + "[stage book]\npool = rerankers\ncommand = true\n[pipeline book]\nstages = book\ndeadline = 1m\n"
	p.bookings = startTarget(t)
	raw += targetSection("rerankers1", "rerankers", p.bookings)
	for _, pool := range []string{"encoders", "retrievers"} {
		raw += targetSection(pool+"1", pool, startTarget(t))
	}
	raw += targetSection("assistants1", "assistants", startTarget(t, "--each", "20ms", "--slots", "16"))
	for _, name := range []string{"a", "b"} {
		p.hosts = append(p.hosts, startHost(t, name, name, p.platform, extra...))
	}
	p.publishHosts(t, -1)
	put(t, p.platform, standin.PathPublish, []byte(raw))
	for _, h := range p.hosts {
		h.waitLine(`"event":1002`)
	}
	return p
}

// list publishes the host list with one host leaving; -1 for none.
func (p *hostPair) publishHosts(t *testing.T, leaving int) {
	t.Helper()
	var list []wire.HostEntry
	for i, h := range p.hosts {
		entry := hostEntry(h, h.name)
		if i == leaving {
			entry.State = wire.StateLeaving
		}
		list = append(list, entry)
	}
	putJSON(t, p.platform, standin.PathSetHosts, list)
}

// strict is a caller that sends each request once, to the first host of an address answer
// that it keeps for its whole lifetime. A refusal that the client library hides by sending
// to another host is a failure here.
type singleHostCaller struct {
	seeds  []string
	hosts  []wire.Host
	expiry time.Time
}

func (c *singleHostCaller) host() (string, error) {
	if len(c.hosts) > 0 && time.Now().Before(c.expiry) {
		return c.hosts[0].Address, nil
	}
	for _, address := range c.seeds {
		sentAt := time.Now()
		response, err := http.Get("http://" + address + wire.PathAddresses)
		if err != nil {
			continue
		}
		var answer wire.Addresses
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Hosts) > 0 {
			c.hosts, c.expiry = answer.Hosts, sentAt.Add(time.Duration(answer.Lifetime)*time.Millisecond)
			return c.hosts[0].Address, nil
		}
	}
	return "", fmt.Errorf("no host of %v answered", c.seeds)
}

// post sends one request and returns its answer; tokens counts streamed tokens.
func post(address, pipeline string, request wire.Request, stream bool) (answer wire.Answer, tokens int, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return answer, 0, err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+wire.PathPipelines+pipeline, bytes.NewReader(body))
	if err != nil {
		return answer, 0, err
	}
	r.GetBody = nil
	if stream {
		r.Header.Set("Accept", wire.ContentTypeEvents)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if !stream || response.StatusCode != http.StatusOK {
		return answer, 0, json.NewDecoder(response.Body).Decode(&answer)
	}
	data, err := sse.ReadUntil(response.Body, 1<<20, wire.EventToken, wire.EventEnd, func([]byte) error {
		tokens++
		return nil
	})
	if err != nil {
		return answer, tokens, err
	}
	return answer, tokens, json.Unmarshal(data, &answer)
}

// steady sends requests until stop is closed and counts those without a whole answer.
func sendUntilStopped(stop <-chan struct{}, seeds ...string) (sent int, failures []string) {
	c := &singleHostCaller{seeds: seeds}
	for {
		select {
		case <-stop:
			return sent, failures
		default:
		}
		address, err := c.host()
		answer := wire.Answer{}
		if err == nil {
			answer, _, err = post(address, "availability", wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)}, false)
		}
		sent++
		time.Sleep(requestPause)
		if err != nil || answer.Outcome != outcome.Done.String() {
			failures = append(failures, fmt.Sprintf("%s: %s %s %v", address, answer.Outcome, answer.Reason, err))
		}
	}
}

// TestPlannedStop guards against a planned stop that cuts off or refuses a request: short
// requests arrive all the time, and a stream and a report that outlasts the time in which
// a draining host takes requests run through the stop of each host in turn.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	p := startHostPair(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mutex sync.Mutex
	var sent int
	var failures []string
	a, b := p.hosts[0].caller, p.hosts[1].caller
	for _, seeds := range [][]string{{a, b}, {b, a}} {
		callers.Go(func() {
			n, failed := sendUntilStopped(stop, seeds...)
			mutex.Lock()
			defer mutex.Unlock()
			sent += n
			failures = append(failures, failed...)
		})
	}
	for i := range p.hosts {
		p.stopAndRestart(t, i)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d short requests, %d without a whole answer", sent, len(failures))
	if len(failures) > 0 {
		t.Logf("first: %s", failures[0])
	}
	is.Equal(len(failures), 0)
}

// stop stops and restarts one host while a stream and a report run on it.
func (p *hostPair) stopAndRestart(t *testing.T, i int) {
	t.Helper()
	is := is.New(t)
	h := p.hosts[i]
	var work sync.WaitGroup
	for _, size := range []int64{100, 700} { // 2 s and 14 s at 20 ms for each token
		began := make(chan struct{})
		work.Go(func() {
			close(began)
			answer, tokens, err := post(h.caller, "summary", wire.Request{Workspace: "thun", Input: json.RawMessage(`1`), Size: size}, true)
			if err != nil || answer.Outcome != outcome.Done.String() || tokens != int(size) {
				t.Errorf("request of %d tokens: %+v, %d tokens, %v", size, answer, tokens, err)
			}
		})
		<-began
	}
	p.waitInflight(t, h, 2)
	key := p.newKey(t, h)
	h.signal(syscall.SIGTERM)
	h.waitLine(`"event":1003`)
	// The host list lags behind the stop.
	p.publishHosts(t, i)
	s := status(t, h)
	is.Equal(s.State, reason.Draining.String())
	for _, listed := range s.Hosts {
		is.True(listed.Host != h.name) // not in the address answers
	}
	// Only the draining host may run a command of its own key, so it does so until the
	// owner stops. It issues no more keys; the client library gets one of the other host.
	book := wire.Request{Workspace: "thun", Input: json.RawMessage(`2`), Key: key}
	for range 2 {
		answer, _, err := post(h.caller, "book", book, false)
		is.NoErr(err)
		is.Equal(answer.Outcome, outcome.Done.String())
	}
	is.Equal(p.keyRuns(t, key), 1)
	otherKeys, err := caller.New([]string{h.caller}).RequestKeys(context.Background(), "thun", 1)
	is.NoErr(err)
	answer, err := caller.New([]string{h.caller}).Command(context.Background(), "book", wire.Request{Workspace: "thun", Input: json.RawMessage(`3`)})
	is.NoErr(err)
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(p.keyRuns(t, otherKeys[0]), 0)

	work.Wait()
	is.Equal(h.waitExit(), 0)
	h.waitLine(`"event":1004`)
	p.hosts[i].process = runHost(t, h, h.name, p.platform)
	p.hosts[i].waitLine(`"event":1002`)
	p.publishHosts(t, -1)
}

// key returns a command key of the host.
func (p *hostPair) newKey(t *testing.T, h host) string {
	t.Helper()
	c := &rawCaller{client: http.DefaultClient}
	keys, err := c.keys(context.Background(), h.caller, 1)
	if err != nil || len(keys) != 1 {
		t.Fatalf("no key: %v", err)
	}
	return keys[0]
}

// runs returns how often the key ran.
func (p *hostPair) keyRuns(t *testing.T, key string) (n int) {
	t.Helper()
	for _, e := range runRecords(t, p.bookings) {
		if e.Key == key {
			n++
		}
	}
	return n
}

// busy waits until the engine runs calls of the host.
func (p *hostPair) waitInflight(t *testing.T, h host, calls int) {
	t.Helper()
	for !t.Failed() && status(t, h).Pools[0].Targets[0].Inflight < calls {
		time.Sleep(time.Millisecond)
	}
}

// TestHalt guards against a planned stop that cannot be ended: a second signal and the
// limit of the settings end it at once, with a log event and an exit code other than 0.
func TestForcedStop(t *testing.T) {
	for name, test := range map[string]struct {
		extra   string
		signals int
	}{
		"second signal": {signals: 2},
		"limit":         {extra: "drain = 1s", signals: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startHostPair(t, test.extra)
			h := p.hosts[0]
			callErr := make(chan error, 1)
			go func() {
				_, _, err := post(h.caller, "summary", wire.Request{Workspace: "thun", Input: json.RawMessage(`1`), Size: 3000}, true)
				callErr <- err
			}()
			p.waitInflight(t, h, 1)
			for range test.signals {
				h.signal(syscall.SIGTERM)
				h.waitLine(`"event":1003`)
			}
			h.waitLine(`"event":1006`)
			is.Equal(h.waitExit(), 1)
			is.True(<-callErr != nil)
		})
	}
}
