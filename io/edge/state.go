package edge

import (
	"sync"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/hostselect"
	"sassafrasward/core/pick"
	"sassafrasward/core/quota"
	"sassafrasward/core/route"
	"sassafrasward/io/dispatch"
)

// state is what traffic goroutines read. It does not change once it is published.
type state struct {
	// table is the configuration in force; nil if none is known.
	table *route.Table
	// targets has all published targets by pool.
	targets map[string][]discovery.Target
	// zones has the availability zone of each target by its address.
	zones map[string]string
	// hosts are those that callers may use, this one included while it serves.
	hosts []hostselect.Candidate
	// able has the hosts that may dispatch.
	eligible []dispatch.Host
	// count is the number of targets.
	count int
	// draining holds during a planned stop.
	draining bool
}

// ready reports whether the host takes new callers.
func (s *state) ready() bool { return s.table != nil && !s.draining }

// choosers choose targets for the requests of this host. It is safe for concurrent use.
type choosers struct {
	clock func() time.Duration

	mutex    sync.Mutex
	pools    map[string]*pool
	newQuota func() *quota.Quota
}

type pool struct {
	chooser *pick.Chooser
	quota   *quota.Quota
}

func newChoosers(clock func() time.Duration, newQuota func() *quota.Quota) *choosers {
	return &choosers{clock: clock, pools: make(map[string]*pool), newQuota: newQuota}
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

func (c *choosers) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{chooser: pick.New(), quota: c.newQuota()}
		c.pools[name] = p
	}
	return p
}

// setSlack sets the host's part of the slack of repeats.
func (c *choosers) setSlack(slack float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.pools {
		p.quota.SetSlack(slack)
	}
}

// choose returns the target of a request of the pool.
func (c *choosers) choose(name string, h pick.Request) (t discovery.Target, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.Choose(c.clock(), h)
}

// home returns the target that is meant to run a request of the pool.
func (c *choosers) home(name string, h pick.Request) (t discovery.Target, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.AffinityTarget(c.clock(), h)
}

// finish takes the end of a request at a target of the pool.
func (c *choosers) finish(name string, r pick.Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(name).chooser.Finish(c.clock(), r)
}

// pace returns what most answers of the pool take, as a ratio to the expected time.
func (c *choosers) pace(name string) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).chooser.SlowdownP75()
}

// request counts a caller's request to the pool.
func (c *choosers) request(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pool(name).quota.CountRequest(c.clock())
}

// repeat reports whether a request to the pool may be repeated.
func (c *choosers) repeat(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pool(name).quota.TrySpend(c.clock())
}
