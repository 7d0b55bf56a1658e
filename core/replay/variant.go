package replay

import (
	"sassafrasward/core/config"
	"sassafrasward/core/schedule"
)

// Variant is a policy that a trace can be run with: all mechanisms, none, or all but one.
type Variant struct {
	name   string
	doc    string
	policy func(config.Preset) schedule.Policy
	// fifoTargets makes targets run queued calls in order of arrival instead of short work
	// before long work.
	fifoTargets bool
}

// Name returns the name of the variant.
func (v Variant) Name() string { return v.name }

// Doc returns a description of the variant.
func (v Variant) Doc() string { return v.doc }

// Names of the variants that serve as a basis for comparisons.
const (
	Full     = "full"
	Baseline = "baseline"
)

// Variants returns all variants.
func Variants() []Variant { return append([]Variant(nil), variants...) }

// FindVariant returns the variant with the given name.
func FindVariant(name string) (v Variant, ok bool) {
	for _, v := range variants {
		if v.name == name {
			return v, true
		}
	}
	return Variant{}, false
}

var variants = []Variant{
	{Full, "all mechanisms as the preset in force sets them", func(p config.Preset) schedule.Policy { return presetPolicy(p) }, false},
	{Baseline, "round robin, first come first served, no admission control, unbounded retries", func(config.Preset) schedule.Policy { return schedule.Baseline() }, true},
	withoutMechanism("no-admit", "no admission control", schedule.WithAdmission(false)),
	withoutMechanism("no-fair", "first come first served instead of queueing by share", schedule.WithFairQueueing(false)),
	withoutMechanism("no-separate", "no bound on the slots of long work", schedule.WithLongWorkLimit(false, 100)),
	withoutMechanism("no-choice", "round robin instead of a choice by own view", schedule.WithLeastLoaded(false)),
	withoutMechanism("no-affinity", "no preference for targets that hold the prefix", schedule.WithPrefixAffinity(false)),
	withoutMechanism("no-adapt", "published slots instead of learned limits", schedule.WithAdaptiveLimits(false)),
	withoutMechanism("no-detect", "slow targets are not avoided", schedule.WithSlowDetection(false)),
	{"no-budget", "unbounded retries", func(p config.Preset) schedule.Policy {
		return presetPolicy(p, schedule.WithBudgets(schedule.UnboundedRetries, p.HedgeBudget()))
	}, false},
	{"no-hedge", "no hedges", func(p config.Preset) schedule.Policy {
		return presetPolicy(p, schedule.WithBudgets(p.RetryBudget(), 0))
	}, false},
	{"no-priority", "targets run queued calls in the order of arrival", func(p config.Preset) schedule.Policy { return presetPolicy(p) }, true},
}

func withoutMechanism(name, doc string, option schedule.PolicyOption) Variant {
	return Variant{name, doc, func(p config.Preset) schedule.Policy { return presetPolicy(p, option) }, false}
}

// presetPolicy returns the policy of the preset, as in the daemon, changed by the options.
func presetPolicy(p config.Preset, options ...schedule.PolicyOption) schedule.Policy {
	return schedule.NewPolicy(append([]schedule.PolicyOption{
		schedule.WithAdmission(p.AdmissionControl()), schedule.WithLongWorkLimit(true, p.LongSlotPercent()),
		schedule.WithPrefixAffinity(p.PrefixAffinity()), schedule.WithBudgets(p.RetryBudget(), p.HedgeBudget()),
		schedule.WithQueueBound(p.QueueLimit()),
	}, options...)...)
}
