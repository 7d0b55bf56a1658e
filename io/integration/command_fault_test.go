package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/loopback"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// short is the deadline in milliseconds of requests that are expected to pass it.
const shortDeadlineMs = 1000

// hold lets the deposit target run commands but keeps their answers back.
func (c *commandFleet) blockAnswers() { c.targetProxy.set(faults{blockDown: true}) }

func (c *commandFleet) clearTargetFaults() { c.targetProxy.set(faults{}) }

// partition cuts host i off from the other hosts; open connections go silent.
func (c *commandFleet) partition(i int) {
	c.peerProxies[i].set(faults{blockUp: true, blockDown: true})
}

func (c *commandFleet) heal(i int) { c.peerProxies[i].set(faults{}) }

// held starts a deposit through host i and returns once the target ran it and its answer
// is held back.
func (c *commandFleet) startBlocked(i int, request wire.Request) <-chan wire.Answer {
	c.blockAnswers()
	first := c.start(i, request)
	c.waitRuns(1)
	c.targetProxy.waitBlocked()
	return first
}

// once checks that the target ran exactly n commands and the key at most once.
func (c *commandFleet) checkRunCount(n int, key string, answers ...wire.Answer) {
	c.t.Helper()
	c.checkKey(key, answers...)
	if got := len(runRecords(c.t, c.target)); got != n {
		c.t.Errorf("the target ran %d commands, want %d", got, n)
	}
}

// TestOwnerKilled guards against a second run, or an untrue end, when the owner is killed
// while its command runs and the request is sent again through every other host.
func TestOwnerKilled(t *testing.T) {
	for _, recognise := range []bool{false, true} {
		t.Run(fmt.Sprintf("recognise %t", recognise), func(t *testing.T) {
			c := startCommandFleet(t, 3, recognise)
			key := c.newKey(0)
			first := c.startBlocked(0, deposit(key, 0))
			c.hosts[0].kill()
			c.clearTargetFaults()
			if answer := <-first; answer.Outcome != "" {
				t.Errorf("a killed host answered %+v", answer)
			}
			for _, i := range []int{1, 2, 1} {
				answer := c.send(i, deposit(key, 0))
				if recognise {
					expect(t, answer, outcome.Done, reason.None)
				} else {
					expect(t, answer, outcome.Unknown, reason.OwnerUnreachable)
				}
				c.checkRunCount(1, key, answer)
				foreign := deposit(key, 0)
				foreign.Workspace = "biel"
				expect(t, c.send(i, foreign), outcome.NotRun, reason.WrongWorkspace)
			}
			c.checkRunCount(1, key)
		})
	}
}

// TestOwnerRestarted guards against a new incarnation that takes a key of the old one for
// its own.
func TestOwnerRestarted(t *testing.T) {
	c := startCommandFleet(t, 2, false)
	used, unused := c.newKey(0), c.newKey(0)
	expect(t, c.send(1, deposit(used, 0)), outcome.Done, reason.None)
	c.hosts[0].kill()
	c.hosts[0].process = runHost(t, c.hosts[0], "a", c.platform)
	c.hosts[0].waitLine(`"event":1002`)
	c.waitHosts(0, 2)
	for i := range c.hosts {
		expect(t, c.send(i, deposit(used, 0)), outcome.Unknown, reason.OwnerUnreachable)
		expect(t, c.send(i, deposit(unused, 0)), outcome.Unknown, reason.OwnerUnreachable)
	}
	c.checkRunCount(1, used)
}

// TestOwnerPaused guards against a command that a paused owner runs after its deadline,
// when it wakes with the request in its buffers: from a caller and from another host.
func TestOwnerPaused(t *testing.T) {
	is := is.New(t)
	c := startCommandFleet(t, 2, false)
	expect(t, c.send(1, deposit(c.newKey(0), 0)), outcome.Done, reason.None) // opens the connection between the hosts
	direct, forwarded, last := c.newKey(0), c.newKey(0), c.newKey(0)
	c.hosts[0].signal(syscall.SIGSTOP)
	body, _ := json.Marshal(deposit(direct, shortDeadlineMs))
	impatient := &http.Client{Timeout: shortDeadlineMs * time.Millisecond}
	_, err := impatient.Post("http://"+c.hosts[0].caller+wire.PathPipelines+"deposit", wire.ContentTypeJSON, bytes.NewReader(body))
	is.True(err != nil)
	expect(t, c.send(1, deposit(forwarded, shortDeadlineMs)), outcome.Unknown, reason.OwnerUnreachable)
	c.hosts[0].signal(syscall.SIGCONT)
	answer := c.sendAfterPause(0, deposit(last, 0))
	expect(t, answer, outcome.Done, reason.None)
	c.checkRunCount(2, last, answer) // neither of the late requests ran
}

