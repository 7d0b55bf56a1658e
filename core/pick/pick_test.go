package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/core/pick"
)

func targets(n int) (list []discovery.Target) {
	for i := range n {
		list = append(list, discovery.Target{ID: fmt.Sprintf("i-%d", i), Pool: "m", Address: "10.0.0.1:80", Zone: string(rune('a' + i%3)), Slots: 64})
	}
	return list
}

// hosts returns choosers of several hosts that know the same targets.
func hosts(n, count int) (list []*pick.Chooser) {
	for range n {
		c := pick.New()
		c.SetTargets(targets(count))
		list = append(list, c)
	}
	return list
}

// report is a long prompt of one of some sessions, most of which it shares.
func report(random *rand.Rand, session int) pick.Request {
	return pick.Request{FirstPrefix: uint64(1 + session%4), LastPrefix: uint64(1000 + session), SharedTokens: 6300, PromptTokens: 9200, Load: 2.3, TieBreak: random.Float64()}
}

// TestSharedPromptsMeet guards against hosts that send requests of one session to different
// targets, each of which reads the shared parts again.
func TestSharedPromptsMeet(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	all := hosts(6, 9)
	homes := make(map[int]map[string]bool)
	firsts := make(map[int]map[string]bool)
	for range 2_000 {
		session := random.IntN(97)
		h := report(random, session)
		c := all[random.IntN(len(all))]
		target, ok := c.Choose(0, h)
		is.True(ok)
		c.Finish(0, pick.Result{Target: target.ID, Load: h.Load})
		for key, seen := range map[int]map[int]map[string]bool{session: homes, session % 4: firsts} {
			if seen[key] == nil {
				seen[key] = make(map[string]bool)
			}
			seen[key][target.ID] = true
		}
	}
	for _, seen := range homes {
		is.Equal(len(seen), 1) // one target for each session
	}
	for _, seen := range firsts {
		is.True(len(seen) <= 4) // few targets for each first part
	}
}

// TestShortBehindLong guards against short prompts that wait behind long ones at a target,
// while others have none.
func TestShortBehindLong(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 1))
	all := hosts(6, 9)
	long, short := make(map[string]bool), make(map[string]bool)
	for range 1_000 {
		c, h := all[random.IntN(6)], report(random, random.IntN(97))
		target, _ := c.Choose(0, h)
		long[target.ID] = true
		c.Finish(0, pick.Result{Target: target.ID, Load: h.Load})
	}
	for _, c := range all {
		for range 10 {
			target, _ := c.Choose(0, pick.Request{PromptTokens: 700, Load: 0.2, TieBreak: random.Float64()})
			short[target.ID] = true
		}
	}
	for id := range short {
		is.True(!long[id])
	}
	is.True(len(short) >= 3)
}

// TestBurstLeavesHome guards against one target that takes all requests of a hot session
// however many they are.
func TestBurstLeavesHome(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 1))
	c := hosts(1, 9)[0]
	counts := make(map[string]int)
	for range 30 {
		target, _ := c.Choose(0, report(random, 7))
		counts[target.ID]++
	}
	is.True(len(counts) >= 3)
}

// TestBusyHomeIsLeft guards against requests that go on to a home whose first events come
// late, because other hosts send to it as well.
func TestBusyHomeIsLeft(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(6, 1))
	c := hosts(1, 9)[0]
	h := report(random, 7)
	home, _ := c.Choose(0, h)
	for range 4 {
		c.Finish(0, pick.Result{Target: home.ID, Load: h.Load, Slowdown: 15})
	}
	next, _ := c.Choose(0, h)
	is.True(next.ID != home.ID)
}

// TestInputsStayNear guards against large results that are moved between zones for nothing.
func TestInputsStayNear(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(4, 1))
	c := hosts(1, 9)[0]
	for range 50 {
		h := pick.Request{PromptTokens: 700, Load: 0.2, InputZone: "b", InputBytes: 3_000_000, TieBreak: random.Float64()}
		target, _ := c.Choose(0, h)
		is.Equal(target.Zone, "b")
		c.Finish(0, pick.Result{Target: target.ID, Load: h.Load})
	}
}

// TestFailingTargetIsAvoided guards against requests to a target that fails a part of them
// while its health check is good, and against giving it up for good.
func TestFailingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 1))
	c := hosts(1, 5)[0]
	now, bad := time.Duration(0), 0
	for range 400 {
		now += 50 * time.Millisecond
		target, _ := c.Choose(now, pick.Request{Load: 1, TieBreak: random.Float64()})
		failed := target.ID == "i-2" && random.IntN(2) == 0
		if target.ID == "i-2" {
			bad++
		}
		c.Finish(now, pick.Result{Target: target.ID, Load: 1, Failed: failed})
	}
	is.True(bad < 50) // a fifth would be 80
	is.True(bad > 2)  // it is tried again
}

// TestSilentTargetIsLeftAlone guards against waiting for a target that does not answer, and
// against refusing requests while all targets are down.
func TestSilentTargetIsLeftAlone(t *testing.T) {
	is := is.New(t)
	c := hosts(1, 2)[0]
	first, _ := c.Choose(0, pick.Request{Load: 1})
	c.Finish(0, pick.Result{Target: first.ID, Load: 1, NoResponse: true})
	for range 10 {
		target, ok := c.Choose(0, pick.Request{Load: 0.1})
		is.True(ok)
		is.True(target.ID != first.ID)
		c.Finish(0, pick.Result{Target: target.ID, Load: 0.1})
	}
	_, ok := c.Choose(0, pick.Request{Exclude: []string{"i-0", "i-1"}})
	is.True(!ok)
	is.Equal(c.Available(0), 1)
	is.Equal(c.Available(10*time.Second), 2)
}

// TestPoolPace guards against requests that are admitted by the duration of an answer that most
// answers of the pool exceed.
func TestPoolPace(t *testing.T) {
	is := is.New(t)
	c := pick.New()
	c.SetTargets(targets(3))
	is.Equal(c.SlowdownP75(), 1.0)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		c.Finish(time.Duration(i)*time.Millisecond, pick.Result{Target: "i-0", Slowdown: 1 + 2*random.Float64()})
	}
	is.True(c.SlowdownP75() > 2.2 && c.SlowdownP75() < 2.8) // three quarters of 1 to 3
	for i := range 400 {
		c.Finish(time.Duration(3000+i)*time.Millisecond, pick.Result{Target: "i-0", Slowdown: 0.9})
	}
	is.True(c.SlowdownP75() < 1)
}
