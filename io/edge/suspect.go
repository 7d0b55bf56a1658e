package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/member"
	"sassafrasward/core/suspect"
	"sassafrasward/io/event"
	"sassafrasward/io/transport"
)

// probeTime bounds the look whether a target that broke off is still there.
const probeTime = 600 * time.Millisecond

// suspects finds requests that crash the targets that run them, with what other hosts saw.
// It is safe for concurrent use.
type suspects struct {
	clock func() time.Duration

	mutex sync.Mutex
	table *suspect.Table
	// told has facts of this host for others; beyond its bound they are dropped and counted.
	told    chan suspect.CrashRecord
	dropped metrics.Counter
}

func newSuspects(clock func() time.Duration, incarnation uint64, dropped metrics.Counter) *suspects {
	s := &suspects{clock: clock, told: make(chan suspect.CrashRecord, postBound), dropped: dropped}
	s.table = suspect.New(strconv.FormatUint(incarnation, 16), func(f suspect.CrashRecord) {
		select {
		case s.told <- f:
		default:
			s.dropped.Inc(1)
		}
	})
	return s
}

// refused reports whether the request is not to run again.
func (s *suspects) refused(fingerprint uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Level(s.clock(), fingerprint) == suspect.Refused
}

// complete takes that a target answered the request.
func (s *suspects) complete(fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordCompletion(s.clock(), fingerprint)
}

// broke takes that a target broke off while it ran the request, and looks whether the
// target went down.
func (s *suspects) broke(ctx context.Context, fingerprint uint64, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	conn, err := transport.Dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.table.RecordCrash(s.clock(), fingerprint)
	} else {
		s.table.RecordDisconnect(s.clock(), fingerprint)
	}
}

// learn takes what all hosts saw.
func (s *suspects) learn(crashes []member.Crash) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range crashes {
		s.table.Merge(s.clock(), suspect.NewCrashRecord(c.Fingerprint, strconv.FormatUint(c.Observer, 16), int(c.Crashes), int(c.Cleared)))
	}
}

// tellSuspect passes a fact of this host on to all others.
func (c *control) tellSuspect(f suspect.CrashRecord) {
	observer, err := strconv.ParseUint(f.Origin(), 16, 64)
	if err != nil {
		event.Fail(c.log, event.SuspectRefused, err, "origin", f.Origin())
		return
	}
	c.members.ReportCrash(c.clock(), member.Crash{
		Fingerprint: f.Fingerprint(), Observer: observer, Crashes: uint64(f.Evidence()), Cleared: uint64(f.Cleared()),
	})
	c.node.Tick()
}

// fingerprint is equal for requests with the same caller, path and body.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.request.Key} {
		_, _ = d.WriteString(part + "\x00") // a hash takes all writes
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}
