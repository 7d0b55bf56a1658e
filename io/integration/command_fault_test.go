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

// shortDeadlineMs is the deadline of requests that are expected to exceed it.
const shortDeadlineMs = 1000

// blockAnswers lets the deposit target run commands but blocks its responses.
func (c *commandFleet) blockAnswers() { c.targetProxy.set(faults{blockDown: true}) }

func (c *commandFleet) clearTargetFaults() { c.targetProxy.set(faults{}) }

// partition isolates host i from the other hosts: bytes on open connections are blocked.
func (c *commandFleet) partition(i int) {
	c.peerProxies[i].set(faults{blockUp: true, blockDown: true})
}

func (c *commandFleet) heal(i int) { c.peerProxies[i].set(faults{}) }

// startBlocked starts a deposit through host i and returns once the target ran it and its
// response is blocked.
func (c *commandFleet) startBlocked(i int, request wire.Request) <-chan wire.Answer {
	c.blockAnswers()
	first := c.start(i, request)
	c.waitRuns(1)
	c.targetProxy.waitBlocked()
	return first
}

// checkRunCount checks that the target ran exactly n commands in all, and checks the key and
// its answers as checkKey does.
func (c *commandFleet) checkRunCount(n int, key string, answers ...wire.Answer) {
	c.t.Helper()
	c.checkKey(key, answers...)
	if got := len(runRecords(c.t, c.target)); got != n {
		c.t.Errorf("the target ran %d commands, want %d", got, n)
	}
}

// TestOwnerKilled guards against a second run or a wrong outcome when the owner is killed
// while its command runs and the request is resent through every other host.
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

// TestOwnerRestarted guards against a new incarnation of a host that treats a key of its
// previous incarnation as its own.
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

// TestOwnerPaused guards against a paused owner that resumes and runs a command after its
// deadline, because the request was in its socket buffers. One request comes from a caller and
// one from another host.
func TestOwnerPaused(t *testing.T) {
	is := is.New(t)
	c := startCommandFleet(t, 2, false)
	// Opens a connection from host 1 to host 0.
	expect(t, c.sendAfterPause(1, deposit(c.newKey(0), 0)), outcome.Done, reason.None)
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
	c.checkRunCount(2, last, answer) // the expired requests did not run
}

// sendAfterPause sends through host i until the host, or the owner of the key, has read its socket buffers
// and joined again after a pause; until then it refuses as paused or joining. A host that gets no
// processor time for a while was paused as well.
func (c *commandFleet) sendAfterPause(i int, request wire.Request) wire.Answer {
	for {
		answer := c.send(i, request)
		if answer.Reason != reason.HostPaused.String() && answer.Reason != reason.Joining.String() {
			return answer
		}
	}
}

// TestOwnerPausedRunning guards against a second run when the owner is paused past the
// deadline while its command runs and the request is resent.
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

// TestTargetConnectionCut guards against a second run or a wrong outcome when the connection
// to the target closes before, during or after the run.
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

// TestTargetUnreachable guards against the outcome unknown, and against a key that cannot be
// used again, when the target refuses connections and so cannot have run the command.
func TestTargetUnreachable(t *testing.T) {
	c := startCommandFleet(t, 2, false)
	key := c.newKey(0)
	put(t, c.platform, standin.PathPublish, []byte(fmt.Sprintf(commandConfig, false)+
		targetSection("service", "services", startTarget(t))+targetSection("deposit", "deposits", loopback.FreeAddress())))
	answer := c.send(1, deposit(key, 0))
	for answer.Outcome == outcome.Done.String() { // until the new configuration is active
		key = c.newKey(0)
		answer = c.send(1, deposit(key, 0))
	}
	expect(t, answer, outcome.NotRun, reason.Crashed)
	c.checkKey(key, answer)
	put(t, c.platform, standin.PathPublish, []byte(fmt.Sprintf(commandConfig, false)+
		targetSection("service", "services", startTarget(t))+targetSection("deposit", "deposits", c.targetProxy.address())))
	for answer.Outcome == outcome.NotRun.String() { // until the new configuration is active
		answer = c.send(1, deposit(key, 0))
	}
	expect(t, answer, outcome.Done, reason.None)
	c.checkKey(key, answer)
}

// TestSilentIdleConnection guards against a command that is sent on a kept-alive connection
// that stopped passing bytes while it was idle.
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

// TestUnresponsiveTarget guards against a second run after a target received the command and
// stopped responding.
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

// TestOwnerPartitioned guards against a second run by another host while the owner is
// partitioned from the others, and against a key whose outcome stays unknown after the
// partition.
func TestOwnerPartitioned(t *testing.T) {
	for _, recognise := range []bool{false, true} {
		t.Run(fmt.Sprintf("recognise %t", recognise), func(t *testing.T) {
			c := startCommandFleet(t, 3, recognise)
			expect(t, c.send(1, deposit(c.newKey(0), 0)), outcome.Done, reason.None) // opens a connection from host 1 to host 0
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

// TestCommandGracefulStop guards against a graceful stop that interrupts a running command,
// begins a new one, or loses the answer of a finished one.
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

// TestCommandForcedStop guards against finished commands whose outcome becomes unknown because
// a second signal forced the stop while another command ran, or because the successor stopped
// as well.
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

// forceStop begins the graceful stop of host i and forces its end with a second signal.
func (c *commandFleet) forceStop(i int) {
	c.hosts[i].signal(syscall.SIGTERM)
	c.hosts[i].waitLine(`"event":1003`)
	c.hosts[i].signal(syscall.SIGTERM)
	<-c.hosts[i].ended
}
