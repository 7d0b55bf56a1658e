package loopback

import (
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// endlessTimeout ends the connections of a client that does not close them.
	endlessTimeout = 30 * time.Second
	// endlessChunk is the size in bytes of the writes of an endless server.
	endlessChunk = 16 << 10
)

// ServeEndless starts a server that reads the start of a request on each connection, sends the prefix,
// and then sends the block again and again until the connection is closed. It stops at the end of the
// test.
func ServeEndless(t testing.TB, prefix, block string) (address string) {
	t.Helper()
	chunk := []byte(strings.Repeat(block, 1+endlessChunk/len(block)))
	return serve(t, func(conn net.Conn) { sendEndless(conn, prefix, chunk) })
}

// ServeBytes starts a server that reads the start of a request on each connection, sends the response
// as it is and closes the connection. It stops at the end of the test.
func ServeBytes(t testing.TB, response string) (address string) {
	t.Helper()
	return serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := conn.Read(make([]byte, endlessChunk)); err == nil {
			_, _ = conn.Write([]byte(response)) // the client may have gone
		}
	})
}

// serve starts a server that handles each connection, and stops it at the end of the test.
func serve(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// sendEndless sends the prefix, and then the chunk until the connection is closed.
func sendEndless(conn net.Conn, prefix string, chunk []byte) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(endlessTimeout))
	_, err := conn.Read(make([]byte, endlessChunk))
	if err == nil {
		_, err = conn.Write([]byte(prefix))
	}
	for err == nil {
		_, err = conn.Write(chunk)
	}
}
