package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"sassafrasward/platform/standin"
)

// writeUntilClose writes a signed stream that has neither a length nor chunks, and closes the
// connection in good order.
func writeUntilClose(w http.ResponseWriter, body string) {
	standin.Sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("\r\n" + body)
	_ = buffered.Flush() // fails if the host has closed the connection
	_ = conn.Close()
}

// eventText returns the events with the numbers from first to last as they are sent.
func eventText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token%d\n\n", i, i)
	}
	return b.String()
}

// lineRecorder is a log that keeps its lines.
type lineRecorder struct {
	mutex sync.Mutex
	lines []string
}

// logger returns a logger that writes to the recorder.
func (l *lineRecorder) logger() logr.Logger {
	return funcr.NewJSON(func(line string) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.lines = append(l.lines, line)
	}, funcr.Options{})
}

// has reports whether a line contains all the texts.
func (l *lineRecorder) has(texts ...string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, line := range l.lines {
		missing := false
		for _, text := range texts {
			missing = missing || !strings.Contains(line, text)
		}
		if !missing {
			return true
		}
	}
	return false
}

// TestEndOfStreamIsLogged guards against logs that don't tell a whole stream from one that broke off:
// how the target marked the end, and what came after the last whole event.
func TestEndOfStreamIsLogged(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PublishConfig(1)
	s.Register(newEngine(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		switch (standin.ReceivedRequest{Request: r}).ID() {
		case "length":
			events(w, 1, 2, true)
		case "chunks":
			events(w, 1, 2, true)
			_ = http.NewResponseController(w).Flush()
		case "close":
			writeUntilClose(w, eventText(1, 3))
		default:
			writeUntilClose(w, eventText(1, 3)+"id: 4\ndat")
		}
	}), "model", "ready")
	host := prepareHost(t, s, "e1")
	log := &lineRecorder{}
	host.run(context.Background(), log.logger())
	host.waitReady()
	for id, want := range map[string]string{
		"length": "2 events and 0 bytes framed by length",
		"chunks": "2 events and 0 bytes framed by chunks",
		"close":  "3 events and 0 bytes framed by close",
		"broken": "3 events and 9 bytes framed by close",
	} {
		host.wait(func() bool {
			host.call(http.MethodPost, "/chat/", id, nil)
			return log.has(`"event":1302`, `"request":"`+id+`"`, want)
		})
	}
}
