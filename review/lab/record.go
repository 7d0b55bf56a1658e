package lab

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Record is the list of what was sent, answered and run.
type Record struct {
	start time.Time

	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// newRecord creates the file record.txt in a folder.
func newRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Now returns the time since the start of the case.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add writes a line with the time in seconds since the start of the case.
func (r *Record) Add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.Now().Seconds(), fmt.Sprintf(format, values...))
}

// close writes what is buffered.
func (r *Record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
