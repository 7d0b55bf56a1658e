package daemon

import (
	"slices"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/member"
	"sassafrasward/core/suspect"
	"sassafrasward/io/event"
	"sassafrasward/io/gossip"
)

// maxOutgoing is the number of crash records that may wait for the control goroutine. Further
// records are dropped and counted, because requests must not wait for it.
const maxOutgoing = 256

// suspectSync exchanges crash records between the pools of this host and other hosts.
type suspectSync struct {
	// origin is the incarnation of this process, which identifies it in crash records. Each
	// process counts under its own origin, so the counts of the previous process stay valid.
	origin string
	// outgoing holds the crash records of this host for other hosts.
	outgoing chan member.Crash
	dropped  metrics.Counter
	// lastCrashes holds the crash records of all hosts as last passed to the pools.
	lastCrashes []member.Crash
	// refused holds the refused fingerprints, which have been logged.
	refused map[uint64]bool
}

func newSuspectSync(incarnation uint64, dropped metrics.Counter) *suspectSync {
	return &suspectSync{
		origin: strconv.FormatUint(incarnation, 16), outgoing: make(chan member.Crash, maxOutgoing),
		dropped: dropped, refused: make(map[uint64]bool),
	}
}

// table returns a new table of crash suspects for one pool.
func (s *suspectSync) table() *suspect.Table {
	return suspect.New(s.origin, func(r suspect.CrashRecord) {
		crash, err := gossip.CrashFact(r)
		if err != nil {
			s.dropped.Inc(1)
			return
		}
		s.enqueue(crash)
	})
}

// parts returns a new table of the parts of prompts that crash targets, for one pool.
func (s *suspectSync) parts() *suspect.Parts {
	return suspect.NewParts(func(r suspect.PartRecord) { s.enqueue(gossip.PartFact(r)) })
}

// enqueue queues a crash record for other hosts. It is called with the mutex of a pool's scheduler
// held and must not block.
func (s *suspectSync) enqueue(crash member.Crash) {
	select {
	case s.outgoing <- crash:
	default:
		s.dropped.Inc(1)
	}
}

// reportCrash shares a crash record of this host with all other hosts.
func (c *control) reportCrash(crash member.Crash) {
	c.members.ReportCrash(c.clock(), crash)
	c.node.Tick()
}

// mergeCrashes passes the crash records of all hosts to the pools if they have changed.
func (c *control) mergeCrashes() {
	crashes := c.node.Snapshot().Crashes()
	plain := slices.Clone(crashes)
	for i := range plain {
		plain[i].TTL = 0
	}
	if slices.Equal(plain, c.suspects.lastCrashes) {
		return
	}
	c.suspects.lastCrashes = plain
	netCrashes := make(map[uint64]uint64)
	for _, crash := range crashes {
		if crash.Part {
			c.pools.mergePart(crash.Age(), gossip.PartRecord(crash))
			continue
		}
		c.pools.mergeCrash(gossip.CrashRecord(crash))
		netCrashes[crash.Fingerprint] += crash.Crashes - min(crash.Cleared, crash.Crashes)
	}
	c.logRefused(netCrashes)
}

// logRefused logs each fingerprint whose net crashes have reached the threshold at which all
// hosts refuse it.
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
