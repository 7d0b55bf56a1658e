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
const short = 1000

// hold lets the deposit target run commands but keeps their answers back.
func (c *commands) hold() { c.deposits.set(faults{silenceDown: true}) }

func (c *commands) release() { c.deposits.set(faults{}) }

// partition cuts host i off from the other hosts; open connections go silent.
func (c *commands) partition(i int) {
	c.peers[i].set(faults{silenceUp: true, silenceDown: true})
}

func (c *commands) heal(i int) { c.peers[i].set(faults{}) }

// held starts a deposit through host i and returns once the target ran it and its answer
// is held back.
func (c *commands) held(i int, request wire.Request) <-chan wire.Answer {
	c.hold()
	first := c.start(i, request)
	c.ran(1)
	c.deposits.waitHeld()
	return first
}

// once checks that the target ran exactly n commands and the key at most once.
func (c *commands) once(n int, key string, answers ...wire.Answer) {
	c.t.Helper()
	c.judge(key, answers...)
	if got := len(ledger(c.t, c.target)); got != n {
		c.t.Errorf("the target ran %d commands, want %d", got, n)
	}
}

// TestOwnerKilled guards against a second run, or an untrue end, when the owner is killed
// while its command runs and the request is sent again through every other host.
func TestOwnerKilled(t *testing.T) {
	for _, recognise := range []bool{false, true} {
		t.Run(fmt.Sprintf("recognise %t", recognise), func(t *testing.T) {
			c := startCommands(t, 3, recognise)
			key := c.key(0)
			first := c.held(0, deposit(key, 0))
			c.hosts[0].kill()
			c.release()
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
				c.once(1, key, answer)
				foreign := deposit(key, 0)
				foreign.Workspace = "biel"
				expect(t, c.send(i, foreign), outcome.NotRun, reason.WrongWorkspace)
			}
			c.once(1, key)
		})
	}
}

// TestOwnerRestarted guards against a new incarnation that takes a key of the old one for
// its own.
func TestOwnerRestarted(t *testing.T) {
	c := startCommands(t, 2, false)
	used, unused := c.key(0), c.key(0)
	expect(t, c.send(1, deposit(used, 0)), outcome.Done, reason.None)
	c.hosts[0].kill()
	c.hosts[0].process = runHost(t, c.hosts[0], "a", c.platform)
	c.hosts[0].line(`"event":1002`)
	c.knows(0, 2)
	for i := range c.hosts {
		expect(t, c.send(i, deposit(used, 0)), outcome.Unknown, reason.OwnerUnreachable)
		expect(t, c.send(i, deposit(unused, 0)), outcome.Unknown, reason.OwnerUnreachable)
	}
	c.once(1, used)
}

// TestOwnerPaused guards against a command that a paused owner runs after its deadline,
// when it wakes with the request in its buffers: from a caller and from another host.
func TestOwnerPaused(t *testing.T) {
	is := is.New(t)
	c := startCommands(t, 2, false)
	expect(t, c.send(1, deposit(c.key(0), 0)), outcome.Done, reason.None) // opens the connection between the hosts
	direct, forwarded, last := c.key(0), c.key(0), c.key(0)
	c.hosts[0].signal(syscall.SIGSTOP)
	body, _ := json.Marshal(deposit(direct, short))
	impatient := &http.Client{Timeout: short * time.Millisecond}
	_, err := impatient.Post("http://"+c.hosts[0].caller+wire.PathPipelines+"deposit", wire.ContentTypeJSON, bytes.NewReader(body))
	is.True(err != nil)
	expect(t, c.send(1, deposit(forwarded, short)), outcome.Unknown, reason.OwnerUnreachable)
	c.hosts[0].signal(syscall.SIGCONT)
	answer := c.awake(0, deposit(last, 0))
	expect(t, answer, outcome.Done, reason.None)
	c.once(2, last, answer) // neither of the late requests ran
}

