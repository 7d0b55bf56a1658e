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
	// controllers is the number of hosts that give orders to one engine, so that it still gets
	// them while two of the hosts are down.
	controllers = 3
	// lateness is how long after its start a slot is still used. A host that was paused for
	// longer waits for its next slot.
	lateness = time.Second
)

// Planner holds the engines to which this host gives orders, with their time slots. It is
// not safe for concurrent use.
type Planner struct {
	self string
	// version and start are of the configuration that the duties follow from.
	version config.Version
	start   time.Duration
	// interval is the time of one slot; period is the time after which slots return.
	interval time.Duration
	period   time.Duration
	duties   *sortedmap.Map[string, *duty]
}

// duty is one engine to which this host gives orders.
type duty struct {
	desired Desired
	// offset is the start of the slot within each period.
	offset time.Duration
	// next is the start of the next slot as time since process start.
	next time.Duration
}

// NewPlanner returns the planner of the host self, without duties.
func NewPlanner(self string) *Planner {
	return &Planner{self: self, duties: sortedmap.New[string, *duty]()}
}

// Configure derives the duties from a configuration and the names of the live entry hosts.
// Slots count from the first call with the version.
func (p *Planner) Configure(now time.Duration, d *config.Document, v config.Version, hosts []string) {
	if v != p.version || p.interval == 0 {
		p.version, p.start = v, now
	}
	all := Derive(d, v.Number())
	p.interval = time.Minute / time.Duration(d.ModelLoadsPerMinute())
	p.period = p.interval * time.Duration(controllers*len(all))
	p.duties = sortedmap.New[string, *duty]()
	for rank, desired := range ranked(all) {
		controller := slices.Index(Controllers(desired.engine, hosts), p.self)
		if controller < 0 {
			continue
		}
		one := &duty{desired: desired, offset: p.interval * time.Duration(controller*len(all)+rank)}
		one.next = p.after(one, now)
		p.duties.Put(desired.engine, one)
	}
}

// ranked sorts engines by a hash of version and name, so that the same engines are not
// last after each change.
func ranked(all []Desired) []Desired {
	list := slices.Clone(all)
	slices.SortFunc(list, func(a, b Desired) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.engine, b.engine))
	})
	return list
}

func (d Desired) rank() uint64 {
	return xxhash.Sum64String(strconv.FormatUint(d.fence, 10) + "\x00" + d.engine)
}

// Controllers returns the hosts that give orders to the engine, the first one first. Each host
// computes the same list from the same names, and a change of one host moves few engines.
func Controllers(engine string, hosts []string) []string {
	list := slices.Clone(hosts)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(engine, b), weight(engine, a)), cmp.Compare(a, b))
	})
	return list[:min(controllers, len(list))]
}

func weight(engine, host string) uint64 { return xxhash.Sum64String(engine + "\x00" + host) }

// after returns the start of the first slot of the duty at or after now.
func (p *Planner) after(d *duty, now time.Duration) time.Duration {
	first := p.start + d.offset
	if now <= first {
		return first
	}
	return first + (now-first+p.period-1)/p.period*p.period
}

// Due returns the engines whose slot has opened since the last call. Their report is to be
// compared and an order given if needed. Slots that were missed are left out.
func (p *Planner) Due(now time.Duration) (due []Desired) {
	for _, d := range p.duties.All() {
		if now < d.next {
			continue
		}
		if now-d.next <= lateness {
			due = append(due, d.desired)
		}
		d.next = p.after(d, now+1)
	}
	return due
}
