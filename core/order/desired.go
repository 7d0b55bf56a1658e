package order

import (
	"slices"

	"sassafrasward/core/config"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=SyncState -linecomment

// Desired is the order that an engine should have.
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

// Models returns the models that the engine should hold.
func (d Desired) Models() []string { return d.models }

// Role returns the role that the engine should have.
func (d Desired) Role() string { return d.role }

// Derive returns the desired orders of the engines of all pools that name models, sorted by the
// names of the engines.
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

// Report is the state that an engine reports.
type Report struct {
	fence  uint64
	models []string
	role   string
}

// NewReport returns the report of an engine.
func NewReport(fence uint64, models []string, role string) Report {
	return Report{fence: fence, models: models, role: role}
}

// Fence returns the fencing token of the last order that the engine accepted.
func (r Report) Fence() uint64 { return r.fence }

// SyncState is the result of comparing a report with the desired order.
type SyncState int

// The sync states.
const (
	// Matched means that the engine has the desired order.
	Matched SyncState = iota // matched
	// Stale means that the engine holds the right models in the right role under an older
	// token. Sending the order causes no load, and the newer token lets an engine that checks
	// tokens refuse late orders.
	Stale // stale
	// Differs means that the models or the role are not the desired ones.
	Differs // differs
	// Ahead means that the engine accepted an order of a newer version than this host has.
	Ahead // ahead
)

// Compare compares the report of the engine with the desired order. The sequence of the models
// is not significant.
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
