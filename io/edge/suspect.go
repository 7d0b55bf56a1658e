package edge

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/discovery"
	"sassafrasward/core/member"
	"sassafrasward/core/suspect"
	"sassafrasward/io/event"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

// probeTimeout is the timeout of the connection attempt that checks whether a target which
// dropped a connection is still up.
const probeTimeout = 600 * time.Millisecond

// suspects detects requests that crash the targets that run them, from the observations of all
// hosts. It is safe for concurrent use.
type suspects struct {
	clock func() time.Duration
	log   logr.Logger

	mutex sync.Mutex
	table *suspect.Table
	// records has observations of this host to send to other hosts. If the channel is full, they
	// are dropped and counted.
	records chan suspect.CrashRecord
	dropped metrics.Counter
}

func newSuspects(clock func() time.Duration, log logr.Logger, incarnation uint64, dropped metrics.Counter) *suspects {
	s := &suspects{clock: clock, log: log, records: make(chan suspect.CrashRecord, queueLen), dropped: dropped}
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

// disconnect describes an attempt whose target closed the connection.
type disconnect struct {
	request     string
	fingerprint uint64
	// parts are the parts of the prompt that other requests may have as well.
	parts  []platform.PromptPart
	target discovery.Target
	// began is set if the headers of the answer had arrived, events is the number of events after
	// them.
	began  bool
	events int
}

// recordDisconnect records that a target closed the connection while it ran the request: as a
// crash if the target no longer accepts connections, otherwise as a disconnect.
func (s *suspects) recordDisconnect(ctx context.Context, d disconnect) {
	err := probe(ctx, d.target.Address)
	event.Log(s.log, event.CrashObserved, "request", d.request, "target", d.target.ID, "parts", partNames(d.parts),
		"began", d.began, "events", d.events, "accepts", err == nil, "error", errorText(err))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.table.RecordCrash(s.clock(), d.fingerprint)
	} else {
		s.table.RecordDisconnect(s.clock(), d.fingerprint)
	}
}

// maxLoggedParts is the maximum number of parts of a prompt in a log line.
const maxLoggedParts = 8

// partNames returns the names of the first parts for the log.
func partNames(parts []platform.PromptPart) string {
	var names []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		names = append(names, p.Name)
	}
	return strings.Join(names, ",")
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
