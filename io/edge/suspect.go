package edge

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/member"
	"sassafrasward/core/suspect"
	"sassafrasward/io/event"
	"sassafrasward/io/transport"
)

// probeTimeout is the timeout of the connection attempt that checks whether a target which
// dropped a connection is still up.
const probeTimeout = 600 * time.Millisecond

// suspects detects requests that crash the targets that run them, from the observations of all
// hosts. It is safe for concurrent use.
type suspects struct {
	clock func() time.Duration

	mutex sync.Mutex
	table *suspect.Table
	// records has observations of this host to send to other hosts. If the channel is full, they
	// are dropped and counted.
	records chan suspect.CrashRecord
	dropped metrics.Counter
}

func newSuspects(clock func() time.Duration, incarnation uint64, dropped metrics.Counter) *suspects {
	s := &suspects{clock: clock, records: make(chan suspect.CrashRecord, queueLen), dropped: dropped}
	s.table = suspect.New(strconv.FormatUint(incarnation, 16), func(record suspect.CrashRecord) {
		select {
		case s.records <- record:
		default:
			s.dropped.Inc(1)
		}
	})
	return s
}

// refused reports whether requests with the fingerprint must not run again.
func (s *suspects) refused(fingerprint uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Level(s.clock(), fingerprint) == suspect.Refused
}

// recordCompletion records that a target completed the request.
func (s *suspects) recordCompletion(fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.RecordCompletion(s.clock(), fingerprint)
}

// recordDisconnect records that a target closed the connection while it ran the request: as a
// crash if the target no longer accepts connections, otherwise as a disconnect.
func (s *suspects) recordDisconnect(ctx context.Context, fingerprint uint64, address string) {
	err := probe(ctx, address)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.table.RecordCrash(s.clock(), fingerprint)
	} else {
		s.table.RecordDisconnect(s.clock(), fingerprint)
	}
}

// probe opens and closes a connection to a target.
func probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close() // nothing was sent
}

// refusesConnections reports whether the machine of a target refuses connections to it, so that the
// target has ended. An attempt without an answer doesn't show that.
func refusesConnections(ctx context.Context, address string) bool {
	return errors.Is(probe(ctx, address), syscall.ECONNREFUSED)
}

// merge adds the observations of all hosts.
func (s *suspects) merge(crashes []member.Crash) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range crashes {
		s.table.Merge(s.clock(), suspect.NewCrashRecord(c.Fingerprint, strconv.FormatUint(c.Observer, 16), int(c.Crashes), int(c.Cleared)))
	}
}

// gossipCrash sends an observation of this host to all other hosts.
func (c *control) gossipCrash(record suspect.CrashRecord) {
	observer, err := strconv.ParseUint(record.Origin(), 16, 64)
	if err != nil {
		event.LogError(c.log, event.SuspectRefused, err, "origin", record.Origin())
		return
	}
	c.members.ReportCrash(c.clock(), member.Crash{
		Fingerprint: record.Fingerprint(), Observer: observer, Crashes: uint64(record.Evidence()), Cleared: uint64(record.Cleared()),
	})
	c.node.Tick()
}

// computeFingerprint returns a hash that is equal for requests with the same method, host, URI,
// API key and body.
func (x *exchange) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.request.APIKey} {
		_, _ = d.WriteString(part + "\x00") // writes to a hash never fail
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}
