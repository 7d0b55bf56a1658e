package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

const commandConfig = `
[document]
preset = ordinary
[preset ordinary]
[workspace thun]
share = 3
[workspace biel]
share = 1
[pool services]
kind = service
[pool deposits]
kind = service
recognise = %t
[stage check]
pool = services
[stage deposit]
pool = deposits
command = true
[stage look]
pool = deposits
[pipeline balance]
stages = look
deadline = 3m
[pipeline deposit]
stages = check, deposit
deadline = 3m
`

// commandFleet is a fleet of hosts with one service target and one deposit target. The deposit
// target and the peer listeners of the hosts are behind proxies.
type commandFleet struct {
	t        *testing.T
	platform string
	hosts    []host
	// peerProxies lead to the peer listeners of hosts, targetProxy leads to the deposit
	// target.
	peerProxies []*proxy
	targetProxy *proxy
	target      string
}

func targetFlags(recognise bool) (flags []string) {
	if recognise {
		flags = append(flags, "--recognise")
	}
	return flags
}

// waitHosts waits until host i lists n hosts.
func (c *commandFleet) waitHosts(i, n int) {
	for {
		var status struct{ Hosts []wire.Host }
		response, err := http.Get("http://" + c.hosts[i].caller + wire.PathStatus)
		if err != nil {
			c.t.Fatal(err)
		}
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		if err == nil && len(status.Hosts) == n {
			return
		}
	}
}

// startCommandFleet starts n hosts; the flags are those of the deposit target. If recognise is
// true, the target deduplicates commands by their key.
func startCommandFleet(t *testing.T, n int, recognise bool, flags ...string) *commandFleet {
	t.Helper()
	c := &commandFleet{t: t, platform: startPlatform(t), target: startTarget(t, append(targetFlags(recognise), flags...)...)}
	c.targetProxy = newProxy(t, c.target)
	var list []wire.HostEntry
	for i := range n {
		h := startHost(t, fmt.Sprintf("h%d", i), "a", c.platform)
		p := newProxy(t, h.peer)
		c.hosts, c.peerProxies = append(c.hosts, h), append(c.peerProxies, p)
		entry := hostEntry(h, "a")
		entry.Peer = p.address()
		list = append(list, entry)
	}
	putJSON(t, c.platform, standin.PathSetHosts, list)
	put(t, c.platform, standin.PathPublish, []byte(fmt.Sprintf(commandConfig, recognise)+
		targetSection("service", "services", startTarget(t))+targetSection("deposit", "deposits", c.targetProxy.address())))
	for i, h := range c.hosts {
		h.waitLine(`"event":1002`)
		c.waitHosts(i, n)
	}
	return c
}

// newKey requests a command key of the workspace thun from host i.
func (c *commandFleet) newKey(i int) string {
	c.t.Helper()
	response, err := http.Get("http://" + c.hosts[i].caller + wire.PathAddresses + "?workspace=thun&keys=1")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer wire.Addresses
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Keys) != 1 {
		c.t.Fatalf("got keys %v, error %v, want one key", answer.Keys, err)
	}
	return answer.Keys[0]
}

// deposit returns a request of the pipeline deposit whose input contains the key; the deadline
// is in milliseconds.
func deposit(key string, deadline int64) wire.Request {
	return wire.Request{Workspace: "thun", Input: json.RawMessage(`{"amount":` + fmt.Sprint(len(key)) + `,"of":"` + key + `"}`), Key: key, Deadline: deadline}
}

