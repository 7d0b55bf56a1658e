package edge_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"sassafrasward/io/edge"
	"sassafrasward/platform/standin"
)

// Slow starts of these tests. With coldRate, one part of the fleet sends at most nine requests a second, so that
// two parts have three less than the bound: arrivals on a busy machine are not spaced as they were sent.
const (
	coldRate   = 9.0 // requests a second
	coldTime   = 7 * time.Second
	coldFactor = 1.5
	coldSlack  = 8
	coldBound  = 21 // coldFactor times coldRate plus coldSlack
	// settledTime is how long after its start a host has no shares, with a margin.
	settledTime = 3500 * time.Millisecond
)

// partition is a network between hosts that can be cut. It is safe for concurrent use.
type partition struct {
	mutex sync.Mutex
	// parts has the part of each address; while cut is set, hosts reach only those of their part.
	parts map[string]int
	cut   bool
	open  []openConn
}

type openConn struct {
	conn     net.Conn
	from, to int
}

var errCut = errors.New("the network is cut")

// dialer returns how the hosts of a part connect to others.
func (p *partition) dialer(from int) edge.PeerDialer {
	return func(ctx context.Context, address string) (conn net.Conn, err error) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		to := p.parts[address]
		if p.cut && from != to {
			return nil, errCut
		}
		if conn, err = new(net.Dialer).DialContext(ctx, "tcp", address); err == nil {
			p.open = append(p.open, openConn{conn: conn, from: from, to: to})
		}
		return conn, err
	}
}

// setCut cuts or mends the network.
func (p *partition) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
	for _, c := range p.open {
		if cut && c.from != c.to {
			_ = c.conn.Close()
		}
	}
}

// startColdFleet runs settled hosts with the bound on cold targets, the first half in part 0 of the network.
func startColdFleet(t *testing.T, s *standin.Store, n int) (hosts []*testHost, network *partition) {
	t.Helper()
	s.SetSlowStart(coldTime, coldRate)
	s.PublishConfig(1)
	network = &partition{parts: make(map[string]int)}
	var seeds []string
	for i := range n {
		host := prepareHost(t, s, fmt.Sprintf("e%d", i+1), seeds...)
		host.settings = strings.Replace(host.settings, "[edge]\n", fmt.Sprintf("[edge]\ncoldfactor = %v\ncoldslack = %v\n", coldFactor, coldSlack), 1)
		network.parts[host.peer] = 2 * i / n
		host.options = []edge.Option{edge.WithPeerDialer(network.dialer(2 * i / n))}
		hosts, seeds = append(hosts, host), append(seeds, host.peer)
	}
	for _, host := range hosts {
		host.run(context.Background(), logr.Discard())
	}
	for _, host := range hosts {
		host.waitReady()
	}
	time.Sleep(settledTime)
	return hosts, network
}

