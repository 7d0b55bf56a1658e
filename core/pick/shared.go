package pick

import (
	"maps"
	"math"
	"slices"
	"time"

	"sassafrasward/core/capacity"
	"sassafrasward/core/discovery"
)

const (
	// countInterval is the time within which a host needs a sample of each target to choose by its own
	// measurements, which decay with sampleHalfLife. With fewer it uses shared estimates.
	countInterval = 10 * time.Second
	// manySamples is the number of requests per target within countInterval from which a host uses its
	// own measurements again. It is well above one, so that the mode doesn't change with each burst.
	manySamples = 2
	// minSharedHosts is the number of hosts from which shared estimates are used. The requests of fewer
	// hosts are samples enough for each of them.
	minSharedHosts = 24
	// maxWarmTargets is the number of targets that keep the shared parts of one prompt.
	maxWarmTargets = 8
	// maxFastShare bounds the share of a fast target, in mean shares, so that the busiest target stays
	// below 1.5 means with the requests that are placed by their prompts and the random differences.
	maxFastShare = 1.05
	// minFreeShare is the part of its share that a target gets in requests without a common prompt even
	// if demand takes all of it, so that its time is measured by more than one kind of request.
	minFreeShare = 0.2
	// slowExponent is how strongly the choice avoids targets by their present time: one that takes twice
	// as long gets a 16th.
	slowExponent = 4
	// probeShare and urgentProbeShare are the smallest part of its share that a slow target gets from
	// requests with time to spare and from others. With 2.8 requests a second per target it is probed
	// about every 12 s by all hosts together; its present slowdown decays faster.
	probeShare       = 0.03
	urgentProbeShare = 0.01
	// urgentSpare is the multiple of the expected time from which a request has time to spare.
	urgentSpare = 6.0
	// urgentTilt is how much more requests without time to spare go to lastingly fast targets than their
	// shares say, and patientTilt how much less the others do, as exponents of the time ratio.
	urgentTilt  = 0.4
	patientTilt = -0.2
	// tokensPerMs is the speed at which an engine reads a prompt, and eventOverhead the time to the first
	// event apart from that.
	tokensPerMs   = 38.0
	eventOverhead = 60.0 // ms
	// readAgainCost is what reading the shared parts costs callers, in times of reading them: the request
	// waits for it, and those that come next at the engine do.
	readAgainCost = 1.0
	// coldTimeRatio is how much longer a target is assumed to take that has just started and is slow.
	coldTimeRatio = 2.0
	// requestShare is the part of the work of a typical request that doesn't depend on its prompt.
	requestShare = 0.85
	// popularShare is the part of a mean target's load from which a prompt is popular, and minPromptCount the
	// count of requests below which a prompt is forgotten, after about three minutes.
	popularShare   = 0.5
	minPromptCount = 0.06
	// lateRatio is the multiple of the expected time after which a request without its first event shows that
	// its target is slow. If more than minLateRequests and half of all wait that long, they are no evidence.
	lateRatio       = 3.0
	minLateRequests = 4
	// minClassFactor is the factor for a target that is reserved for prompts of the other length class
	// while that class has as much load for its targets.
	minClassFactor = 1.0 / 16
	// classGain is how fast the factor rises with the difference between the classes: it is 1 once a target
	// of the request's class has a quarter more load than one of the other.
	classGain = 4
)

// SharedStats counts the choices by shared estimates.
type SharedStats struct {
	// Warm counts requests that were sent to their affinity target, and Overflow those sent to another of
	// the targets that keep the shared parts. Moved counts those sent elsewhere although they have
	// shared parts, and Free those without.
	Warm, Overflow, Moved, Free int64
}

// shared has the estimates of the targets that all hosts make together, and whether they are used.
type shared struct {
	table *capacity.Table
	hosts int
	// active is set while the estimates are used.
	active bool
	// requests is the number of requests in the interval that ends at intervalEnd; zero before the first.
	requests    int
	intervalEnd time.Duration
	// longLoad and shortLoad are the recent numbers of requests of the two length classes.
	longLoad, shortLoad float64
	stats               SharedStats
	// prompts has the recent number of requests of this host with the same shared parts, by their last one.
	prompts map[uint64]capacity.Decaying
	// waiting has the requests without a first event, by ID.
	waiting map[string]*waiting
}