// awake sends through host i until the host has read its buffers and joined again after a
// pause; until then it refuses as paused or joining.
func (c *commands) awake(i int, request wire.Request) wire.Answer {
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
	c := startCommands(t, 3, false)
	key := c.key(0)
	first := c.held(0, deposit(key, short))
	c.hosts[0].signal(syscall.SIGSTOP)
	for _, i := range []int{1, 2} {
		expect(t, c.send(i, deposit(key, short)), outcome.Unknown, reason.OwnerUnreachable)
	}
	c.hosts[0].signal(syscall.SIGCONT)
	expect(t, <-first, outcome.Unknown, reason.TimedOut)
	c.release()
	for i := range c.hosts {
		answer := c.awake(i, deposit(key, 0))
		expect(t, answer, outcome.Unknown, reason.TimedOut)
		c.once(1, key, answer)
	}
}

// TestTargetCut guards against a second run and an untrue end when the connection to the
// target is cut before, during and after the run.
func TestTargetCut(t *testing.T) {
	for name, one := range map[string]struct {
		flags []string
		set   faults
		runs  int
	}{
		"before": {nil, faults{silenceUp: true}, 0},
		"during": {[]string{"--base=1h"}, faults{}, 1},
		"after":  {nil, faults{silenceDown: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCommands(t, 2, false, one.flags...)
			key := c.key(0)
			c.deposits.set(one.set)
			first := c.start(1, deposit(key, 0))
			c.ran(one.runs)
			if name != "during" {
				c.deposits.waitHeld()
			}
			c.deposits.cut()
			c.release()
			expect(t, <-first, outcome.Unknown, reason.Crashed)
			for i := range c.hosts {
				expect(t, c.send(i, deposit(key, 0)), outcome.Unknown, reason.Crashed)
			}
			c.once(one.runs, key)
		})
	}
}

// TestTargetUnreachable guards against a false unknown if the target refuses connections,
// and against a key that is used up by it.
func TestTargetUnreachable(t *testing.T) {
	c := startCommands(t, 2, false)
	key := c.key(0)
	put(t, c.platform, standin.PathPublish, []byte(fmt.Sprintf(commandDocument, false)+
		targetSection("service", "services", startTarget(t))+targetSection("deposit", "deposits", loopback.FreeAddress())))
	answer := c.send(1, deposit(key, 0))
	for answer.Outcome == outcome.Done.String() { // until the configuration is in force
		key = c.key(0)
		answer = c.send(1, deposit(key, 0))
	}
	expect(t, answer, outcome.NotRun, reason.Crashed)
	c.judge(key, answer)
	put(t, c.platform, standin.PathPublish, []byte(fmt.Sprintf(commandDocument, false)+
		targetSection("service", "services", startTarget(t))+targetSection("deposit", "deposits", c.deposits.address())))
	for answer.Outcome == outcome.NotRun.String() { // until the configuration is in force
		answer = c.send(1, deposit(key, 0))
	}
	expect(t, answer, outcome.Done, reason.None)
	c.judge(key, answer)
}

// TestSilentConnection guards against a command on a connection that went silent while it
// was idle.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	c := startCommands(t, 2, false)
	body, _ := json.Marshal(wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)})
	for _, h := range c.hosts { // leaves an idle connection to the deposit target
		response, err := http.Post("http://"+h.caller+wire.PathPipelines+"balance", wire.ContentTypeJSON, bytes.NewReader(body))
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_ = response.Body.Close()
	}
	c.deposits.set(faults{silenceUp: true, silenceDown: true, onlyOld: true})
	for i := range c.hosts {
		key := c.key(i)
		answer := c.send(i, deposit(key, 5*short))
		expect(t, answer, outcome.Done, reason.None)
		c.judge(key, answer)
	}
}

