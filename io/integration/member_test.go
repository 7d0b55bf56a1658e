package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/io/daemon"
	"sassafrasward/io/loopback"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// waitFor polls a condition for which no log line can be awaited.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

// waitConfig waits until all hosts have accepted the configuration version.
func waitConfig(version int, hosts ...host) {
	for _, h := range hosts {
		h.waitLine(fmt.Sprintf(`"event":1101,"version":"%d-`, version))
	}
}

// configVersions returns the configuration versions that the process accepted, in order.
func (p *process) configVersions() (versions []int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, line := range p.lines {
		var version int
		if _, rest, ok := strings.Cut(line, `"event":1101,"version":"`); ok {
			_, _ = fmt.Sscanf(rest, "%d-", &version)
			versions = append(versions, version)
		}
	}
	return versions
}

// memberState returns the state in which the host lists the incarnation of another host, or ""
// if it does not list it.
func memberState(t *testing.T, h host, incarnation string) string {
	t.Helper()
	for _, m := range status(t, h).Members {
		if m.Incarnation == incarnation {
			return m.State
		}
	}
	return ""
}

// advertisedHosts returns the names of the hosts in an address answer.
func advertisedHosts(t *testing.T, h host) (names []string) {
	t.Helper()
	response, err := http.Get("http://" + h.caller + wire.PathAddresses)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer wire.Addresses
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	for _, listed := range answer.Hosts {
		names = append(names, listed.Host)
	}
	return names
}

// checkServes checks that the host serves a request of the pipeline summary.
func (f *fleet) checkServes(is *is.I, h host) {
	c := &rawCaller{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	answer, err := c.send(context.Background(), h.caller, "summary", wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)})
	is.NoErr(err)
	// Comparing the reason and detail as well shows why a host refused.
	is.Equal([]string{answer.Outcome, answer.Reason, answer.Detail}, []string{outcome.Done.String(), "", ""})
}

// TestStaleRestart guards against a return to an older preset: a host restarts without state
// while the platform returns an old configuration.
func TestStaleRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.publish("peak")
	waitConfig(2, f.hosts...)
	f.platform.PinVersion(1)
	f.restart(2)
	h := f.hosts[2]
	is.True(strings.Contains(h.waitLine(`"event":1002`), `"version":"2-`)) // serves with the newest configuration
	is.Equal(status(t, h).Preset, "peak")
	f.restart(0)
	f.hosts[0].waitLine(`"event":1002`)
	is.Equal(status(t, f.hosts[0]).Preset, "peak")
	f.platform.PinVersion(0)
	f.publish("ordinary")
	waitConfig(3, f.hosts...)

	// A host that knows only the stale platform and no other host must not serve.
	f.platform.PinVersion(1)
	for i := range 2 {
		f.hosts[i].kill()
	}
	f.restart(2)
	h = f.hosts[2]
	waitConfig(1, h)
	c := &rawCaller{client: http.DefaultClient}
	for range 30 { // the host must refuse for 3 s
		answer, err := c.send(context.Background(), h.caller, "summary", wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)})
		is.NoErr(err)
		is.Equal(answer.Reason, "joining")
		time.Sleep(100 * time.Millisecond)
	}
}

// TestPlatformDown guards against a fleet that needs the platform to run: while it is down,
// hosts must serve, and a host that restarts without state must join through its seeds. The
// next configuration arrives when the platform is back.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.platform.SetDown(true)
	f.hosts[1].kill()
	f.hosts[1].process = runHost(t, f.hosts[1], zone(1), f.platformProxy.address(), fmt.Sprintf("[join]\nseeds = %s, %s", f.hosts[0].peer, f.hosts[2].peer))
	f.hosts[1].waitLine(`"event":1002`)
	for _, h := range f.hosts {
		f.checkServes(is, h)
	}
	f.platform.SetDown(false)
	f.publish("peak")
	waitConfig(2, f.hosts...)
}

