package event

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// maxQueuedLines is how many lines can wait for a slow output; further ones are dropped and
// counted.
const maxQueuedLines = 2_048

// Writer writes log lines in the background, so that logging never blocks.
type Writer struct {
	out   io.Writer
	lines chan string
	// dropped counts the lines lost since the last LinesDropped event.
	dropped atomic.Int64
	// done is closed when all lines are written.
	done chan struct{}
}

// NewWriter starts a writer to out. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan string, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Logger returns a logger that writes one JSON object per line; verbosity 1 includes details.
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
		// A failure of the log output cannot be reported anywhere.
		_, _ = fmt.Fprintln(w.out, line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"event\":%d,\"msg\":%q,\"lines\":%d}\n", LinesDropped.Number(), LinesDropped.Message(), n)
		}
	}
}

// Close writes the queued lines and stops the writer. No line may be logged afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
