package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/event"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// TestStuckOutput guards against log output that blocks requests, against memory that grows
// with it, and against lines that are lost without a trace.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	w := event.NewWriter(out)
	log := w.Logger(0)
	for range 10_000 {
		event.Log(log, event.RequestEnded, "request", "r1") // returns although nothing is written
	}
	close(out.release)
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.True(len(lines) < 3_000)
	is.True(strings.Contains(out.String(), event.LinesDropped.Message()))
}