// TestPlatformCalls guards against platform load that grows with the number of hosts: three of
// six hosts watch the platform, and the others must learn five configurations without a
// platform call.
func TestPlatformCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	watching := func() (list []bool) {
		for _, h := range f.hosts {
			list = append(list, status(t, h).Watching)
		}
		return list
	}
	count := func() (n int) {
		for _, w := range watching() {
			if w {
				n++
			}
		}
		return n
	}
	waitFor(func() bool {
		for _, h := range f.hosts {
			if len(advertisedHosts(t, h)) != 6 {
				return false
			}
		}
		return count() == 3
	})
	calls := func(h host) int64 { return status(t, h).Counters["platform.calls"] }
	wasWatching, callsBefore, startCalls := watching(), make([]int64, 6), f.platform.ReadCount()
	for i, h := range f.hosts {
		callsBefore[i] = calls(h)
	}
	start := time.Now()
	for i := range 5 {
		f.publish("peak")
		waitConfig(i+2, f.hosts...)
	}
	for i, h := range f.hosts {
		if !wasWatching[i] {
			is.Equal(calls(h), callsBefore[i])
		}
	}
	t.Logf("%d calls at the start of 6 hosts, %d for 5 configurations", startCalls, f.platform.ReadCount()-startCalls)
	// Each watcher makes one call per change and two long polls, which are repeated every 30
	// s.
	waitRounds := 1 + int(time.Since(start)/(30*time.Second))
	is.True(f.platform.ReadCount()-startCalls <= 3*(5+2*waitRounds))
}

// TestHostReplaced guards against address answers that name dead or draining hosts, and
// against hosts that ignore the replacement of a dead one.
func TestHostReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	h := f.hosts[1]
	oldIncarnation := status(t, h).Incarnation
	waitFor(func() bool { return slices.Contains(advertisedHosts(t, f.hosts[0]), h.name) })
	h.kill()
	waitFor(func() bool { return memberState(t, f.hosts[0], oldIncarnation) == "dead" })
	is.True(!slices.Contains(advertisedHosts(t, f.hosts[0]), h.name))

	f.hosts[1] = host{name: h.name, caller: loopback.FreeAddress(), peer: loopback.FreeAddress()}
	f.platform.SetHosts([]wire.HostEntry{hostEntry(f.hosts[0], "a"), hostEntry(f.hosts[1], "b"), hostEntry(f.hosts[2], "c")})
	f.hosts[1].process = runHost(t, f.hosts[1], "b", f.platformProxy.address())
	f.hosts[1].waitLine(`"event":1002`)
	for _, other := range []host{f.hosts[0], f.hosts[2]} {
		waitFor(func() bool { return slices.Contains(advertisedHosts(t, other), h.name) })
		is.Equal(memberState(t, other, oldIncarnation), "dead")
	}
	f.hosts[1].signal(syscall.SIGTERM)
	f.hosts[0].waitLine(fmt.Sprintf(`"event":1602,"host":%q,"phase":"alive","stage":"draining"`, h.name))
	waitFor(func() bool { return !slices.Contains(advertisedHosts(t, f.hosts[0]), h.name) })
}

// TestPausedHost guards against a host that resumes after a pause and serves with an old
// configuration. It must stop serving until it hears from another host, and then serve again,
// as the same incarnation, with the newest configuration.
func TestPausedHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	h := f.hosts[0]
	incarnation := status(t, h).Incarnation
	f.pause(0)
	waitFor(func() bool { return memberState(t, f.hosts[1], incarnation) == "dead" })
	f.publish("peak")
	waitConfig(2, f.hosts[1:]...)
	f.resume(0)
	h.waitLine(fmt.Sprintf(`"event":1002,"host":%q,"version":"2-`, h.name))
	waitFor(func() bool { return memberState(t, f.hosts[1], incarnation) == "serving" })
	is.Equal(status(t, h).Incarnation, incarnation)
	f.checkServes(is, h)
}

// TestLeavingOverHosts guards against a host that still uses a leaving target. Only some hosts
// read the host list; the others must learn from them that the target leaves.
func TestLeavingOverHosts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	list := func(state string) (all []wire.HostEntry) {
		for i, h := range f.hosts {
			all = append(all, hostEntry(h, zone(i)))
		}
		for i := range 2 {
			all = append(all, wire.HostEntry{Host: fmt.Sprintf("t%d", i), Address: f.targetProxies[i].address(), Zone: "a", Kind: wire.KindTarget, State: wire.StateLive})
		}
		all[6].State = state
		return all
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	for _, h := range f.hosts {
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				select {
				case <-stop:
					return
				default:
					f.checkServes(is, h)
				}
			}
		}()
	}
	waitFor(func() bool { return len(f.targets[0].Runs()) > 100 })
	allKnow := func(leaves bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.hosts, func(h host) bool {
				return slices.Contains(status(t, h).Leaving, f.targetProxies[0].address()) != leaves
			})
		}
	}
	start := time.Now()
	f.platform.SetHosts(list(wire.StateLeaving))
	waitFor(allKnow(true))
	t.Logf("all 6 hosts know of the leaving target %v after the change of the host list", time.Since(start).Round(time.Millisecond))
	// A call sent to the target just before may still be in flight. Each caller ends at least
	// one call before the runs are counted.
	otherBefore := len(f.targets[1].Runs())
	waitFor(func() bool { return len(f.targets[1].Runs()) > otherBefore+100 })
	leavingBefore := len(f.targets[0].Runs())
	waitFor(func() bool { return len(f.targets[1].Runs()) > otherBefore+600 })
	is.Equal(len(f.targets[0].Runs()), leavingBefore) // no new work
	f.platform.SetHosts(list(wire.StateLive))
	waitFor(allKnow(false))
	waitFor(func() bool { return len(f.targets[0].Runs()) > leavingBefore })
	close(stop)
	for range f.hosts {
		<-ended
	}
}

