package integration_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	"sassafrasward/io/loopback"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// fleet is a platform, hosts as processes, and targets in the test process behind proxies. The
// targets are in the test process so that their run records survive the faults.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	server   *httptest.Server
	// platformProxy is between the hosts and the platform.
	platformProxy *proxy
	hosts         []host
	// callerProxies lead to the caller listeners of hosts, peerProxies to their peer
	// listeners.
	callerProxies, peerProxies []*proxy
	targets                    []*standin.Target
	targetProxies              []*proxy
	// targetNames has the name of the target behind each of targetProxies.
	targetNames []string
	// config is the configuration without its preset line.
	config    string
	published int
}

const fleetConfig = `
[preset ordinary]
[preset peak]
retry = 5
[workspace thun]
share = 1
[pool retrievers]
kind = service
[pool assistants]
kind = engine
[pool deposits]
kind = service
[stage retrieve]
pool = retrievers
[stage generate]
pool = assistants
[stage deposit]
pool = deposits
command = true
[pipeline summary]
stages = retrieve, generate
deadline = 3s
[pipeline deposit]
stages = deposit
deadline = 3s
`

var fleetPools = []string{"retrievers", "assistants", "deposits"}

// newFleet starts n hosts and two targets for each pool.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: standin.NewPlatform(), config: fleetConfig}
	f.server = httptest.NewServer(f.platform.Handler())
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	f.platformProxy = newProxy(t, f.server.Listener.Addr().String())
	for _, pool := range fleetPools {
		for i := range 2 {
			f.addTarget(fmt.Sprintf("%s%d", pool, i), pool)
		}
	}
	var list []wire.HostEntry
	for i := range n {
		h := host{name: fmt.Sprintf("h%d", i), caller: loopback.FreeAddress(), peer: loopback.FreeAddress()}
		f.hosts = append(f.hosts, h)
		f.callerProxies = append(f.callerProxies, newProxy(t, h.caller))
		f.peerProxies = append(f.peerProxies, newProxy(t, h.peer))
		entry := hostEntry(h, zone(i))
		entry.Peer = f.peerProxies[i].address()
		list = append(list, entry)
	}
	f.platform.SetHosts(list)
	f.publish("ordinary")
	for i := range f.hosts {
		f.hosts[i].process = runHost(t, f.hosts[i], zone(i), f.platformProxy.address())
	}
	for _, h := range f.hosts {
		h.waitLine(`"event":1002`)
	}
	return f
}

// crashInput is a text that crashes the targets of a fleet if an input contains it.
const crashInput = "poison"

// zone returns the availability zone of the host with the given index.
func zone(i int) string { return string(rune('a' + i%3)) }

func (f *fleet) addTarget(name, pool string) {
	// A crashed target refuses connections until the test restores it.
	refuseConns := func() { f.targetProxy(name).set(faults{refuse: true}) }
	target := standin.NewTarget(name, standin.WithLatency(2*time.Millisecond, 0), standin.WithCrashInput(crashInput, refuseConns))
	server := httptest.NewServer(target.Handler())
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p := newProxy(f.t, server.Listener.Addr().(*net.TCPAddr).String())
	f.targets = append(f.targets, target)
	f.targetProxies = append(f.targetProxies, p)
	f.targetNames = append(f.targetNames, name)
	f.config += targetSection(name, pool, p.address())
}

// targetProxy returns the proxy of the named target.
func (f *fleet) targetProxy(target string) *proxy {
	return f.targetProxies[slices.Index(f.targetNames, target)]
}

// eachTargetProxy calls the function with the proxy of each target.
func (f *fleet) eachTargetProxy(do func(*proxy)) {
	for _, p := range f.targetProxies {
		do(p)
	}
}

// restoreTargets ends all faults of the target proxies.
func (f *fleet) restoreTargets() { f.eachTargetProxy(func(p *proxy) { p.set(faults{}) }) }

// publish publishes a new configuration with the preset active.
func (f *fleet) publish(preset string) {
	f.published++
	f.platform.Publish([]byte("[document]\npreset = " + preset + "\n" + f.config + fmt.Sprintf("\n# %d\n", f.published)))
}

// restart kills a host and starts it again without state.
func (f *fleet) restart(i int) {
	f.hosts[i].kill()
	f.hosts[i].process = runHost(f.t, f.hosts[i], zone(i), f.platformProxy.address())
}

func (f *fleet) pause(i int)  { f.hosts[i].signal(syscall.SIGSTOP) }
func (f *fleet) resume(i int) { f.hosts[i].signal(syscall.SIGCONT) }

// runRecords returns the run records of all targets.
func (f *fleet) runRecords() (entries []standin.RunRecord) {
	for _, target := range f.targets {
		entries = append(entries, target.Runs()...)
	}
	return entries
}

// newRawCaller returns a caller that knows all hosts, by their proxies.
func (f *fleet) newRawCaller(timeout time.Duration) *rawCaller {
	c := &rawCaller{client: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, front := range f.callerProxies {
		c.hosts = append(c.hosts, front.address())
	}
	return c
}
