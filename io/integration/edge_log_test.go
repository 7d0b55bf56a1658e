package integration_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

// TestEdgeLogsOutcomes guards against refused or failed requests that the log does not
// explain: a real process must log the status and the reason of each request under its id.
func TestEdgeLogsOutcomes(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	engine := standin.NewTarget("i-0", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/read/ok":
			standin.Sign(w)
		case "/write/fails":
			standin.Sign(w)
			w.WriteHeader(http.StatusInternalServerError)
		case "/write/full":
			standin.Refuse(w)
		default:
			panic(http.ErrAbortHandler)
		}
	})
	t.Cleanup(engine.Stop)
	store.PublishConfig(1)
	store.Register(engine, "plain", "ready")
	settings := filepath.Join(t.TempDir(), "host.ini")
	callerAddress := loopback.FreeAddress()
	text := fmt.Sprintf("[host]\nname = e1\nzone = a\ncaller = %s\npeer = %s\n[platform]\naddress = %s\n[join]\nmode = alone\n", callerAddress, loopback.FreeAddress(), store.Address())
	is.NoErr(os.WriteFile(settings, []byte(text), 0o600))
	host := startProcess(t, "sassafrasward", "edge", "--settings", settings)

	send := func(path, id string, change func(r *http.Request)) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+callerAddress+path, nil)
		is.NoErr(err)
		standin.SetHeaders(r, id)
		if change != nil {
			change(r)
		}
		client := &http.Client{Timeout: 5 * time.Second}
		response, err := client.Do(r)
		if err != nil {
			return 0
		}
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	for n := 0; n < 400 && send("/read/ok", "warm", nil) != http.StatusOK; n++ {
		time.Sleep(25 * time.Millisecond)
	}
	for _, test := range []struct {
		path, id, reason string
		status           int
		change           func(r *http.Request)
	}{
		{"/read/ok", "fine", "none", http.StatusOK, nil},
		{"/nowhere/", "route", "pipeline", http.StatusNotFound, nil},
		{"/read/ok", "key", "workspace", http.StatusUnauthorized, func(r *http.Request) { standin.SetAPIKey(r, "wrong") }},
		{"/write/fails", "fails", "none", http.StatusInternalServerError, nil},
		{"/write/full", "full", "empty", http.StatusServiceUnavailable, nil}, // no other target is left
		{"/write/breaks", "breaks", "crashed", http.StatusBadGateway, nil},
		{"/chat/", "model", "empty", http.StatusServiceUnavailable, nil},
	} {
		is.Equal(send(test.path, test.id, test.change), test.status)
		want := []string{`"msg":"request ended"`, `"request":"` + test.id + `"`, fmt.Sprintf(`"status":%d`, test.status), `"reason":"` + test.reason + `"`}
		found := false
		for n := 0; n < 400 && !found; n++ {
			found = host.hasLine(want)
			time.Sleep(5 * time.Millisecond)
		}
		if !found {
			t.Errorf("no log line has the status and reason of request %s", test.id)
		}
	}
}

// hasLine reports whether one line of the output of the process contains all parts.
func (p *process) hasLine(parts []string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range p.lines {
		all := true
		for _, w := range parts {
			all = all && strings.Contains(l, w)
		}
		if all {
			return true
		}
	}
	return false
}