// meshFleet is four hosts, each with its own platform. Its host list names the other hosts by
// proxies, so that the connections between each two hosts can be blocked separately.
type meshFleet struct {
	platforms []*standin.Platform
	hosts     []host
	// proxies maps the indices of the calling and the called host to their proxy.
	proxies map[[2]int]*proxy
}

func newMeshFleet(t *testing.T) *meshFleet {
	t.Helper()
	s := &meshFleet{proxies: make(map[[2]int]*proxy)}
	for i := range 4 {
		s.hosts = append(s.hosts, host{name: fmt.Sprintf("h%d", i), caller: loopback.FreeAddress(), peer: loopback.FreeAddress()})
	}
	for i := range s.hosts {
		p := standin.NewPlatform()
		server := httptest.NewServer(p.Handler())
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		var list []wire.HostEntry
		for j, h := range s.hosts {
			entry := hostEntry(h, "a")
			if i != j {
				s.proxies[[2]int{i, j}] = newProxy(t, h.peer)
				entry.Peer = s.proxies[[2]int{i, j}].address()
			}
			list = append(list, entry)
		}
		p.SetHosts(list)
		p.Publish([]byte(fourStageConfig))
		s.platforms = append(s.platforms, p)
		s.hosts[i].process = runHost(t, s.hosts[i], "a", strings.TrimPrefix(server.URL, "http://"))
	}
	for _, h := range s.hosts {
		h.waitLine(`"event":1002`)
	}
	return s
}

// publish publishes a configuration on the platform of one host.
func (s *meshFleet) publish(i int, comment string) {
	s.platforms[i].Publish([]byte(fourStageConfig + "# " + comment + "\n"))
}

// partition sets the faults on the proxies between the first two and the last two hosts. Bytes
// that were blocked before are lost, as it closes their connections.
func (s *meshFleet) partition(set faults) {
	for ends, p := range s.proxies {
		if (ends[0] < 2) != (ends[1] < 2) {
			p.closeConns()
			p.set(set)
		}
	}
}

// TestPartitionHeals guards against a fleet that stays partitioned after the network recovers,
// and against a side that returns to, or stays with, a lower configuration version.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	s := newMeshFleet(t)
	state := func(h host, other daemon.Status) string { return memberState(t, h, other.Incarnation) }
	status3, status0 := status(t, s.hosts[3]), status(t, s.hosts[0])
	s.partition(faults{blockUp: true, blockDown: true})
	waitFor(func() bool { return state(s.hosts[0], status3) == "dead" && state(s.hosts[3], status0) == "dead" })
	for i := range s.hosts {
		s.publish(i, "both sides")
	}
	s.publish(2, "the far side")
	s.publish(3, "the far side")
	waitConfig(2, s.hosts[:2]...)
	waitConfig(3, s.hosts[2:]...)
	for _, h := range s.hosts {
		is.Equal(status(t, h).State, daemon.StateServing)
	}
	s.partition(faults{})
	waitConfig(3, s.hosts...)
	waitFor(func() bool { return state(s.hosts[0], status3) == "serving" && state(s.hosts[3], status0) == "serving" })
	for _, h := range s.hosts {
		is.True(slices.IsSorted(h.configVersions()))
	}
}

// TestSilentPeerConnections guards against hosts that are declared dead, or miss a
// configuration, because open connections stopped passing bytes while new ones work.
func TestSilentPeerConnections(t *testing.T) {
	is := is.New(t)
	s := newMeshFleet(t)
	before := status(t, s.hosts[3])
	for _, p := range s.proxies {
		p.set(faults{blockUp: true, blockDown: true, onlyExisting: true})
	}
	s.publish(0, "news")
	waitConfig(2, s.hosts...)
	waitFor(func() bool { return memberState(t, s.hosts[0], before.Incarnation) == "serving" })
	for _, h := range s.hosts {
		h.mutex.Lock()
		for _, line := range h.lines {
			is.True(!strings.Contains(line, `"phase":"dead"`))
		}
		h.mutex.Unlock()
	}
}
