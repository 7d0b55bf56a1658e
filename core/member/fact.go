package member

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Liveness,Lifecycle -linecomment -output=fact_string.go

// Phase is what other hosts believe of a member. A later phase goes before an earlier one
// at the same counter.
type Liveness int

// The phases.
const (
	Alive     Liveness = iota // alive
	Suspected                 // suspected
	Dead                      // dead
)

// Stage is what a member says of itself.
type Lifecycle int

// The stages.
const (
	Joining  Lifecycle = iota // joining
	Serving                   // serving
	Draining                  // draining
)

// Lifetimes of facts. The removal of a fact is local; the lifetime travels with it, so
// that a copy of an old fact does not start a new life.
const (
	deadLife     = time.Hour
	clearedLife  = time.Hour // of a target that is live again
	leavingLife  = 24 * time.Hour
	crashLife    = 10 * time.Minute
	handoverLife = 24 * time.Hour // the lifetime of a command key
)

// Member is the fact that one process of a host exists. The incarnation identifies the
// process; two processes of one host are two members.
type Member struct {
	Incarnation uint64
	Name        string
	// Address is where callers are served, Peer where other hosts are served.
	Address string
	Peer    string
	Zone    string
	// Counter orders the phases and stages of the incarnation. Only the member itself
	// raises it.
	Counter   uint64
	Liveness  Liveness
	Lifecycle Lifecycle
	// Life is the rest of the lifetime; zero for a fact without end.
	TTL time.Duration
}

// Merge returns the fact that holds when both are known.
func (m Member) Merge(o Member) Member {
	c := cmp.Or(cmp.Compare(m.Counter, o.Counter), cmp.Compare(m.Liveness, o.Liveness), cmp.Compare(m.Lifecycle, o.Lifecycle))
	return pick(c, m, o, m.TTL, o.TTL)
}

func (m Member) key() uint64 { return m.Incarnation }

func (m Member) life() time.Duration {
	if m.Liveness == Dead {
		return deadLife
	}
	return 0
}

func (m Member) left() time.Duration                { return m.TTL }
func (m Member) withLeft(life time.Duration) Member { m.TTL = life; return m }

// sum is zero for dead members: hosts forget them at different times.
func (m Member) sum() uint64 {
	if m.Liveness == Dead {
		return 0
	}
	return hash("", m.Incarnation, m.Counter, uint64(m.Liveness), uint64(m.Lifecycle))
}

// Leaving is the fact that the machine at an address leaves, or is live again.
type Leaving struct {
	Address string
	// Version is the version of the host list that said so.
	Version uint64
	Leaves  bool
	TTL     time.Duration
}

// Merge returns the fact that holds when both are known.
func (l Leaving) Merge(o Leaving) Leaving {
	c := cmp.Or(cmp.Compare(l.Version, o.Version), compareBool(l.Leaves, o.Leaves))
	return pick(c, l, o, l.TTL, o.TTL)
}

func (l Leaving) key() string { return l.Address }

func (l Leaving) life() time.Duration {
	if l.Leaves {
		return leavingLife
	}
	return clearedLife
}

func (l Leaving) left() time.Duration                 { return l.TTL }
func (l Leaving) withLeft(life time.Duration) Leaving { l.TTL = life; return l }

func (l Leaving) sum() uint64 {
	if !l.Leaves {
		return 0
	}
	return hash(l.Address, l.Version)
}

// Crash is the fact that a host saw targets crash while they ran a request, and how much
// of it a later completed run of the request excused. Both numbers are weights of evidence,
// as core/suspect gives them.
type Crash struct {
	Fingerprint uint64
	// Observer is the incarnation of the host that saw the crashes; only it raises their
	// number. Any host may raise Cleared up to it.
	Observer uint64
	Crashes  uint64
	Cleared  uint64
	TTL      time.Duration
}

// Merge returns the fact that holds when both are known. Both numbers only grow.
func (c Crash) Merge(o Crash) Crash {
	c.Crashes, c.Cleared, c.TTL = max(c.Crashes, o.Crashes), max(c.Cleared, o.Cleared), max(c.TTL, o.TTL)
	return c
}

func (c Crash) key() string                       { return fmt.Sprintf("%016x%016x", c.Fingerprint, c.Observer) }
func (c Crash) life() time.Duration               { return crashLife }
func (c Crash) left() time.Duration               { return c.TTL }
func (c Crash) withLeft(life time.Duration) Crash { c.TTL = life; return c }
func (c Crash) sum() uint64                       { return hash("", c.Fingerprint, c.Observer, c.Crashes, c.Cleared) }

// Handover is the fact that a host passed the finished records of one incarnation on.
type Handover struct {
	// Owner is the incarnation that the records belonged to.
	Owner uint64
	// Successor is the incarnation, and Host the name, that answers from them.
	Successor uint64
	Host      string
	TTL       time.Duration
}

// Merge returns the fact that holds when both are known. An owner announces one
// successor; the order makes hosts agree should it announce two.
func (h Handover) Merge(o Handover) Handover {
	return pick(cmp.Or(cmp.Compare(h.Successor, o.Successor), cmp.Compare(h.Host, o.Host)), h, o, h.TTL, o.TTL)
}

func (h Handover) key() uint64                          { return h.Owner }
func (h Handover) life() time.Duration                  { return handoverLife }
func (h Handover) left() time.Duration                  { return h.TTL }
func (h Handover) withLeft(life time.Duration) Handover { h.TTL = life; return h }
func (h Handover) sum() uint64                          { return hash(h.Host, h.Owner, h.Successor) }

// Load is what a member last said of its load. It is not part of the digest, because it
// changes all the time and a lost one is replaced soon.
type Load struct {
	Incarnation uint64
	// Pulse orders the loads of the incarnation.
	Sequence uint64
	// Level is the quantised load, 0 to MaxLevel.
	Level uint32
	// Beat counts successful reads of the platform by a watcher.
	Heartbeat uint64
}

// Merge returns the fact that holds when both are known.
func (l Load) Merge(o Load) Load {
	return pick(cmp.Or(cmp.Compare(l.Sequence, o.Sequence), cmp.Compare(l.Heartbeat, o.Heartbeat), cmp.Compare(l.Level, o.Level)), l, o, 0, 0)
}

func (l Load) key() uint64                 { return l.Incarnation }
func (l Load) life() time.Duration         { return 0 }
func (l Load) left() time.Duration         { return 0 }
func (l Load) withLeft(time.Duration) Load { return l }
func (l Load) sum() uint64                 { return 0 }

// pick returns a if c is positive, b if it is negative, and the one with the shorter
// life if the facts are equal.
func pick[F any](c int, a, b F, lifeA, lifeB time.Duration) F {
	if c == 0 {
		c = cmp.Compare(lifeB, lifeA)
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

// hash is never zero for a fact that counts in the digest.
func hash(text string, numbers ...uint64) uint64 {
	raw := []byte(text)
	for _, n := range numbers {
		raw = binary.BigEndian.AppendUint64(raw, n)
	}
	return xxhash.Sum64(raw) | 1
}
