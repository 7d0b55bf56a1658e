package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/io/wire"
)

// fault is one kind of fault and how to end it. The index selects the host or proxy, modulo
// their number.
type fault struct {
	name   string
	inject func(f *fleet, index int)
	repair func(f *fleet, index int)
}

// proxyFault sets faults on one of the proxies. The repair delivers the blocked bytes, as a
// slow network does, and then closes the connections.
func proxyFault(name string, proxies func(*fleet) []*proxy, set faults) fault {
	selected := func(f *fleet, i int) *proxy {
		all := proxies(f)
		return all[i%len(all)]
	}
	return fault{
		name, func(f *fleet, i int) { selected(f, i).set(set) },
		func(f *fleet, i int) {
			selected(f, i).set(faults{})
			selected(f, i).closeConns()
		},
	}
}

func targetProxyFault(name string, set faults) fault {
	return proxyFault(name, func(f *fleet) []*proxy { return f.targetProxies }, set)
}

func callerProxyFault(name string, set faults) fault {
	return proxyFault(name, func(f *fleet) []*proxy { return f.callerProxies }, set)
}

func peerProxyFault(name string, set faults) fault {
	return proxyFault(name, func(f *fleet) []*proxy { return f.peerProxies }, set)
}

var faultKinds = []fault{
	{"kill and restart a host", func(f *fleet, index int) { f.restart(index % len(f.hosts)) }, func(*fleet, int) {}},
	{"pause a host", func(f *fleet, index int) { f.pause(index % len(f.hosts)) }, func(f *fleet, index int) { f.resume(index % len(f.hosts)) }},
	{"platform down", func(f *fleet, _ int) { f.platform.SetDown(true) }, func(f *fleet, _ int) { f.platform.SetDown(false) }},
	{"platform stale", func(f *fleet, _ int) { f.platform.PinVersion(1) }, func(f *fleet, _ int) { f.platform.PinVersion(0) }},
	{"platform connections cut", func(f *fleet, _ int) { f.platformProxy.closeConns() }, func(*fleet, int) {}},
	{"preset switched to peak", func(f *fleet, _ int) { f.publish("peak") }, func(f *fleet, _ int) { f.publish("ordinary") }},
	{"target connections cut", func(f *fleet, index int) { f.targetProxies[index%len(f.targetProxies)].closeConns() }, func(*fleet, int) {}},
	targetProxyFault("target refuses connections", faults{refuse: true}),
	targetProxyFault("target silent", faults{blockUp: true, blockDown: true}),
	targetProxyFault("target hears but is not heard", faults{blockDown: true}),
	targetProxyFault("old connections silent", faults{blockUp: true, blockDown: true, onlyExisting: true}),
	targetProxyFault("target delayed", faults{delay: 50 * time.Millisecond}),
	callerProxyFault("callers cannot connect to a host", faults{refuse: true}),
	callerProxyFault("host does not hear its callers", faults{blockUp: true}),
	callerProxyFault("callers do not hear a host", faults{blockDown: true}),
	peerProxyFault("hosts cannot connect to a host", faults{refuse: true}),
	peerProxyFault("old connections to a host silent", faults{blockUp: true, blockDown: true, onlyExisting: true}),
	peerProxyFault("host does not hear other hosts", faults{blockUp: true}),
	peerProxyFault("other hosts do not hear a host", faults{blockDown: true}),
}

// Sizes of one fault schedule. Faults are injected and repaired after a number of ended
// requests and not by time, so that a slow machine runs the same schedule.
const (
	scheduleCallers  = 6
	actionsPerCaller = 25
	requestsPerFault = 12 // ended requests between two faults
	scheduleHosts    = 3
	sendTimeout      = 5 * time.Second
	defaultSeeds     = 3
)

// scheduleSeeds returns the seeds to run: SCHEDULE_SEED alone, or 1 to SCHEDULE_SEEDS.
func scheduleSeeds() (list []uint64) {
	if seed, err := strconv.ParseUint(os.Getenv("SCHEDULE_SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	n, err := strconv.Atoi(os.Getenv("SCHEDULE_SEEDS"))
	if err != nil {
		n = defaultSeeds
	}
	for i := range n {
		list = append(list, uint64(i+1))
	}
	return list
}

// TestFaultSchedule guards against any combination of faults that makes an answer wrong: a key
// that runs twice, a run although the outcome is not-run, or an answer that reaches another
// caller. After the repairs every host must serve under the newest configuration.
func TestFaultSchedule(t *testing.T) {
	for _, seed := range scheduleSeeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSchedule(t, seed) })
	}
}

