package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
)

const step = 100 * time.Millisecond

// simulation runs many states in virtual time. Each call completes within one step.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	nodes  []*node
	// cut reports whether one host cannot reach another.
	cut func(from, to *node) bool
	// delay is how long a pull takes; pulls holds the running ones.
	delay time.Duration
	pulls []pull
}

// pull is a running pull; finish completes it at the time due.
type pull struct {
	due    time.Duration
	finish func()
}

// node is one process of a host.
type node struct {
	*member.State
	name string
	down bool
	// paused nodes neither tick nor answer.
	paused bool
	// documents is the set of configurations that the node has read or pulled.
	documents map[config.Version]bool
	// pulls counts the pulls that the node started.
	pulls int
}

func newSimulation(seed uint64, hosts int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), cut: func(*node, *node) bool { return false }}
	list := sim.list(1, hosts)
	for i := range hosts {
		sim.start(fmt.Sprintf("h%03d", i), list)
	}
	return sim
}

// list returns a host list of the first hosts.
func (sim *simulation) list(version uint64, hosts int) member.HostList {
	l := member.HostList{Version: version}
	for i := range hosts {
		name := fmt.Sprintf("h%03d", i)
		l.Entries = append(l.Entries, member.HostEntry{Host: name, Address: "c-" + name, Peer: "p-" + name})
		l.Live = append(l.Live, "c-"+name)
	}
	return l
}

// start adds a new process of a host that has read the host list.
func (sim *simulation) start(name string, list member.HostList, options ...member.Option) *node {
	self := member.Member{Incarnation: sim.random.Uint64(), Name: name, Address: "c-" + name, Peer: "p-" + name, Zone: "a"}
	n := &node{name: name, documents: make(map[config.Version]bool)}
	n.State = member.New(sim.now, rand.New(rand.NewPCG(sim.random.Uint64(), 2)), self, options...)
	n.SetHostList(sim.now, list)
	sim.nodes = append(sim.nodes, n)
	return n
}

// publish gives a configuration to the node as if it had read it from the platform.
func (n *node) publish(now time.Duration, v config.Version) {
	n.documents[v] = true
	n.SetConfigVersion(now, v)
}

func version(number uint64) config.Version {
	return config.NewVersion(number, [32]byte{byte(number), byte(number >> 8)})
}

// nodeAt returns the running process at a peer address.
func (sim *simulation) nodeAt(address string) *node {
	for _, n := range sim.nodes {
		if !n.down && "p-"+n.name == address {
			return n
		}
	}
	return nil
}

// run advances the time until done returns true, and reports whether this was within the limit.
func (sim *simulation) run(limit time.Duration, done func() bool) bool {
	for end := sim.now + limit; sim.now < end; {
		if done() {
			return true
		}
		sim.now += step
		for len(sim.pulls) > 0 && sim.pulls[0].due <= sim.now {
			sim.pulls[0].finish()
			sim.pulls = sim.pulls[1:]
		}
		for _, n := range sim.nodes {
			if n.down || n.paused {
				continue
			}
			sim.deliver(n, n.Tick(sim.now))
			if n.Ready() {
				n.SetServing(sim.now, true)
			}
		}
	}
	return done()
}

func (sim *simulation) deliver(n *node, calls []member.Call) {
	for _, call := range calls {
		to := sim.nodeAt(call.Address())
		reached := to != nil && !to.paused && !sim.cut(n, to)
		switch {
		case call.Kind() == member.Pull:
			n.pulls++
			sim.pulls = append(sim.pulls, pull{due: sim.now + sim.delay, finish: func() {
				accepted := reached && to.documents[call.Version()]
				if accepted {
					n.publish(sim.now, call.Version())
				}
				sim.deliver(n, n.Pulled(call, accepted, false))
			}})
		case !reached:
			sim.deliver(n, n.Failed(sim.now, call))
		case call.Kind() == member.IndirectProbe:
			incarnation, address := call.Target()
			probed := sim.nodeAt(address)
			if probed != nil && !probed.paused && !sim.cut(to, probed) && probed.Self().Incarnation == incarnation {
				n.Reached(call)
			} else {
				sim.deliver(n, n.Failed(sim.now, call))
			}
		default:
			answer, more := to.Serve(sim.now, call.Packet())
			sim.deliver(to, more)
			sim.deliver(n, n.Answered(sim.now, call, answer))
		}
	}
}

// all reports whether the condition holds for all running nodes.
func (sim *simulation) all(holds func(n *node) bool) bool {
	for _, n := range sim.nodes {
		if !n.down && !n.paused && !holds(n) {
			return false
		}
	}
	return true
}

func (sim *simulation) ready() bool { return sim.all(func(n *node) bool { return n.Ready() }) }

// converged reports whether each running node considers exactly the running processes alive.
func (sim *simulation) converged() bool {
	running := make(map[uint64]bool)
	for _, n := range sim.nodes {
		if !n.down {
			running[n.Self().Incarnation] = true
		}
	}
	return sim.all(func(n *node) bool {
		alive := 0
		for _, m := range n.Members() {
			if m.Liveness == member.Dead {
				continue
			}
			if m.Liveness != member.Alive || !running[m.Incarnation] {
				return false
			}
			alive++
		}
		return alive == len(running)
	})
}
