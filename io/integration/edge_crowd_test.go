package integration_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

const (
	// crowdMemory is the memory limit of the process, in MB, crowdDescriptors its limit of open descriptors, and
	// crowdBody the largest body that its configuration allows, in bytes. They are the bounds of the test.
	crowdMemory      = 80
	crowdDescriptors = 500
	crowdBody        = 4 << 20
	// crowdConnections is the size of the crowds that are bounded by descriptors.
	crowdConnections = 2 * crowdDescriptors
	// crowdHold is how long the connections stay open after the clients have sent what they send.
	crowdHold = 1500 * time.Millisecond
	// crowdSendTimeout ends the sending of a client whose bytes are not read.
	crowdSendTimeout = 8 * time.Second
	// usageInterval is the time between two readings of the memory and descriptors of the process.
	usageInterval = 10 * time.Millisecond
)

// crowdClient sends on a connection what one client of a crowd sends. n is the number of the client; stop is
// closed when the connections are about to be closed.
type crowdClient func(c net.Conn, n int, stop <-chan struct{})

// TestCrowds guards against clients that keep to no limit and by which a process runs out of memory or
// descriptors, so that the requests of other callers are lost. Only limits are checked, no times and no
// fraction of served requests. The rows run one after the other: the memory of a process depends on the
// processor time that it gets.
func TestCrowds(t *testing.T) {
	block := bytes.Repeat([]byte("x"), 64<<10)
	tiny := bytes.Repeat([]byte("8\r\nxxxxxxxx\r\n"), 1<<10)
	longHead := crowdHead("long", 0) + "X-Long: " + strings.Repeat("x", 60<<10)
	type crowd struct {
		name    string
		clients int
		send    crowdClient
	}
	// The first largeCrowds send large bodies.
	const largeCrowds = 4
	crowds := []crowd{
		{"chunked bodies without end", 60, func(c net.Conn, n int, _ <-chan struct{}) {
			send(c, crowdHead("crowd", n)+"Transfer-Encoding: chunked\r\n\r\n")
			for left := crowdBody - 1; left > 0; left -= len(block) {
				part := block[:min(left, len(block))]
				send(c, fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
			}
		}},
		{"tiny chunks without end", 60, func(c net.Conn, n int, _ <-chan struct{}) {
			send(c, crowdHead("crowd", n)+"Transfer-Encoding: chunked\r\n\r\n")
			for range 128 { // 1 MB of content
				send(c, string(tiny))
			}
		}},
		{"lengths that are not reached", 60, func(c net.Conn, n int, _ <-chan struct{}) {
			send(c, crowdHead("crowd", n)+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody))
			sent := []int{1 << 10, crowdBody - 1}[n%2]
			for ; sent > 0; sent -= len(block) {
				send(c, string(block[:min(sent, len(block))]))
			}
		}},
		{"bodies over the limit", 60, func(c net.Conn, n int, _ <-chan struct{}) {
			const sent = 8 * crowdBody
			if n%2 == 0 {
				send(c, crowdHead("crowd", n)+fmt.Sprintf("Content-Length: %d\r\n\r\n", 64*crowdBody))
			} else {
				send(c, crowdHead("crowd", n)+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 64*crowdBody))
			}
			for i := 0; i < sent && send(c, string(block)); i += len(block) {
			}
		}},
		{"small bodies without end", crowdConnections, func(c net.Conn, n int, _ <-chan struct{}) {
			send(c, crowdHead("crowd", n)+"Content-Length: 16384\r\n\r\n"+string(block[:16383]))
		}},
		{"idle connections", crowdConnections, func(c net.Conn, n int, _ <-chan struct{}) {
			if n%2 == 0 && send(c, crowdHead("idle", n)+"Content-Length: 0\r\n\r\n") {
				_, _ = bufio.NewReader(c).ReadString('\n')
			}
		}},
		{"long heads", crowdConnections, func(c net.Conn, _ int, _ <-chan struct{}) { send(c, longHead) }},
		{"slow heads", crowdConnections, func(c net.Conn, n int, stop <-chan struct{}) {
			go func() {
				for i := 0; send(c, fmt.Sprintf("%sX-Slow-%d: x\r\n", []string{crowdHead("slow", n), ""}[min(i, 1)], i)); i++ {
					select {
					case <-time.After(50 * time.Millisecond):
					case <-stop:
						return
					}
				}
			}()
		}},
	}
	kinds := slices.Clone(crowds)
	crowds = append(crowds, crowd{"all kinds together", crowdConnections, func(c net.Conn, n int, stop <-chan struct{}) {
		if n%5 == 0 {
			kinds[n/5%largeCrowds].send(c, n, stop)
		} else {
			kinds[largeCrowds+n%(len(kinds)-largeCrowds)].send(c, n, stop)
		}
	}})
	for _, row := range crowds {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			h := startCrowdHost(t)
			u := h.observeUsage()
			stop := h.sendCrowd(row.clients, row.send)
			is.True(h.answers("beside")) // one ordinary request, while the connections of the crowd are open
			stop()
			is.True(h.answers("after"))
			memory, descriptors := u.end()
			t.Logf("memory at most %d MB of %d with the unread bytes, %d MB without, %d descriptors of %d",
				memory/1_000_000, crowdMemory, h.peakMemory()/1_000_000, descriptors, crowdDescriptors)
			is.True(memory <= crowdMemory*1_000_000)
			is.True(h.peakMemory() <= crowdMemory*1_000_000)
			is.True(descriptors <= crowdDescriptors)
			for _, id := range h.plain.RequestIDs() {
				is.True(!strings.HasPrefix(id, "crowd")) // no target gets a request whose body has not ended
			}
		})
	}
	t.Run("largest body", func(t *testing.T) {
		is := is.New(t)
		h := startCrowdHost(t)
		for _, chunked := range []bool{false, true} {
			is.Equal(h.sendBody("/read/", fmt.Sprintf("largest-%t", chunked), bytes.Repeat([]byte("x"), crowdBody), chunked), http.StatusOK)
		}
		is.True(h.peakMemory() <= crowdMemory*1_000_000)
	})
}

