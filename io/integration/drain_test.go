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

// requestPause separates two short requests, which leaves CPU time to the processes under
// test.
const requestPause = 2 * time.Millisecond

// hostPair is two hosts with one target for each pool of fourStageConfig.
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

// publishHosts publishes the host list with one host leaving; -1 for none.
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

// singleHostCaller sends each request once, to the first host of an address answer that it
// caches for its whole lifetime. It counts a refusal as a failure, while the client library
// would hide it by a retry on another host.
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

// post sends one request and returns its answer and the number of streamed tokens.
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

// sendUntilStopped sends requests until stop is closed and records each that was not done.
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

// TestGracefulStop guards against a graceful stop that interrupts or refuses a request. Short
// requests arrive all the time. While each host in turn stops, a short stream runs on it, and
// a stream that takes longer than a draining host accepts requests.
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
	t.Logf("%d short requests, %d without a complete answer", sent, len(failures))
	if len(failures) > 0 {
		t.Logf("first failure: %s", failures[0])
	}
	is.Equal(len(failures), 0)
}

// stopAndRestart stops and restarts one host while a short and a long stream run on it.
func (p *hostPair) stopAndRestart(t *testing.T, i int) {
	t.Helper()
	is := is.New(t)
	h := p.hosts[i]
	var work sync.WaitGroup
	for _, size := range []int64{100, 700} { // 2 s and 14 s at 20 ms for each token
		started := make(chan struct{})
		work.Go(func() {
			close(started)
			answer, tokens, err := post(h.caller, "summary", wire.Request{Workspace: "thun", Input: json.RawMessage(`1`), Size: size}, true)
			if err != nil || answer.Outcome != outcome.Done.String() || tokens != int(size) {
				t.Errorf("request of %d tokens: %+v, %d tokens, %v", size, answer, tokens, err)
			}
		})
		<-started
	}
	p.waitInflight(t, h, 2)
	key := p.newKey(t, h)
	h.signal(syscall.SIGTERM)
	h.waitLine(`"event":1003`)
	// The host list marks the host as leaving only after the stop began.
	p.publishHosts(t, i)
	s := status(t, h)
	is.Equal(s.State, reason.Draining.String())
	for _, listed := range s.Hosts {
		is.True(listed.Host != h.name) // not in the address answers
	}
	// Only the draining host may run commands under the keys that it issued, so it runs them
	// until its command owner stops. It issues no more keys; the client library gets one from
	// the other host.
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

// newKey requests a command key from the host.
func (p *hostPair) newKey(t *testing.T, h host) string {
	t.Helper()
	c := &rawCaller{client: http.DefaultClient}
	keys, err := c.keys(context.Background(), h.caller, 1)
	if err != nil || len(keys) != 1 {
		t.Fatalf("no command key: %v", err)
	}
	return keys[0]
}

// keyRuns returns the number of runs of the key.
func (p *hostPair) keyRuns(t *testing.T, key string) (n int) {
	t.Helper()
	for _, e := range runRecords(t, p.bookings) {
		if e.Key == key {
			n++
		}
	}
	return n
}

// waitInflight waits until the host has at least the given number of calls on the engine.
func (p *hostPair) waitInflight(t *testing.T, h host, calls int) {
	t.Helper()
	for !t.Failed() && status(t, h).Pools[0].Targets[0].Inflight < calls {
		time.Sleep(time.Millisecond)
	}
}

// TestForcedStop guards against a graceful stop that cannot be ended early: a second signal or
// the drain limit of the settings must end it at once, with a log event and an exit code other
// than 0.
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
