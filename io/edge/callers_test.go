package edge_test

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// startBoundedHost starts a host with bounds on memory, in MB, and on descriptors, and one plain target.
func startBoundedHost(t testing.TB, memory, descriptors, maxBody int) (host *testHost, target *standin.Target) {
	t.Helper()
	s := standin.NewStore()
	t.Cleanup(s.Close)
	s.SetMaxBody(maxBody)
	target = standin.NewTarget("i-1", func(w http.ResponseWriter, _ *http.Request) { standin.Sign(w) })
	t.Cleanup(target.Stop)
	s.PublishConfig(1)
	s.Register(target, "plain", "ready")
	host = prepareHost(t, s, "e1")
	host.settings = strings.Replace(host.settings, "[edge]\n", fmt.Sprintf("[edge]\nmemory = %d\ndescriptors = %d\n", memory, descriptors), 1)
	host.run(t.Context(), logr.Discard())
	debug.SetMemoryLimit(math.MaxInt64) // the heap of the test has the callers and the target as well
	host.wait(func() bool {
		status, _, _ := host.call(http.MethodGet, "/read/", "warm", nil)
		return status == http.StatusOK
	})
	return host, target
}

// TestRefusedBodies guards against a refused or interrupted body whose request reaches a target, a caller that
// doesn't get the refusal, and a body that arrives changed. The memory has room for a few of the bodies.
func TestRefusedBodies(t *testing.T) {
	const maxBody = 1 << 20
	is := is.New(t)
	host, target := startBoundedHost(t, 20, 500, maxBody)
	body := make([]byte, maxBody)
	for i := range body {
		body[i] = byte(i * 7 >> 3)
	}
	send := func(n int) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+host.address+"/read/", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		if n%2 == 0 {
			r.ContentLength = -1
		}
		standin.SetHeaders(r, fmt.Sprintf("large%d", n))
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	for n := range 2 { // alone
		is.Equal(send(n), http.StatusOK)
		is.True(target.LastRequest().Body == string(body))
	}
	var stalled []net.Conn
	for n := range 20 {
		c, err := net.Dial("tcp", host.address)
		is.NoErr(err)
		stalled = append(stalled, c)
		_, err = fmt.Fprintf(c, "POST /read/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: stalled%d\r\nX-Api-Key: key\r\nX-Deadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n", n, maxBody)
		is.NoErr(err)
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, _ = c.Write(body[:maxBody-1]) // the host may refuse it at once
	}
	time.Sleep(600 * time.Millisecond) // from now on they count as stalled and are interrupted for others
	statuses := make(map[int]int)
	var mutex sync.Mutex
	var callers sync.WaitGroup
	refused := make(map[string]bool)
	for n := 2; n < 32; n++ {
		callers.Go(func() {
			status := send(n)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
			refused[fmt.Sprintf("large%d", n)] = status == http.StatusServiceUnavailable
		})
	}
	callers.Wait()
	for _, c := range stalled {
		_ = c.Close()
	}
	t.Log(statuses)
	for _, id := range target.RequestIDs() {
		is.True(!refused[id] && !strings.HasPrefix(id, "stalled"))
	}
	host.wait(func() bool { return send(32) == http.StatusOK }) // the memory was released
}

// BenchmarkSmallRequest measures small requests on one open connection, with the target and the caller.
func BenchmarkSmallRequest(b *testing.B) {
	host, _ := startBoundedHost(b, 144, 3075, 4<<20)
	client := &http.Client{}
	body := bytes.Repeat([]byte("x"), 1<<10)
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodPost, "http://"+host.address+"/read/", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		standin.SetHeaders(r, "r")
		response, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.StatusCode)
		}
	}
}