// waiting is a request that has no first event yet.
type waiting struct {
	st       *targetState
	class    int
	since    time.Duration
	expected time.Duration
	// limit is the ratio of the time so far to the expected one from which it is evidence.
	limit float64
}

func newShared(salt uint64) shared {
	return shared{table: capacity.New(salt), waiting: make(map[string]*waiting), prompts: make(map[uint64]capacity.Decaying)}
}

// WithSalt sets a number that differs between hosts.
func WithSalt(salt uint64) Option { return func(c *Chooser) { c.shared.table = capacity.New(salt) } }

// SetHosts sets the number of live hosts.
func (c *Chooser) SetHosts(n int) { c.shared.hosts = n }

// Shared reports whether targets are chosen by shared estimates.
func (c *Chooser) Shared() bool { return c.shared.active && c.shared.hosts >= minSharedHosts }

// SharedStats returns the number of choices by shared estimates so far.
func (c *Chooser) SharedStats() SharedStats { return c.shared.stats }

// MergeFact takes in a fact of another host. It reports whether it is about a target of the pool.
func (c *Chooser) MergeFact(now time.Duration, f capacity.Fact) bool {
	return c.shared.table.Merge(now, f)
}

// TakeFacts returns the facts for other hosts; none while the estimates are not used. Some pools of the host
// together keep to the bound on facts.
func (c *Chooser) TakeFacts(now time.Duration, pools int) []capacity.Fact {
	if !c.Shared() {
		return nil
	}
	c.observeLate(now)
	return c.shared.table.TakeFacts(now, c.shared.hosts*max(pools, 1))
}

// countShared counts a request, and reports whether its target is chosen by shared estimates: there are
// many hosts, and in the last interval this one sent less than one request per target.
func (c *Chooser) countShared(now time.Duration, r Request) bool {
	s := &c.shared
	if s.hosts < minSharedHosts {
		s.active = false
		return false
	}
	if now >= s.intervalEnd {
		if s.intervalEnd > 0 {
			s.active = s.requests < c.targets.Len() || s.active && s.requests < manySamples*c.targets.Len()
			s.longLoad, s.shortLoad = s.longLoad/2, s.shortLoad/2
			s.forgetPrompts(now)
		}
		s.requests, s.intervalEnd = 0, now+countInterval
	}
	if len(r.Exclude) > 0 {
		return s.active // a repeat is no further demand
	}
	s.requests++
	s.table.Count(now, requestWork(r))
	if r.PromptTokens >= minLongPromptTokens {
		s.longLoad++
	} else {
		s.shortLoad++
	}
	return s.active
}

// requestWork returns the work of a request for its engine.
func requestWork(r Request) float64 { return requestShare + (1-requestShare)*r.Load }

// FirstEvent records the time to the first event of a request at a target as a ratio to the expected time,
// for the shared estimates. It is called at once, since a stream may go on for longer than the target is slow.
func (c *Chooser) FirstEvent(now time.Duration, target discovery.Target, r Request, slowdown float64) {
	st, ok := c.targets.Get(target.ID)
	if !ok || st.target.StartID != target.StartID || c.shared.hosts < minSharedHosts {
		return
	}
	w, ok := c.shared.waiting[r.ID]
	if !ok {
		w = &waiting{class: c.class(now, target.ID, r)}
	}
	delete(c.shared.waiting, r.ID)
	c.shared.table.Observe(now, st.process, w.class, slowdown)
}

// class returns the class of a request at a target, by which its time is compared with others.
func (c *Chooser) class(now time.Duration, target string, r Request) int {
	warm := slices.Contains(c.warmTargets(now, r, c.longPromptTargets(r)), target)
	return capacity.Class(r.PromptTokens, warm)
}

// await notes that a request waits for its first event from a time.
func (c *Chooser) await(since time.Duration, st *targetState, r Request) {
	if r.ID == "" || r.Expected <= 0 || c.shared.hosts < minSharedHosts {
		return
	}
	c.shared.waiting[r.ID] = &waiting{st: st, class: c.class(since, st.target.ID, r), since: since, expected: r.Expected, limit: lateRatio}
}