// crowdHead returns the head of a request without its end and without headers on the body.
func crowdHead(name string, n int) string {
	return fmt.Sprintf("POST /read/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s%d\r\nX-Api-Key: key\r\nX-Deadline-Ms: 2500\r\n", name, n)
}

// send writes the text and reports whether it was written.
func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// startCrowdHost starts an edge host with the limits of TestCrowds and waits until it serves.
func startCrowdHost(t *testing.T) (h *edgeHost) {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.SetMaxBody(crowdBody)
	store.PublishConfig(1)
	plain := standin.NewTarget("i-1", func(w http.ResponseWriter, _ *http.Request) { standin.Sign(w) })
	t.Cleanup(plain.Stop)
	store.Register(plain, "plain", "ready")
	h = &edgeHost{t: t, caller: loopback.FreeAddress(), plain: plain}
	limits := fmt.Sprintf("memory = %d\ndescriptors = %d\n", crowdMemory, crowdDescriptors)
	settings := filepath.Join(t.TempDir(), "host.ini")
	text := fmt.Sprintf("[host]\nname = e1\nzone = a\ncaller = %s\npeer = %s\n[edge]\n%s[platform]\naddress = %s\n[join]\nmode = alone\n",
		h.caller, loopback.FreeAddress(), limits, store.Address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = startProcess(t, "sassafrasward", "edge", "--settings", settings)
	h.waitServed("/read/", "warm")
	return h
}

// sendCrowd opens connections, lets each client send, and returns once all have sent and crowdHold has
// passed. The connections stay open until the function stop is called.
func (h *edgeHost) sendCrowd(clients int, client crowdClient) (stop func()) {
	stopping := make(chan struct{})
	var mutex sync.Mutex
	var conns []net.Conn
	var senders sync.WaitGroup
	for n := range clients {
		senders.Go(func() {
			c, err := net.Dial("tcp", h.caller)
			if err != nil {
				return // refused, as a host may
			}
			mutex.Lock()
			conns = append(conns, c)
			mutex.Unlock()
			_ = c.SetDeadline(time.Now().Add(crowdSendTimeout))
			client(c, n, stopping)
		})
	}
	senders.Wait()
	time.Sleep(crowdHold)
	return func() {
		close(stopping)
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// answers reports whether an ordinary request is served; the caller repeats it after a refusal.
func (h *edgeHost) answers(id string) bool {
	h.t.Helper()
	for n := range 200 {
		if h.sendBody("/read/", id+strconv.Itoa(n), []byte("small"), false) == http.StatusOK {
			return true
		}
		time.Sleep(25 * time.Millisecond)
	}
	return false
}

// processUsage is what a process used at most.
type processUsage struct {
	h                   *edgeHost
	stop, stopped       chan struct{}
	memory, descriptors int
}

// observeUsage starts to observe the memory and the descriptors of the process.
func (h *edgeHost) observeUsage() *processUsage {
	u := &processUsage{h: h, stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(u.stopped)
		for {
			u.memory = max(u.memory, h.residentMemory()+h.unreadBytes())
			u.descriptors = max(u.descriptors, h.openDescriptors())
			select {
			case <-time.After(usageInterval):
			case <-u.stop:
				return
			}
		}
	}()
	return u
}

// end returns the most memory that the process used, with the bytes that it had received and not read, and
// the most descriptors that it had open.
func (u *processUsage) end() (memory, descriptors int) {
	close(u.stop)
	<-u.stopped
	return u.memory, u.descriptors
}

// residentMemory returns the resident memory of the process in bytes, 0 if it has ended.
func (p *process) residentMemory() int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	_, rest, found := strings.Cut(string(raw), "VmRSS:")
	if !found {
		return 0
	}
	kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kilobytes << 10
}

// openDescriptors returns the number of open descriptors of the process, 0 if it has ended.
func (p *process) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}

// unreadBytes returns the number of bytes that the host has received from callers and not read.
func (h *edgeHost) unreadBytes() (bytes int) {
	const listening = "0A" // state of a socket whose queue counts connections, not bytes
	raw, _ := os.ReadFile("/proc/net/tcp")
	_, port, _ := strings.Cut(h.caller, ":")
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", number)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		bytes += int(n)
	}
	return bytes
}
