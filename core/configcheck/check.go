package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sassafrasward/core/route"
)

// maxPriority is the lowest priority that targets accept.
const maxPriority = 9

// Check returns the findings of a configuration that could be decoded, in the order of its entries.
func Check(t *route.Table) (findings []Finding) {
	c := checker{table: t, used: make(map[string]bool)}
	for i, r := range t.Routes() {
		c.checkRoute(fmt.Sprintf("routes[%d] %q", i, r.Name), i, r)
	}
	c.checkPools()
	c.checkWorkspaces()
	c.checkLimits()
	return c.findings
}

// checker collects the findings of one configuration.
type checker struct {
	table *route.Table
	// used has the pools that a route sends requests or stages to.
	used     map[string]bool
	findings []Finding
}

func (c *checker) addError(place, format string, values ...any) {
	c.findings = append(c.findings, NewError(place, format, values...))
}

func (c *checker) addWarning(place, format string, values ...any) {
	c.findings = append(c.findings, newWarning(place, format, values...))
}

// checkRoute checks the route at an index.
func (c *checker) checkRoute(place string, index int, r route.Route) {
	c.checkMatch(place, index, r)
	c.checkSplit(place, r)
	c.checkTimes(place, r)
	c.checkStages(place, r)
	if r.Priority < 0 || r.Priority > maxPriority {
		c.addError(place+", priority", "%d is not between 0 and %d", r.Priority, maxPriority)
	}
	if r.MaxAttempts > 1 && r.AtMostOnce() {
		c.addWarning(place+", attempts", "%d attempts are allowed, but a request that may run once is only repeated if its target did not run it", r.MaxAttempts)
	}
	if r.Resumable && r.Kind != route.Stream {
		c.addWarning(place+", resumable", "only streams are resumed, not requests of the kind %s", r.Kind)
	}
}

