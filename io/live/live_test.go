package live_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/trace"
	"sassafrasward/io/live"
)

// traceHead is the trace without its requests. Its deadlines of an hour keep a slow test machine
// from failing requests.
const traceHead = `config [document]
config preset = ordinary
config [preset ordinary]
config [preset peak]
config [workspace thun]
config share = 1
config [pool services]
config kind = service
config [target service1]
config pool = services
config address = 127.0.0.1:20001
config zone = a
config [target service2]
config pool = services
config address = 127.0.0.1:20002
config zone = a
config [pool deposits]
config kind = service
config [target deposit1]
config pool = deposits
config address = 127.0.0.1:20003
config zone = a
config [stage look]
config pool = services
config [stage book]
config pool = deposits
config command = true
config [pipeline booking]
config stages = look, book
config deadline = 1h
config [pipeline lookup]
config stages = look
config deadline = 1h
network 1 1
rate services 5 0 0 10 0 0
rate deposits 5 0 0 0 0 0
crash service1 0 86400000
switch 200 peak
`

// TestRun guards against a live run that loses requests, and against failed requests when one of
// two targets has crashed and the other can run the idempotent calls.
func TestRun(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	text.WriteString(traceHead)
	for i := range 40 {
		if i%2 == 0 {
			_, _ = fmt.Fprintf(&text, "request %d thun booking 0 0 3600000 - command\n", 100+5*i)
		} else {
			_, _ = fmt.Fprintf(&text, "request %d thun lookup 0 0 3600000 - idempotent\n", 100+5*i)
		}
	}
	parsed, err := trace.Parse([]byte(text.String()))
	is.NoErr(err)
	result, err := live.Run(context.Background(), parsed, 1, 2, 1)
	is.NoErr(err)
	is.Equal(len(result.Records()), 40)
	for _, record := range result.Records() {
		is.Equal(record.Outcome(), outcome.Done)
		is.Equal(record.Stages()[0].Target(), "service2")
	}
}
