package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/core/pick"
	"sassafrasward/core/selfreport"
)

func targets(n int) (list []discovery.Target) {
	for i := range n {
		list = append(list, discovery.Target{ID: fmt.Sprintf("i-%d", i), Pool: "m", Address: "10.0.0.1:80", Zone: string(rune('a' + i%3)), Slots: 64})
	}
	return list
}

// newChoosers returns the choosers of n hosts that have the same targets.
func newChoosers(n, count int) (list []*pick.Chooser) {
	for range n {
		c := pick.New()
		c.SetTargets(targets(count))
		list = append(list, c)
	}
	return list
}

// longPromptRequest returns a request with a long prompt, most of which it shares with the
// other requests of its session.
func longPromptRequest(random *rand.Rand, session int) pick.Request {
	return pick.Request{FirstPrefix: uint64(1 + session%4), LastPrefix: uint64(1000 + session), SharedTokens: 6300, PromptTokens: 9200, Load: 2.3, TieBreak: random.Float64()}
}

// TestSharedPrefixesUseOneTarget guards against hosts that send requests of one session to
// different targets, each of which has to read the shared parts again.
func TestSharedPrefixesUseOneTarget(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	choosers := newChoosers(6, 9)
	sessionTargets := make(map[int]map[string]bool)
	prefixTargets := make(map[int]map[string]bool)
	for range 2_000 {
		session := random.IntN(97)
		r := longPromptRequest(random, session)
		c := choosers[random.IntN(len(choosers))]
		target, _, ok := c.Choose(0, r)
		is.True(ok)
		c.Finish(0, pick.Result{Target: target.ID, Load: r.Load})
		for key, seen := range map[int]map[int]map[string]bool{session: sessionTargets, session % 4: prefixTargets} {
			if seen[key] == nil {
				seen[key] = make(map[string]bool)
			}
			seen[key][target.ID] = true
		}
	}
	for _, seen := range sessionTargets {
		is.Equal(len(seen), 1) // one target for each session
	}
	for _, seen := range prefixTargets {
		is.True(len(seen) <= 4) // few targets for each first part
	}
}

// TestShortPromptsAvoidLongOnes guards against short prompts that wait behind long ones although
// other targets have none.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 1))
	choosers := newChoosers(6, 9)
	long, short := make(map[string]bool), make(map[string]bool)
	for range 1_000 {
		c, r := choosers[random.IntN(6)], longPromptRequest(random, random.IntN(97))
		target, _, _ := c.Choose(0, r)
		long[target.ID] = true
		c.Finish(0, pick.Result{Target: target.ID, Load: r.Load})
	}
	for _, c := range choosers {
		for range 10 {
			target, _, _ := c.Choose(0, pick.Request{PromptTokens: 700, Load: 0.2, TieBreak: random.Float64()})
			short[target.ID] = true
		}
	}
	for id := range short {
		is.True(!long[id])
	}
	is.True(len(short) >= 3)
}

// TestBurstSpreadsToOtherTargets guards against one target that gets all requests of a hot
// session, however many there are.
func TestBurstSpreadsToOtherTargets(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 1))
	c := newChoosers(1, 9)[0]
	counts := make(map[string]int)
	for range 30 {
		target, _, _ := c.Choose(0, longPromptRequest(random, 7))
		counts[target.ID]++
	}
	is.True(len(counts) >= 3)
}

// TestSlowAffinityTargetIsAvoided guards against sending further requests to an affinity target
// whose first events come late because other hosts use it as well.
func TestSlowAffinityTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(6, 1))
	c := newChoosers(1, 9)[0]
	r := longPromptRequest(random, 7)
	affinity, _, _ := c.Choose(0, r)
	for range 4 {
		c.Finish(0, pick.Result{Target: affinity.ID, Load: r.Load, Slowdown: 15})
	}
	next, _, _ := c.Choose(0, r)
	is.True(next.ID != affinity.ID)
}

// TestLargeInputsStayInZone guards against large inputs that are moved between zones without need.
func TestLargeInputsStayInZone(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(4, 1))
	c := newChoosers(1, 9)[0]
	for range 50 {
		r := pick.Request{PromptTokens: 700, Load: 0.2, InputZone: "b", InputBytes: 3_000_000, TieBreak: random.Float64()}
		target, _, _ := c.Choose(0, r)
		is.Equal(target.Zone, "b")
		c.Finish(0, pick.Result{Target: target.ID, Load: r.Load})
	}
}

// TestFailingTargetIsAvoided guards against requests to a target that fails some of them while
// its health check passes, and against never trying it again.
func TestFailingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 1))
	c := newChoosers(1, 5)[0]
	now, requests := time.Duration(0), 0
	for range 400 {
		now += 50 * time.Millisecond
		target, _, _ := c.Choose(now, pick.Request{Load: 1, TieBreak: random.Float64()})
		failed := target.ID == "i-2" && random.IntN(2) == 0
		if target.ID == "i-2" {
			requests++
		}
		c.Finish(now, pick.Result{Target: target.ID, Load: 1, Failed: failed})
	}
	is.True(requests < 50) // an equal share would be 80
	is.True(requests > 2)  // it is tried again
}

