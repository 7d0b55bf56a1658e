package daemon

import (
	"slices"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"sassafrasward/core/member"
	"sassafrasward/core/suspect"
	"sassafrasward/io/event"
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
	outgoing chan suspect.CrashRecord
	dropped  metrics.Counter
	// lastCrashes holds the crash records of all hosts as last passed to the pools.
	lastCrashes []member.Crash
	// refused holds the refused fingerprints, which have been logged.
	refused map[uint64]bool
}

func newSuspectSync(incarnation uint64, dropped metrics.Counter) *suspectSync {
	return &suspectSync{
		origin: strconv.FormatUint(incarnation, 16), outgoing: make(chan suspect.CrashRecord, maxOutgoing),
		dropped: dropped, refused: make(map[uint64]bool),
	}
}

// table returns a new table of crash suspects for one pool.
func (s *suspectSync) table() *suspect.Table { return suspect.New(s.origin, s.enqueue) }

// enqueue queues a crash record for other hosts. It is called with the mutex of a pool's scheduler
// held and must not block.
func (s *suspectSync) enqueue(record suspect.CrashRecord) {
	select {
	case s.outgoing <- record:
	default:
		s.dropped.Inc(1)
	}
}

// reportCrash shares a crash record of this host with all other hosts.
func (c *control) reportCrash(record suspect.CrashRecord) {
	observer, err := strconv.ParseUint(record.Origin(), 16, 64)
	if err != nil {
		return
	}
	c.members.ReportCrash(c.clock(), member.Crash{
		Fingerprint: record.Fingerprint(), Observer: observer,
		Crashes: uint64(record.Evidence()), Cleared: uint64(record.Cleared()),
	})
	c.node.Tick()
}

// mergeCrashes passes the crash records of all hosts to the pools if they have changed.
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
