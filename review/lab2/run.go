package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// errBroken is returned by a case that saw its rule broken.
var errBroken = errors.New("rule broken")

// run is one run of a case.
type run struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	// dir is a temporary folder.
	dir   string
	start time.Time

	mutex     sync.Mutex
	record    *os.File
	processes []*process
}

// runCase runs a case and returns the exit code.
func runCase(f func(r *run) error, path string) (code int) {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	ended := make(chan error, 1)
	go func() { ended <- f(r) }()
	select {
	case err = <-ended:
	case <-time.After(caseTimeout):
		err = errors.New("the case did not end in time")
	}
	r.stopAll()
	_ = os.RemoveAll(dir)
	switch {
	case err == nil:
		r.log("result: held")
	case errors.Is(err, errBroken):
		r.log("result: %v", err)
		code = exitBroken
	default:
		r.log("result: could not run: %v", err)
		code = exitCannotRun
	}
	_ = record.Close()
	return code
}

// log writes a line with the time since the start to the record and to the standard output.
func (r *run) log(format string, values ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

// stopAll kills all processes that the run started and waits for their ends.
func (r *run) stopAll() {
	r.mutex.Lock()
	processes := r.processes
	r.mutex.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
}

// taken has the ports that freeAddress has returned.
var taken sync.Map

// freeAddress returns a loopback address with a port that is free now, below those that the kernel gives to clients.
func freeAddress() string {
	const first, ports = 11_000, 20_000
	for {
		port := first + rand.IntN(ports)
		if _, known := taken.LoadOrStore(port, true); known {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return l.Addr().String()
	}
}
