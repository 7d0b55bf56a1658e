package daemon

import (
	"fmt"

	"sassafrasward/core/member"
	"sassafrasward/core/reason"
	"sassafrasward/io/gossip"
	"sassafrasward/io/wire"
)

// StateServing is the state of a host that takes requests. Any other state is the name of the
// reason why the host refuses them.
const StateServing = "serving"

// Status is the status report of a host.
type Status struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Version     string `json:"version"`
	Preset      string `json:"preset"`
	// Watching reports whether this host watches the platform for others.
	Watching bool `json:"watching"`
	// Hosts are the hosts that address answers can name.
	Hosts []wire.Host `json:"hosts"`
	// Members are the processes of all entry hosts that this host knows, including dead ones.
	Members []Member `json:"members"`
	// Leaving are the addresses of leaving machines.
	Leaving []string `json:"leaving,omitempty"`
	Pools   []Pool   `json:"pools"`
	// Counters holds metrics by name.
	Counters map[string]int64 `json:"counters"`
}

// Member is the process of an entry host as the reporting host knows it.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Peer        string `json:"peer"`
	Zone        string `json:"zone"`
	// State is suspected or dead, or else the lifecycle state joining, serving or draining.
	State string `json:"state"`
	// Level is the load level: the binary logarithm of the number of running requests.
	Level uint32 `json:"level"`
}

// Pool is the state of a pool as the reporting host sees it.
type Pool struct {
	Pool string `json:"pool"`
	// Queued is the number of calls that wait on this host.
	Queued  int      `json:"queued"`
	Targets []Target `json:"targets"`
}

// Target is the state of a target as the reporting host sees it.
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
	snapshot := d.node.Snapshot()
	s := Status{
		Host: d.settings.Host(), Incarnation: incarnation(d.incarnation), Zone: d.settings.Zone(), State: StateServing,
		Watching: d.control.watching.Load(), Members: members(snapshot), Leaving: snapshot.LeavingAddresses(),
		Pools: d.pools.report(), Counters: d.metrics.Values(),
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

// members returns all members of the snapshot, in order of incarnation.
func members(snapshot *gossip.Snapshot) (list []Member) {
	for _, m := range snapshot.Members() {
		entry := Member{
			Host: m.Name, Incarnation: incarnation(m.Incarnation), Address: m.Address, Peer: m.Peer, Zone: m.Zone,
			State: m.Lifecycle.String(), Level: m.LoadLevel,
		}
		if m.Liveness != member.Alive {
			entry.State = m.Liveness.String()
		}
		list = append(list, entry)
	}
	return list
}

func incarnation(i uint64) string { return fmt.Sprintf("%016x", i) }
