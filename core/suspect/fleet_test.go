package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrasward/core/suspect"
)

const (
	// badPart crashes each target that begins to answer a prompt with it.
	badPart = 1
	step    = 5 * time.Millisecond
	// contactTime is how long a host is connected to the others before the bounds hold for it.
	contactTime = 3 * time.Second
)

// fleet simulates hosts that send requests to targets and tell each other of crashes.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	hosts   []*suspect.Parts
	targets []*simTarget
	records []delivery
	// crashes has the times of the crashes by the bad part.
	crashes []time.Duration
	// badSent has the times at which requests with the bad part were sent to a target, soundRefused
	// those at which sound ones were refused, of sound in all.
	badSent, soundRefused []time.Duration
	sound                 int
}

// delivery is a record on its way to another host.
type delivery struct {
	due, sent time.Duration
	host      int
	record    suspect.PartRecord
}

// simTarget is a target with the requests that it has; downUntil is when it is back after a crash.
type simTarget struct {
	id        uint64
	downUntil time.Duration
	requests  []*simRequest
}

// simRequest is a request at a target, with the times at which its answer begins, has its first event
// and ends.
type simRequest struct {
	host                  int
	parts                 []uint64
	begins, first, endsAt time.Duration
}

func newFleet(seed uint64, hosts, targets int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for host := range hosts {
		f.hosts = append(f.hosts, suspect.NewParts(func(r suspect.PartRecord) { f.spread(host, r) }))
	}
	for range targets {
		f.targets = append(f.targets, &simTarget{id: f.random.Uint64()})
	}
	return f
}

// between returns a random time from a to b milliseconds.
func (f *fleet) between(a, b int) time.Duration {
	return time.Duration(a+f.random.IntN(b-a)) * time.Millisecond
}

// spread sends a record to all other hosts.
func (f *fleet) spread(from int, r suspect.PartRecord) {
	for host := range f.hosts {
		if host != from {
			f.records = append(f.records, delivery{due: f.now + f.between(20, 400), sent: f.now, host: host, record: r})
		}
	}
}

// send sends a request with the parts through a random host.
func (f *fleet) send(parts []uint64) {
	bad, host := slices.Contains(parts, badPart), f.random.IntN(len(f.hosts))
	if !bad {
		f.sound++
	}
	if _, refused := f.hosts[host].Refused(f.now, parts); refused {
		if !bad {
			f.soundRefused = append(f.soundRefused, f.now)
		}
		return
	}
	up := slices.DeleteFunc(slices.Clone(f.targets), func(t *simTarget) bool { return f.now < t.downUntil })
	if len(up) == 0 {
		return
	}
	if bad {
		f.badSent = append(f.badSent, f.now)
	}
	r := &simRequest{host: host, parts: parts, begins: f.now + f.between(20, 700)}
	r.first = r.begins + f.between(60, 120)
	r.endsAt = r.first + f.between(100, 3000)
	t := up[f.random.IntN(len(up))]
	t.requests = append(t.requests, r)
}

// crash ends a target; its hosts record what they observe.
func (f *fleet) crash(t *simTarget) {
	for _, r := range t.requests {
		progress := suspect.Underway
		switch {
		case f.now < r.begins:
			progress = suspect.Unclear
		case f.now < r.first || slices.Contains(r.parts, badPart):
			progress = suspect.Begun
		}
		f.hosts[r.host].RecordCrash(f.now, t.id, progress, r.parts)
	}
	t.id, t.downUntil, t.requests = f.random.Uint64(), f.now+f.between(2000, 4000), nil
}

// advance runs one step of the targets and the network.
func (f *fleet) advance() {
	f.now += step
	for _, t := range f.targets {
		var running []*simRequest
		fails := false
		for _, r := range t.requests {
			fails = fails || f.now >= r.first && slices.Contains(r.parts, badPart)
			if f.now >= r.endsAt {
				f.hosts[r.host].RecordCompletion(f.now, r.parts)
				continue
			}
			running = append(running, r)
		}
		t.requests = running
		if fails {
			f.crashes = append(f.crashes, f.now)
			f.crash(t)
		}
	}
	var waiting []delivery
	due := f.records
	f.records = nil // merging may add records
	for _, d := range due {
		if d.due > f.now {
			waiting = append(waiting, d)
			continue
		}
		f.hosts[d.host].Merge(f.now, f.now-d.sent, d.record)
	}
	f.records = append(f.records, waiting...)
}

// after returns how many of the times are later than t.
func after(times []time.Duration, t time.Duration) (n int) {
	for _, other := range times {
		if other > t {
			n++
		}
	}
	return n
}

// TestFleetFindsPart guards, in a fleet under load, against requests that go on to crash targets by
// one part of their prompts, and against sound requests that are refused because of that, or because
// many targets end together. The bounds are those of the users: three more requests from three
// seconds after the fifth crash on, and half of the sound ones served.
func TestFleetFindsPart(t *testing.T) {
	for _, test := range []struct {
		hosts, targets int
		// soundRate and badRate are in requests a second.
		soundRate, badRate float64
	}{
		{6, 9, 25, 2},
		{6, 9, 25, 0.3},
		{6, 12, 60, 12},
		{60, 140, 180, 8},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d hosts, %g/s, seed %d", test.hosts, test.badRate, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, test.hosts, test.targets)
				for f.now < 30*time.Second {
					f.advance()
					if f.now == 2*time.Second { // a rack loses power
						for _, target := range f.targets[:test.targets/2] {
							f.crash(target)
						}
					}
					prompt := func(middle uint64) []uint64 {
						return []uint64{10 + min(f.random.Uint64N(30), f.random.Uint64N(30)), middle}
					}
					if f.random.Float64() < test.soundRate*step.Seconds() {
						f.send(prompt(100 + f.random.Uint64N(300)))
					}
					if f.now > 5*time.Second && f.random.Float64() < test.badRate*step.Seconds() {
						f.send(prompt(badPart))
					}
				}
				if len(f.crashes) == 0 {
					t.Fatal("no target crashed")
				}
				fifth := f.crashes[min(4, len(f.crashes)-1)]
				later := after(f.badSent, fifth+contactTime)
				refused := after(f.soundRefused, 0)
				t.Logf("%d crashes, %d bad requests sent later, %d of %d sound ones refused", len(f.crashes), later, refused, f.sound)
				if later > 3 {
					t.Errorf("%d requests with the bad part were sent later than %s after the fifth crash", later, contactTime)
				}
				if 2*refused > f.sound {
					t.Errorf("%d of %d sound requests were refused", refused, f.sound)
				}
			})
		}
	}
}
