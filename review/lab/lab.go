package lab

import (
	"fmt"
	"os"
	"path/filepath"
)

// Lab is one run of a case.
type Lab struct {
	Record *Record
	Store  *Store
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	// Bounds are those of the sheet in the settings of the hosts.
	Bounds Bounds

	// folder is a temporary folder for settings and logs of hosts.
	folder   string
	hosts    []*Host
	children []*Child
}

// Verdict is the result of a check.
type Verdict struct {
	// Broken has what broke the rule; the rule held if it is empty.
	Broken []string
}

// Main runs a case, whose folder is the first argument, and exits with the code that the issue names.
func Main(run func(l *Lab) (Verdict, error)) { os.Exit(execute(run)) }

func execute(run func(l *Lab) (Verdict, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		return exitFailed
	}
	record, err := newRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	l := &Lab{Record: record, Trouble: os.Getenv("TROUBLE") != "0", Bounds: SmallBounds, folder: folder}
	if l.Store, err = newStore(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	verdict, err := run(l)
	for _, h := range l.hosts {
		h.Kill()
	}
	for _, c := range l.children {
		c.Kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(filepath.Join(keep, filepath.Base(folder)), os.DirFS(folder))
	}
	_ = os.RemoveAll(folder)
	if err != nil {
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range verdict.Broken {
		record.Add("broken: %s", line)
		fmt.Println("broken:", line)
	}
	if len(verdict.Broken) > 0 {
		return exitBroken
	}
	record.Add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
