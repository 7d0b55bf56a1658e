package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is far above a round trip between availability zones.
	dialTimeout = 500 * time.Millisecond
	// The keep-alive probes detect an unresponsive peer within about 3 s, the shortest time within
	// which a host has to be up to date again.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	unackedTimeout = 3 * time.Second
)

// Keepalive is the TCP keep-alive configuration of all connections.
var Keepalive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Control sets TCP_USER_TIMEOUT on a new socket. It is the Control function of dialers and
// listeners.
func Control(_, _ string, c syscall.RawConn) (err error) {
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Dial opens a connection with the timeouts and keep-alive settings of this package, which
// detect an unresponsive peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: Keepalive, Control: Control}
	return d.DialContext(ctx, network, address)
}

// Listen opens a TCP listener whose connections detect an unresponsive peer as those of Dial do.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: Keepalive, Control: Control}
	return l.Listen(ctx, "tcp", address)
}