func runSchedule(t *testing.T, seed uint64) {
	f := newFleet(t, scheduleHosts)
	checker := &answerChecker{}
	ended := make(chan struct{}, scheduleCallers*actionsPerCaller)
	var callers sync.WaitGroup
	var lastMarker atomic.Int64
	for n := range scheduleCallers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		callers.Go(func() { runCaller(f, checker, random, &lastMarker, ended) })
	}
	injectFaults(t, f, rand.New(rand.NewPCG(seed, 1<<32)), ended)
	callers.Wait()
	checker.check(t, f.runRecords())
	t.Logf("seed %d: %v", seed, checker.counts())
	f.awaitRecovery(t)
}

// injectFaults injects a fault every requestsPerFault ended requests and repairs it when the
// next one has been injected, so that up to two faults are active at the same time.
func injectFaults(t *testing.T, f *fleet, random *rand.Rand, ended <-chan struct{}) {
	repair := func() {}
	for n := range scheduleCallers * actionsPerCaller {
		<-ended
		if n%requestsPerFault != 0 {
			continue
		}
		kind, index := faultKinds[random.IntN(len(faultKinds))], random.IntN(len(f.targetProxies)*scheduleHosts)
		t.Logf("after %d requests: %s (%d)", n, kind.name, index)
		kind.inject(f, index)
		repair()
		repair = func() { kind.repair(f, index) }
	}
	repair()
}

// runCaller runs actions one after the other, each beginning with a random host.
func runCaller(f *fleet, checker *answerChecker, random *rand.Rand, lastMarker *atomic.Int64, ended chan<- struct{}) {
	c := f.newRawCaller(sendTimeout)
	for range actionsPerCaller {
		first := random.IntN(scheduleHosts)
		result := callerResult{marker: fmt.Sprintf("mark%d.", lastMarker.Add(1)), pipeline: "summary"}
		if random.IntN(2) == 0 {
			result.pipeline = "deposit"
			result.key = anyKey(c, first)
		}
		request := wire.Request{Workspace: "thun", Input: json.RawMessage(strconv.Quote(result.marker)), Deadline: 2000, Key: result.key}
		if result.pipeline == "summary" || result.key != "" {
			result.answer, result.noAnswer = c.sendUntilAnswered(context.Background(), first, result.pipeline, request, 4)
			checker.add(result)
		}
		ended <- struct{}{}
	}
}

// anyKey returns a key from the first host that issues one, or "" if none does.
func anyKey(c *rawCaller, first int) string {
	for i := range c.hosts {
		keys, err := c.keys(context.Background(), c.hosts[(first+i)%len(c.hosts)], 1)
		if err == nil && len(keys) == 1 {
			return keys[0]
		}
	}
	return ""
}

// awaitRecovery waits until each host serves under the newest configuration. Only the timeout
// of the test bounds the wait.
func (f *fleet) awaitRecovery(t *testing.T) {
	t.Helper()
	is := is.New(t)
	f.platform.SetDown(false)
	f.platform.PinVersion(0)
	f.publish("peak")
	for i := range f.hosts {
		f.resume(i)
	}
	c := f.newRawCaller(sendTimeout)
	for _, h := range f.hosts {
		for f.preset(h) != "peak" || !f.serves(c, h) {
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(f.preset(h), "peak")
	}
}

func (f *fleet) serves(c *rawCaller, h host) bool {
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)}
	answer, err := c.send(context.Background(), h.caller, "summary", request)
	return err == nil && answer.Outcome == outcome.Done.String()
}

// preset returns the active preset of the host, or "" if the host does not respond.
func (f *fleet) preset(h host) string {
	response, err := f.newRawCaller(sendTimeout).client.Get("http://" + h.caller + wire.PathStatus)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Preset string `json:"preset"`
	}
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status.Preset
}