// checkCold fails the test if a target got more requests in any second than the bound, or far fewer than it took
// between two times.
func checkCold(t *testing.T, e *standin.Target, from, to time.Time) {
	t.Helper()
	most, received := 0, 0
	times := slices.DeleteFunc(e.Arrivals(), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	for first := range times {
		inSecond := slices.IndexFunc(times[first:], func(at time.Time) bool { return at.Sub(times[first]) > time.Second })
		if inSecond < 0 {
			inSecond = len(times) - first
		}
		most, received = max(most, inSecond), received+1
	}
	t.Logf("at most %d requests in a second, %d in %v", most, received, to.Sub(from))
	if most > coldBound {
		t.Errorf("%d requests in a second, more than %d", most, coldBound)
	}
	if float64(received) < coldRate/2*to.Sub(from).Seconds() {
		t.Errorf("the target got %d requests in %v only", received, to.Sub(from))
	}
}

// TestColdTargetOfHalves guards against halves of a fleet that don't reach each other and together send more than
// a cold target takes, while the halves part and when they are together again.
func TestColdTargetOfHalves(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	hosts, network := startColdFleet(t, s, 4)
	l := startLoad(hosts, 80, http.MethodGet, "/read/", nil)
	defer l.end()
	target := newEngine(t, "i-1", signed("ok"))
	began := time.Now()
	s.RegisterCold(target, "plain", coldTime)
	time.Sleep(time.Second)
	network.setCut(true)
	time.Sleep(4 * time.Second) // each half believes the other dead
	network.setCut(false)
	time.Sleep(time.Until(began.Add(coldTime)))
	checkCold(t, target, began, began.Add(coldTime))
}

// TestTargetBackWhileStoreDown guards against too many requests to a target whose process was replaced while the
// store is down, so that no entry tells of it: refused connections do, and its health tells when it is warm.
func TestTargetBackWhileStoreDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	hosts, _ := startColdFleet(t, s, 3)
	target := newEngine(t, "i-1", signed("ok"))
	s.Register(target, "plain", "ready")
	l := startLoad(hosts, 60, http.MethodGet, "/read/", nil)
	defer l.end()
	hosts[0].wait(func() bool { return l.served.Load() > 60 })
	s.SetBroken(true)
	target.Stop()
	time.Sleep(time.Second) // hosts find that it is gone
	back, err := standin.NewTargetAt(target.Address(), "i-1", signed("ok"))
	is.NoErr(err)
	t.Cleanup(back.Stop)
	back.StateCold(strconv.FormatInt((3 * time.Second).Milliseconds(), 10))
	hosts[0].wait(func() bool { return len(back.Received()) > 0 })
	first := back.Received()[0].At
	time.Sleep(time.Until(first.Add(3 * time.Second)))
	checkCold(t, back, first.Add(-time.Millisecond), first.Add(3*time.Second))
	checks := 0
	for _, r := range back.Received() {
		if r.URL.Path == standin.HealthPath {
			checks++
		}
	}
	is.Equal(checks, 1)
	// It is warm after the time that it stated, and not only after that of its pool.
	hosts[0].wait(func() bool { return mostIn(back, time.Now().Add(-time.Second), time.Second) > coldBound })
	is.True(time.Since(first) < coldTime-time.Second)
}

// TestRefusedWhileCold guards against refusals that come late, or whose retry delay doesn't fit the end of the
// cold time, at a host that may not send to the only target of a pool.
func TestRefusedWhileCold(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	hosts, _ := startColdFleet(t, s, 1)
	target := newEngine(t, "i-1", signed("ok"))
	s.RegisterCold(target, "plain", coldTime)
	l := startLoad(hosts, 80, http.MethodGet, "/read/", nil)
	defer l.end()
	hosts[0].wait(func() bool { return l.refused.Load() > 20 })
	status, _, h := hosts[0].call(http.MethodGet, "/read/", "r1", nil)
	if status == http.StatusServiceUnavailable {
		retry, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(retry > 0 && retry <= 1.5*coldTime.Seconds())
	}
	time.Sleep(time.Second)
	t.Logf("longest refusal %v", time.Duration(l.longest.Load()))
	is.True(time.Duration(l.longest.Load()) < time.Second) // the objective is 300 ms
	is.True(mostIn(target, time.Time{}, time.Second) <= coldBound)
}

// TestColdTargetOfEachKind guards against requests of any kind that don't count towards the rate of a cold target:
// commands, streams, and calls with pieces together with the releases of their results.
func TestColdTargetOfEachKind(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		path, pool string
		change     func(r *http.Request)
	}{
		"commands": {"/write/", "plain", nil},
		"streams":  {"/chat/", "model", nil},
		"pieces":   {"/plan/", "pieces", standin.SetPieces},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStore(t)
			hosts, _ := startColdFleet(t, s, 3)
			answer := signed("ok")
			if test.pool != "plain" {
				answer = func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) }
			}
			if test.pool == "pieces" {
				s.Register(newEngine(t, "m-1", answer), "model", "ready")
			}
			l := startLoad(hosts, 60, http.MethodPost, test.path, test.change)
			defer l.end()
			target := newEngine(t, "i-1", answer)
			began := time.Now()
			s.RegisterCold(target, test.pool, coldTime)
			time.Sleep(4 * time.Second)
			checkCold(t, target, began, began.Add(4*time.Second))
			t.Logf("%d results released", target.FreedResults())
			// Once it is warm, the target gets more.
			hosts[0].wait(func() bool { return mostIn(target, time.Now().Add(-time.Second), time.Second) > int(coldRate)+5 })
		})
	}
}