// checkMatch finds routes that match no request.
func (c *checker) checkMatch(place string, index int, r route.Route) {
	switch {
	case r.Host == "":
		c.addError(place+", host", "a route without a host name matches no request")
	case strings.Contains(r.Host, ":"):
		c.addError(place+", host", "%q never matches: the port is removed from a request's host name before the route is looked up", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.addError(place+", prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	for i, other := range c.table.Routes()[:index] {
		if other.Host == r.Host && other.Prefix == r.Prefix {
			c.addError(place, "never matches: routes[%d] %q has the same host name and prefix", i, other.Name)
			return
		}
	}
}

// checkSplit finds pools that get none of a route's requests.
func (c *checker) checkSplit(place string, r route.Route) {
	for _, s := range r.Split {
		if s.Weight > 0 {
			c.used[s.Pool] = true
			continue
		}
		c.addWarning(place+", split", "pool %q has the weight %v and gets no requests", s.Pool, s.Weight)
	}
}

// checkTimes finds times of a route that contradict each other.
func (c *checker) checkTimes(place string, r route.Route) {
	if r.Timeout <= 0 {
		c.addError(place+", timeout", "%s leaves no time to answer", r.Timeout)
		return
	}
	if r.Objective <= 0 {
		c.addError(place+", objective", "%s can't be met", r.Objective)
	}
	if r.Objective > r.Timeout {
		c.addError(place+", objective", "%s is longer than the timeout of %s", r.Objective, r.Timeout)
	}
	if r.MaxEventGap > r.Timeout {
		c.addWarning(place+", gap", "%s between two events is longer than the timeout of %s", r.MaxEventGap, r.Timeout)
	}
	switch least := c.leastStageTime(r); {
	case least >= r.Timeout:
		c.addError(place+", stages", "need %s at idle targets, which is not less than the timeout of %s", least, r.Timeout)
	case least >= r.Objective:
		c.addWarning(place+", stages", "need %s at idle targets, so that no request meets the objective of %s", least, r.Objective)
	}
}

// leastStageTime returns how long the stages of a route take at idle targets with one piece each.
func (c *checker) leastStageTime(r route.Route) (least time.Duration) {
	ends := make([]time.Duration, len(r.Stages))
	for i, s := range r.Stages {
		for _, d := range s.DependsOn {
			if d >= 0 && d < i {
				ends[i] = max(ends[i], ends[d])
			}
		}
		if p, ok := c.table.Pool(s.Pool); ok && p.Batch != nil {
			ends[i] += p.Batch.CallTime + p.Batch.PieceTime
		}
		least = max(least, ends[i])
	}
	return least
}

// checkStages finds stages whose results don't fit into the memory of a target or don't last long enough.
func (c *checker) checkStages(place string, r route.Route) {
	for i, s := range r.Stages {
		c.used[s.Pool] = true
		p, ok := c.table.Pool(s.Pool)
		if !ok || p.Batch == nil {
			continue // reported when the configuration was decoded
		}
		stage := fmt.Sprintf("%s, stages[%d]", place, i)
		switch {
		case s.ResultBytes > p.Batch.ResultMemory:
			c.addError(stage, "one result of %d bytes is larger than the memory of %d bytes for results at a target of %q", s.ResultBytes, p.Batch.ResultMemory, s.Pool)
		case s.ResultBytes*int64(p.Batch.MaxPieces) > p.Batch.ResultMemory:
			c.addWarning(stage, "the memory of %d bytes for results at a target of %q holds less than the %d results of a full call", p.Batch.ResultMemory, s.Pool, p.Batch.MaxPieces)
		}
		if p.Batch.ResultTTL < p.Batch.CallTime {
			c.addWarning(stage, "results of %q are kept for %s, less than one call takes (%s)", s.Pool, p.Batch.ResultTTL, p.Batch.CallTime)
		}
	}
}

// checkPools finds pools that no route uses and those whose limits can't hold.
func (c *checker) checkPools() {
	for _, name := range c.table.Pools() {
		p, _ := c.table.Pool(name)
		place := fmt.Sprintf("pool %q", name)
		if !c.used[name] {
			c.addWarning(place, "no route sends requests or stages to it")
		}
		if p.MaxConnections < 0 {
			c.addError(place+", connections", "%d is negative", p.MaxConnections)
		}
		if p.Model != nil && p.MaxConnections > 0 && p.MaxConnections < p.Model.Slots {
			c.addWarning(place+", connections", "%d connections can't use %d slots, as a connection carries one request at a time", p.MaxConnections, p.Model.Slots)
		}
	}
}

// checkWorkspaces finds workspaces that nobody can use and keys that belong to several. Keys are not
// part of the findings.
func (c *checker) checkWorkspaces() {
	owners := make(map[string]string)
	names := make(map[string]int)
	for i, w := range c.table.Workspaces() {
		place := fmt.Sprintf("workspaces[%d] %q", i, w.Name)
		if first, ok := names[w.Name]; ok {
			c.addError(place, "has the same name as workspaces[%d]", first)
		} else {
			names[w.Name] = i
		}
		if len(w.Keys) == 0 {
			c.addWarning(place, "has no key, so that nobody can use it")
		}
		for k, key := range w.Keys {
			switch owner, known := owners[key]; {
			case key == "":
				c.addError(fmt.Sprintf("%s, keys[%d]", place, k), "an empty key never matches")
			case known && owner != w.Name:
				c.addError(fmt.Sprintf("%s, keys[%d]", place, k), "the key belongs to %q too; only one of them is used", owner)
			case known:
				c.addWarning(fmt.Sprintf("%s, keys[%d]", place, k), "the key is listed twice")
			}
			owners[key] = w.Name
		}
		if w.HasPriority && (w.Priority < 0 || w.Priority > maxPriority) {
			c.addError(place+", priority", "%d is not between 0 and %d", w.Priority, maxPriority)
		}
	}
	hasKey := slices.ContainsFunc(c.table.Workspaces(), func(w route.Workspace) bool { return len(w.Keys) > 0 })
	if c.table.RequiresKeys() && !hasKey {
		c.addError("workspaces", "no workspace has a key, so that only public routes can be used")
	}
}

// checkLimits finds limits for callers that can't hold.
func (c *checker) checkLimits() {
	l := c.table.Limits()
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"header size", int64(l.HeaderBytes)},
		{"body size", int64(l.BodyBytes)},
		{"header timeout", int64(l.HeaderTimeout)},
		{"idle timeout", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			c.addError("limits, "+limit.name, "is negative")
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.addWarning("limits, header timeout", "%s is longer than the idle timeout of %s, which ends such connections first", l.HeaderTimeout, l.IdleTimeout)
	}
}
