package integration_test

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

	"sassafrasward/core/outcome"
	"sassafrasward/io/caller"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// answerSwapper is a target that swaps the responses to its first two calls, as a proxy that
// confuses connections does. It answers all other calls correctly.
type answerSwapper struct {
	mutex sync.Mutex
	calls int
	first wire.Run
	// second is closed when the second call arrives; swapped is set before that to the answer
	// of the second call, which the first call then gets.
	second  chan struct{}
	swapped wire.RunResult
}

func answerOf(run wire.Run) wire.RunResult {
	return wire.RunResult{Request: run.Request, Stage: run.Stage, Attempt: run.Attempt, Outcome: "done", Output: run.Input}
}

func (c *answerSwapper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var run wire.Run
	_ = json.NewDecoder(r.Body).Decode(&run)
	c.mutex.Lock()
	c.calls++
	call := c.calls
	answer := answerOf(run)
	switch call {
	case 1:
		c.first = run
	case 2:
		c.swapped = answer
		answer = answerOf(c.first)
		close(c.second)
	}
	c.mutex.Unlock()
	if call == 1 {
		<-c.second
		answer = c.swapped
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// TestSwappedAnswers guards against an answer that reaches the wrong request: a target swaps
// the responses of two calls, and each caller must still get its own.
func TestSwappedAnswers(t *testing.T) {
	is := is.New(t)
	platform := startPlatform(t)
	server := httptest.NewServer(&answerSwapper{second: make(chan struct{})})
	t.Cleanup(server.Close)
	config := fourStageConfig + targetSection("r1", "retrievers", server.Listener.Addr().String())
	h := startHost(t, "a", "a", platform)
	putJSON(t, platform, standin.PathSetHosts, []wire.HostEntry{hostEntry(h, "a")})
	put(t, platform, standin.PathPublish, []byte(config))
	h.waitLine(`"event":1002`)

	client := caller.New([]string{h.caller})
	var callers sync.WaitGroup
	for _, name := range []string{"biel", "thun"} {
		callers.Go(func() {
			request := wire.Request{Workspace: "thun", Input: json.RawMessage(fmt.Sprintf("%q", name))}
			answer, err := client.Call(context.Background(), "availability", request, nil)
			if err != nil || answer.Outcome != outcome.Done.String() || string(answer.Output) != string(request.Input) {
				t.Errorf("%s got %+v, %v", name, answer, err)
			}
		})
	}
	callers.Wait()
	is.Equal(status(t, h).Counters["retry.crossed"], int64(2))
}

// TestStreamResumes guards against lost, duplicated or reordered tokens in a streamed answer:
// the connection to the engine is closed in the middle, and the other engine resumes the
// stream after the last token that the caller received.
func TestStreamResumes(t *testing.T) {
	is := is.New(t)
	const tokens = 40
	platform := startPlatform(t)
	var engines []*proxy
	config := fourStageConfig
	for i := range 2 {
		engines = append(engines, newProxy(t, startTarget(t, "--each", "10ms")))
		config += targetSection(fmt.Sprintf("engine%d", i), "assistants", engines[i].address())
	}
	for _, pool := range []string{"encoders", "retrievers", "rerankers"} {
		config += targetSection(pool+"1", pool, startTarget(t))
	}
	h := startHost(t, "a", "a", platform)
	putJSON(t, platform, standin.PathSetHosts, []wire.HostEntry{hostEntry(h, "a")})
	put(t, platform, standin.PathPublish, []byte(config))
	h.waitLine(`"event":1002`)

	var text, want strings.Builder
	for i := range tokens {
		_, _ = fmt.Fprintf(&want, "t%d ", i)
	}
	request := wire.Request{Workspace: "thun", Input: json.RawMessage(`1`), Size: tokens}
	answer, err := caller.New([]string{h.caller}).Call(context.Background(), "summary", request, func(token wire.Token) {
		text.WriteString(token.Text)
		if token.Index == tokens/2 {
			for _, p := range engines {
				p.closeConns()
			}
		}
	})
	is.NoErr(err)
	is.Equal(answer.Outcome, outcome.Done.String())
	is.Equal(text.String(), want.String())
	is.Equal(answer.Stages[3].Attempts, 2) // the connection was closed once
}
