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
	// probeIdle, probeGap and probeCount find a peer that has gone silent within about three
	// seconds, the shortest time within which a host has to be up to date again.
	probeIdle  = 1 * time.Second
	probeGap   = 1 * time.Second
	probeCount = 2
	// unsentTimeout bounds how long bytes stay unacknowledged.
	unsentTimeout = 3 * time.Second
)

// Keepalive is the configuration of all connections.
var Keepalive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeGap, Count: probeCount}

// Control sets the time for which sent bytes may stay unacknowledged.
func Control(_, _ string, c syscall.RawConn) (err error) {
	outer := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unsentTimeout.Milliseconds()))
	})
	if outer != nil {
		return outer
	}
	return err
}

// Dial opens a connection that finds out soon if its peer goes silent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: Keepalive, Control: Control}
	return d.DialContext(ctx, network, address)
}

// Listen opens a listener whose connections find out soon if their peers go silent.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: Keepalive, Control: Control}
	return l.Listen(ctx, "tcp", address)
}
