package member

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Liveness,Lifecycle -linecomment -output=fact_string.go

// Liveness is what other hosts believe about a member. At the same counter, a later value
// takes precedence over an earlier one.
type Liveness int

// The liveness values.
const (
	Alive     Liveness = iota // alive
	Suspected                 // suspected
	Dead                      // dead
)

// Lifecycle is the state that a member announces for itself.
type Lifecycle int

// The lifecycle states.
const (
	Joining  Lifecycle = iota // joining
	Serving                   // serving
	Draining                  // draining
)

// Initial TTLs of facts. Each host removes expired facts on its own. The remaining TTL is sent
// with the fact, so that a copy of an old fact does not start over with the full TTL.
const (
	deadTTL     = time.Hour
	clearedTTL  = time.Hour // of an address that is live again
	leavingTTL  = 24 * time.Hour
	crashTTL    = 10 * time.Minute
	reportTTL   = 2 * time.Minute
	handoverTTL = 24 * time.Hour // the default lifetime of a command key
)

// Member is the fact that one process of a host exists. The incarnation identifies the
// process; two processes of one host are two members.
type Member struct {
	Incarnation uint64
	Name        string
	// Address is the address for callers, Peer the address for other hosts.
	Address string
	Peer    string
	Zone    string
	// Counter orders the states of the incarnation. Only the member itself raises it.
	Counter   uint64
	Liveness  Liveness
	Lifecycle Lifecycle
	// TTL is the remaining time to live; zero for a fact that never expires.
	TTL time.Duration
}

// Merge returns the fact that takes precedence.
func (m Member) Merge(o Member) Member {
	c := cmp.Or(cmp.Compare(m.Counter, o.Counter), cmp.Compare(m.Liveness, o.Liveness), cmp.Compare(m.Lifecycle, o.Lifecycle))
	return later(c, m, o, m.TTL, o.TTL)
}

func (m Member) key() uint64 { return m.Incarnation }

func (m Member) initialTTL() time.Duration {
	if m.Liveness == Dead {
		return deadTTL
	}
	return 0
}

func (m Member) remainingTTL() time.Duration      { return m.TTL }
func (m Member) withTTL(ttl time.Duration) Member { m.TTL = ttl; return m }

// checksum is zero for dead members, because hosts remove them at different times.
func (m Member) checksum() uint64 {
	if m.Liveness == Dead {
		return 0
	}
	return hash("", m.Incarnation, m.Counter, uint64(m.Liveness), uint64(m.Lifecycle))
}

// Leaving is the fact that the machine at an address is leaving, or is live again.
type Leaving struct {
	Address string
	// Version is the version of the host list that the fact comes from.
	Version uint64
	Leaves  bool
	TTL     time.Duration
}

// Merge returns the fact that takes precedence.
func (l Leaving) Merge(o Leaving) Leaving {
	c := cmp.Or(cmp.Compare(l.Version, o.Version), compareBool(l.Leaves, o.Leaves))
	return later(c, l, o, l.TTL, o.TTL)
}

func (l Leaving) key() string { return l.Address }

func (l Leaving) initialTTL() time.Duration {
	if l.Leaves {
		return leavingTTL
	}
	return clearedTTL
}

func (l Leaving) remainingTTL() time.Duration       { return l.TTL }
func (l Leaving) withTTL(ttl time.Duration) Leaving { l.TTL = ttl; return l }

func (l Leaving) checksum() uint64 {
	if !l.Leaves {
		return 0
	}
	return hash(l.Address, l.Version)
}

// Crash is the evidence of one host that targets crashed while running a request, and how much
// of it was cleared by later completed runs of the same request. Both numbers are weights of
// evidence as defined by core/suspect.
type Crash struct {
	// Fingerprint identifies the request, or a part of the prompts of several requests.
	Fingerprint uint64
	// Observer is the incarnation of the host that saw the crashes. Only this host raises
	// Crashes; any host may raise Cleared up to Crashes. For a part of prompts, Observer identifies
	// the target that crashed, and any host may raise both.
	Observer uint64
	// Part is set for a part of prompts.
	Part    bool
	Crashes uint64
	Cleared uint64
	TTL     time.Duration
}

// Age returns how long ago the fact was published.
func (c Crash) Age() time.Duration {
	if c.TTL <= 0 {
		return 0
	}
	return max(crashTTL-c.TTL, 0)
}

// Merge returns the maximum of both numbers, which only grow.
func (c Crash) Merge(o Crash) Crash {
	c.Crashes, c.Cleared, c.TTL = max(c.Crashes, o.Crashes), max(c.Cleared, o.Cleared), max(c.TTL, o.TTL)
	return c
}

func (c Crash) key() string {
	key := fmt.Sprintf("%016x%016x", c.Fingerprint, c.Observer)
	if c.Part {
		key += "part"
	}
	return key
}

func (c Crash) initialTTL() time.Duration       { return crashTTL }
func (c Crash) remainingTTL() time.Duration     { return c.TTL }
func (c Crash) withTTL(ttl time.Duration) Crash { c.TTL = ttl; return c }
func (c Crash) checksum() uint64                { return hash("", c.Fingerprint, c.Observer, c.Crashes, c.Cleared) }

