package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"sassafrasward/core/reason"
	"sassafrasward/io/daemon"
	"sassafrasward/io/setting"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

var eventNumber = regexp.MustCompile(`"event":(\d+)`)

// TestEventAfterState guards against events that are logged before the state that they announce is
// published: whoever acts on the line would find the host in the state before.
func TestEventAfterState(t *testing.T) {
	is := is.New(t)
	platform := standin.NewPlatform()
	platform.Publish([]byte(fmt.Sprintf(document, "127.0.0.1:1")))
	platform.SetHosts(nil)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	s, err := setting.Parse([]byte("[host]\nname = h0\nzone = a\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = " +
		strings.TrimPrefix(server.URL, "http://") + "\n[join]\nmode = alone\n"))
	is.NoErr(err)
	type observation struct{ event, state, preset string }
	observations := make(chan observation, 100)
	var d *daemon.Daemon
	log := funcr.NewJSON(func(line string) {
		match := eventNumber.FindStringSubmatch(line)
		if match == nil || match[1] != "1101" && match[1] != "1002" && match[1] != "1003" {
			return
		}
		status := fetchStatus(t, d.Address())
		observations <- observation{match[1], status.State, status.Preset}
	}, funcr.Options{})
	d, err = daemon.New(s, log, daemon.WithDrainDelay(10*time.Millisecond))
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	is.Equal(<-observations, observation{"1101", daemon.StateServing, "ordinary"})
	is.Equal(<-observations, observation{"1002", daemon.StateServing, "ordinary"})
	stop()
	is.Equal(<-observations, observation{"1003", reason.Draining.String(), "ordinary"})
	is.NoErr(<-ended)
}

// fetchStatus returns the status report of the host at an address.
func fetchStatus(t *testing.T, address string) (s daemon.Status) {
	response, err := http.Get("http://" + address + wire.PathStatus)
	if err != nil {
		t.Error(err)
		return s
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		t.Error(err)
	}
	return s
}
