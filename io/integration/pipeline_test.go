package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/caller"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

const fourStageConfig = `
[document]
preset = ordinary
[preset ordinary]
[workspace thun]
share = 3
[pool encoders]
kind = service
[pool retrievers]
kind = service
[pool rerankers]
kind = service
[pool assistants]
kind = engine
[stage encode]
pool = encoders
[stage retrieve]
pool = retrievers
[stage rerank]
pool = rerankers
[stage generate]
pool = assistants
[pipeline summary]
stages = encode, retrieve, rerank, generate
deadline = 3m
[pipeline availability]
stages = retrieve
deadline = 3m
`

// targetSection returns the section of a target in a configuration.
func targetSection(name, pool, address string) string {
	return fmt.Sprintf("[target %s]\npool = %s\naddress = %s\nzone = a\n", name, pool, address)
}

// TestPipeline guards against a defect anywhere between caller and targets: two hosts as real
// processes serve a streamed pipeline of four stages and a call without streaming, and each
// stage must have run once.
func TestPipeline(t *testing.T) {
	is := is.New(t)
	platform := startPlatform(t)
	config := fourStageConfig
	var targets []string
	for _, pool := range []string{"encoders", "retrievers", "rerankers", "assistants"} {
		address := startTarget(t)
		targets = append(targets, address)
		config += targetSection(pool+"1", pool, address)
	}
	a, b := startHost(t, "a", "a", platform), startHost(t, "b", "b", platform)
	putJSON(t, platform, standin.PathSetHosts, []wire.HostEntry{hostEntry(a, "a"), hostEntry(b, "b")})
	put(t, platform, standin.PathPublish, []byte(config))
	a.waitLine(`"event":1002`)
	b.waitLine(`"event":1002`)

	client := caller.New([]string{b.caller}, caller.WithZone("a"))
	var text strings.Builder
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`{"q":"camera"}`), Size: 3}
	answer, err := client.Call(context.Background(), "summary", request, func(token wire.Token) { text.WriteString(token.Text) })
	is.NoErr(err)
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(text.String(), "t0 t1 t2 ")
	is.Equal(len(answer.Stages), 4)
	for _, address := range targets {
		is.Equal(len(runRecords(t, address)), 1) // each stage ran once
	}

	answer, err = client.Call(context.Background(), "availability", request, nil)
	is.NoErr(err)
	is.Equal(answer.Outcome, outcome.Done.String())

	answer, err = client.Call(context.Background(), "absent", request, nil)
	is.NoErr(err)
	is.Equal(answer.Outcome, outcome.NotRun.String())
	is.Equal(answer.Reason, reason.UnknownPipeline.String())
}
