package integration_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

const (
	measureWindow = 40 * time.Second
	// A call of slowCallTime followed by idleTime without work changes the load level of a
	// host as often as hosts tell each other their levels.
	slowCallTime = "20s"
	idleTime     = 15 * time.Second
	smallChanges = 5
	largeChanges = 3
)

// BenchmarkControl measures the control plane cost of fleets of real processes: bytes sent and
// received, CPU time and memory of hosts that watch the platform (watchers) and of those that
// do not (members). Each host serves only one call at a time, which makes its load level
// change. Run it with -benchtime 1x; docs/CAPACITY.md has the results.
func BenchmarkControl(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, n int) {
		hosts, _, _ := startHosts(b, n)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i, h := range hosts {
			go alternateLoad(ctx, h, time.Duration(i)*35*time.Second/time.Duration(n))
		}
		time.Sleep(measureWindow) // the load level of each host has changed at least once
		reportUsage(b, hosts)
	})
}

// BenchmarkSpread measures how long a fleet of real processes takes to start at once, and how
// long a small and a large configuration take to reach all hosts.
func BenchmarkSpread(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, n int) {
		hosts, platform, config := startHosts(b, n)
		b.ReportMetric(meanCPU(readUsages(b, hosts))/1e6, "start-cpu-s")
		version := 1
		measure := func(name string, changes int, padding func() string) {
			worst, before := time.Duration(0), meanCPU(readUsages(b, hosts))
			for range changes {
				version++
				put(b, platform, standin.PathPublish, []byte(config+padding()))
				start := time.Now()
				waitConfig(version, hosts...)
				worst = max(worst, time.Since(start))
			}
			b.ReportMetric(worst.Seconds(), name+"-s")
			b.ReportMetric((meanCPU(readUsages(b, hosts))-before)/float64(changes)/1e3, name+"-cpu-ms")
		}
		measure("small", smallChanges, func() string { return fmt.Sprintf("# %d\n", version) })
		measure("large", largeChanges, func() string { return randomComments(1_000_000-len(config), version) })
	})
}

func forFleetSizes(b *testing.B, measure func(b *testing.B, n int)) {
	for _, n := range []int{1, 6, 24, 96} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				measure(b, n)
			}
		})
	}
}

// meanCPU returns the mean CPU time in microseconds.
func meanCPU(usages []usage) float64 {
	sum := int64(0)
	for _, u := range usages {
		sum += u.cpu
	}
	return float64(sum) / float64(len(usages))
}

// startHosts starts n hosts and waits until all of them serve and list each other as members.
func startHosts(b *testing.B, n int) (hosts []host, platform, config string) {
	platform = startPlatform(b)
	config = fourStageConfig + targetSection("slow", "retrievers", startTarget(b, "--base", slowCallTime, "--slots", "1000"))
	var list []wire.HostEntry
	for i := range n {
		// Each host has its own loopback address: with many hosts on one address, outgoing
		// connections soon take ports that seemed free.
		address := fmt.Sprintf("127.%d.%d.1:", n, i)
		hosts = append(hosts, host{name: fmt.Sprintf("h%03d", i), caller: address + "8101", peer: address + "8102"})
		list = append(list, hostEntry(hosts[i], "a"))
	}
	putJSON(b, platform, standin.PathSetHosts, list)
	put(b, platform, standin.PathPublish, []byte(config))
	start := time.Now()
	for i, h := range hosts {
		hosts[i].process = runHost(b, h, "a", platform)
	}
	for _, h := range hosts {
		h.waitLine(`"event":1002`)
		waitFor(func() bool { return len(status(b, h).Members) == n })
	}
	b.ReportMetric(time.Since(start).Seconds(), "start-s")
	return hosts, platform, config
}

// alternateLoad sends slow requests to the host one after the other, with idleTime between
// them. The first one follows after firstDelay.
func alternateLoad(ctx context.Context, h host, firstDelay time.Duration) {
	for delay := firstDelay; ; delay = idleTime {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+wire.PathPipelines+"availability", strings.NewReader(`{"workspace":"thun","input":1}`))
		if err != nil {
			return
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
}

// randomComments returns configuration comments of random hex digits, which compress to about
// half their size.
func randomComments(size, seed int) string {
	var b strings.Builder
	random := rand.NewChaCha8([32]byte{byte(seed)})
	line := make([]byte, 32)
	for b.Len()+66 < size {
		_, _ = random.Read(line)
		b.WriteString("# " + hex.EncodeToString(line) + "\n")
	}
	return b.String()
}

// usage is the resources that one host has used since its start: bytes exchanged with other
// hosts, and CPU time in microseconds.
type usage struct {
	sent, received, cpu, gossipCPU int64
	watching                       bool
}

func readUsages(b *testing.B, hosts []host) (usages []usage) {
	for _, h := range hosts {
		s := status(b, h)
		usages = append(usages, usage{
			sent: s.Counters["peer.bytes.sent"], received: s.Counters["peer.bytes.received"],
			cpu: s.Counters["process.cpu.micros"], gossipCPU: s.Counters["gossip.busy.micros"], watching: s.Watching,
		})
	}
	return usages
}

// reportUsage measures one window and reports the means over members and over watchers.
func reportUsage(b *testing.B, hosts []host) {
	before, start := readUsages(b, hosts), time.Now()
	time.Sleep(measureWindow)
	after, seconds := readUsages(b, hosts), time.Since(start).Seconds()
	for _, watching := range []bool{false, true} {
		role := "member-"
		if watching {
			role = "watcher-"
		}
		var sum usage
		var memory int64
		hostCount := 0.0
		for i := range hosts {
			if after[i].watching != watching {
				continue
			}
			hostCount++
			sum.sent += after[i].sent - before[i].sent
			sum.received += after[i].received - before[i].received
			sum.cpu += after[i].cpu - before[i].cpu
			sum.gossipCPU += after[i].gossipCPU - before[i].gossipCPU
			memory += anonymousMemory(b, hosts[i])
		}
		if hostCount == 0 {
			continue
		}
		b.ReportMetric(float64(sum.sent)/seconds/hostCount, role+"sent-B/s")
		b.ReportMetric(float64(sum.received)/seconds/hostCount, role+"received-B/s")
		b.ReportMetric(float64(sum.cpu)/seconds/hostCount/1e4, role+"cpu-%")
		b.ReportMetric(float64(sum.gossipCPU)/seconds/hostCount/1e4, role+"gossip-cpu-%")
		b.ReportMetric(float64(memory)/hostCount/1024, role+"memory-MB")
	}
}

// anonymousMemory returns the anonymous resident memory of a host in KiB.
func anonymousMemory(b *testing.B, h host) (kib int64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range bytes.Lines(raw) {
		if text, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			_, _ = fmt.Sscanf(string(text), "%d", &kib)
		}
	}
	return kib
}
