package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/event"
)

// blockedOutput is a log output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// TestBlockedOutput guards against a blocked log output that blocks requests, makes the memory
// grow without limit, or loses lines without reporting their number.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := event.NewWriter(out)
	log := w.Logger(0)
	for range 10_000 {
		event.Log(log, event.RequestEnded, "request", "r1") // returns although the output is blocked
	}
	close(out.release)
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.True(len(lines) < 3_000)
	is.True(strings.Contains(out.String(), event.LinesDropped.Message()))
}
