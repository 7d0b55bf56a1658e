package replay

import (
	"sassafrasward/core/config"
	"sassafrasward/core/schedule"
)

// Variant is a policy to run a trace with: all mechanisms, none, or all but one.
type Variant struct {
	name   string
	doc    string
	policy func(config.Preset) schedule.Policy
	// plain makes targets run queued calls in the order of arrival instead of short ones
	// before long ones.
	plain bool
}

// Name returns the name of the variant.
func (v Variant) Name() string { return v.name }

// Doc describes the variant.
func (v Variant) Doc() string { return v.doc }

// Names of the two variants that others are compared with.
const (
	Full     = "full"
	Baseline = "baseline"
)

// Variants returns the registry of variants.
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
	{Full, "all mechanisms as the preset in force sets them", func(p config.Preset) schedule.Policy { return fromPreset(p) }, false},
	{Baseline, "round robin, first come first served, no admission control, unbounded retries", func(config.Preset) schedule.Policy { return schedule.Baseline() }, true},
	without("no-admit", "no admission control", schedule.WithAdmission(false)),
	without("no-fair", "first come first served instead of queueing by share", schedule.WithFairQueueing(false)),
	without("no-separate", "no bound on the slots of long work", schedule.WithLongWorkLimit(false, 100)),
	without("no-choice", "round robin instead of a choice by own view", schedule.WithLeastLoaded(false)),
	without("no-affinity", "no preference for targets that hold the prefix", schedule.WithPrefixAffinity(false)),
	without("no-adapt", "published slots instead of learned limits", schedule.WithAdaptiveLimits(false)),
	without("no-detect", "slow targets are not avoided", schedule.WithSlowDetection(false)),
	{"no-budget", "unbounded retries", func(p config.Preset) schedule.Policy {
		return fromPreset(p, schedule.WithBudgets(schedule.UnboundedRetries, p.HedgeBudget()))
	}, false},
	{"no-hedge", "no hedges", func(p config.Preset) schedule.Policy {
		return fromPreset(p, schedule.WithBudgets(p.RetryBudget(), 0))
	}, false},
	{"no-priority", "targets run queued calls in the order of arrival", func(p config.Preset) schedule.Policy { return fromPreset(p) }, true},
}

func without(name, doc string, option schedule.PolicyOption) Variant {
	return Variant{name, doc, func(p config.Preset) schedule.Policy { return fromPreset(p, option) }, false}
}

// fromPreset returns the knobs that the preset sets, as the daemon does, then applies the
// options.
func fromPreset(p config.Preset, options ...schedule.PolicyOption) schedule.Policy {
	return schedule.NewPolicy(append([]schedule.PolicyOption{
		schedule.WithAdmission(p.AdmissionControl()), schedule.WithLongWorkLimit(true, p.LongSlotShare()),
		schedule.WithPrefixAffinity(p.PrefixAffinity()), schedule.WithBudgets(p.RetryBudget(), p.HedgeBudget()),
		schedule.WithQueueBound(p.QueueLimit()),
	}, options...)...)
}
