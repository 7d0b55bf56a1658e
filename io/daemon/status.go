package daemon

import (
	"fmt"

	"sassafrasward/io/wire"
)

// Status is what a host reports of itself.
type Status struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Version     string `json:"version"`
	Preset      string `json:"preset"`
	// Hosts may be told to callers.
	Hosts []wire.Host `json:"hosts"`
	// Members are the processes of all hosts, dead ones included.
	Members []Member `json:"members"`
	// Leaving are the addresses of leaving machines.
	Leaving []string `json:"leaving,omitempty"`
	// Counters holds metrics by name.
	Counters map[string]int64 `json:"counters"`
}

// Member is the state of one process as this host believes.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Peer        string `json:"peer"`
	Zone        string `json:"zone"`
	Phase       string `json:"phase"`
	Stage       string `json:"stage"`
	Level       uint32 `json:"level"`
}

func (d *Daemon) status() any {
	v := d.views.Load()
	d.metrics.Gauge("process.cpu.micros").Update(cpuTime().Microseconds())
	s := Status{
		Host: d.settings.Host(), Incarnation: fmt.Sprintf("%016x", d.incarnation), Zone: d.settings.Zone(),
		State: v.Refusal().String(), Leaving: d.node.Snapshot().Leavings(), Counters: d.metrics.Values(),
	}
	for _, h := range v.Hosts() {
		s.Hosts = append(s.Hosts, wire.Host{Host: h.Host, Address: h.Address, Zone: h.Zone})
	}
	for _, m := range d.node.Snapshot().Members() {
		s.Members = append(s.Members, Member{
			Host: m.Name, Incarnation: fmt.Sprintf("%016x", m.Incarnation), Address: m.Address, Peer: m.Peer,
			Zone: m.Zone, Phase: m.Phase.String(), Stage: m.Stage.String(), Level: m.Level,
		})
	}
	if v.Document() != nil {
		s.Version = v.Version().String()
		s.Preset = v.Document().Preset().Name()
	}
	return s
}
