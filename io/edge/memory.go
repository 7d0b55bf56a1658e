package edge

import (
	"context"
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// callerFraction and responseFraction are the fractions of the memory limit that the connections of
	// callers with their requests, and whole responses, may hold at a time.
	callerFraction   = 0.4
	responseFraction = 0.1
	// smallResponse is the size in bytes up to which responses don't count.
	smallResponse = 64 << 10
	// responseGrowth is the factor by which the part of the memory for a response grows.
	responseGrowth = 4
)

// memory divides the memory limit of the process among responses.
type memory struct {
	// responses has one unit for each byte; nil without a limit.
	responses *semaphore.Weighted
}

// newMemory returns the memory of a process with the limit in bytes; zero for none.
func newMemory(limit int64) (m memory) {
	if limit > 0 {
		m.responses = semaphore.NewWeighted(int64(responseFraction * float64(limit)))
	}
	return m
}

// readWhole reads a response to its end, at most maxBuffered bytes. Large ones wait for memory, which
// the function release gives back.
func (m memory) readWhole(ctx context.Context, r io.Reader) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() {
		if reserved > 0 {
			m.responses.Release(reserved)
		}
	}
	for limit := smallResponse; ; limit *= responseGrowth {
		limit = min(limit, maxBuffered)
		more, err := io.ReadAll(io.LimitReader(r, int64(limit-len(body))))
		if body = append(body, more...); err != nil || len(body) < limit || limit == maxBuffered {
			return body, release, err
		}
		if m.responses == nil {
			continue
		}
		next := int64(min(limit*responseGrowth, maxBuffered) - limit)
		if err := m.responses.Acquire(ctx, next); err != nil {
			return body, release, err
		}
		reserved += next
	}
}
