package schedule

// Policy is the set of knobs that the active preset sets. Each mechanism has a switch of its
// own, so that its effect can be measured alone.
type Policy struct {
	// admission refuses calls that are predicted to miss their deadline.
	admission bool
	// fairQueueing queues by workspace share instead of first come, first served.
	fairQueueing bool
	// limitLongWork limits the slots that long work may occupy.
	limitLongWork bool
	// longPercent is that limit in percent of the slots; 1 to 100.
	longPercent int
	// leastLoaded picks the least loaded of random candidates instead of round robin, by the
	// load that this host knows of.
	leastLoaded bool
	// prefixAffinity prefers targets that have the prompt prefix cached, up to a bounded load.
	prefixAffinity bool
	// adaptiveLimits adjusts the concurrency limit of each target to the load it reports.
	adaptiveLimits bool
	// slowDetection avoids targets that are slow by this host's own measurements.
	slowDetection bool
	// retryPercent and hedgePercent are budgets in percent of the pool's work; a
	// retryPercent of -1 is unbounded.
	retryPercent int
	hedgePercent int
	// queueBound is the maximum number of queued calls of each class, short and long.
	queueBound int
}

// PolicyOption sets a knob of a Policy.
type PolicyOption func(*Policy)

// UnboundedRetries is the retry percentage of a policy that never refuses a retry.
const UnboundedRetries = -1

// NewPolicy returns the policy with all mechanisms on, changed by the options.
func NewPolicy(options ...PolicyOption) Policy {
	p := Policy{
		admission: true, fairQueueing: true, limitLongWork: true, longPercent: 50, leastLoaded: true, prefixAffinity: true,
		adaptiveLimits: true, slowDetection: true, retryPercent: 10, hedgePercent: 5, queueBound: defaultQueueBound,
	}
	for _, o := range options {
		o(&p)
	}
	return p
}

// Baseline returns the policy that others are compared with: round robin, first come first
// served, no admission control, unbounded retries.
func Baseline() Policy {
	return Policy{longPercent: 100, retryPercent: UnboundedRetries, queueBound: 1 << 30}
}

// WithAdmission turns admission control on or off.
func WithAdmission(on bool) PolicyOption { return func(p *Policy) { p.admission = on } }

// WithFairQueueing turns weighted fair queueing on or off.
func WithFairQueueing(on bool) PolicyOption { return func(p *Policy) { p.fairQueueing = on } }

// WithLongWorkLimit turns the limit on long work on or off, and sets it in percent of the
// slots.
func WithLongWorkLimit(on bool, percent int) PolicyOption {
	return func(p *Policy) { p.limitLongWork, p.longPercent = on, percent }
}

// WithLeastLoaded turns the choice of the least loaded target on or off; off is round robin.
func WithLeastLoaded(on bool) PolicyOption { return func(p *Policy) { p.leastLoaded = on } }

// WithPrefixAffinity turns the preference for targets that have the prompt prefix cached on
// or off.
func WithPrefixAffinity(on bool) PolicyOption { return func(p *Policy) { p.prefixAffinity = on } }

// WithAdaptiveLimits turns adaptive concurrency limits on or off.
func WithAdaptiveLimits(on bool) PolicyOption { return func(p *Policy) { p.adaptiveLimits = on } }

// WithSlowDetection turns the avoidance of slow targets on or off.
func WithSlowDetection(on bool) PolicyOption { return func(p *Policy) { p.slowDetection = on } }

// WithBudgets sets the retry and hedge budgets in percent of the pool's work.
func WithBudgets(retry, hedge int) PolicyOption {
	return func(p *Policy) { p.retryPercent, p.hedgePercent = retry, hedge }
}

// WithQueueBound sets the maximum number of queued calls of each class, short and long.
func WithQueueBound(calls int) PolicyOption { return func(p *Policy) { p.queueBound = calls } }
