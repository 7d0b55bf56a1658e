package edge

import (
	"context"
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// bodyFraction and responseFraction are the fractions of the memory limit that the bodies of requests
	// and whole responses may hold at a time.
	bodyFraction     = 0.4
	responseFraction = 0.1
	// smallBody is the size in bytes up to which bodies of requests don't count, so that large ones don't
	// keep out small requests. smallResponse is that of responses.
	smallBody     = 16 << 10
	smallResponse = 64 << 10
	// responseGrowth is the factor by which the part of the memory for a response grows.
	responseGrowth = 4
)

// memory divides the memory limit of the process among requests.
type memory struct {
	// bodies and responses have one unit for each byte; they are nil without a limit.
	bodies, responses *semaphore.Weighted
}

// newMemory returns the memory of a process with the limit in bytes; zero for none.
func newMemory(limit int64) (m memory) {
	if limit > 0 {
		m.bodies = semaphore.NewWeighted(int64(bodyFraction * float64(limit)))
		m.responses = semaphore.NewWeighted(int64(responseFraction * float64(limit)))
	}
	return m
}

// reserveBody reserves memory for the body of a request, and reports whether there is enough.
func (x *exchange) reserveBody(bytes int64) (ok bool) {
	if x.memory.bodies == nil || bytes <= smallBody {
		return true
	}
	if ok = x.memory.bodies.TryAcquire(bytes); ok {
		x.reserved = bytes
	}
	return ok
}

// dropBody releases the body of the request, which no attempt needs any more.
func (x *exchange) dropBody() {
	x.body = nil
	if x.reserved > 0 {
		x.memory.bodies.Release(x.reserved)
		x.reserved = 0
	}
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