// TestUnresponsiveTargetBacksOff guards against waiting for a target that does not answer,
// against refusing requests while targets are in backoff, and against backoffs without an end.
func TestUnresponsiveTargetBacksOff(t *testing.T) {
	is := is.New(t)
	c := newChoosers(1, 2)[0]
	first, _, _ := c.Choose(0, pick.Request{Load: 1})
	c.Finish(0, pick.Result{Target: first.ID, Load: 1, NoResponse: true})
	for range 10 {
		target, _, ok := c.Choose(0, pick.Request{Load: 0.1})
		is.True(ok)
		is.True(target.ID != first.ID)
		c.Finish(0, pick.Result{Target: target.ID, Load: 0.1})
	}
	_, _, ok := c.Choose(0, pick.Request{Exclude: []string{"i-0", "i-1"}})
	is.True(!ok)
	is.Equal(c.Available(0), 1)
	is.Equal(c.Available(10*time.Second), 2)
}

// TestSlowdownP75 guards against admission by an answer time that most answers of the pool
// exceed.
func TestSlowdownP75(t *testing.T) {
	is := is.New(t)
	c := pick.New()
	c.SetTargets(targets(3))
	is.Equal(c.SlowdownP75(), 1.0)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		c.Finish(time.Duration(i)*time.Millisecond, pick.Result{Target: "i-0", Slowdown: 1 + 2*random.Float64()})
	}
	is.True(c.SlowdownP75() > 2.2 && c.SlowdownP75() < 2.8) // the 75th percentile of 1 to 3 is 2.5
	for i := range 400 {
		c.Finish(time.Duration(3000+i)*time.Millisecond, pick.Result{Target: "i-0", Slowdown: 0.9})
	}
	is.True(c.SlowdownP75() < 1)
}

// TestAbandonedRequest guards against a request that was not sent and that counts as a success of its
// target, which would end the backoff of a target that does not respond, or stays in flight for ever.
func TestAbandonedRequest(t *testing.T) {
	is := is.New(t)
	c := newChoosers(1, 1)[0]
	first, _, _ := c.Choose(0, pick.Request{Load: 1})
	c.Finish(0, pick.Result{Target: first.ID, Load: 1, NoResponse: true})
	again, _, ok := c.Choose(0, pick.Request{Load: 1})
	is.True(ok)
	c.Abandon(again.ID, "", 1)
	is.Equal(c.Available(0), 0) // still in backoff
	c.Abandon("unknown", "", 1)
}

// coldTargets is a gate without limits that knows cold targets by their IDs.
type coldTargets struct {
	selfreport.OpenGate
	ids map[string]bool
}

func (g coldTargets) Cold(_ time.Duration, t discovery.Target) bool { return g.ids[t.ID] }

// TestColdTargets guards against requests to targets that have just started while warm ones have little to do, and
// against cold targets that stay unused when the warm ones are busy.
func TestColdTargets(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 3))
	c := pick.New(pick.WithGate(coldTargets{ids: map[string]bool{"i-0": true}}))
	c.SetTargets(targets(3))
	used := make(map[string]int)
	for range 4 { // two for each warm target
		target, _, _ := c.Choose(0, pick.Request{Load: 1, TieBreak: random.Float64()})
		used[target.ID]++
	}
	is.Equal(used["i-0"], 0)
	for range 8 {
		target, _, _ := c.Choose(0, pick.Request{Load: 1, TieBreak: random.Float64()})
		used[target.ID]++
	}
	is.True(used["i-0"] >= 1)
}

// TestZones guards against a target outside the zones that a request may use, by load, prefix affinity or the time to
// wait, and against a pool that counts as open though nothing in these zones takes work.
func TestZones(t *testing.T) {
	is := is.New(t)
	c := pick.New()
	var targets []discovery.Target
	for i, zone := range []string{"a", "a", "b", "b", "c"} {
		targets = append(targets, discovery.Target{ID: fmt.Sprintf("t%d", i), Zone: zone, Slots: 1})
	}
	c.SetTargets(targets)
	is.Equal(c.Closed(nil), pick.Open)
	is.Equal(c.Closed([]string{"a"}), pick.Open)
	is.Equal(c.Closed([]string{}), pick.OutsideHomes)
	for n := range 50 {
		r := pick.Request{Load: 1, TieBreak: float64(n) / 50, FirstPrefix: uint64(n), LastPrefix: uint64(n), SharedTokens: 5000, PromptTokens: 6000, Zones: []string{"a"}}
		chosen, _, ok := c.Choose(0, r)
		is.True(ok)
		is.Equal(chosen.Zone, "a")
		near, ok := c.AffinityTarget(0, r)
		is.True(ok)
		is.Equal(near.Zone, "a")
	}
	for i := range targets {
		targets[i].Evacuated = targets[i].Zone == "a"
	}
	c.SetTargets(targets)
	is.Equal(c.Closed(nil), pick.Open)
	is.Equal(c.Closed([]string{"a"}), pick.Evacuated)
	is.Equal(c.Closed([]string{"d"}), pick.OutsideHomes)
	is.True(!c.Usable(0, targets[0])) // checked right before a send
	_, _, ok := c.Choose(0, pick.Request{Zones: []string{"a"}})
	is.True(!ok)
	_, ok = c.SoonestWait(0, nil, []string{"a"}, 0)
	is.True(!ok)
	chosen, _, ok := c.Choose(0, pick.Request{})
	is.True(ok)
	is.True(chosen.Zone != "a")
}
