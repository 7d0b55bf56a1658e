package integration_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

// memoryLimit is the memory limit of the hosts of the deployments, in bytes.
const memoryLimit = 284_000_000

// startOddHost starts an edge host with the memory limit of the deployments on a store.
func startOddHost(t *testing.T, store *standin.Store) (h *edgeHost) {
	t.Helper()
	h = &edgeHost{t: t, caller: loopback.FreeAddress()}
	settings := filepath.Join(t.TempDir(), "host.ini")
	text := fmt.Sprintf("[host]\nname = e1\nzone = a\ncaller = %s\npeer = %s\n[edge]\nmemory = %d\n[platform]\naddress = %s\n[join]\nmode = alone\n",
		h.caller, loopback.FreeAddress(), memoryLimit/1_000_000, store.Address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = startProcess(t, "sassafrasward", "edge", "--settings", settings)
	return h
}

// waitServed waits until a request to the path is served.
func (h *edgeHost) waitServed(path, id string) {
	h.t.Helper()
	for n := range 200 {
		if h.send(path, id+strconv.Itoa(n)).status == http.StatusOK {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	h.t.Fatalf("no request to %s is served", path)
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory() int {
	p.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	fields := strings.Fields(rest)
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kilobytes * 1024
}

// TestBytesWithoutEnd guards against a target that sends bytes without end, in a head or in a body, by
// which a host runs out of memory and loses the requests of other callers. The requests are of each kind,
// and calls of their stages.
func TestBytesWithoutEnd(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nX-Response-Signature: sig\r\n"
	for name, answer := range map[string]struct{ prefix, block string }{
		"head":          {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"body":          {signed + "\r\n", "x"},
		"long body":     {signed + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":        {signed + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"event":         {signed + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"},
		"failure":       {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
		"refusal":       {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\r\n", "x"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := standin.NewStore()
			t.Cleanup(store.Close)
			store.PublishConfig(1, `{"name":"sound","host":"h.example","prefix":"/sound/","kind":"non_idempotent","timeoutMs":30000,"sloMs":20000,"service":"other","maxAttempts":1}`)
			e := standin.NewTarget("i-0", func(w http.ResponseWriter, _ *http.Request) { standin.Sign(w) })
			t.Cleanup(e.Stop)
			store.Register(e, "other", "ready")
			address := loopback.ServeEndless(t, answer.prefix, answer.block)
			for i, pool := range []string{"plain", "model", "pieces"} {
				faulty := standin.NewTarget(fmt.Sprintf("i-%d", i+1), nil)
				t.Cleanup(faulty.Stop)
				store.RegisterAt(faulty, address, pool, "ready")
			}
			h := startOddHost(t, store)
			h.waitServed("/sound/", "warm")
			var callers sync.WaitGroup
			stop := make(chan struct{})
			for n := range 40 {
				callers.Go(func() {
					path := []string{"/read/", "/write/", "/chat/", "/talk/"}[n%4]
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
							h.send(path, fmt.Sprintf("faulty%d-%d", n, i))
						}
					}
				})
			}
			for i := range 40 {
				is.Equal(h.send("/sound/", fmt.Sprintf("sound%d", i)).status, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			close(stop)
			callers.Wait()
			peak := h.peakMemory()
			t.Logf("peak memory %d MB", peak/1_000_000)
			is.True(peak < memoryLimit)
		})
	}
}

// TestOddEntries guards against one odd entry among those of the targets by which the hosts that read the
// list end, stop following it, or use what the entry names: while they run, and when they start.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PublishConfig(1)
	newTarget := func(id string) *standin.Target {
		e := standin.NewTarget(id, func(w http.ResponseWriter, _ *http.Request) { standin.Sign(w) })
		t.Cleanup(e.Stop)
		return e
	}
	old, next := newTarget("i-old"), newTarget("i-next")
	store.Register(old, "plain", "ready")
	before := startOddHost(t, store)
	before.waitServed("/read/", "before")
	const entry = `{"service":"plain","address":%s,"zone":"a","version":"v1","slots":%s,"state":"ready","coldRemainingMs":0,"sequence":%s}`
	deep := strings.Repeat("[", 150_000)
	for i, value := range []string{
		deep, strings.Repeat(`{"service":`, 50_000), "\xff\xfe", "null", "7", `"x"`, "{", strings.Repeat("x", 900_000),
		fmt.Sprintf(entry, `"127.0.0.1:65536"`, "4", "1"), fmt.Sprintf(entry, `"127.0.0.1:-1"`, "4", "1"), fmt.Sprintf(entry, `"127.0.0.1:0"`, "4", "1"),
		fmt.Sprintf(entry, `"0.0.0.0:80"`, "4", "1"), fmt.Sprintf(entry, "7", "4", "1"), fmt.Sprintf(entry, deep, "4", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:80"`, "1e400", "1"), fmt.Sprintf(entry, `"127.0.0.1:80"`, "99999999999999999999", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:80"`, "4", "1e400"), fmt.Sprintf(entry, `"127.0.0.1:80"`, "4", strings.Repeat("9", 60_000)),
	} {
		store.Put(fmt.Sprintf("servers/odd-%d", i), value)
	}
	store.Put("servers/", fmt.Sprintf(entry, `"127.0.0.1:80"`, "4", "1"))
	store.Put("servers/a\r\nX-Tenant: b", fmt.Sprintf(entry, `"127.0.0.1:80"`, "4", "1"))
	after := startOddHost(t, store)
	after.waitServed("/read/", "after")
	// Both hosts still follow the list.
	store.Register(next, "plain", "ready")
	store.Put("servers/i-old", "")
	time.Sleep(2 * time.Second) // the bound for a target that is gone
	for name, h := range map[string]*edgeHost{"before": before, "after": after} {
		seen := len(old.RequestIDs())
		for n := range 20 {
			is.Equal(h.send("/write/", fmt.Sprintf("%s-late%d", name, n)).status, http.StatusOK)
		}
		is.Equal(len(old.RequestIDs()), seen)
	}
}
