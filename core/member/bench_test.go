package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasward/core/member"
)

// newFleetState returns the state of a host that knows a fleet of n serving hosts.
func newFleetState(n int) *member.State {
	self := member.Member{Incarnation: 1, Name: "h0", Zone: "a", Address: "10.0.0.1:1", Peer: "10.0.0.1:2"}
	s := member.New(0, rand.New(rand.NewPCG(1, 1)), self, member.WithStandalone(true), member.WithPeriod(400*time.Millisecond))
	for i := 1; i < n; i++ {
		address := fmt.Sprintf("10.0.%d.%d", i/200, i%200+2)
		s.Serve(0, member.Packet{From: member.Member{
			Incarnation: uint64(i+1) * 0x9e3779b97f4a7c15, Name: fmt.Sprintf("edge-zone-%d-%d", i%5, i), Zone: fmt.Sprintf("zone-%d", i%5), Address: address + ":1", Peer: address + ":2",
			Counter: 2, Lifecycle: member.Serving,
		}})
	}
	// Let the new facts be sent until none is pending.
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		s.Tick(now)
	}
	return s
}

// BenchmarkFleet measures the work of one host for the membership of a large fleet: an idle tick,
// the exchange with a neighbour, and a change of one member that is sent on.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		s := newFleetState(n)
		now := 20 * time.Second
		from := s.Members()[n/2]
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Millisecond
				s.Tick(now)
			}
		})
		b.Run(fmt.Sprintf("serve/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			p := member.Packet{From: from}
			for b.Loop() {
				s.Serve(now, p)
			}
		})
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now += 250 * time.Millisecond
				from.Counter++
				s.Serve(now, member.Packet{From: from})
				s.Tick(now)
				s.Peers()
				s.Members()
			}
		})
	}
}
