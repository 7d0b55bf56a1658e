package integration_test

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxy is a TCP proxy on loopback that injects faults into the connections through it.
type proxy struct {
	listener net.Listener
	backend  string

	mutex sync.Mutex
	// changed wakes the copying goroutines when the faults change.
	changed *sync.Cond
	faults  faults
	// blockedReads counts the reads whose bytes are blocked now.
	blockedReads int
	conns        map[net.Conn]*connPair
}

// faults are the faults that a proxy injects into its connections.
type faults struct {
	// refuse closes new connections at once.
	refuse bool
	// blockUp and blockDown hold back bytes towards the backend and towards the client until
	// the fault ends; the connections stay open.
	blockUp, blockDown bool
	// onlyExisting limits blockUp and blockDown to connections opened before the fault, as
	// when a device between the two ends has lost its connection state.
	onlyExisting bool
	// match limits blockUp and blockDown to reads that contain the text.
	match string
	// closeNext closes the next connection on which the backend sends data, once.
	closeNext bool
	// delay is added to each read.
	delay time.Duration
}

// connPair is a connection from a client and the one to the backend that serves it.
type connPair struct {
	client, backend net.Conn
	// existing is true if the pair was open when faults were last set.
	existing bool
}

// newProxy starts a proxy in front of the backend address.
func newProxy(t *testing.T, backend string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, backend: backend, conns: make(map[net.Conn]*connPair)}
	p.changed = sync.NewCond(&p.mutex)
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.set(faults{})
		p.closeConns()
	})
	return p
}

// address returns the address that clients connect to.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set replaces the faults; pairs that are open now count as existing.
func (p *proxy) set(f faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	for _, pair := range p.conns {
		pair.existing = true
	}
	p.changed.Broadcast()
}

// closeConns closes all open connections.
func (p *proxy) closeConns() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for client, pair := range p.conns {
		_ = pair.client.Close()
		_ = pair.backend.Close()
		delete(p.conns, client)
	}
	p.changed.Broadcast()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mutex.Lock()
		refuse := p.faults.refuse
		p.mutex.Unlock()
		if refuse {
			_ = client.Close()
			continue
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	backend, err := net.Dial("tcp", p.backend)
	if err != nil {
		_ = client.Close()
		return
	}
	pair := &connPair{client: client, backend: backend}
	p.mutex.Lock()
	p.conns[client] = pair
	p.mutex.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(pair, backend, client, func(f faults) bool { return f.blockUp }) })
	directions.Go(func() { p.copy(pair, client, backend, func(f faults) bool { return f.blockDown }) })
	directions.Wait()
	p.mutex.Lock()
	delete(p.conns, client)
	p.mutex.Unlock()
}

// copy copies bytes in one direction, and waits while that direction is blocked.
func (p *proxy) copy(pair *connPair, to, from net.Conn, blocked func(faults) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitWhileBlocked(pair, buffer[:n], blocked)
			if from == pair.backend && p.takeCloseNext() {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			p.waitWhileBlocked(pair, nil, blocked)
			return
		}
	}
}

// takeCloseNext reports whether this connection is to be closed, and clears closeNext.
func (p *proxy) takeCloseNext() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	closeNow := p.faults.closeNext
	p.faults.closeNext = false
	return closeNow
}

// waitWhileBlocked waits while the direction is blocked for the data, then for the delay.
func (p *proxy) waitWhileBlocked(pair *connPair, data []byte, blocked func(faults) bool) {
	p.mutex.Lock()
	waiting := false
	for blocked(p.faults) && (pair.existing || !p.faults.onlyExisting) && p.conns[pair.client] != nil && bytes.Contains(data, []byte(p.faults.match)) {
		if !waiting {
			waiting = true
			p.blockedReads++
			p.changed.Broadcast()
		}
		p.changed.Wait()
	}
	if waiting {
		p.blockedReads--
	}
	delay := p.faults.delay
	p.mutex.Unlock()
	time.Sleep(delay)
}

// waitBlocked waits until a read is blocked.
func (p *proxy) waitBlocked() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.blockedReads == 0 {
		p.changed.Wait()
	}
}
