package daemon

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"sassafrasward/io/callerapi"
	"sassafrasward/io/runner"
	"sassafrasward/io/wire"
)

// countingRunner counts the running requests of a callerapi.Runner.
type countingRunner struct {
	callerapi.Runner
	running atomic.Int64
}

// Run implements callerapi.Runner.
func (r *countingRunner) Run(ctx context.Context, request runner.Request) wire.Answer {
	r.running.Add(1)
	defer r.running.Add(-1)
	return r.Runner.Run(ctx, request)
}

func (r *countingRunner) count() int { return int(r.running.Load()) }

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
