package peer

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

const (
	// bufferBytes is the size of the read and of the write buffer of a connection. The default
	// of 32 KiB each would use 23 MB at 370 peers.
	bufferBytes = 2 << 10
	// keepaliveTime is the idle time after which a ping checks whether a connection is dead.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	defaultMaxConns  = 32
	// windowBytes is the flow control window of streams and connections. It is fixed, because the
	// estimate of a dynamic one takes a ping for most messages.
	windowBytes = 1 << 20
	// retireDelay is longer than any call between hosts takes.
	retireDelay = 10 * time.Second
)

// Server is the gRPC server for other hosts. Services must be registered before Serve is called.
type Server struct {
	server *grpc.Server
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{server: grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)}
}

// Registrar returns the registrar for services.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.server }

// Serve serves on the listener until Stop is called, and then sends the result to done.
func (s *Server) Serve(listener net.Listener, done chan<- error) {
	done <- Error.Wrap(s.server.Serve(listener))
}

// Stop stops the server and cancels its running calls.
func (s *Server) Stop() { s.server.Stop() }

// ConnPool holds one client connection per address. It closes the least recently used connections
// above its limit. It is safe for concurrent use.
type ConnPool struct {
	maxConns int
	// options apply to all connections.
	options []grpc.DialOption

	mutex sync.Mutex
	// lru has the entries of byAddress, the most recently used one first.
	lru       *list.List
	byAddress map[string]*list.Element
}

type entry struct {
	address string
	conn    *grpc.ClientConn
}

// NewConnPool returns an empty pool. The options are added to the defaults for each connection.
func NewConnPool(options ...grpc.DialOption) *ConnPool {
	base := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	return &ConnPool{maxConns: defaultMaxConns, options: append(base, options...), lru: list.New(), byAddress: make(map[string]*list.Element)}
}

// Conn returns the connection to the address. It creates one if there is none.
func (p *ConnPool) Conn(address string) (conn *grpc.ClientConn, err error) {
	defer func() { err = Error.Wrap(err) }()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e, ok := p.byAddress[address]; ok {
		p.lru.MoveToFront(e)
		return e.Value.(entry).conn, nil
	}
	conn, err = grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, err
	}
	p.byAddress[address] = p.lru.PushFront(entry{address: address, conn: conn})
	for p.lru.Len() > p.maxConns {
		p.remove(p.lru.Back())
	}
	return conn, nil
}

// Drop closes the connection to the address if it is still the given one. The next call dials a
// new one.
func (p *ConnPool) Drop(address string, conn *grpc.ClientConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e, ok := p.byAddress[address]; ok && e.Value.(entry).conn == conn {
		p.remove(e)
	}
}

// Retire removes the given connection from the pool and closes it after retireDelay, so that
// the next call dials a new one while running calls can finish. It is used when one of several
// calls on the connection timed out.
func (p *ConnPool) Retire(address string, conn *grpc.ClientConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e, ok := p.byAddress[address]
	if !ok || e.Value.(entry).conn != conn {
		return
	}
	p.lru.Remove(e)
	delete(p.byAddress, address)
	time.AfterFunc(retireDelay, func() { _ = conn.Close() })
}

// Close closes all connections.
func (p *ConnPool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.lru.Len() > 0 {
		p.remove(p.lru.Back())
	}
}

func (p *ConnPool) remove(e *list.Element) {
	old := p.lru.Remove(e).(entry)
	delete(p.byAddress, old.address)
	_ = old.conn.Close()
}
