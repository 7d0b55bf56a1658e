package schedule

// Policy is the set of knobs that the preset in force sets. Each mechanism has a switch
// of its own, so that its effect can be measured alone.
type Policy struct {
	// admit refuses calls that are not expected to end in time.
	admit bool
	// fair queues by workspace share instead of first come, first served.
	fair bool
	// separate bounds the slots that long work holds while short work waits.
	separate bool
	// long is that bound in percent of the slots; 1 to 100.
	long int
	// choice picks targets by own view and random choices instead of round robin.
	choice bool
	// affinity prefers targets that hold the prompt prefix, with a bounded load.
	affinity bool
	// adapt learns the concurrency limit of each target from the load it reports.
	adapt bool
	// detect avoids targets that are slow by this host's own measurements.
	detect bool
	// retry and hedge are budgets in percent of the pool's work; retry -1 is unbounded.
	retry int
	hedge int
	// queue bounds the queued calls of each class, short and long.
	queue int
}

// PolicyOption sets a knob of a Policy.
type PolicyOption func(*Policy)

// Unbounded is the retry budget of a policy that never refuses a retry.
const UnboundedRetries = -1

// NewPolicy returns the policy with all mechanisms on, changed by the options.
func NewPolicy(options ...PolicyOption) Policy {
	p := Policy{
		admit: true, fair: true, separate: true, long: 50, choice: true, affinity: true,
		adapt: true, detect: true, retry: 10, hedge: 5, queue: defaultQueue,
	}
	for _, o := range options {
		o(&p)
	}
	return p
}

// Baseline returns the plain policy that others are measured against: round robin, first
// come first served, no admission control, unbounded retries.
func Baseline() Policy { return Policy{long: 100, retry: UnboundedRetries, queue: 1 << 30} }

// WithAdmit switches admission control.
func WithAdmission(on bool) PolicyOption { return func(p *Policy) { p.admit = on } }

// WithFair switches weighted fair queueing.
func WithFairQueueing(on bool) PolicyOption { return func(p *Policy) { p.fair = on } }

// WithSeparate switches the bound on long work and sets it in percent of the slots.
func WithLongWorkLimit(on bool, percent int) PolicyOption {
	return func(p *Policy) { p.separate, p.long = on, percent }
}

// WithChoice switches the choice of targets by own view.
func WithLeastLoaded(on bool) PolicyOption { return func(p *Policy) { p.choice = on } }

// WithAffinity switches the preference for targets that hold the prompt prefix.
func WithPrefixAffinity(on bool) PolicyOption { return func(p *Policy) { p.affinity = on } }

// WithAdapt switches adaptive concurrency limits.
func WithAdaptiveLimits(on bool) PolicyOption { return func(p *Policy) { p.adapt = on } }

// WithDetect switches the avoidance of slow targets.
func WithSlowDetection(on bool) PolicyOption { return func(p *Policy) { p.detect = on } }

// WithBudgets sets the retry and hedge budgets in percent of the pool's work.
func WithBudgets(retry, hedge int) PolicyOption {
	return func(p *Policy) { p.retry, p.hedge = retry, hedge }
}

// WithQueueBound bounds the queued calls of each class, short and long.
func WithQueueBound(calls int) PolicyOption { return func(p *Policy) { p.queue = calls } }
