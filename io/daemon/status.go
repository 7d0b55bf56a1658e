package daemon

import (
	"fmt"

	"sassafrasward/core/member"
	"sassafrasward/core/reason"
	"sassafrasward/io/gossip"
	"sassafrasward/io/wire"
)

// StateServing is the state of a host that takes requests; any other state is the word of
// the reason why it does not.
const StateServing = "serving"

// Status is what a host reports of itself.
type Status struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Version     string `json:"version"`
	Preset      string `json:"preset"`
	// Watching reports whether this host watches the platform for others.
	Watching bool `json:"watching"`
	// Hosts are the hosts that callers are told to use.
	Hosts []wire.Host `json:"hosts"`
	// Members are the processes of all entry hosts that this host knows, dead ones
	// included.
	Members []Member `json:"members"`
	// Leaving are the addresses of leaving machines.
	Leaving []string `json:"leaving,omitempty"`
	Pools   []Pool   `json:"pools"`
	// Counters holds metrics by name.
	Counters map[string]int64 `json:"counters"`
}

// Member is the process of an entry host as another one knows it.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Peer        string `json:"peer"`
	Zone        string `json:"zone"`
	// State is joining, serving or draining; suspected or dead go before these.
	State string `json:"state"`
	// Level is the load as the binary logarithm of the number of running requests.
	Level uint32 `json:"level"`
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
	d.metrics.Gauge("process.cpu.micros").Update(cpuTime().Microseconds())
	known := d.node.Snapshot()
	s := Status{
		Host: d.settings.Host(), Incarnation: incarnation(d.incarnation), Zone: d.settings.Zone(), State: StateServing,
		Watching: d.control.watching.Load(), Members: members(known), Leaving: known.LeavingAddresses(),
		Pools: d.gates.report(), Counters: d.metrics.Values(),
	}
	for _, h := range v.Hosts() {
		s.Hosts = append(s.Hosts, wire.Host{Host: h.Host, Address: h.Address, Zone: h.Zone})
	}
	if v.Refusal() != reason.None {
		s.State = v.Refusal().String()
	}
	if v.Document() != nil {
		s.Version = v.Version().String()
		s.Preset = v.Document().ActivePreset().Name()
	}
	return s
}

// members returns all members by incarnation.
func members(known *gossip.Snapshot) (list []Member) {
	for _, m := range known.Members() {
		one := Member{
			Host: m.Name, Incarnation: incarnation(m.Incarnation), Address: m.Address, Peer: m.Peer, Zone: m.Zone,
			State: m.Lifecycle.String(), Level: m.LoadLevel,
		}
		if m.Liveness != member.Alive {
			one.State = m.Liveness.String()
		}
		list = append(list, one)
	}
	return list
}

func incarnation(i uint64) string { return fmt.Sprintf("%016x", i) }
