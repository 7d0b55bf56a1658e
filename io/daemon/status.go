package daemon

import "sassafrasward/io/wire"

// Status is what a host reports of itself.
type Status struct {
	Host    string      `json:"host"`
	Zone    string      `json:"zone"`
	State   string      `json:"state"`
	Version string      `json:"version"`
	Preset  string      `json:"preset"`
	Hosts   []wire.Host `json:"hosts"`
	// Counters holds metrics by name.
	Counters map[string]int64 `json:"counters"`
}

func (d *Daemon) status() any {
	v := d.views.Load()
	s := Status{
		Host: d.settings.Host(), Zone: d.settings.Zone(), State: v.Refusal().String(),
		Hosts: v.Hosts(), Counters: d.metrics.Values(),
	}
	if v.Document() != nil {
		s.Version = v.Version().String()
		s.Preset = v.Document().Preset().Name()
	}
	return s
}
