package target_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/schedule"
	"sassafrasward/io/loopback"
	"sassafrasward/io/target"
	"sassafrasward/io/wire"
)

// maxHeapGrowth is the bound of what one call to a faulty target may allocate, in bytes. The largest
// answer has 16 MiB, in a buffer that grows.
const maxHeapGrowth = 80 << 20

// TestBytesWithoutEnd guards against a target that fills the memory of a host: it sends a first line,
// headers, a body or an event without end, as the answer to a command or to another call.
func TestBytesWithoutEnd(t *testing.T) {
	start := time.Now()
	client := target.New(target.WithClock(func() time.Duration { return time.Since(start) }))
	run := wire.Run{Request: "r", Stage: "s", Attempt: 1}
	calls := map[string]func(ctx context.Context, address string) (target.Reply, error){
		"command": func(ctx context.Context, address string) (target.Reply, error) {
			return client.Command(ctx, address, run, time.Since(start)+20*time.Second)
		},
		"call": func(ctx context.Context, address string) (target.Reply, error) {
			return client.Run(ctx, address, run, nil)
		},
	}
	for name, c := range map[string]struct{ prefix, block string }{
		"first line":    {"HTTP/1.1 200 ", "x"},
		"no line":       {"", "\x00"},
		"one header":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":       {"HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"},
		"informational": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":          {"HTTP/1.1 200 OK\r\n\r\n\"", "x"},
		"nested body":   {"HTTP/1.1 200 OK\r\n\r\n", "["},
		"spaces":        {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\"\r\n", "8\r\nxxxxxxxx\r\n"},
		"trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"event":         {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: x\n"},
		"line":          {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x"},
		"failure":       {"HTTP/1.1 500 Internal Server Error\r\n\r\n\"", "x"},
	} {
		for kind, call := range calls {
			t.Run(name+" "+kind, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				reply, err := call(ctx, loopback.ServeEndless(t, c.prefix, c.block))
				runtime.ReadMemStats(&after)
				is.True(err != nil)
				is.NoErr(ctx.Err()) // it ends by the bound, not by the deadline of the caller
				is.True(reply.Status() != schedule.Completed)
				t.Logf("%d MB", (after.TotalAlloc-before.TotalAlloc)>>20)
				is.True(after.TotalAlloc-before.TotalAlloc < maxHeapGrowth)
			})
		}
	}
}
