package order_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/config"
	"sassafrasward/core/order"
)

const engines = 40

func parse(t *testing.T, loads int) *config.Document {
	t.Helper()
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "[document]\npreset = p\nloads = %d\n[preset p]\n[pool e]\nkind = engine\nmodels = m1, m2\nrole = decode\n[pool s]\nkind = service\n[pool f]\nkind = engine\n", loads)
	for i := range engines {
		_, _ = fmt.Fprintf(&b, "[target e%d]\npool = e\naddress = 10.0.0.1:%d\nzone = a\n", i, i+1)
	}
	for i, pool := range []string{"s", "f"} {
		_, _ = fmt.Fprintf(&b, "[target x%d]\npool = %s\naddress = 10.0.0.2:%d\nzone = a\n", i, pool, i+1)
	}
	d, err := config.Parse([]byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDerive guards against orders to targets that are no engines or have no models.
func TestDerive(t *testing.T) {
	is := is.New(t)
	list := order.Derive(parse(t, 60), 7)
	is.Equal(len(list), engines)
	for _, d := range list {
		is.Equal(d.Fence(), uint64(7))
		is.Equal(d.Models(), []string{"m1", "m2"})
		is.Equal(d.Role(), "decode")
	}
}

// TestCompare guards against an engine that is left with an older or wrong order, and
// against a host with an older configuration that undoes a newer one.
func TestCompare(t *testing.T) {
	d := order.Derive(parse(t, 60), 7)[0]
	for name, c := range map[string]struct {
		fence  uint64
		models string
		role   string
		want   order.SyncState
	}{
		"same":         {7, "m1 m2", "decode", order.Matched},
		"other order":  {7, "m2 m1", "decode", order.Matched},
		"old token":    {6, "m1 m2", "decode", order.Stale},
		"missing":      {7, "m1", "decode", order.Differs},
		"additional":   {7, "m1 m2 m3", "decode", order.Differs},
		"other model":  {6, "m1 m3", "decode", order.Differs},
		"other role":   {7, "m1 m2", "prefill", order.Differs},
		"nothing held": {0, "", "", order.Differs},
		"newer":        {8, "m9", "prefill", order.Ahead},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(d.Compare(order.NewReport(c.fence, strings.Fields(c.models), c.role)), c.want)
		})
	}
}

// TestControllers guards against engines that lose all their controllers when one host goes, and
// against a change of one host that moves the engines of others.
func TestControllers(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c", "d", "e", "f"}
	for i := range engines {
		engine := fmt.Sprintf("e%d", i)
		before := order.Controllers(engine, hosts)
		is.Equal(len(before), 3)
		after := order.Controllers(engine, hosts[:5])
		for _, h := range before {
			if h != "f" {
				is.True(strings.Contains(strings.Join(after, ""), h))
			}
		}
	}
	is.Equal(len(order.Controllers("e0", hosts[:1])), 1)
}

// TestPace guards against loads of all hosts together beyond the rate of the weight store,
// and against engines that get no order while their first controllers are down. Hosts accept
// the version up to skew apart.
func TestPace(t *testing.T) {
	const (
		loads = 600 // per minute
		step  = 10 * time.Millisecond
		skew  = 2 * time.Second
	)
	interval := time.Minute / loads
	d := parse(t, loads)
	v := config.VersionOf(7, d)
	hosts := []string{"a", "b", "c", "d", "e", "f"}
	for name, down := range map[string]int{"all hosts": 0, "two hosts down": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			planners := make([]*order.Planner, len(hosts))
			for i, h := range hosts {
				planners[i] = order.NewPlanner(h)
			}
			var begun []time.Duration
			loaded := make(map[string]bool)
			for now := time.Duration(0); now < 4*engines*interval; now += step {
				for i, p := range planners[down:] {
					if now == time.Duration(i)*skew/time.Duration(len(hosts)-1) {
						p.Configure(now, d, v, hosts)
					}
					for _, one := range p.Due(now) {
						if !loaded[one.Engine()] {
							begun = append(begun, now)
						}
						loaded[one.Engine()] = true
					}
				}
			}
			is.Equal(len(loaded), engines)
			for i := range begun {
				for j := i; j < len(begun); j++ {
					is.True(j-i+1 <= int((begun[j]-begun[i]+skew+step)/interval)+1)
				}
			}
		})
	}
}

// TestMissed guards against a host that gives a burst of orders for the slots that it
// missed while it was paused, and against slots that do not return.
func TestMissed(t *testing.T) {
	is := is.New(t)
	d := parse(t, 600)
	p := order.NewPlanner("a")
	p.Configure(0, d, config.VersionOf(7, d), []string{"a"})
	const wake = time.Minute + time.Millisecond // between two slots
	is.True(len(p.Due(wake)) <= 10)             // slots of the last second
	given := 0
	for now := wake; now <= wake+3*engines*100*time.Millisecond; now += 10 * time.Millisecond {
		given += len(p.Due(now))
	}
	is.Equal(given, engines)
}
