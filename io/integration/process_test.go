package integration_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"

	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sassafrasward")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "sassafrasward/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one program under test.
type process struct {
	t       testing.TB
	command *exec.Cmd
	ended   chan struct{}

	mutex sync.Mutex
	lines []string
	// lineAdded is closed and replaced at each new line.
	lineAdded chan struct{}
}

// startProcess starts a program and collects the lines of its output.
func startProcess(t testing.TB, name string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(filepath.Join(binaries, name), arguments...), ended: make(chan struct{}), lineAdded: make(chan struct{})}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = writer, writer
	// Kills the process when the test process ends, even if that happens before cleanup.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	go p.collect(bufio.NewScanner(reader))
	t.Cleanup(func() {
		p.logIfFailed()
		p.kill()
	})
	return p
}

// loggedLines is the number of the last lines of a process that are logged if its test has failed.
const loggedLines = 40

// logIfFailed logs the last output of the process if the test has failed, and how the process ended.
func (p *process) logIfFailed() {
	if !p.t.Failed() {
		return
	}
	select {
	case <-p.ended:
		p.t.Logf("process %d ended before the test: %v", p.command.Process.Pid, p.command.ProcessState)
	default:
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, line := range p.lines[max(len(p.lines)-loggedLines, 0):] {
		p.t.Logf("process %d: %s", p.command.Process.Pid, line)
	}
}

func (p *process) collect(scanner *bufio.Scanner) {
	for scanner.Scan() {
		p.mutex.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.lineAdded)
		p.lineAdded = make(chan struct{})
		p.mutex.Unlock()
	}
	_ = p.command.Wait()
	close(p.ended)
}

// waitLine waits for the first line that contains the text and returns it. Tests match events
// by the numbers of io/event: 1001 the process listens, 1002 it serves, 1003 it drains, 1004
// it stopped, 1006 its stop was forced, 1101 configuration accepted, 1102 configuration
// rejected, 1404 commands refused, 1602 another host changed its state, 1701 request refused
// as a crash suspect.
func (p *process) waitLine(text string) string {
	p.t.Helper()
	for {
		p.mutex.Lock()
		grown := p.lineAdded
		for _, line := range p.lines {
			if bytes.Contains([]byte(line), []byte(text)) {
				p.mutex.Unlock()
				return line
			}
		}
		p.mutex.Unlock()
		select {
		case <-grown:
		case <-p.ended:
			p.t.Fatalf("process ended without %q: %v", text, p.lines)
		}
	}
}

// waitExit waits for the end of the process and returns its exit code.
func (p *process) waitExit() int {
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// signal sends the signal. After SIGSTOP it waits until the process is stopped: on a busy
// machine its threads keep running until one of them has handled the signal.
func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
	for s == syscall.SIGSTOP && !p.isStopped() {
		runtime.Gosched()
	}
}

// isStopped reports whether all threads of the process are stopped or the process has ended.
func (p *process) isStopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil {
		return true
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		// The state follows the program name, which is in parentheses.
		_, state, found := strings.Cut(string(stat), ") ")
		if err == nil && found && !strings.HasPrefix(state, "T") && !strings.HasPrefix(state, "Z") {
			return false
		}
	}
	return true
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// startPlatform starts the platform stand-in and returns its address.
func startPlatform(t testing.TB) string {
	t.Helper()
	return startProcess(t, "standin", "--kind", "platform").waitLine("127.0.0.1:")
}

// startTarget starts a target stand-in and returns its address.
func startTarget(t testing.TB, arguments ...string) string {
	t.Helper()
	return startProcess(t, "standin", append([]string{"--kind", "target"}, arguments...)...).waitLine("127.0.0.1:")
}

// host is one daemon under test.
type host struct {
	*process
	name   string
	caller string
	peer   string
}

// startHost starts a daemon with extra lines in its settings. The system chooses the ports, so
// that no other process can take them before the daemon listens.
func startHost(t testing.TB, name, zone, platform string, extra ...string) host {
	t.Helper()
	h := host{name: name, caller: "127.0.0.1:0", peer: "127.0.0.1:0"}
	h.process = runHost(t, h, zone, platform, extra...)
	var started struct{ Caller, Peer string }
	if err := json.Unmarshal([]byte(h.waitLine(`"event":1001`)), &started); err != nil {
		t.Fatal(err)
	}
	h.caller, h.peer = started.Caller, started.Peer
	return h
}

func runHost(t testing.TB, h host, zone, platform string, extra ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.ini")
	settings := fmt.Sprintf("[host]\nname = %s\nzone = %s\ncaller = %s\npeer = %s\n%s\n[platform]\naddress = %s\n", h.name, zone, h.caller, h.peer, strings.Join(extra, "\n"), platform)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "sassafrasward", "serve", "--settings", path)
	p.waitLine(`"event":1001`)
	return p
}

// put changes the state of a stand-in with a PUT request.
func put(t testing.TB, address, path string, body []byte) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("%s: status %d", path, response.StatusCode)
	}
}

// putJSON calls put with the data as JSON.
func putJSON(t testing.TB, address, path string, data any) {
	t.Helper()
	body, err := json.Marshal(data)
	if err != nil {
		t.Fatal(err)
	}
	put(t, address, path, body)
}

// runRecords returns the runs that a target stand-in recorded.
func runRecords(t testing.TB, address string) (entries []standin.RunRecord) {
	t.Helper()
	response, err := http.Get("http://" + address + standin.PathRuns)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&entries); err != nil {
		t.Fatal(err)
	}
	return entries
}

// hostEntry returns the host list entry of a daemon.
func hostEntry(h host, zone string) wire.HostEntry {
	return wire.HostEntry{Host: h.name, Address: h.caller, Peer: h.peer, Zone: zone, Kind: wire.KindEntry, State: wire.StateLive}
}