// TestTargetSilent guards against a second run after a target that took the command went
// silent.
func TestTargetSilent(t *testing.T) {
	c := startCommands(t, 2, false)
	key := c.key(0)
	expect(t, <-c.held(1, deposit(key, short)), outcome.Unknown, reason.TimedOut)
	c.release()
	for i := range c.hosts {
		expect(t, c.send(i, deposit(key, 0)), outcome.Unknown, reason.TimedOut)
	}
	c.once(1, key)
}

// TestOwnerPartitioned guards against a second owner while the owner is cut off from the
// other hosts, and against a key that stays unknown after the partition.
func TestOwnerPartitioned(t *testing.T) {
	for _, recognise := range []bool{false, true} {
		t.Run(fmt.Sprintf("recognise %t", recognise), func(t *testing.T) {
			c := startCommands(t, 3, recognise)
			expect(t, c.send(1, deposit(c.key(0), 0)), outcome.Done, reason.None) // host 1 has an open connection
			key := c.key(0)
			c.hold()
			first := c.start(0, deposit(key, 0))
			c.ran(2)
			c.partition(0)
			if recognise {
				c.release()
			}
			for _, i := range []int{1, 2} {
				answer := c.send(i, deposit(key, 2*short))
				if recognise {
					expect(t, answer, outcome.Done, reason.None)
				} else {
					expect(t, answer, outcome.Unknown, reason.OwnerUnreachable)
				}
				c.once(2, key, answer)
			}
			c.release()
			expect(t, <-first, outcome.Done, reason.None)
			c.heal(0)
			c.peers[0].cut()
			for i := range c.hosts {
				answer := c.send(i, deposit(key, 0))
				for answer.Reason == reason.OwnerUnreachable.String() { // until the hosts are connected again
					answer = c.send(i, deposit(key, 0))
				}
				expect(t, answer, outcome.Done, reason.None)
			}
			c.once(2, key)
		})
	}
}

// TestCommandPlannedStop guards against a planned stop that cuts off a running command, begins a
// new one, or leaves a finished one without its answer.
func TestCommandPlannedStop(t *testing.T) {
	is := is.New(t)
	c := startCommands(t, 3, false)
	done, running, unused := c.key(0), c.key(0), c.key(0)
	expect(t, c.send(2, deposit(done, 0)), outcome.Done, reason.None)
	c.hold()
	first := c.start(0, deposit(running, 0))
	c.ran(2)
	c.hosts[0].signal(syscall.SIGTERM)
	c.hosts[0].line(`"event":1404`)
	expect(t, c.send(1, deposit(unused, 0)), outcome.NotRun, reason.Draining)
	expect(t, c.send(0, deposit(unused, 0)), outcome.NotRun, reason.Draining)
	second := c.start(1, deposit(running, 0))
	c.release()
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
	c.once(2, running)
}

// TestCommandHalt guards against finished commands that are unknown because a second
// signal ended the planned stop while another command ran, or because the successor
// stopped as well.
func TestCommandHalt(t *testing.T) {
	c := startCommands(t, 3, false)
	done, running := c.key(0), c.key(0)
	expect(t, c.send(1, deposit(done, 0)), outcome.Done, reason.None)
	c.hold()
	first := c.start(0, deposit(running, 0))
	c.ran(2)
	c.halt(0)
	<-first
	c.release()
	expect(t, c.send(2, deposit(done, 0)), outcome.Done, reason.None)
	expect(t, c.send(2, deposit(running, 0)), outcome.Unknown, reason.OwnerUnreachable)
	c.halt(1)
	expect(t, c.send(2, deposit(done, 0)), outcome.Done, reason.None)
	c.once(2, running)
}

// halt begins the planned stop of host i and ends it at once.
func (c *commands) halt(i int) {
	c.hosts[i].signal(syscall.SIGTERM)
	c.hosts[i].line(`"event":1003`)
	c.hosts[i].signal(syscall.SIGTERM)
	<-c.hosts[i].ended
}