// awake sends through host i until the host has read its buffers and joined again after a
// pause; until then it refuses as paused or joining.
func (c *commandFleet) sendAfterPause(i int, request wire.Request) wire.Answer {
	for {
		answer := c.send(i, request)
		if answer.Reason != reason.HostPaused.String() && answer.Reason != reason.Joining.String() {
			return answer
		}
	}
}

// TestOwnerPausedRunning guards against a second run when the owner is paused past the
// deadline while its command runs and the request is sent again.
func TestOwnerPausedRunning(t *testing.T) {
	c := startCommandFleet(t, 3, false)
	key := c.newKey(0)
	first := c.startBlocked(0, deposit(key, shortDeadlineMs))
	c.hosts[0].signal(syscall.SIGSTOP)
	for _, i := range []int{1, 2} {
		expect(t, c.send(i, deposit(key, shortDeadlineMs)), outcome.Unknown, reason.OwnerUnreachable)
	}
	c.hosts[0].signal(syscall.SIGCONT)
	expect(t, <-first, outcome.Unknown, reason.TimedOut)
	c.clearTargetFaults()
	for i := range c.hosts {
		answer := c.sendAfterPause(i, deposit(key, 0))
		expect(t, answer, outcome.Unknown, reason.TimedOut)
		c.checkRunCount(1, key, answer)
	}
}

// TestTargetCut guards against a second run and an untrue end when the connection to the
// target is cut before, during and after the run.
func TestTargetConnectionCut(t *testing.T) {
	for name, test := range map[string]struct {
		flags []string
		set   faults
		runs  int
	}{
		"before": {nil, faults{blockUp: true}, 0},
		"during": {[]string{"--base=1h"}, faults{}, 1},
		"after":  {nil, faults{blockDown: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCommandFleet(t, 2, false, test.flags...)
			key := c.newKey(0)
			c.targetProxy.set(test.set)
			first := c.start(1, deposit(key, 0))
			c.waitRuns(test.runs)
			if name != "during" {
				c.targetProxy.waitBlocked()
			}
			c.targetProxy.closeConns()
			c.clearTargetFaults()
			expect(t, <-first, outcome.Unknown, reason.Crashed)
			for i := range c.hosts {
				expect(t, c.send(i, deposit(key, 0)), outcome.Unknown, reason.Crashed)
			}
			c.checkRunCount(test.runs, key)
		})
	}
}

// TestTargetUnreachable guards against a false unknown if the target refuses connections,
// and against a key that is used up by it.
func TestTargetUnreachable(t *testing.T) {
	c := startCommandFleet(t, 2, false)
	key := c.newKey(0)
	put(t, c.platform, standin.PathPublish, []byte(fmt.Sprintf(commandConfig, false)+
		targetSection("service", "services", startTarget(t))+targetSection("deposit", "deposits", loopback.FreeAddress())))
	answer := c.send(1, deposit(key, 0))
	for answer.Outcome == outcome.Done.String() { // until the configuration is in force
		key = c.newKey(0)
		answer = c.send(1, deposit(key, 0))
	}
	expect(t, answer, outcome.NotRun, reason.Crashed)
	c.checkKey(key, answer)
	put(t, c.platform, standin.PathPublish, []byte(fmt.Sprintf(commandConfig, false)+
		targetSection("service", "services", startTarget(t))+targetSection("deposit", "deposits", c.targetProxy.address())))
	for answer.Outcome == outcome.NotRun.String() { // until the configuration is in force
		answer = c.send(1, deposit(key, 0))
	}
	expect(t, answer, outcome.Done, reason.None)
	c.checkKey(key, answer)
}

// TestSilentConnection guards against a command on a connection that went silent while it
// was idle.
func TestSilentIdleConnection(t *testing.T) {
	is := is.New(t)
	c := startCommandFleet(t, 2, false)
	body, _ := json.Marshal(wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)})
	for _, h := range c.hosts { // leaves an idle connection to the deposit target
		response, err := http.Post("http://"+h.caller+wire.PathPipelines+"balance", wire.ContentTypeJSON, bytes.NewReader(body))
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_ = response.Body.Close()
	}
	c.targetProxy.set(faults{blockUp: true, blockDown: true, onlyExisting: true})
	for i := range c.hosts {
		key := c.newKey(i)
		answer := c.send(i, deposit(key, 5*shortDeadlineMs))
		expect(t, answer, outcome.Done, reason.None)
		c.checkKey(key, answer)
	}
}

// TestTargetSilent guards against a second run after a target that took the command went
// silent.
func TestUnresponsiveTarget(t *testing.T) {
	c := startCommandFleet(t, 2, false)
	key := c.newKey(0)
	expect(t, <-c.startBlocked(1, deposit(key, shortDeadlineMs)), outcome.Unknown, reason.TimedOut)
	c.clearTargetFaults()
	for i := range c.hosts {
		expect(t, c.send(i, deposit(key, 0)), outcome.Unknown, reason.TimedOut)
	}
	c.checkRunCount(1, key)
}

