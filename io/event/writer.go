package event

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// linesMost is how many lines wait for a slow output; further ones are dropped and counted.
const linesMost = 2_048

// Writer writes log lines without ever blocking their callers.
type Writer struct {
	out     io.Writer
	lines   chan string
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan string, linesMost), done: make(chan struct{})}
	go w.run()
	return w
}

// Logger returns a logger that writes one JSON object a line; verbosity 1 includes details.
func (w *Writer) Logger(verbosity int) logr.Logger {
	return funcr.NewJSON(w.add, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
}

func (w *Writer) add(line string) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// There is nowhere to report that the log output fails.
		_, _ = fmt.Fprintln(w.out, line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"event\":%d,\"msg\":%q,\"lines\":%d}\n", LinesDropped.Number(), LinesDropped.Message(), n)
		}
	}
}

// Close writes the lines that wait. No line may be added afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
