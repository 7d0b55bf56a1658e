// Command lab3 runs one case of the third review: it starts hosts of the system as processes, and has stand-ins for
// the platform's store, engines and clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run. Without TROUBLE=0 in the environment it plays the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

var (
	// scratch is a temporary folder, trouble whether the disruption is played.
	scratch string
	trouble = os.Getenv("TROUBLE") != "0"
	// hosts has all hosts, which are killed at the end.
	hosts []*host
	began = time.Now()

	recordMutex sync.Mutex
	recordFile  *os.File
)

// note writes one line to the record.
func note(format string, values ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(began).Seconds()) + fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintln(recordFile, line)
}

// finish ends all processes and the program.
func finish(code int, format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	note("%s", text)
	fmt.Println(text)
	for _, h := range hosts {
		h.kill()
	}
	_ = os.RemoveAll(scratch)
	_ = recordFile.Close()
	os.Exit(code)
}

func cannotRun(format string, values ...any) { finish(2, "could not run: "+format, values...) }

// verdict ends the case.
func verdict(broken bool, rule, text string) {
	if broken {
		finish(1, "%s broken: %s", rule, text)
	}
	finish(0, "%s held: %s", rule, text)
}

func main() {
	cases := map[string]func(){
		"rewind-config": rewindConfig, "rewind-removal": rewindRemoval, "heads": heads, "reborn": reborn, "followers": followers,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab3 CASE FOLDER")
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if scratch, err = os.MkdirTemp("", "lab3-"); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	go func() {
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
	time.AfterFunc(115*time.Second, func() { finish(2, "could not run: the case took too long") })
	note("case %s, trouble %t", os.Args[1], trouble)
	cases[os.Args[1]]()
}
