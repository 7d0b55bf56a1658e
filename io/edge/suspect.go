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
	"sassafrasward/io/gossip"
	"sassafrasward/io/metric"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

// probeTimeout is the timeout of the connection attempt that checks whether a target which
// dropped a connection is still up.
const probeTimeout = 600 * time.Millisecond

// maxSuspectParts is the number of parts of a prompt that are taken for a possible cause of a crash. It
// bounds what one request can add to the evidence that hosts keep and exchange.
const maxSuspectParts = 64

// maxOutgoing is the number of observations that may wait for the control goroutine.
const maxOutgoing = 1024

// suspects detects requests and parts of prompts that crash the targets that run them, from the
// observations of all hosts. It is safe for concurrent use.
type suspects struct {
	clock func() time.Duration
	log   logr.Logger
	// changed receives a value when there are observations to send to other hosts.
	changed chan struct{}
	dropped metrics.Counter
	// suspected is the number of parts of prompts that are or were suspected.
	suspected metrics.Gauge

	mutex sync.Mutex
	table *suspect.Table
	parts *suspect.Parts
	// outgoing has the observations of this host to send to other hosts. Those beyond maxOutgoing are
	// dropped and counted.
	outgoing []member.Crash
	// logged has the refused requests and parts that were logged.
	logged map[uint64]bool
}

func newSuspects(clock func() time.Duration, log logr.Logger, incarnation uint64, m *metric.Metrics) *suspects {
	s := &suspects{
		clock: clock, log: log, changed: make(chan struct{}, 1), logged: make(map[uint64]bool),
		dropped: m.Counter("suspect.dropped"), suspected: m.Gauge("suspect.parts"),
	}
	s.table = suspect.New(strconv.FormatUint(incarnation, 16), func(r suspect.CrashRecord) {
		crash, err := gossip.CrashFact(r)
		if err != nil {
			s.dropped.Inc(1)
			return
		}
		s.send(crash)
	})
	s.parts = suspect.NewParts(func(r suspect.PartRecord) { s.send(gossip.PartFact(r)) })
	return s
}

// send queues an observation for other hosts. The mutex is held.
func (s *suspects) send(c member.Crash) {
	if len(s.outgoing) >= maxOutgoing {
		s.dropped.Inc(1)
		return
	}
	s.outgoing = append(s.outgoing, c)
	select {
	case s.changed <- struct{}{}:
	default: // the control goroutine has yet to take the ones before
	}
}

// take returns the queued observations and empties the queue.
func (s *suspects) take() (outgoing []member.Crash) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outgoing, s.outgoing = s.outgoing, nil
	return outgoing
}

// refused reports whether a request must not run again: because of its fingerprint, or of a part of
// its prompt. The first refusal of each is logged.
func (s *suspects) refused(fingerprint uint64, prompt []platform.PromptPart) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	if s.table.Level(now, fingerprint) == suspect.Refused {
		s.logOnce(fingerprint, "fingerprint", strconv.FormatUint(fingerprint, 16))
		return true
	}
	part, refused := s.parts.Refused(now, partIDs(prompt))
	if refused {
		s.logOnce(part, "part", partName(prompt, part))
	}
	return refused
}

// maxLogged is the number of refused requests and parts that are remembered as logged.
const maxLogged = 1024

// logOnce logs that a request or part is refused, unless it was logged before.
func (s *suspects) logOnce(id uint64, pairs ...any) {
	if s.logged[id] {
		return
	}
	if len(s.logged) >= maxLogged {
		clear(s.logged)
	}
	s.logged[id] = true
	event.Log(s.log, event.SuspectRefused, pairs...)
}

// recordCompletion records that a target completed the request. A response to a prompt (prompted)
// clears the parts of the prompt as well.
func (s *suspects) recordCompletion(fingerprint uint64, prompt []platform.PromptPart, prompted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	s.table.RecordCompletion(now, fingerprint)
	if prompted {
		s.parts.RecordCompletion(now, partIDs(prompt))
	}
}

// disconnect describes an attempt whose target closed the connection.
type disconnect struct {
	request     string
	fingerprint uint64
	// prompt has the parts of the prompt that other requests may have as well.
	prompt   []platform.PromptPart
	target   discovery.Target
	progress suspect.Progress
	events   int
}

// recordDisconnect records that a target closed the connection while it ran the request: as a
// crash if the target no longer accepts connections, otherwise as a disconnect. Parts of prompts are
// suspected only if the target has certainly ended: many requests share them, and what breaks
// connections may break many. It reports whether the target has certainly ended.
func (s *suspects) recordDisconnect(ctx context.Context, d disconnect) (ended bool) {
	err := probe(ctx, d.target.Address)
	event.Log(s.log, event.CrashObserved, "request", d.request, "target", d.target.ID, "parts", partNames(d.prompt),
		"progress", d.progress.String(), "events", d.events, "accepts", err == nil, "error", errorText(err))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	if err != nil {
		s.table.RecordCrash(now, d.fingerprint)
	} else {
		s.table.RecordDisconnect(now, d.fingerprint)
	}
	if ended = refusesConnection(err); ended {
		s.parts.RecordCrash(now, crashID(d.target), d.progress, partIDs(d.prompt))
	}
	return ended
}

// crashID identifies the end of one process of a target. It is equal on all hosts.
func crashID(t discovery.Target) uint64 {
	return xxhash.Sum64String(t.ID + "\x00" + strconv.FormatInt(t.StartID, 16))
}

// partIDs returns the IDs of parts of a prompt.
func partIDs(parts []platform.PromptPart) []uint64 {
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// partName returns the name of the part with the ID.
func partName(parts []platform.PromptPart, id uint64) string {
	for _, p := range parts {
		if p.ID == id {
			return p.Name
		}
	}
	return ""
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
	_ = conn.Close() // nothing was sent
	return nil
}

// refusesConnection reports whether a probe with the error shows that the target has ended: its
// machine refuses the connection. A probe without an answer doesn't show that.
func refusesConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// merge adds the observations of all hosts.
func (s *suspects) merge(crashes []member.Crash) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	for _, c := range crashes {
		if c.Part {
			s.parts.Merge(now, c.Age(), gossip.PartRecord(c))
			continue
		}
		s.table.Merge(now, gossip.CrashRecord(c))
	}
	s.suspected.Update(int64(s.parts.Len()))
}

// gossipCrashes sends the observations of this host to all other hosts.
func (c *control) gossipCrashes() {
	for _, crash := range c.suspects.take() {
		c.members.ReportCrash(c.clock(), crash)
	}
	c.node.Tick()
}

// computeFingerprint returns a hash that is equal for requests with the same method, host, URI,
// API key and body.
func (x *exchange) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.request.APIKey} {
		_, _ = d.WriteString(part + "\x00") // writes to a hash never fail
	}
	for _, part := range x.body {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}
