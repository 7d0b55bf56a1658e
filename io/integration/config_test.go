package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/config"
	"sassafrasward/core/outcome"
	"sassafrasward/io/caller"
	"sassafrasward/io/daemon"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// TestRejectedConfig guards against a published invalid configuration that takes effect, even
// in part, or that interrupts service under the last accepted one.
func TestRejectedConfig(t *testing.T) {
	is := is.New(t)
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	good := fourStageConfig + targetSection("t1", "retrievers", startTarget(t))
	platform.Publish([]byte(good))
	h := startHost(t, "a", "a", server.Listener.Addr().String())
	platform.SetHosts([]wire.HostEntry{hostEntry(h, "a")})
	h.waitLine(`"event":1002`)

	invalid := map[config.Code]string{
		config.InvalidSyntax:       "[document",
		config.TooLarge:            good + strings.Repeat("#", config.MaxBytes),
		config.DuplicateName:       good + "[workspace thun]\nshare = 3\n",
		config.UnresolvedReference: strings.Replace(good, "preset = ordinary", "preset = absent", 1),
	}
	for code, raw := range invalid {
		version := platform.Publish([]byte(raw))
		h.waitLine(`"event":1102,"version":` + string('0'+rune(version)))
		s := status(t, h)
		is.Equal(s.Counters["document."+code.String()], int64(1))
		is.True(strings.HasPrefix(s.Version, "1-"))
		is.Equal(s.Preset, "ordinary")
		is.Equal(len(s.Members), 1)
		is.Equal(s.Pools[3].Targets[0].Target, "t1") // pool retrievers
		answer, err := caller.New([]string{h.caller}).Call(context.Background(), "availability", wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)}, nil)
		is.NoErr(err)
		is.Equal(answer.Outcome, outcome.Done.String())
	}
	platform.Publish([]byte(strings.Replace(good, "share = 3", "share = 4", 1)))
	h.waitLine(`"event":1101,"version":"6-`)
}

// status returns the status of a daemon.
func status(t testing.TB, h host) (s daemon.Status) {
	t.Helper()
	response, err := http.Get("http://" + h.caller + wire.PathStatus)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	return s
}
