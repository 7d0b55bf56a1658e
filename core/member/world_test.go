package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/core/member"
)

const step = 100 * time.Millisecond

// world runs many states in virtual time. Each call takes one step there and back.
type world struct {
	now    time.Duration
	random *rand.Rand
	nodes  []*node
	// cut reports whether a host cannot reach another.
	cut func(from, to *node) bool
	// delay is how long a pull takes; pulls are those that run.
	delay time.Duration
	pulls []pull
}

// pull is a running pull.
type pull struct {
	due    time.Duration
	finish func()
}

// node is one process.
type node struct {
	*member.State
	name string
	down bool
	// paused nodes neither tick nor answer.
	paused bool
	// held is the set of documents that the node has read or pulled.
	held map[config.Version]bool
	// pulls counts calls.
	pulls int
}

func newWorld(seed uint64, hosts int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), cut: func(*node, *node) bool { return false }}
	list := w.list(1, hosts)
	for i := range hosts {
		w.start(fmt.Sprintf("h%03d", i), list)
	}
	return w
}

// list returns a host list of the first hosts.
func (w *world) list(version uint64, hosts int) member.HostList {
	l := member.HostList{Version: version}
	for i := range hosts {
		name := fmt.Sprintf("h%03d", i)
		l.Entries = append(l.Entries, member.HostEntry{Host: name, Address: "c-" + name, Peer: "p-" + name})
		l.Live = append(l.Live, "c-"+name)
	}
	return l
}

// start runs a new process of a host that has read the list.
func (w *world) start(name string, list member.HostList, options ...member.Option) *node {
	self := member.Member{Incarnation: w.random.Uint64(), Name: name, Address: "c-" + name, Peer: "p-" + name, Zone: "a"}
	n := &node{name: name, held: make(map[config.Version]bool)}
	n.State = member.New(w.now, rand.New(rand.NewPCG(w.random.Uint64(), 2)), self, options...)
	n.SetHostList(w.now, list)
	w.nodes = append(w.nodes, n)
	return n
}

// publish gives a configuration to a node, as if it had read it from the platform.
func (n *node) publish(now time.Duration, v config.Version) {
	n.held[v] = true
	n.SetConfigVersion(now, v)
}

func version(number uint64) config.Version {
	return config.NewVersion(number, [32]byte{byte(number), byte(number >> 8)})
}

// at returns the running process at a peer address.
func (w *world) at(address string) *node {
	for _, n := range w.nodes {
		if !n.down && "p-"+n.name == address {
			return n
		}
	}
	return nil
}

// run advances the time until done, and reports whether it was within the limit.
func (w *world) run(limit time.Duration, done func() bool) bool {
	for end := w.now + limit; w.now < end; {
		if done() {
			return true
		}
		w.now += step
		for len(w.pulls) > 0 && w.pulls[0].due <= w.now {
			w.pulls[0].finish()
			w.pulls = w.pulls[1:]
		}
		for _, n := range w.nodes {
			if n.down || n.paused {
				continue
			}
			w.carry(n, n.Tick(w.now))
			if n.Ready() {
				n.SetServing(w.now, true)
			}
		}
	}
	return done()
}

func (w *world) carry(n *node, sends []member.Call) {
	for _, send := range sends {
		to := w.at(send.Address())
		reached := to != nil && !to.paused && !w.cut(n, to)
		switch {
		case send.Kind() == member.Pull:
			n.pulls++
			w.pulls = append(w.pulls, pull{due: w.now + w.delay, finish: func() {
				accepted := reached && to.held[send.Version()]
				if accepted {
					n.publish(w.now, send.Version())
				}
				n.Pulled(send, accepted, false)
			}})
		case !reached:
			w.carry(n, n.Failed(w.now, send))
		case send.Kind() == member.IndirectProbe:
			incarnation, address := send.Target()
			far := w.at(address)
			if far != nil && !far.paused && !w.cut(to, far) && far.Self().Incarnation == incarnation {
				n.Reached(send)
			} else {
				w.carry(n, n.Failed(w.now, send))
			}
		default:
			answer, more := to.Serve(w.now, send.Packet())
			w.carry(to, more)
			w.carry(n, n.Answered(w.now, send, answer))
		}
	}
}

// all reports whether the condition holds at all running nodes.
func (w *world) all(holds func(n *node) bool) bool {
	for _, n := range w.nodes {
		if !n.down && !n.paused && !holds(n) {
			return false
		}
	}
	return true
}

func (w *world) ready() bool { return w.all(func(n *node) bool { return n.Ready() }) }

// settled reports whether all running nodes know exactly the running nodes as alive.
func (w *world) settled() bool {
	running := make(map[uint64]bool)
	for _, n := range w.nodes {
		if !n.down {
			running[n.Self().Incarnation] = true
		}
	}
	return w.all(func(n *node) bool {
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
