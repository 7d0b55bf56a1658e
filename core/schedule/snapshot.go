package schedule

// TargetState is what a scheduler knows of one target.
type TargetSnapshot struct {
	target   Target
	inflight int
}

// Target returns the target.
func (t TargetSnapshot) Target() Target { return t.target }

// Inflight returns the number of calls of this host that run on the target.
func (t TargetSnapshot) Inflight() int { return t.inflight }

// Snapshot is the state of a scheduler at one time, for reports.
type Snapshot struct {
	queued  int
	targets []TargetSnapshot
}

// Queued returns the number of queued calls.
func (s Snapshot) Queued() int { return s.queued }

// Targets returns the targets in the order of their names.
func (s Snapshot) Targets() []TargetSnapshot { return s.targets }

// Snapshot returns the present state.
func (s *Scheduler) Snapshot() Snapshot {
	snapshot := Snapshot{queued: s.QueueLen()}
	for name, st := range s.targets.All() {
		snapshot.targets = append(snapshot.targets, TargetSnapshot{target: st.target, inflight: s.Inflight(name)})
	}
	return snapshot
}

// Zone returns the availability zone of the target.
func (t Target) Zone() string { return t.zone }

// Slots returns how many calls the target is published to run at the same time.
func (t Target) Slots() int { return t.slots }

// Leaving reports whether the target gets no new work.
func (t Target) Leaving() bool { return t.leaving }
