package integration_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/io/caller"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// TestRefusingTarget guards against a request that fails because one of two targets refuses
// connections: the idempotent call must be retried on the other one.
func TestRefusingTarget(t *testing.T) {
	is := is.New(t)
	platform := startPlatform(t)
	good := startTarget(t)
	bad := newProxy(t, good)
	bad.set(faults{refuse: true})
	config := fourStageConfig + targetSection("good", "retrievers", good) + targetSection("bad", "retrievers", bad.address())
	h := startHost(t, "a", "a", platform)
	putJSON(t, platform, standin.PathSetHosts, []wire.HostEntry{hostEntry(h, "a")})
	put(t, platform, standin.PathPublish, []byte(config))
	h.waitLine(`"event":1002`)

	client := caller.New([]string{h.caller})
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`1`)}
	for range 20 {
		answer, err := client.Call(context.Background(), "availability", request, nil)
		is.NoErr(err)
		is.Equal(answer.Outcome, outcome.Done.String())
	}
}
