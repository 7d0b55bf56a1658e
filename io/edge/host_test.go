package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/io/edge"
	"sassafrasward/io/loopback"
	"sassafrasward/io/setting"
	"sassafrasward/platform/standin"
)

// newStore starts a stand-in of the metadata store.
func newStore(t *testing.T) *standin.Store {
	t.Helper()
	s := standin.NewStore()
	t.Cleanup(s.Close)
	return s
}

// newEngine starts a stand-in of a target with the ID.
func newEngine(t *testing.T, id string, handle func(w http.ResponseWriter, r *http.Request)) *standin.Target {
	t.Helper()
	e := standin.NewTarget(id, handle)
	t.Cleanup(e.Stop)
	return e
}

// signed returns a handler that responds with a signed body.
func signed(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		standin.Sign(w)
		_, _ = io.WriteString(w, body)
	}
}

// testHost is an edge host under test and the stand-in of its store.
type testHost struct {
	t     testing.TB
	store *standin.Store
	// settings is the text of the settings file.
	settings string
	// address serves callers, ready the readiness check, and directory the address responses.
	// peer is the address for other hosts.
	address, ready, directory, peer string
	stop                            context.CancelFunc
	done                            chan error
	// options configure the host.
	options []edge.Option
}

// startHost runs a host with the name on the store until the end of the test. It returns the host
// and its address for other hosts.
func startHost(t *testing.T, s *standin.Store, name string, seeds ...string) (host *testHost, peer string) {
	t.Helper()
	host = prepareHost(t, s, name, seeds...)
	ctx, stop := context.WithCancel(context.Background())
	host.stop = stop
	host.run(ctx, logr.Discard())
	return host, host.peer
}

// prepareHost returns a host with the name on the store that does not run yet.
func prepareHost(t testing.TB, s *standin.Store, name string, seeds ...string) (host *testHost) {
	t.Helper()
	host = &testHost{t: t, store: s, address: loopback.FreeAddress(), peer: loopback.FreeAddress(), ready: loopback.FreeAddress(), directory: loopback.FreeAddress(), done: make(chan error, 1)}
	host.settings = fmt.Sprintf("[host]\nname = %s\nzone = a\ncaller = %s\npeer = %s\n[edge]\nready = %s\ndirectory = %s\ngrace = 3\nannounce = 50\n[platform]\naddress = %s\n[join]\nmode = alone\n",
		name, host.address, host.peer, host.ready, host.directory, s.Address())
	if len(seeds) > 0 {
		host.settings += "seeds = " + strings.Join(seeds, ",") + "\n"
	}
	return host
}

// run runs the host until the context or the test ends.
func (host *testHost) run(ctx context.Context, log logr.Logger) {
	host.t.Helper()
	settings, err := setting.Parse([]byte(host.settings))
	if err != nil {
		host.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(ctx)
	e := edge.New(settings, log, host.options...)
	go func() { host.done <- e.Run(ctx) }()
	host.t.Cleanup(func() {
		stop()
		if err := <-host.done; err != nil {
			host.t.Errorf("the host ended with %v", err)
		}
	})
}

// wait waits until f returns true, or fails the test after 10 s.
func (host *testHost) wait(f func() bool) {
	host.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	host.t.Fatal("condition not met within 10 s")
}

// waitReady waits until the host reports that it is ready.
func (host *testHost) waitReady() {
	host.t.Helper()
	host.wait(func() bool {
		r, err := http.Get("http://" + host.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// call sends one request, modified by change, and returns the response. The status is 0 if there
// is no response or its body is truncated.
func (host *testHost) call(method, path, id string, change func(r *http.Request)) (status int, body string, h http.Header) {
	host.t.Helper()
	r, err := http.NewRequest(method, "http://"+host.address+path, nil)
	if err != nil {
		host.t.Fatal(err)
	}
	standin.SetHeaders(r, id)
	if change != nil {
		change(r)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(raw), response.Header
	}
	return response.StatusCode, string(raw), response.Header
}

// waitServed waits until requests to the path succeed.
func (host *testHost) waitServed(path string) {
	host.t.Helper()
	n := 0
	host.wait(func() bool {
		n++
		status, _, _ := host.call(http.MethodGet, path, "warm"+strconv.Itoa(n), nil)
		return status == http.StatusOK
	})
}

// without returns the strings of a list that don't have the prefix.
func without(list []string, prefix string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return strings.HasPrefix(s, prefix) })
}

// sharedServed reports whether a request with the shared prompt prefix succeeds.
func (host *testHost) sharedServed(path, id string) bool {
	status, _, _ := host.call(http.MethodPost, path, id, standin.SetSharedPrompt)
	return status == http.StatusOK
}
