package integration_test

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/wire"
)

// TestCrashSuspect guards against a request that crashes a target with each send, through one
// host after the other. Once the hosts have told each other of the crashes, none of them may
// run it again, while other requests are served.
func TestCrashSuspect(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	c := f.newRawCaller(time.Minute)
	bad := wire.Request{Workspace: "thun", Input: json.RawMessage(`"` + crashInput + `"`)}
	answer, err := c.send(context.Background(), c.hosts[0], "summary", bad)
	is.NoErr(err)
	is.Equal(answer.Outcome, outcome.Failed.String())
	for _, h := range f.hosts {
		h.waitLine(`"event":1701`)
	}
	f.restoreTargets()
	for range 2 {
		for i := range c.hosts {
			answer, err = c.send(context.Background(), c.hosts[i], "summary", bad)
			is.NoErr(err)
			is.Equal(answer.Reason, reason.CrashSuspect.String())
			is.Equal(answer.Outcome, outcome.NotRun.String())
		}
	}
	is.Equal(len(f.runRecords()), 2)
	for i := range c.hosts {
		good := wire.Request{Workspace: "thun", Input: json.RawMessage(`"good"`)}
		answer, err = c.send(context.Background(), c.hosts[i], "summary", good)
		is.NoErr(err)
		is.Equal(answer.Outcome, outcome.Done.String())
	}
}

// TestCrashPrefix guards against requests, no two alike, that crash target after target through one
// host after the other, because they share a prompt prefix that does so. The bound is that of the
// users: three more runs after the fifth crash.
func TestCrashPrefix(t *testing.T) {
	const maxRuns = 5 + 3
	is := is.New(t)
	f := newFleet(t, 3)
	c := f.newRawCaller(time.Minute)
	send := func(n int, input, prefix string) wire.Answer {
		request := wire.Request{Workspace: "thun", Input: json.RawMessage(strconv.Quote(input + strconv.Itoa(n))), Prefix: prefix}
		answer, err := c.send(context.Background(), c.hosts[n%len(c.hosts)], "summary", request)
		is.NoErr(err)
		return answer
	}
	is.Equal(send(0, "good", "sound").Outcome, outcome.Done.String())
	n, refused := 0, 0
	for ; n < 60 && refused < len(c.hosts); n++ {
		refused++
		if answer := send(n, crashInput, "bad"); answer.Reason != reason.CrashSuspect.String() || answer.Outcome != outcome.NotRun.String() {
			refused = 0 // it ran
		}
		f.restoreTargets()
		time.Sleep(300 * time.Millisecond) // other hosts learn of the crash
	}
	is.Equal(refused, len(c.hosts)) // by all hosts, one after the other
	runs := len(f.runRecords())
	t.Logf("%d requests, %d runs", n, runs)
	is.True(runs-1 <= maxRuns) // one sound
	for i := range c.hosts {
		is.Equal(send(i, "good", "sound").Outcome, outcome.Done.String())
	}
}

// TestBrokenConnections guards against a harmless request that all hosts refuse as a crash
// suspect because connections broke while it ran. The targets accept new connections, so the
// request is retried, and its completion clears the suspicion.
func TestBrokenConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	c := f.newRawCaller(time.Minute)
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`"popular"`), Size: 20}
	for i := range 3 {
		f.eachTargetProxy(func(p *proxy) { p.set(faults{closeNext: true}) })
		answer, err := c.send(context.Background(), c.hosts[0], "summary", request)
		is.NoErr(err)
		is.Equal(answer.Outcome, outcome.Done.String())
		is.True(answer.Stages[0].Attempts > 1) // a target of the pool closed the connection
		if i == 0 {
			is.Equal(answer.Stages[0].Attempts, 3) // both targets closed it
		}
	}
}
