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

func newStore(t *testing.T) *standin.Store {
	t.Helper()
	s := standin.NewStore()
	t.Cleanup(s.Close)
	return s
}

func newEngine(t *testing.T, id string, handle func(w http.ResponseWriter, r *http.Request)) *standin.Engine {
	t.Helper()
	e := standin.NewEngine(id, handle)
	t.Cleanup(e.Shut)
	return e
}

// whole answers with a signed body.
func whole(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		standin.Sign(w)
		_, _ = io.WriteString(w, body)
	}
}

// world is a store, engines and one host.
type world struct {
	t     *testing.T
	store *standin.Store
	// address is where callers are served; ready and directory are the other addresses.
	address, ready, directory string
	stop                      context.CancelFunc
	done                      chan error
}

// start runs a host named name against the store.
func start(t *testing.T, s *standin.Store, name string, seeds ...string) (w *world, peer string) {
	t.Helper()
	w = &world{t: t, store: s, address: loopback.Free(), ready: loopback.Free(), directory: loopback.Free(), done: make(chan error, 1)}
	peer = loopback.Free()
	text := fmt.Sprintf("[host]\nname = %s\nzone = a\ncaller = %s\npeer = %s\n[edge]\nready = %s\ndirectory = %s\ngrace = 3\n[platform]\naddress = %s\n[join]\nmode = alone\n",
		name, w.address, peer, w.ready, w.directory, s.Address())
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ",") + "\n"
	}
	settings, err := setting.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	e := edge.New(settings, logr.Discard())
	go func() { w.done <- e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-w.done; err != nil {
			t.Errorf("the host ended with %v", err)
		}
	})
	return w, peer
}

// wait waits until f holds.
func (w *world) wait(f func() bool) {
	w.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatal("did not happen in time")
}

// waitReady waits until the host takes requests.
func (w *world) waitReady() {
	w.t.Helper()
	w.wait(func() bool {
		r, err := http.Get("http://" + w.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// call makes one request and returns its status and body; the status is 0 if the answer
// breaks off.
func (w *world) call(method, path, id string, change func(r *http.Request)) (status int, body string, h http.Header) {
	w.t.Helper()
	r, err := http.NewRequest(method, "http://"+w.address+path, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	standin.Ask(r, id)
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

// served waits until requests with the path reach an engine.
func (w *world) served(path string) {
	w.t.Helper()
	n := 0
	w.wait(func() bool {
		n++
		status, _, _ := w.call(http.MethodGet, path, "warm"+strconv.Itoa(n), nil)
		return status == http.StatusOK
	})
}

func without(list []string, prefix string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return strings.HasPrefix(s, prefix) })
}

// call200 reports whether a request that shares a prompt is served.
func (w *world) call200(path, id string) bool {
	status, _, _ := w.call(http.MethodPost, path, id, standin.AskShared)
	return status == http.StatusOK
}
