package daemon

import (
	"slices"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/member"
	"sassafrasward/core/suspect"
	"sassafrasward/io/event"
)

// toldBound is the number of facts about crash suspects that may wait for the control
// goroutine. Beyond it facts are dropped and counted: traffic must not wait.
const maxOutgoing = 256

// suspects passes facts about crash suspects between the pools of this host and other
// hosts.
type suspectSync struct {
	// origin is the incarnation of this process in facts. Counts start again with each
	// process, so that those of the last one stay true.
	origin string
	// told has facts of this host for others.
	outgoing chan suspect.CrashRecord
	dropped  metrics.Counter
	// known holds the facts of all hosts as last learned.
	lastCrashes []member.Crash
	// refused holds the fingerprints that were logged as refused.
	refused map[uint64]bool
}

func newSuspectSync(incarnation uint64, dropped metrics.Counter) *suspectSync {
	return &suspectSync{
		origin: strconv.FormatUint(incarnation, 16), outgoing: make(chan suspect.CrashRecord, maxOutgoing),
		dropped: dropped, refused: make(map[uint64]bool),
	}
}

// table returns the table of crash suspects of one pool.
func (s *suspectSync) table() *suspect.Table { return suspect.New(s.origin, s.enqueue) }

// tell queues a fact for other hosts. It is called by traffic under the mutex of a gate.
func (s *suspectSync) enqueue(f suspect.CrashRecord) {
	select {
	case s.outgoing <- f:
	default:
		s.dropped.Inc(1)
	}
}

// tellSuspect passes a fact of this host on to all others.
func (c *control) reportCrash(f suspect.CrashRecord) {
	observer, err := strconv.ParseUint(f.Origin(), 16, 64)
	if err != nil {
		return
	}
	c.members.ReportCrash(c.clock(), member.Crash{
		Fingerprint: f.Fingerprint(), Observer: observer,
		Crashes: uint64(f.Evidence()), Cleared: uint64(f.Cleared()),
	})
	c.node.Tick()
}

// learnSuspects gives the facts of all hosts to the pools if they have changed.
func (c *control) mergeCrashes() {
	crashes := slices.Clone(c.node.Snapshot().Crashes())
	for i := range crashes {
		crashes[i].TTL = 0
	}
	if slices.Equal(crashes, c.suspects.lastCrashes) {
		return
	}
	c.suspects.lastCrashes = crashes
	netCrashes := make(map[uint64]uint64)
	for _, crash := range crashes {
		c.pools.mergeCrash(suspect.NewCrashRecord(crash.Fingerprint, strconv.FormatUint(crash.Observer, 16), int(crash.Crashes), int(crash.Cleared)))
		netCrashes[crash.Fingerprint] += crash.Crashes - min(crash.Cleared, crash.Crashes)
	}
	c.logRefused(netCrashes)
}

// noteRefused logs fingerprints from the crash on that makes all hosts refuse them.
func (c *control) logRefused(netCrashes map[uint64]uint64) {
	refused := make(map[uint64]bool)
	for fingerprint, crashes := range netCrashes {
		if crashes < suspect.RefuseThreshold {
			continue
		}
		refused[fingerprint] = true
		if !c.suspects.refused[fingerprint] {
			event.Log(c.log, event.SuspectRefused, "fingerprint", strconv.FormatUint(fingerprint, 16), "evidence", crashes)
		}
	}
	c.suspects.refused = refused
}
