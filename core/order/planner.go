package order

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/core/config"
	"sassafrasward/core/sortedmap"
)

const (
	// controllersPerEngine is the number of hosts that send orders to one engine. The engine still
	// receives orders while two of them are down.
	controllersPerEngine = 3
	// maxSlotDelay is how long after its start a slot may still be used. A host that was paused
	// for longer waits for its next slot.
	maxSlotDelay = time.Second
)

// Planner holds the engines to which this host sends orders, with their time slots. It is not
// safe for concurrent use.
type Planner struct {
	self string
	// version is that of the configuration from which the assignments are derived, versionStart the
	// time at which this host first applied it.
	version      config.Version
	versionStart time.Duration
	// interval is the length of a slot, period the time after which slots recur.
	interval    time.Duration
	period      time.Duration
	assignments *sortedmap.Map[string, *assignment]
}

// assignment is one engine to which this host sends orders.
type assignment struct {
	desired Desired
	// offset is the start of the slot within each period.
	offset time.Duration
	// next is the start of the next slot as time since process start.
	next time.Duration
}

// NewPlanner returns the planner of the host self, without assignments.
func NewPlanner(self string) *Planner {
	return &Planner{self: self, assignments: sortedmap.New[string, *assignment]()}
}

// Configure derives the assignments from a configuration and the names of the live entry hosts.
// Slots are counted from the first call with the version.
func (p *Planner) Configure(now time.Duration, d *config.Document, v config.Version, hosts []string) {
	if v != p.version || p.interval == 0 {
		p.version, p.versionStart = v, now
	}
	all := Derive(d, v.Number())
	p.interval = time.Minute / time.Duration(d.ModelLoadsPerMinute())
	p.period = p.interval * time.Duration(controllersPerEngine*len(all))
	p.assignments = sortedmap.New[string, *assignment]()
	for rank, desired := range sortedByHash(all) {
		controller := slices.Index(Controllers(desired.engine, hosts), p.self)
		if controller < 0 {
			continue
		}
		a := &assignment{desired: desired, offset: p.interval * time.Duration(controller*len(all)+rank)}
		a.next = p.nextSlot(a, now)
		p.assignments.Put(desired.engine, a)
	}
}

// sortedByHash sorts engines by a hash of version and name, so that it is not always the same
// engines that come last after a change.
func sortedByHash(all []Desired) []Desired {
	list := slices.Clone(all)
	slices.SortFunc(list, func(a, b Desired) int {
		return cmp.Or(cmp.Compare(a.slotHash(), b.slotHash()), cmp.Compare(a.engine, b.engine))
	})
	return list
}

func (d Desired) slotHash() uint64 {
	return xxhash.Sum64String(strconv.FormatUint(d.fence, 10) + "\x00" + d.engine)
}

// Controllers returns the hosts that send orders to the engine, the first controller first. All
// hosts compute the same list from the same names, and a change of one host affects few engines.
func Controllers(engine string, hosts []string) []string {
	list := slices.Clone(hosts)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(engine, b), rendezvousWeight(engine, a)), cmp.Compare(a, b))
	})
	return list[:min(controllersPerEngine, len(list))]
}

func rendezvousWeight(engine, host string) uint64 { return xxhash.Sum64String(engine + "\x00" + host) }

// nextSlot returns the start of the first slot of the assignment at or after now.
func (p *Planner) nextSlot(a *assignment, now time.Duration) time.Duration {
	first := p.versionStart + a.offset
	if now <= first {
		return first
	}
	return first + (now-first+p.period-1)/p.period*p.period
}

// Due returns the orders of the engines whose slot started since the last call. The caller
// compares each with the report of the engine and sends it if needed. Missed slots are skipped.
func (p *Planner) Due(now time.Duration) (due []Desired) {
	for _, a := range p.assignments.All() {
		if now < a.next {
			continue
		}
		if now-a.next <= maxSlotDelay {
			due = append(due, a.desired)
		}
		a.next = p.nextSlot(a, now+1)
	}
	return due
}
