package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/pick"
	"sassafrasward/core/reason"
	"sassafrasward/core/route"
	"sassafrasward/core/selfreport"
	"sassafrasward/io/transport"
	"sassafrasward/platform"
)

const (
	// minLimitRetryAfter and maxLimitRetryAfter bound the retry delay for callers whose request found
	// only targets that take no more requests. Other hosts may have a part in their limits.
	minLimitRetryAfter = 200 * time.Millisecond
	maxLimitRetryAfter = 3 * time.Second
	// maxHealthWait is how long a health check waits for its place in the share of a cold target. It is the
	// time between two requests of a host with the smallest share.
	maxHealthWait = 1100 * time.Millisecond
	// retrySpread is the fraction by which retry delays differ, so that callers don't return together.
	retrySpread = 0.5
)

// maxTargetWait returns how long the request may wait for a target that has stated to take no more
// requests now: until the request would miss its objective, or, once it has results of stages or has
// sent events, until its caller would stop waiting.
func (x *exchange) maxTargetWait(s *stream) time.Duration {
	end := x.softDeadline
	if len(x.held) > 0 || s.sent > 0 {
		end = x.startDeadline
	}
	return max(end-x.clock()-x.firstEventTime(), 0)
}

// awaitTarget waits until the request may be sent to the target. It reports false if the target can no
// longer be used, if the time for which the request was booked has been missed, or if the context has ended.
func (x *exchange) awaitTarget(ctx context.Context, t discovery.Target, wait time.Duration) bool {
	x.recordDecision("waits %dms for target %s", wait.Milliseconds(), t.ID)
	booked := x.clock()
	sleep(ctx, wait)
	return ctx.Err() == nil && x.choosers.usable(x.pool, t) && x.reports.MaySend(t, booked, booked+wait)
}

// failWithoutTarget refuses a request for which there is no target.
func (x *exchange) failWithoutTarget() {
	wait, cold, ok := x.soonestTarget(x.targets)
	switch {
	case !ok && x.choosers.closed(x.pool, x.zones) != pick.Open:
		x.failClosed(x.pool, x.choosers.closed(x.pool, x.zones))
	case !ok:
		x.detail = "no target"
		x.fail(reason.NoTargets, targetRetryAfter)
	case cold:
		x.detail = "targets are cold and take no requests of this host for " + wait.Round(time.Millisecond).String()
		x.metrics.Counter("target.cold.refused").Inc(1)
		x.fail(reason.TargetsLimited, limitRetryAfter(wait))
	case wait == selfreport.Never:
		x.detail = "no target takes requests of this host"
		x.fail(reason.TargetsLimited, limitRetryAfter(targetRetryAfter))
	default:
		x.detail = "targets take no requests for " + wait.Round(time.Millisecond).String()
		x.fail(reason.TargetsLimited, limitRetryAfter(wait))
	}
}

// closedPool returns the first of the pools that the request needs which is closed to it. The pool of the request
// itself is checked after those of its stages.
func (x *exchange) closedPool() (pool string, why pick.Closure) {
	if x.zones != nil && len(x.zones) == 0 {
		return x.pool, pick.OutsideHomes // whether or not the targets of its stages are known here
	}
	for i, s := range x.route.Stages {
		if why = x.choosers.closed(s.Pool, x.zones); why != pick.Open && x.request.Pieces[i] > 0 {
			return s.Pool, why
		}
	}
	return x.pool, x.choosers.closed(x.pool, x.zones)
}

// failClosed refuses a request that needs a pool which is closed to it.
func (x *exchange) failClosed(pool string, why pick.Closure) {
	x.detail = "all zones of pool " + pool + " are evacuated"
	switch {
	case why == pick.OutsideHomes:
		x.detail = "pool " + pool + " has no target in the home regions"
	case x.zones != nil:
		x.detail = "all zones of pool " + pool + " in the home regions are evacuated"
	}
	x.fail(reason.NoTargets, targetRetryAfter)
}

// targetWait returns how long no target will take the request, zero if one does now. It reports false if
// that is longer than the caller waits.
func (x *exchange) targetWait() (wait time.Duration, ok bool) {
	wait, _, ok = x.soonestTarget(nil)
	if !ok {
		return 0, true // the pool may have targets once they are needed
	}
	return wait, wait <= x.startDeadline-x.clock()-x.firstEventTime()
}

// soonestTarget returns how long no target of the pool takes the request. Cold is set if that is until the first
// of the targets is warm: this host has no share in the cold ones before. It reports false if there are no targets
// other than the excluded ones.
func (x *exchange) soonestTarget(exclude []string) (wait time.Duration, cold, ok bool) {
	wait, ok = x.choosers.soonestWait(x.pool, exclude, x.zones)
	if wait == 0 || !ok {
		return wait, false, ok
	}
	targets := slices.DeleteFunc(slices.Clone(x.state.Load().targets[x.pool]), func(t discovery.Target) bool {
		return !t.AcceptsWork() || slices.Contains(exclude, t.ID) || !route.ZoneAllowed(x.zones, t.Zone)
	})
	if warm, found := x.reports.SoonestWarm(targets); found && warm < wait {
		return warm, true, true
	}
	return wait, false, true
}

// askColdTime asks a target that is back for its health once: the answer states for how long it is cold.
func (e *Edge) askColdTime(t discovery.Target, senders selfreport.Senders) {
	table, gate := e.state.Load().table, e.reports.Gate(senders)
	p, ok := table.Pool(t.Pool)
	if !ok || p.HealthPath == "" {
		return
	}
	now := e.clock()
	wait := gate.Wait(now, t)
	if wait > maxHealthWait {
		return // the cold time of the pool holds
	}
	gate.Take(now, t)
	sleep(e.ctx, wait)
	if !e.reports.MaySend(t, now, now+wait) || !e.reports.MustAsk(t) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, healthTimeout)
	defer cancel()
	response, err := e.conns.Do(ctx, t.Address, transport.Request{
		Method: http.MethodGet, URI: p.HealthPath, Host: t.Address, Header: platform.HealthHeader(t.ID), NewConnection: true,
	})
	if err != nil {
		return
	}
	defer response.Close(false)
	if platform.IsHealthOf(t.ID, response.Status, response.Header) {
		e.reports.ObserveHealth(t, platform.ReadResponse(response.Status, response.Header).Statement)
	}
}

// limitRetryAfter returns the retry delay for a caller whose request found no target for the time of
// the wait.
func limitRetryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minLimitRetryAfter), maxLimitRetryAfter)
	return wait + time.Duration(retrySpread*rand.Float64()*float64(wait))
}
