package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/caller"
	"sassafrasward/io/wire"
)

// script is a host that gives its answers in turn; the last one is repeated.
type script struct {
	answers []string
	fleet   *fleet
	address string
}

// fleet counts what the hosts were sent.
type fleet struct {
	hosts  []*script
	mutex  sync.Mutex
	issued int
	// keys has the key of each send, in order, with the host that got it.
	keys []string
}

func newFleet(t *testing.T, hosts ...[]string) *fleet {
	f := &fleet{}
	for _, answers := range hosts {
		h := &script{answers: answers, fleet: f}
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		h.address = strings.TrimPrefix(server.URL, "http://")
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (h *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.fleet.mutex.Lock()
	defer h.fleet.mutex.Unlock()
	if r.Method == http.MethodGet {
		h.addresses(w, r.URL.Query().Get("keys") == "1")
		return
	}
	var request wire.Request
	_ = json.NewDecoder(r.Body).Decode(&request)
	h.fleet.keys = append(h.fleet.keys, request.Key)
	answer := h.answers[0]
	if len(h.answers) > 1 {
		h.answers = h.answers[1:]
	}
	if answer == "cut" {
		panic(http.ErrAbortHandler)
	}
	o, why, _ := strings.Cut(answer, " ")
	_ = json.NewEncoder(w).Encode(wire.Answer{Outcome: o, Reason: why})
}

func (h *script) addresses(w http.ResponseWriter, key bool) {
	answer := wire.Addresses{Lifetime: 60_000}
	for _, one := range h.fleet.hosts {
		answer.Hosts = append(answer.Hosts, wire.Host{Address: one.address})
	}
	if key && h.answers[0] != "not-run draining" {
		h.fleet.issued++
		answer.Keys = []string{fmt.Sprintf("k%d", h.fleet.issued)}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// TestCommand guards against a second key for an action that may have run, and against an
// end that is told although it is open.
func TestCommandResend(t *testing.T) {
	for _, one := range []struct {
		hosts [][]string
		want  string
		keys  string
	}{
		{[][]string{{"done"}}, "done", "k1"},
		{[][]string{{"cut"}, {"done"}}, "done", "k1 k1"},
		{[][]string{{"cut"}, {"unknown owner"}, {"done"}}, "done", "k1 k1 k1"},
		{[][]string{{"cut"}, {"not-run overload"}}, "unknown overload", "k1 k1 k1 k1"},
		{[][]string{{"cut"}, {"not-run draining"}}, "unknown draining", "k1 k1 k1 k1"},
		{[][]string{{"unknown owner"}, {"not-run overload"}}, "unknown overload", "k1 k1 k1 k1"},
		{[][]string{{"cut", "unknown silent"}}, "unknown silent", "k1 k1"},
		{[][]string{{"unknown crashed"}, {"done"}}, "unknown crashed", "k1"},
		{[][]string{{"failed rejected"}, {"done"}}, "failed rejected", "k1"},
		{[][]string{{"not-run overload"}, {"done"}}, "not-run overload", "k1"},
		{[][]string{{"not-run keyless", "done"}}, "done", " k1"},
	} {
		f := newFleet(t, one.hosts...)
		run := caller.New([]string{f.hosts[0].address}).Command
		if one.hosts[0][0] == "not-run keyless" {
			run = func(ctx context.Context, pipeline string, request wire.Request) (wire.Answer, error) {
				return caller.New([]string{f.hosts[0].address}).Call(ctx, pipeline, request, nil)
			}
		}
		answer, err := run(context.Background(), "deposit", wire.Request{Workspace: "thun"})
		f.mutex.Lock()
		got := strings.TrimSpace(answer.Outcome + " " + answer.Reason)
		if err != nil || got != one.want || strings.Join(f.keys, " ") != one.keys {
			t.Errorf("%v: %s with keys %v, want %s with %s; error %v", one.hosts, got, f.keys, one.want, one.keys, err)
		}
		f.mutex.Unlock()
	}
}

// TestCommandRenews guards against a command that is never run because the owner of its
// key stops, and against a replaced key of the application, which may have sent it before.
func TestCommandNewKey(t *testing.T) {
	is := is.New(t)
	for _, one := range []struct{ key, want string }{{"", "k1 k1 k1 k1 k2 k2"}, {"given", "given given given given"}} {
		f := newFleet(t, []string{"not-run joining", "not-run draining"}, []string{"not-run draining", "not-run draining", "done"})
		_, err := caller.New([]string{f.hosts[0].address}).Command(context.Background(), "deposit", wire.Request{Workspace: "thun", Key: one.key})
		is.NoErr(err)
		f.mutex.Lock()
		is.Equal(strings.Join(f.keys, " "), one.want)
		f.mutex.Unlock()
	}
}
