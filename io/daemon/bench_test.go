package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"sassafrasward/core/outcome"
	"sassafrasward/io/caller"
	"sassafrasward/io/daemon"
	"sassafrasward/io/setting"
	"sassafrasward/io/standin"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

const document = `[document]
preset = ordinary
[preset ordinary]
[workspace thun]
share = 1
[pool services]
kind = service
[target service1]
pool = services
address = %s
zone = a
slots = 1000
[stage one]
pool = services
[stage two]
pool = services
[stage three]
pool = services
[stage four]
pool = services
[pipeline single]
stages = one
deadline = 1m
[pipeline four]
stages = one, two, three, four
deadline = 1m
`

// clockTick is the unit of the CPU times that Linux shows for a process.
const clockTick = 10 * time.Millisecond

// environment is what a daemon needs to run: a platform, and a target that answers at once. Both
// run in the process of the benchmark.
type environment struct {
	target   string
	platform string
	settings string
}

func newEnvironment(b *testing.B) environment {
	b.Helper()
	targetServer := httptest.NewServer(standin.NewTarget("service1", standin.WithSlots(1_000)).Handler())
	b.Cleanup(targetServer.Close)
	platform := standin.NewPlatform()
	s := environment{target: strings.TrimPrefix(targetServer.URL, "http://")}
	platform.Publish([]byte(fmt.Sprintf(document, s.target)))
	platform.SetHosts(nil)
	platformServer := httptest.NewServer(platform.Handler())
	b.Cleanup(platformServer.CloseClientConnections)
	s.platform = strings.TrimPrefix(platformServer.URL, "http://")
	s.settings = "[host]\nname = bench\nzone = a\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = " + s.platform + "\n[join]\nmode = alone\n"
	return s
}

// requestFunc sends one request of the benchmark.
type requestFunc func() error

func viaDaemon(address, pipeline string) requestFunc {
	client := caller.New([]string{address})
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`{"text":"x"}`)}
	return func() error {
		answer, err := client.Call(context.Background(), pipeline, request, nil)
		if err == nil && answer.Outcome != outcome.Done.String() {
			return fmt.Errorf("%s %s", answer.Outcome, answer.Reason)
		}
		return err
	}
}

func direct(address string) requestFunc {
	client := target.New()
	run := wire.Run{Request: "r", Stage: "one", Attempt: 1, Deadline: 60_000, Input: json.RawMessage(`{"text":"x"}`)}
	return func() error {
		_, err := client.Run(context.Background(), address, run, nil)
		return err
	}
}

// measure makes b.N sequential calls and reports their latency and allocations.
func measure(b *testing.B, call requestFunc) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		began := time.Now()
		if err := call(); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(began).Microseconds())
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "mallocs/op")
}

// BenchmarkDirect calls the target without a daemon, as the baseline of the other benchmarks.
func BenchmarkDirect(b *testing.B) { measure(b, direct(newEnvironment(b).target)) }

// BenchmarkInside calls a daemon in this process. The daemon's own mallocs/op are those of this
// benchmark minus those of BenchmarkProcess, which count only the caller and the target.
func BenchmarkInside(b *testing.B) {
	for _, pipeline := range []string{"single", "four"} {
		b.Run(pipeline, func(b *testing.B) {
			s, err := setting.Parse([]byte(newEnvironment(b).settings))
			if err != nil {
				b.Fatal(err)
			}
			d, err := daemon.New(s, logr.Discard(), daemon.WithDrainDelay(0))
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- d.Run(ctx) }()
			b.Cleanup(func() {
				cancel()
				if err := <-ended; err != nil {
					b.Error(err)
				}
			})
			call := viaDaemon(d.Address(), pipeline)
			waitServing(b, call)
			measure(b, call)
		})
	}
}

// waitServing repeats the call until the daemon serves.
func waitServing(b *testing.B, call requestFunc) {
	b.Helper()
	for err := call(); err != nil; err = call() {
		if b.Context().Err() != nil {
			b.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// process is a daemon in a process of its own with GOMAXPROCS=1.
type process struct {
	address string
	id      int
}

func startProcess(b *testing.B, s environment) process {
	b.Helper()
	dir := b.TempDir()
	binary, path := filepath.Join(dir, "sassafrasward"), filepath.Join(dir, "host.ini")
	build := exec.Command("go", "build", "-o", binary, "sassafrasward/cmd/sassafrasward")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	if err := os.WriteFile(path, []byte(s.settings), 0o600); err != nil {
		b.Fatal(err)
	}
	command := exec.Command(binary, "serve", "--settings", path)
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	log, err := command.StderrPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return process{address: callerAddress(b, bufio.NewScanner(log)), id: command.Process.Pid}
}

// callerAddress reads the address for callers from the log line that the daemon writes when it
// starts.
func callerAddress(b *testing.B, scanner *bufio.Scanner) string {
	b.Helper()
	for scanner.Scan() {
		var line struct {
			Caller string `json:"caller"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Caller != "" {
			go func() {
				for scanner.Scan() {
				}
			}()
			return line.Caller
		}
	}
	b.Fatal("the daemon exited without logging its address")
	return ""
}

// cpuTime returns the CPU time that the process has used.
func (p process) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.id))
	if err != nil {
		b.Skip("CPU times of processes are read from /proc")
	}
	// Fields 14 and 15 are user and system time. Field 2, the command name, ends with the last
	// parenthesis.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// BenchmarkProcess makes sequential calls to a daemon process and measures the added latency
// and the CPU time per request.
func BenchmarkProcess(b *testing.B) {
	for _, pipeline := range []string{"single", "four"} {
		b.Run(pipeline, func(b *testing.B) {
			p := startProcess(b, newEnvironment(b))
			call := viaDaemon(p.address, pipeline)
			waitServing(b, call)
			before := p.cpuTime(b)
			measure(b, call)
			b.ReportMetric(float64((p.cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkThroughput calls a daemon process from 64 concurrent callers and measures requests/s
// on one core.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	for _, pipeline := range []string{"single", "four"} {
		b.Run(pipeline, func(b *testing.B) {
			http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = callers
			p := startProcess(b, newEnvironment(b))
			call := viaDaemon(p.address, pipeline)
			waitServing(b, call)
			before := p.cpuTime(b)
			b.ResetTimer()
			work := make(chan struct{}, callers)
			var all sync.WaitGroup
			for range callers {
				all.Go(func() {
					for range work {
						if err := call(); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			all.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64((p.cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkTokens streams answers of 1,000 tokens through a daemon process and measures the CPU
// time per token. At the load expected in two years, tokens cost more CPU time than the requests
// themselves.
func BenchmarkTokens(b *testing.B) {
	const tokens = 1_000
	p := startProcess(b, newEnvironment(b))
	client := caller.New([]string{p.address})
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`{"text":"x"}`), Size: tokens}
	call := func() error {
		got := 0
		_, err := client.Call(context.Background(), "single", request, func(wire.Token) { got++ })
		if err == nil && got != tokens {
			return fmt.Errorf("%d tokens", got)
		}
		return err
	}
	waitServing(b, call)
	before := p.cpuTime(b)
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	used := p.cpuTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N)/tokens, "cpu-µs/token")
	b.ReportMetric(float64(b.N)*tokens/b.Elapsed().Seconds(), "tokens/s")
}
