package edge_test

import (
	"context"
	"net/http"
	"testing"

	"sassafrasward/platform/standin"
)

// TestDisconnectIsLogged guards against logs that don't tell which prompts were at a target when it
// was lost: the parts that they share, whether their answer had begun, and whether the target is gone.
func TestDisconnectIsLogged(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PublishConfig(1)
	var e *standin.Target
	e = newEngine(t, "i-1", func(w http.ResponseWriter, _ *http.Request) { crash(e, w) })
	s.Register(e, "model", "ready")
	host := prepareHost(t, s, "e1")
	log := &lineRecorder{}
	host.run(context.Background(), log.logger())
	host.waitReady()
	host.wait(func() bool {
		host.call(http.MethodPost, "/chat/", "s1", func(r *http.Request) { standin.SetPrompt(r, "aa", "bb", "own") })
		return log.has(`"event":1702`, `"request":"s1"`, `"target":"i-1"`, `"parts":"aa,bb"`, `"began":true`, `"events":0`, `"accepts":false`)
	})
	host.wait(func() bool { return log.has(`"event":1302`, `"parts":"aa,bb"`) })
}

// crash sends the headers of an answer and ends the target: it refuses connections, and the
// connection of the answer is closed.
func crash(e *standin.Target, w http.ResponseWriter) {
	_ = e.Listener.Close()
	standin.Sign(w)
	_ = http.NewResponseController(w).Flush()
	go e.CloseClientConnections()
	panic(http.ErrAbortHandler)
}