// observeLate records the requests whose first event is late, each again when its time has doubled. If most
// are late, this host or all targets are slow, which says nothing of one target.
func (c *Chooser) observeLate(now time.Duration) {
	late := 0
	for _, w := range c.shared.waiting {
		if w.ratio(now) >= lateRatio {
			late++
		}
	}
	if late > minLateRequests && 2*late > len(c.shared.waiting) {
		return
	}
	// In a fixed order, since several requests at one target move its estimate one after the other.
	for _, id := range slices.Sorted(maps.Keys(c.shared.waiting)) {
		w := c.shared.waiting[id]
		if ratio := w.ratio(now); ratio >= w.limit {
			w.limit = 2 * ratio
			c.shared.table.ObserveLate(now, w.st.process, w.class, ratio)
		}
	}
}

// ratio returns the time so far as a ratio to the expected time.
func (w *waiting) ratio(now time.Duration) float64 {
	return float64(now-w.since) / float64(w.expected)
}

// warmTargets returns the targets that keep the shared parts of a prompt, the affinity target first.
func (c *Chooser) warmTargets(now time.Duration, r Request, longTargets map[string]bool) (ids []string) {
	ids = c.affinityRanking(now, r, longTargets)
	return ids[:min(len(ids), maxWarmTargets)]
}

// option is a target for one request.
type option struct {
	st   *targetState
	wait time.Duration
	// time is the expected time relative to an average target, for the lasting and the present part.
	time float64
	// share is the part of the load that the target should get, in mean shares.
	share float64
	// weight is proportional to the probability by which a request without shared parts gets the target.
	weight float64
}

// chooseShared chooses the target of a request by shared estimates: one that keeps the shared parts of its
// prompt, unless these are in more demand than their share or too slow, otherwise one at random by weight.
func (c *Chooser) chooseShared(now time.Duration, r Request) (t discovery.Target, wait time.Duration, ok bool) {
	longTargets := c.longPromptTargets(r)
	options := c.options(now, r, longTargets)
	if len(options) == 0 {
		return discovery.Target{}, 0, false
	}
	random := draws{seed: uint64(r.TieBreak * (1 << 53))}
	o := c.warmOption(now, r, options, c.warmTargets(now, r, longTargets), &random)
	if o == nil {
		o = randomOption(options, random.next())
	}
	return c.take(now, o.st, r, o.wait), o.wait, true
}

// options returns the targets for a request, with those in backoff only if there are no others.
func (c *Chooser) options(now time.Duration, r Request, longTargets map[string]bool) (options []option) {
	var inBackoff []option
	for _, st := range c.targets.All() {
		wait, ok := c.accepts(now, st, r)
		switch {
		case !ok:
		case now < st.backoffUntil:
			inBackoff = append(inBackoff, option{st: st, wait: wait})
		default:
			options = append(options, option{st: st, wait: wait})
		}
	}
	if len(options) == 0 {
		options = inBackoff
	}
	c.setTimes(now, options)
	c.setWeights(now, r, options, longTargets)
	return options
}

// setTimes sets the expected times and shares. The present slowdown counts beyond that of the mean target,
// so that none is avoided if all are slow.
func (c *Chooser) setTimes(now time.Duration, options []option) {
	meanSlow, meanRate, load := 0.0, 0.0, 0.0
	for _, o := range options {
		meanSlow += c.shared.table.Slowdown(now, o.st.process) / float64(len(options))
		meanRate += math.Exp2(-c.shared.table.Speed(o.st.process)) / float64(len(options))
		load += o.st.load
	}
	// meanLoad is the load of all hosts at a mean target, if the others have as much as this one.
	meanLoad := load * float64(c.shared.hosts) / float64(max(len(options), 1))
	for i := range options {
		o := &options[i]
		speed := c.shared.table.Speed(o.st.process)
		slow := c.shared.table.Slowdown(now, o.st.process) - max(meanSlow, 0)
		o.share = min(math.Exp2(-speed)/meanRate, maxFastShare)
		o.time = math.Exp2(speed+max(slow, 0)) * (1 + 8*o.st.currentFailureRate(now)) * (1 + o.st.load/(1+meanLoad))
	}
}