// Report is the fact that a target has stated that it leaves, how many requests a second it takes, or for how
// long it is cold.
type Report struct {
	// Target is the ID of the target, StartID the start of its process.
	Target  string
	StartID int64
	// Version orders the reports about the process. Any host may raise it.
	Version uint64
	// Leaving is set once any host was told that the target leaves.
	Leaving bool
	// Limited is set if the target has a limit, and Limit is in thousandths of requests per second.
	Limited bool
	Limit   uint64
	// Cold is the remaining cold time of the target when the fact was published; zero if it is not known.
	Cold time.Duration
	TTL  time.Duration
}

// Age returns how long ago the fact was published.
func (r Report) Age() time.Duration {
	if r.TTL <= 0 {
		return 0
	}
	return max(reportTTL-r.TTL, 0)
}

// Merge returns the fact that takes precedence: the newer one, otherwise the stricter one. A target that
// leaves stays leaving.
func (r Report) Merge(o Report) Report {
	c := cmp.Or(cmp.Compare(r.Version, o.Version), compareBool(r.Limited, o.Limited), cmp.Compare(o.Limit, r.Limit), cmp.Compare(r.Cold, o.Cold))
	merged := later(c, r, o, r.TTL, o.TTL)
	merged.Leaving = r.Leaving || o.Leaving
	return merged
}

func (r Report) key() string                      { return fmt.Sprintf("%s %x", r.Target, r.StartID) }
func (r Report) initialTTL() time.Duration        { return reportTTL }
func (r Report) remainingTTL() time.Duration      { return r.TTL }
func (r Report) withTTL(ttl time.Duration) Report { r.TTL = ttl; return r }

func (r Report) checksum() uint64 {
	flags := uint64(0)
	if r.Limited {
		flags |= 1
	}
	if r.Leaving {
		flags |= 2
	}
	if r.Cold == 0 {
		return hash(r.Target, uint64(r.StartID), r.Version, flags, r.Limit) // as hosts that don't know of cold times
	}
	return hash(r.Target, uint64(r.StartID), r.Version, flags, r.Limit, uint64(r.Cold.Milliseconds()))
}

// Handover is the fact that a stopping host passed the finished records of an incarnation to
// another host.
type Handover struct {
	// Owner is the incarnation that owned the records.
	Owner uint64
	// Successor is the incarnation and Host the name of the host that answers from the records.
	Successor uint64
	Host      string
	TTL       time.Duration
}

// Merge returns the fact that takes precedence. An owner announces one successor; if
// it should announce two, the order makes all hosts agree on one of them.
func (h Handover) Merge(o Handover) Handover {
	return later(cmp.Or(cmp.Compare(h.Successor, o.Successor), cmp.Compare(h.Host, o.Host)), h, o, h.TTL, o.TTL)
}

func (h Handover) key() uint64                        { return h.Owner }
func (h Handover) initialTTL() time.Duration          { return handoverTTL }
func (h Handover) remainingTTL() time.Duration        { return h.TTL }
func (h Handover) withTTL(ttl time.Duration) Handover { h.TTL = ttl; return h }
func (h Handover) checksum() uint64                   { return hash(h.Host, h.Owner, h.Successor) }

// Load is the last reported load of a member. It is not part of the digest, because it changes
// constantly and a lost report is soon replaced.
type Load struct {
	Incarnation uint64
	// Sequence orders the load reports of the incarnation.
	Sequence uint64
	// Level is the load level, 0 to MaxLoadLevel.
	Level uint32
	// Heartbeat counts the successful reads of the platform by a watcher.
	Heartbeat uint64
}

// Merge returns the fact that takes precedence.
func (l Load) Merge(o Load) Load {
	return later(cmp.Or(cmp.Compare(l.Sequence, o.Sequence), cmp.Compare(l.Heartbeat, o.Heartbeat), cmp.Compare(l.Level, o.Level)), l, o, 0, 0)
}

func (l Load) key() uint64                 { return l.Incarnation }
func (l Load) initialTTL() time.Duration   { return 0 }
func (l Load) remainingTTL() time.Duration { return 0 }
func (l Load) withTTL(time.Duration) Load  { return l }
func (l Load) checksum() uint64            { return 0 }

// later returns a if c is positive, b if it is negative, and the fact with the shorter TTL if
// both are equal.
func later[F any](c int, a, b F, ttlA, ttlB time.Duration) F {
	if c == 0 {
		c = cmp.Compare(ttlB, ttlA)
	}
	if c >= 0 {
		return a
	}
	return b
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// hash returns a hash that is never zero, since zero excludes a fact from the digest.
func hash(text string, numbers ...uint64) uint64 {
	raw := append(make([]byte, 0, 64), text...)
	for _, n := range numbers {
		raw = binary.BigEndian.AppendUint64(raw, n)
	}
	return xxhash.Sum64(raw) | 1
}
