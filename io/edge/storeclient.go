package edge

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"sassafrasward/io/transport"
	"sassafrasward/io/watchdog"
	"sassafrasward/platform"
)

// errNoProgress ends a read of the store that gets no bytes.
var errNoProgress = errors.New("the store sends nothing")

// maxReadTime is the longest time for an answer, at which a store that sends a byte now and then is given up. A
// megabyte takes less on a link with 1 Mbit/s.
const maxReadTime = 10 * time.Second

// storeClient is a client of the metadata store with a connection of its own. It makes one read at a time,
// which lasts as long as bytes arrive, maxReadTime at most: a large answer on a slow host or link is not read
// again from its start.
type storeClient struct {
	*platform.Store

	// dog watches the current read; nil if there is none.
	dog atomic.Pointer[watchdog.Watchdog]
}

// newStoreClient returns a client of the store at the address. It calls countCall before each call.
func newStoreClient(address string, countCall func()) *storeClient {
	s := &storeClient{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := transport.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return watchedConn{Conn: conn, client: s}, nil
	}
	s.Store = platform.NewStore(address, dial, countCall)
	return s
}

// begin returns the context of a read whose answer must begin within the timeout, and the function
// that ends the read.
func (s *storeClient) begin(ctx context.Context, timeout time.Duration) (readCtx context.Context, end func()) {
	readCtx, cancelTimeout := context.WithTimeout(ctx, timeout+maxReadTime)
	readCtx, cancel := context.WithCancelCause(readCtx)
	dog := watchdog.New(timeout, func() { cancel(errNoProgress) })
	s.dog.Store(dog)
	return readCtx, func() {
		s.dog.Store(nil)
		dog.Stop()
		cancel(nil)
		cancelTimeout()
	}
}

// watchedConn records progress when bytes arrive.
type watchedConn struct {
	net.Conn

	client *storeClient
}

// Read implements net.Conn.
func (c watchedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if dog := c.client.dog.Load(); n > 0 && dog != nil {
		dog.Reset(readTimeout)
	}
	return n, err
}
