package selfreport_test

import (
	"fmt"
	"testing"
	"time"

	"sassafrasward/core/discovery"
	"sassafrasward/core/pick"
	"sassafrasward/core/selfreport"
)

const (
	benchTargets = 600
	benchHosts   = 370
)

// tableGate asks a table directly.
type tableGate struct{ *selfreport.Table }

func (g tableGate) Wait(now time.Duration, t discovery.Target) time.Duration {
	return g.Table.Wait(now, t, selfreport.AllHosts)
}

func (g tableGate) Take(now time.Duration, t discovery.Target) {
	g.Table.Take(now, t, selfreport.AllHosts)
}

func (g tableGate) Rate(now time.Duration, t discovery.Target) float64 {
	return g.Table.Rate(now, t, selfreport.AllHosts)
}

// fullTable returns a table in which every target has stated a limit.
func fullTable() (table *selfreport.Table, targets []discovery.Target) {
	table = selfreport.New("h0")
	table.SetHosts(hostNames(benchHosts))
	for i := range benchTargets {
		t := target(fmt.Sprintf("i-%d", i), 1)
		targets = append(targets, t)
		table.Observe(0, t, selfreport.Statement{Limited: true, Limit: 5})
	}
	return table, targets
}

func hostNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	return names
}

// BenchmarkChoose measures the choice of one of 600 targets: without a gate, with one that no target has
// stated anything to, and with a limit for each target.
func BenchmarkChoose(b *testing.B) {
	table, targets := fullTable()
	for name, gate := range map[string]selfreport.Gate{
		"open": selfreport.OpenGate{}, "nothing stated": tableGate{selfreport.New("h0")}, "all limited": tableGate{table},
	} {
		b.Run(name, func(b *testing.B) {
			c := pick.New(pick.WithGate(gate))
			c.SetTargets(targets)
			b.ReportAllocs()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				if t, _, ok := c.Choose(now, pick.Request{Load: 1}); ok {
					c.Finish(now, pick.Result{Target: t.ID, Load: 1})
				}
			}
		})
	}
}

// BenchmarkHostsChange measures how long it takes to find the new shares of 600 targets after a change of
// the 370 hosts.
func BenchmarkHostsChange(b *testing.B) {
	table, targets := fullTable()
	b.ReportAllocs()
	for i := range b.N {
		table.SetHosts(hostNames(benchHosts - i%2))
		for _, t := range targets {
			table.Wait(0, t, selfreport.AllHosts)
		}
	}
}

// BenchmarkTable measures the memory of 600 statements.
func BenchmarkTable(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		fullTable()
	}
}
