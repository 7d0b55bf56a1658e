package daemon

import (
	"sassafrasward/core/reason"
	"sassafrasward/io/wire"
)

// StateServing is the state of a host that takes requests; any other state is the word of
// the reason why it does not.
const StateServing = "serving"

// Status is what a host reports of itself.
type Status struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Version string `json:"version"`
	Preset  string `json:"preset"`
	// Hosts are the hosts that callers are told to use.
	Hosts []wire.Host `json:"hosts"`
	// Members are all entry hosts that this host knows.
	Members []Member `json:"members"`
	Pools   []Pool   `json:"pools"`
	// Counters holds metrics by name.
	Counters map[string]int64 `json:"counters"`
}

// Member is an entry host as another one knows it.
type Member struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// Pool is the state of one pool on one host.
type Pool struct {
	Pool string `json:"pool"`
	// Queued is the number of calls that wait on this host.
	Queued  int      `json:"queued"`
	Targets []Target `json:"targets"`
}

// Target is the state of one target as one host sees it.
type Target struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	// Inflight is the number of calls of this host that run on the target.
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
}

func (d *Daemon) status() any {
	v := d.views.Load()
	s := Status{
		Host: d.settings.Host(), Zone: d.settings.Zone(), State: StateServing,
		Hosts: v.Hosts(), Members: members(v.Members()), Pools: d.gates.report(), Counters: d.metrics.Values(),
	}
	if v.Refusal() != reason.None {
		s.State = v.Refusal().String()
	}
	if v.Document() != nil {
		s.Version = v.Version().String()
		s.Preset = v.Document().Preset().Name()
	}
	return s
}

// members returns the entry hosts of a host list.
func members(listed []wire.Listed) (list []Member) {
	for _, h := range listed {
		if h.Kind == wire.KindEntry {
			list = append(list, Member{Host: h.Host, Address: h.Address, Zone: h.Zone, State: h.State})
		}
	}
	return list
}