// setWeights sets the weights: what is left of a target's share beside the demand for it, less for those
// that are slow now.
func (c *Chooser) setWeights(now time.Duration, r Request, options []option, longTargets map[string]bool) {
	tilt, probe := 0.0, probeShare
	switch {
	case r.Spare >= urgentSpare:
		tilt = patientTilt
	case r.Spare > 0:
		tilt, probe = urgentTilt, urgentProbeShare
	}
	classFactor := c.classFactor(r)
	for i := range options {
		o := &options[i]
		speed := math.Exp2(c.shared.table.Speed(o.st.process))
		left := max(o.share-c.shared.table.Demand(now, o.st.process), minFreeShare*o.share)
		cost := o.time/speed + o.wait.Seconds()*costPerWaitSecond
		if c.coldGate != nil && c.coldGate.Cold(now, o.st.target) {
			cost *= coldTimeRatio
		}
		if r.InputZone != "" && r.InputZone != o.st.target.Zone {
			cost += float64(r.InputBytes) * costPerByte
		}
		o.weight = max(left*math.Pow(cost, -slowExponent), probe) * math.Pow(speed, -tilt)
		if longTargets != nil && longTargets[o.st.target.ID] != (r.PromptTokens >= minLongPromptTokens) {
			o.weight *= classFactor
		}
	}
}

// classFactor returns the factor for targets that are reserved for prompts of the other length class: 1 once
// a target of the request's class has clearly more load than one of the other.
func (c *Chooser) classFactor(r Request) float64 {
	own, other := c.shared.longLoad/longTargetFraction, c.shared.shortLoad/(1-longTargetFraction)
	if r.PromptTokens < minLongPromptTokens {
		own, other = other, own
	}
	return min(max(classGain*(own/max(other, 1)-1), minClassFactor), 1)
}

// warmOption returns the first of the targets that keep the shared parts which takes the request; nil if
// none does. Of a popular prompt, a target takes its share of the demand for it, which counts the requests that
// the targets before it left over. It takes any other request while waiting for it costs less than reading the
// shared parts elsewhere: leaving it to balance the load cost more prompt reading than the balance gained.
func (c *Chooser) warmOption(now time.Duration, r Request, options []option, warm []string, random *draws) *option {
	popular := len(warm) > 0 && c.popular(now, r)
	for i, id := range warm {
		k := slices.IndexFunc(options, func(o option) bool { return o.st.target.ID == id })
		if k < 0 {
			continue
		}
		o := &options[k]
		if len(r.Exclude) == 0 {
			c.shared.table.Offer(now, o.st.process, requestWork(r))
		}
		if demand := c.shared.table.Demand(now, o.st.process); popular && random.next()*demand > o.share {
			continue
		}
		if c.tooSlow(r, o) {
			continue
		}
		if i == 0 {
			c.shared.stats.Warm++
		} else {
			c.shared.stats.Overflow++
		}
		return o
	}
	if len(warm) == 0 {
		c.shared.stats.Free++
	} else {
		c.shared.stats.Moved++
	}
	return nil
}

// popular counts a request, and reports whether its prompt alone has a notable part of the load of a mean
// target.
func (c *Chooser) popular(now time.Duration, r Request) bool {
	s := &c.shared
	count := s.prompts[r.LastPrefix]
	if len(r.Exclude) == 0 {
		count.Add(now, 1)
		s.prompts[r.LastPrefix] = count
	}
	return count.At(now) > 1+popularShare*s.table.Requests(now)/float64(max(c.targets.Len(), 1))
}

// forgetPrompts removes the prompts that were not requested lately.
func (s *shared) forgetPrompts(now time.Duration) {
	for id, count := range s.prompts {
		if count.At(now) < minPromptCount {
			delete(s.prompts, id)
		}
	}
}

// tooSlow reports whether a target that has the shared parts is so much slower than an average one that
// reading them there costs callers less. A request with time to spare stays for twice as long.
func (c *Chooser) tooSlow(r Request, o *option) bool {
	extra := (o.time - 1) * (eventOverhead + float64(r.PromptTokens-r.SharedTokens)/tokensPerMs)
	limit := readAgainCost * float64(r.SharedTokens) / tokensPerMs
	if r.Spare >= urgentSpare {
		limit *= 2
	}
	return extra > limit
}

// randomOption returns an option by weight; u is uniform in [0, 1).
func randomOption(options []option, u float64) *option {
	total := 0.0
	for _, o := range options {
		total += o.weight
	}
	u *= total
	for i := range options {
		if u -= options[i].weight; u < 0 {
			return &options[i]
		}
	}
	return &options[len(options)-1]
}

// draws derives random numbers from the tie-break of a request.
type draws struct{ seed uint64 }

// next returns a number that is uniform in [0, 1).
func (d *draws) next() float64 {
	d.seed += hashMultiplier
	x := (d.seed ^ d.seed>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
