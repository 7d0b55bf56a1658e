package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

// TestEstimatesReachOtherHosts guards against estimates that are made and not sent, or that other hosts don't
// take in. Load: 24 hosts and 30 targets, a third of them slow; all hosts but the last one send a request a
// second until the last one has estimates of others.
func TestEstimatesReachOtherHosts(t *testing.T) {
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	for i := range 30 {
		s.Register(newEngine(t, fmt.Sprintf("i-%d", i), func(w http.ResponseWriter, _ *http.Request) {
			if i%3 == 0 {
				time.Sleep(400 * time.Millisecond)
			}
			events(w, 1, 3, true)
		}), "model", "ready")
	}
	var hosts []*testHost
	var seeds []string
	metrics := loopback.FreeAddress()
	for i := range 24 {
		h := prepareHost(t, s, "e"+strconv.Itoa(i), seeds...)
		h.settings = strings.Replace(h.settings, "[edge]\n", "[edge]\nestimates = on\n", 1)
		if i == 23 {
			h.settings = strings.Replace(h.settings, "[edge]\n", "[edge]\nmetrics = "+metrics+"\n", 1)
		}
		h.run(context.Background(), logr.Discard())
		hosts = append(hosts, h)
		seeds = []string{hosts[0].peer}
	}
	for _, h := range hosts {
		h.waitReady()
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	for round := 0; counter(metrics, "estimate.merged") == 0; round++ {
		if round == 60 {
			t.Fatal("no estimates within 60 rounds")
		}
		for i, h := range hosts[:23] {
			calls.Go(func() { h.call(http.MethodPost, "/chat/", fmt.Sprintf("s%d-%d", round, i), standin.SetSharedPrompt) })
		}
		time.Sleep(time.Second)
	}
	is.Equal(counter(metrics, "estimate.sent"), 0) // it has nothing to tell
}

// counter returns the value of a counter on the metrics address of a host.
func counter(address, name string) (value int) {
	r, err := http.Get("http://" + address)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	raw, _ := io.ReadAll(r.Body)
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == name {
			value, _ = strconv.Atoi(fields[1])
		}
	}
	return value
}
