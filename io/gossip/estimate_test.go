package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sassafrasward/core/capacity"
	"sassafrasward/core/member"
	"sassafrasward/io/gossip"
	"sassafrasward/io/gossip/message"
)

// estimateFleet has hosts that exchange estimates in virtual time, and counts the bytes of these.
type estimateFleet struct {
	now    time.Duration
	states map[string]*member.State
	order  []string
	tables map[string]*capacity.Table
	bytes  int
}

func newEstimateFleet(hosts, targets int) *estimateFleet {
	f := &estimateFleet{states: make(map[string]*member.State), tables: make(map[string]*capacity.Table)}
	list := member.HostList{Version: 1}
	for i := range hosts {
		peer := fmt.Sprintf("h%03d:2", i)
		f.order = append(f.order, peer)
		list.Entries = append(list.Entries, member.HostEntry{Host: fmt.Sprintf("h%03d", i), Address: fmt.Sprintf("h%03d:1", i), Peer: peer})
		list.Live = append(list.Live, fmt.Sprintf("h%03d:1", i))
	}
	for i, peer := range f.order {
		e := list.Entries[i]
		s := member.New(0, rand.New(rand.NewPCG(uint64(i), 1)), member.Member{Incarnation: rand.New(rand.NewPCG(uint64(i), 2)).Uint64(), Name: e.Host, Address: e.Address, Peer: peer, Zone: "a"},
			member.WithStandalone(true), member.WithPeriod(400*time.Millisecond))
		s.SetHostList(0, list)
		f.states[peer], f.tables[peer] = s, capacity.New(uint64(i))
		var processes []uint64
		for t := range targets {
			processes = append(processes, uint64(t+1)<<32)
		}
		f.tables[peer].Retain(processes)
	}
	return f
}

// count adds the bytes of the estimates in a packet.
func (f *estimateFleet) count(p member.Packet) {
	m := &message.Packet{}
	for _, e := range p.Estimates {
		m.Estimates = append(m.Estimates, &message.Estimate{Process: e.Process, Version: e.Version, Speed: e.Speed, Slowdown: e.Slowdown, Demand: e.Demand, Life: uint64(e.TTL.Milliseconds())})
	}
	f.bytes += proto.Size(m)
}

func (f *estimateFleet) deliver(from string, calls []member.Call) {
	for _, call := range calls {
		if call.Kind() != member.Exchange {
			continue
		}
		answer, more := f.states[call.Address()].Serve(f.now, call.Packet())
		f.count(call.Packet())
		f.count(answer)
		f.deliver(call.Address(), more)
		f.deliver(from, f.states[from].Answered(f.now, call, answer))
	}
}

// step advances the time by one tick in which each host publishes its changes.
func (f *estimateFleet) step() {
	f.now += 100 * time.Millisecond
	for _, peer := range f.order {
		s, table := f.states[peer], f.tables[peer]
		for _, e := range s.TakeEstimates(f.now) {
			table.Merge(f.now, gossip.CapacityFact(e))
		}
		for _, fact := range table.TakeFacts(f.now, len(f.order)) {
			s.PublishEstimate(f.now, gossip.EstimateFact(fact))
		}
		f.deliver(peer, s.Tick(f.now))
	}
}

// TestEstimateBytes guards against estimates that take a notable part of the 9 KB a second that a host has
// for all control. Load: 67 hosts with 140 targets and 370 with 600, 390 requests a second whose times vary
// by a factor of 8 at random, so that there is always more changes than may be sent.
func TestEstimateBytes(t *testing.T) {
	for hosts, targets := range map[int]int{67: 140, 370: 600} {
		is := is.New(t)
		f := newEstimateFleet(hosts, targets)
		random := rand.New(rand.NewPCG(1, 1))
		const start, end = 20 * time.Second, 40 * time.Second
		for f.now < end {
			if f.now == start {
				f.bytes = 0
			}
			for range 39 {
				table := f.tables[f.order[random.IntN(hosts)]]
				table.Observe(f.now, uint64(1+random.IntN(targets))<<32, 0, 0.35+7.6*random.Float64())
			}
			f.step()
		}
		perHost := float64(f.bytes) / float64(hosts) / (end - start).Seconds()
		t.Logf("%d hosts, %d targets: %.0f bytes a second sent by each host", hosts, targets, perHost)
		is.True(perHost < 3000) // a third of 9 KB; each host receives as much
		is.True(perHost > 100)  // there were changes
	}
}

// BenchmarkEstimate measures the work of a host for one fact of another one, from the message to the table
// and back into three packets.
func BenchmarkEstimate(b *testing.B) {
	f := newEstimateFleet(2, 600)
	s, table := f.states["h000:2"], f.tables["h000:2"]
	from := f.states["h001:2"].Self()
	raw, _ := proto.Marshal(&message.Estimate{Process: 1 << 32, Version: 1000, Speed: 3, Slowdown: 5, Demand: 4, Life: 80_000})
	b.ReportAllocs()
	for i := range b.N {
		var m message.Estimate
		_ = proto.Unmarshal(raw, &m)
		e := member.Estimate{Process: uint64(i%600+1) << 32, Version: m.GetVersion() + uint64(i), Speed: m.GetSpeed(), Slowdown: m.GetSlowdown(), Demand: m.GetDemand(), TTL: 80 * time.Second}
		s.Serve(0, member.Packet{From: from, Estimates: []member.Estimate{e}})
		for _, e := range s.TakeEstimates(0) {
			table.Merge(0, gossip.CapacityFact(e))
		}
	}
}