// TestOwnerPartitioned guards against a second owner while the owner is cut off from the
// other hosts, and against a key that stays unknown after the partition.
func TestOwnerPartitioned(t *testing.T) {
	for _, recognise := range []bool{false, true} {
		t.Run(fmt.Sprintf("recognise %t", recognise), func(t *testing.T) {
			c := startCommandFleet(t, 3, recognise)
			expect(t, c.send(1, deposit(c.newKey(0), 0)), outcome.Done, reason.None) // host 1 has an open connection
			key := c.newKey(0)
			c.blockAnswers()
			first := c.start(0, deposit(key, 0))
			c.waitRuns(2)
			c.partition(0)
			if recognise {
				c.clearTargetFaults()
			}
			for _, i := range []int{1, 2} {
				answer := c.send(i, deposit(key, 2*shortDeadlineMs))
				if recognise {
					expect(t, answer, outcome.Done, reason.None)
				} else {
					expect(t, answer, outcome.Unknown, reason.OwnerUnreachable)
				}
				c.checkRunCount(2, key, answer)
			}
			c.clearTargetFaults()
			expect(t, <-first, outcome.Done, reason.None)
			c.heal(0)
			c.peerProxies[0].closeConns()
			for i := range c.hosts {
				answer := c.send(i, deposit(key, 0))
				for answer.Reason == reason.OwnerUnreachable.String() { // until the hosts are connected again
					answer = c.send(i, deposit(key, 0))
				}
				expect(t, answer, outcome.Done, reason.None)
			}
			c.checkRunCount(2, key)
		})
	}
}

// TestCommandPlannedStop guards against a planned stop that cuts off a running command, begins a
// new one, or leaves a finished one without its answer.
func TestCommandGracefulStop(t *testing.T) {
	is := is.New(t)
	c := startCommandFleet(t, 3, false)
	done, running, unused := c.newKey(0), c.newKey(0), c.newKey(0)
	expect(t, c.send(2, deposit(done, 0)), outcome.Done, reason.None)
	c.blockAnswers()
	first := c.start(0, deposit(running, 0))
	c.waitRuns(2)
	c.hosts[0].signal(syscall.SIGTERM)
	c.hosts[0].waitLine(`"event":1404`)
	expect(t, c.send(1, deposit(unused, 0)), outcome.NotRun, reason.Draining)
	expect(t, c.send(0, deposit(unused, 0)), outcome.NotRun, reason.Draining)
	second := c.start(1, deposit(running, 0))
	c.clearTargetFaults()
	answer := <-first
	expect(t, answer, outcome.Done, reason.None)
	is.Equal(string((<-second).Output), string(answer.Output))
	<-c.hosts[0].ended
	for _, i := range []int{1, 2} {
		expect(t, c.send(i, deposit(done, 0)), outcome.Done, reason.None)
		again := c.send(i, deposit(running, 0))
		is.Equal(string(again.Output), string(answer.Output))
		expect(t, c.send(i, deposit(unused, 0)), outcome.Unknown, reason.OwnerUnreachable)
		mismatch := deposit(running, 0)
		mismatch.Input = json.RawMessage(`2`)
		expect(t, c.send(i, mismatch), outcome.NotRun, reason.BodyMismatch)
	}
	c.checkRunCount(2, running)
}

// TestCommandHalt guards against finished commands that are unknown because a second
// signal ended the planned stop while another command ran, or because the successor
// stopped as well.
func TestCommandForcedStop(t *testing.T) {
	c := startCommandFleet(t, 3, false)
	done, running := c.newKey(0), c.newKey(0)
	expect(t, c.send(1, deposit(done, 0)), outcome.Done, reason.None)
	c.blockAnswers()
	first := c.start(0, deposit(running, 0))
	c.waitRuns(2)
	c.forceStop(0)
	<-first
	c.clearTargetFaults()
	expect(t, c.send(2, deposit(done, 0)), outcome.Done, reason.None)
	expect(t, c.send(2, deposit(running, 0)), outcome.Unknown, reason.OwnerUnreachable)
	c.forceStop(1)
	expect(t, c.send(2, deposit(done, 0)), outcome.Done, reason.None)
	c.checkRunCount(2, running)
}

// halt begins the planned stop of host i and ends it at once.
func (c *commandFleet) forceStop(i int) {
	c.hosts[i].signal(syscall.SIGTERM)
	c.hosts[i].waitLine(`"event":1003`)
	c.hosts[i].signal(syscall.SIGTERM)
	<-c.hosts[i].ended
}
