package main

import (
	"bufio"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// process is a process that the run started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}

	mutex sync.Mutex
	lines []string
}

// startProcess starts a program in the root of the repository. Its output is kept.
func (r *run) startProcess(name string, env []string, program string, args ...string) (p *process, err error) {
	p = &process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	r.processes = append(r.processes, p)
	r.mutex.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.mutex.Lock()
			p.lines = append(p.lines, lines.Text())
			p.mutex.Unlock()
		}
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// output returns the lines of output with the text.
func (p *process) output(text string) (lines []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range p.lines {
		if strings.Contains(l, text) {
			lines = append(lines, l)
		}
	}
	return lines
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) {
	if !p.hasEnded() {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// residentBytes returns the resident memory of the process.
func (p *process) residentBytes() int64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
