package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/pick"
	"sassafrasward/core/quota"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/io/dispatch"
)

// state is the configuration, targets and hosts that request goroutines read. It is immutable
// once published.
type state struct {
	// table is the current configuration; nil if none is known.
	table *route.Table
	// targets has all targets by pool.
	targets map[string][]discovery.Target
	// zones has the availability zones of the targets by address.
	zones map[string]string
	// hosts has the hosts that callers may use, this one included while it serves.
	hosts []hostselect.Candidate
	// eligible has the hosts that may dispatch.
	eligible []dispatch.Host
	// targetsKnown is set once the published targets were received from the store or another host.
	targetsKnown bool
	// draining is set while the host drains before it stops.
	draining bool
}

// started reports whether the host knows the configuration and the targets.
func (s *state) started() bool { return s.table != nil && s.targetsKnown }

// ready reports whether the host accepts new callers.
func (s *state) ready() bool { return s.started() && !s.draining }

// choosers has a target chooser and a retry quota for each pool. It is safe for concurrent use.
type choosers struct {
	clock func() time.Duration
	gate  selfreport.Gate

	mutex    sync.Mutex
	pools    map[string]*pool
	newQuota func() *quota.Quota
	// salt differs between hosts, which number hosts.
	salt  uint64
	hosts int
}

// pool has the target chooser and the retry quota of one pool.
type pool struct {
	chooser *pick.Chooser
	quota   *quota.Quota
	// shared and stats are what was last logged and counted of the chooser's use of shared estimates.
	shared bool
	stats  pick.SharedStats
	// staged is the number of requests that run their stages and need a target then.
	staged int
}

func newChoosers(clock func() time.Duration, gate selfreport.Gate, newQuota func() *quota.Quota) *choosers {
	return &choosers{clock: clock, gate: gate, pools: make(map[string]*pool), newQuota: newQuota, salt: rand.Uint64()}
}

// configure sets the targets of all pools.
func (c *choosers) configure(targets map[string][]discovery.Target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, list := range targets {
		c.pool(name).chooser.SetTargets(list)
	}
	for name, p := range c.pools {
		if _, ok := targets[name]; !ok {
			p.chooser.SetTargets(nil)
		}
	}
}

// pool returns the named pool, created if needed.
func (c *choosers) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{chooser: pick.New(pick.WithGate(c.gate), pick.WithSalt(c.salt)), quota: c.newQuota()}
		p.chooser.SetHosts(c.hosts)
		c.pools[name] = p
	}
	return p
}

// setSlack sets this host's share of the retry slack.
func (c *choosers) setSlack(slack float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.pools {
		p.quota.SetSlack(slack)
	}
}

// choose chooses the target of a request to the pool and counts the request as in flight there. The
// request is sent after the wait.
func (c *choosers) choose(name string, h pick.Request) (t discovery.Target, wait time.Duration, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.Choose(c.clock(), h)
}

// soonestWait returns how long no target of the pool takes a request, after those that run their stages
// now; see pick.Chooser.SoonestWait.
func (c *choosers) soonestWait(name string, exclude, zones []string) (wait time.Duration, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(name)
	return p.chooser.SoonestWait(c.clock(), exclude, zones, p.staged)
}

// closed returns whether the pool is closed to requests that may use the zones; see pick.Chooser.Closed.
func (c *choosers) closed(name string, zones []string) pick.Closure {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.Closed(zones)
}

// addStaged adds to the number of requests to the pool that run their stages.
func (c *choosers) addStaged(name string, n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(name).staged += n
}

// usable reports whether a chosen target of the pool is still known and neither leaving nor evacuated.
func (c *choosers) usable(name string, t discovery.Target) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.Usable(c.clock(), t)
}

// affinityTarget returns the target of the pool that a request prefers by its prompt prefix.
func (c *choosers) affinityTarget(name string, h pick.Request) (t discovery.Target, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.AffinityTarget(c.clock(), h)
}

// abandon ends a request that was not sent to the target that was chosen for it.
func (c *choosers) abandon(name, target, id string, load float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(name).chooser.Abandon(target, id, load)
}

// finish records the end of a request at a target of the pool.
func (c *choosers) finish(name string, r pick.Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(name).chooser.Finish(c.clock(), r)
}

// slowdown returns the time to the first event that most responses of the pool take, as a ratio to
// the expected time.
func (c *choosers) slowdown(name string) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.SlowdownP75()
}

// countRequest counts a request to the pool, which raises its retry quota.
func (c *choosers) countRequest(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(name).quota.CountRequest(c.clock())
}

// allowRetry reports whether the retry quota of the pool allows a retry, and counts it if so.
func (c *choosers) allowRetry(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).quota.TrySpend(c.clock())
}
