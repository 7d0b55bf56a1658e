package order

import (
	"slices"

	"sassafrasward/core/config"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=SyncState -linecomment

// Desired is the order that one engine is to have.
type Desired struct {
	engine  string
	address string
	// fence is the fencing token: the number of the configuration version.
	fence  uint64
	models []string
	role   string
}

// Engine returns the name of the engine.
func (d Desired) Engine() string { return d.engine }

// Address returns the IP address and port of the engine.
func (d Desired) Address() string { return d.address }

// Fence returns the fencing token.
func (d Desired) Fence() uint64 { return d.fence }

// Models returns the models that the engine is to hold.
func (d Desired) Models() []string { return d.models }

// Role returns the role that the engine is to play.
func (d Desired) Role() string { return d.role }

// Derive returns the desired state of all engines of pools that name models, in the order
// of the engines' names.
func Derive(d *config.Document, number uint64) (list []Desired) {
	for _, t := range d.Targets() {
		pool, _ := d.Pool(t.Pool())
		if pool.Kind() != config.Engine || len(pool.Models()) == 0 {
			continue
		}
		list = append(list, Desired{engine: t.Name(), address: t.Address(), fence: number, models: pool.Models(), role: pool.Role()})
	}
	return list
}

// Report is what an engine says that it holds.
type Report struct {
	fence  uint64
	models []string
	role   string
}

// NewReport returns the report of an engine.
func NewReport(fence uint64, models []string, role string) Report {
	return Report{fence: fence, models: models, role: role}
}

// Fence returns the fencing token of the last order that the engine took.
func (r Report) Fence() uint64 { return r.fence }

// Verdict is the result of comparing a report with the desired state.
type SyncState int

// The verdicts.
const (
	// Matched means that nothing is to be done.
	Matched SyncState = iota // matched
	// Stale means that the engine holds the right models in the right role under an older
	// token. The order costs no load and lets an engine that checks tokens refuse late ones.
	Stale // stale
	// Differs means that models or role are not the desired ones.
	Differs // differs
	// Ahead means that the engine took an order of a newer version than this host has.
	Ahead // ahead
)

// Compare compares the report of the engine with the desired state. The order of models
// does not count.
func (d Desired) Compare(r Report) SyncState {
	switch {
	case r.fence > d.fence:
		return Ahead
	case r.role != d.role || !slices.Equal(sorted(r.models), sorted(d.models)):
		return Differs
	case r.fence < d.fence:
		return Stale
	default:
		return Matched
	}
}

func sorted(names []string) []string { return slices.Sorted(slices.Values(names)) }
