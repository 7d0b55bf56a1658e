package peer

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
)

// Counters count the bytes sent and received between hosts, including HTTP/2 and gRPC overhead.
type Counters struct {
	sent     metrics.Counter
	received metrics.Counter
}

// NewCounters returns counters of bytes sent and received.
func NewCounters(sent, received metrics.Counter) Counters {
	return Counters{sent: sent, received: received}
}

// WrapListener returns a listener that counts the bytes of accepted connections.
func (c Counters) WrapListener(l net.Listener) net.Listener {
	return countingListener{Listener: l, counters: c}
}

// DialOption returns an option for NewConnPool that counts the bytes of dialled connections.
func (c Counters) DialOption() grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, counters: c}, nil
	})
}

type countingListener struct {
	net.Listener
	counters Counters
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, counters: l.counters}, nil
}

type countingConn struct {
	net.Conn
	counters Counters
}

func (c countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.counters.received.Inc(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.counters.sent.Inc(int64(n))
	return n, err
}
