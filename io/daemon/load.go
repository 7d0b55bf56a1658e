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

// gauge counts the running requests of an executor.
type countingRunner struct {
	callerapi.JobRunner
	running atomic.Int64
}

// Run implements front.Executor.
func (g *countingRunner) Run(ctx context.Context, job runner.Job) wire.Answer {
	g.running.Add(1)
	defer g.running.Add(-1)
	return g.JobRunner.Run(ctx, job)
}

func (g *countingRunner) count() int { return int(g.running.Load()) }

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