// send sends the request to host i once. A broken connection gives an answer without an
// outcome.
func (c *commandFleet) send(i int, request wire.Request) (answer wire.Answer) {
	body, _ := json.Marshal(request)
	response, err := http.Post("http://"+c.hosts[i].caller+wire.PathPipelines+"deposit", wire.ContentTypeJSON, bytes.NewReader(body))
	if err != nil {
		return wire.Answer{Detail: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return wire.Answer{Detail: err.Error()}
	}
	return answer
}

// start sends the request in the background.
func (c *commandFleet) start(i int, request wire.Request) <-chan wire.Answer {
	answers := make(chan wire.Answer, 1)
	go func() { answers <- c.send(i, request) }()
	return answers
}

// waitRuns waits until the deposit target has begun n runs.
func (c *commandFleet) waitRuns(n int) {
	for len(runRecords(c.t, c.target)) < n {
		runtime.Gosched()
	}
}

// checkKey compares the answers for one key with the run records: the key ran at most once,
// and not at all if an answer says not-run; each output belongs to the key; and no answer says
// failed, as the target reports no failures.
func (c *commandFleet) checkKey(key string, answers ...wire.Answer) {
	c.t.Helper()
	runs := 0
	for _, e := range runRecords(c.t, c.target) {
		if bytes.Contains(e.Input, []byte(key)) {
			runs++
		}
	}
	if runs > 1 {
		c.t.Errorf("key %s ran %d times", key, runs)
	}
	for _, a := range answers {
		switch {
		case a.Outcome == outcome.NotRun.String() && runs > 0:
			c.t.Errorf("key %s ran but was answered %s %s", key, a.Outcome, a.Reason)
		case a.Outcome == outcome.Done.String() && (runs == 0 || !bytes.Contains(a.Output, []byte(key))):
			c.t.Errorf("key %s with %d runs was answered %s", key, runs, a.Output)
		case a.Outcome == outcome.Failed.String():
			c.t.Errorf("key %s was answered as failed, but the target reported no failure", key)
		}
	}
}

func expect(t *testing.T, answer wire.Answer, o outcome.Outcome, wantReason reason.Reason) {
	t.Helper()
	reasonText := wantReason.String()
	if wantReason == reason.None {
		reasonText = ""
	}
	if answer.Outcome != o.String() || answer.Reason != reasonText {
		t.Errorf("answer %+v, want %s %s", answer, o, reasonText)
	}
}

// TestDuplicates guards against a command that runs more than once when its request arrives at
// all hosts at the same time, and against duplicates that get no answer.
func TestDuplicates(t *testing.T) {
	is := is.New(t)
	c := startCommandFleet(t, 3, false)
	key := c.newKey(0)
	answers := make([]wire.Answer, 12)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = c.send(i%len(c.hosts), deposit(key, 0)) })
	}
	all.Wait()
	seen := make(map[string]bool)
	for _, a := range answers {
		expect(t, a, outcome.Done, reason.None)
		is.True(bytes.Equal(a.Output, answers[0].Output))
		is.True(!seen[a.Request]) // each request has its own id
		seen[a.Request] = true
	}
	c.checkKey(key, answers...)
	is.Equal(len(runRecords(t, c.target)), 1)
}

// TestKeyRefusals guards against a command that runs with an invalid, missing or foreign key,
// or with another input under a used key.
func TestKeyRefusals(t *testing.T) {
	is := is.New(t)
	c := startCommandFleet(t, 2, false)
	key := c.newKey(0)
	for i := range c.hosts {
		foreign, forged, keyless := deposit(key, 0), deposit(key[:len(key)-8]+"AAAAAAAA", 0), deposit(key, 0)
		foreign.Workspace, keyless.Key = "biel", ""
		expect(t, c.send(i, foreign), outcome.NotRun, reason.WrongWorkspace)
		expect(t, c.send(i, forged), outcome.NotRun, reason.ForgedKey)
		expect(t, c.send(i, keyless), outcome.NotRun, reason.MissingKey)
	}
	is.Equal(len(runRecords(t, c.target)), 0)
	for i := range c.hosts {
		expect(t, c.send(i, deposit(key, 0)), outcome.Done, reason.None)
		mismatch := deposit(key, 0)
		mismatch.Input = json.RawMessage(`2`)
		expect(t, c.send(i, mismatch), outcome.NotRun, reason.BodyMismatch)
	}
	is.Equal(len(runRecords(t, c.target)), 1)
}
