package lab

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"
)

// childVariable names the role of a process that a case starts from its own program.
const childVariable = "REVIEW_CHILD"

// ChildRole returns the role of this process, empty for the case itself.
func ChildRole() string { return os.Getenv(childVariable) }

// Child is a process of the case's own program in another role, such as an engine that is to be
// killed. The lines that it prints go to the record.
type Child struct {
	lab     *Lab
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

// StartChild starts a process in a role with arguments, and waits until it has printed a line.
func (l *Lab) StartChild(name, role string, arguments ...string) (*Child, error) {
	c := &Child{lab: l, name: name, command: exec.Command(os.Args[0], arguments...), ended: make(chan struct{})}
	c.command.Env = append(os.Environ(), childVariable+"="+role)
	c.command.Stderr = os.Stderr
	out, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	l.children = append(l.children, c)
	first := make(chan struct{})
	go func() {
		defer close(c.ended)
		lines := bufio.NewScanner(out)
		for n := 0; lines.Scan(); n++ {
			l.Record.Add("%s: %s", name, strings.TrimSpace(lines.Text()))
			if n == 0 {
				close(first)
			}
		}
		_ = c.command.Wait()
	}()
	select {
	case <-first:
		return c, nil
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("%s does not start", name)
	}
}

// Kill ends the process with SIGKILL and returns once it has ended.
func (c *Child) Kill() {
	c.lab.Record.Add("%s: gets killed", c.name)
	_ = c.command.Process.Kill()
	<-c.ended
}
