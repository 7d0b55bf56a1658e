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
	// bufferBytes keeps the memory of a connection small: the default of 32 KiB each way
	// would cost 23 MB at 370 peers.
	bufferBytes = 2 << 10
	// keepaliveTime finds connections that went silent.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	defaultMaxConns     = 32 // connections
	// retireTime is longer than a call between hosts takes.
	retireDelay = 10 * time.Second
)

// Server serves other hosts. Services are registered on it before Serve.
type Server struct {
	server *grpc.Server
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{server: grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)}
}

// Registrar returns where services are registered.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.server }

// Serve serves on the listener until Stop; its end is reported on done.
func (s *Server) Serve(listener net.Listener, done chan<- error) {
	done <- Error.Wrap(s.server.Serve(listener))
}

// Stop ends the server and all its calls.
func (s *Server) Stop() { s.server.Stop() }

// Pool holds client connections by address and closes the least recently used one
// beyond its bound.
type Pool struct {
	maxConns int
	// wrap decorates the dialled connections, for counting bytes.
	options []grpc.DialOption

	mutex sync.Mutex
	// recent has the entries of byAddress, the most recently used one first.
	lru    *list.List
	byAddress map[string]*list.Element
}

type entry struct {
	address string
	conn    *grpc.ClientConn
}

// NewPool returns an empty pool with extra options for each connection.
func NewPool(options ...grpc.DialOption) *Pool {
	base := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	return &Pool{maxConns: defaultMaxConns, options: append(base, options...), lru: list.New(), byAddress: make(map[string]*list.Element)}
}

// Conn returns the connection to the address.
func (p *Pool) Conn(address string) (conn *grpc.ClientConn, err error) {
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

// Drop closes the connection to the address if it is still the given one, so that the
// next call dials a new one.
func (p *Pool) Drop(address string, conn *grpc.ClientConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e, ok := p.byAddress[address]; ok && e.Value.(entry).conn == conn {
		p.remove(e)
	}
}

// Retire makes the next call to the address dial a new connection, and leaves calls that run
// on the given one some time to end. It is for a connection on which one of many calls got
// no answer in time.
func (p *Pool) Retire(address string, conn *grpc.ClientConn) {
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
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.lru.Len() > 0 {
		p.remove(p.lru.Back())
	}
}

func (p *Pool) remove(e *list.Element) {
	old := p.lru.Remove(e).(entry)
	delete(p.byAddress, old.address)
	_ = old.conn.Close()
}
