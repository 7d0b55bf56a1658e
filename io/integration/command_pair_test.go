package integration_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"

	"sassafrasward/core/outcome"
	"sassafrasward/io/wire"
)

// pairFault is a fault that is injected while a command of host 0 runs.
type pairFault struct {
	name   string
	inject func(s *pairRun)
}

var pairFaults = []pairFault{
	{"owner killed", func(s *pairRun) { s.ownerEnds = true; s.fleet.hosts[0].kill() }},
	{"owner paused", func(s *pairRun) { s.fleet.hosts[0].signal(syscall.SIGSTOP) }},
	{"owner stops", func(s *pairRun) { s.ownerEnds = true; s.fleet.hosts[0].signal(syscall.SIGTERM) }},
	{"owner cut off", func(s *pairRun) { s.fleet.partition(0) }},
	{"forwarder killed", func(s *pairRun) { s.fleet.hosts[1].kill() }},
	{"target cut", func(s *pairRun) { s.fleet.targetProxy.closeConns() }},
	{"target silent", func(s *pairRun) { s.fleet.targetProxy.set(faults{blockUp: true, blockDown: true}) }},
	{"duplicates", func(s *pairRun) {
		for i := range 6 {
			s.pending = append(s.pending, s.fleet.start(i%3, deposit(s.key, shortDeadlineMs)))
		}
	}},
}

// pairCase is one combination of two faults, as indices of pairFaults, and the conditions of
// the run.
type pairCase struct {
	first, second int
	// beforeRun blocks the command before the target receives it; otherwise the response is
	// blocked after the run.
	beforeRun bool
	recognise bool
}

func (p pairCase) String() string {
	point := "after"
	if p.beforeRun {
		point = "before"
	}
	return fmt.Sprintf("%s and %s %s the run, recognise %t", pairFaults[p.first].name, pairFaults[p.second].name, point, p.recognise)
}

// pairRun is the state of a running pairCase.
type pairRun struct {
	fleet *commandFleet
	key   string
	// pending has the answers of the requests that are sent while the faults last.
	pending []<-chan wire.Answer
	// ownerEnds is true if a fault ends the process of the owner.
	ownerEnds bool
}

// pairCases returns the combinations to test: the first PAIR_COUNT (default 6) of all,
// shuffled with the seed PAIR_SEED (default 1).
func pairCases() (rows []pairCase) {
	for i := range pairFaults {
		for j := i; j < len(pairFaults); j++ {
			for n := range 4 {
				rows = append(rows, pairCase{first: i, second: j, beforeRun: n&1 == 0, recognise: n&2 == 0})
			}
		}
	}
	envInt := func(name string, fallback int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return fallback
	}
	random := rand.New(rand.NewPCG(uint64(envInt("PAIR_SEED", 1)), 0))
	random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	return rows[:min(envInt("PAIR_COUNT", 6), len(rows))]
}

// TestFaultPairs guards against two faults that together make a command run twice, run after a
// caller got the outcome not-run, or send its answer to another request.
func TestFaultPairs(t *testing.T) {
	for _, row := range pairCases() {
		t.Run(row.String(), func(t *testing.T) {
			t.Parallel()
			runPair(t, row)
		})
	}
}

func runPair(t *testing.T, row pairCase) {
	c := startCommandFleet(t, 3, row.recognise)
	for i := range c.hosts { // opens connections between the hosts
		c.send(i, deposit(c.newKey(0), 0))
	}
	s := &pairRun{fleet: c, key: c.newKey(0)}
	c.targetProxy.set(faults{blockUp: row.beforeRun, blockDown: !row.beforeRun})
	s.pending = append(s.pending, c.start(0, deposit(s.key, 2*shortDeadlineMs)), c.start(1, deposit(s.key, 2*shortDeadlineMs)))
	c.targetProxy.waitBlocked()
	pairFaults[row.first].inject(s)
	pairFaults[row.second].inject(s)
	for range 2 {
		s.resend(t, 2, shortDeadlineMs)
	}
	// Ends all faults; a killed host stays down.
	c.hosts[0].signal(syscall.SIGCONT)
	c.clearTargetFaults()
	c.heal(0)
	c.peerProxies[0].closeConns()
	for _, answer := range s.pending {
		s.check(t, <-answer, 0)
	}
	for i := range c.hosts {
		s.resend(t, i, 2*shortDeadlineMs)
	}
	if s.ownerEnds {
		<-c.hosts[0].ended
		s.resend(t, 2, 2*shortDeadlineMs)
	}
}

// keyRuns returns the request id of each run of the key.
func (s *pairRun) keyRuns() (requests []string) {
	for _, e := range runRecords(s.fleet.t, s.fleet.target) {
		if bytes.Contains(e.Input, []byte(s.key)) {
			requests = append(requests, e.Request)
		}
	}
	return requests
}

// resend sends the request through host i and checks its answer.
func (s *pairRun) resend(t *testing.T, i int, deadline int64) {
	t.Helper()
	before := len(s.keyRuns())
	s.check(t, s.fleet.send(i, deposit(s.key, deadline)), before)
}

// check compares an answer with the run records. An answer with the outcome not-run is wrong
// if the target ran that request, or if the key had run before the request was sent.
func (s *pairRun) check(t *testing.T, answer wire.Answer, before int) {
	t.Helper()
	requests := s.keyRuns()
	if len(requests) > 1 {
		t.Errorf("key %s ran %d times", s.key, len(requests))
	}
	switch answer.Outcome {
	case outcome.Done.String():
		if len(requests) != 1 || !bytes.Contains(answer.Output, []byte(s.key)) {
			t.Errorf("key %s with %d runs was answered %s", s.key, len(requests), answer.Output)
		}
	case outcome.NotRun.String():
		for _, request := range requests {
			if request == answer.Request || before > 0 {
				t.Errorf("request %s with %d earlier runs was answered %s %s", answer.Request, before, answer.Outcome, answer.Reason)
			}
		}
	case outcome.Failed.String():
		t.Errorf("key %s was answered as failed: %s %s", s.key, answer.Reason, answer.Detail)
	}
}
