package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below those that the system gives out by itself, so that no outgoing connection
// takes one between the choice and the start of the server, or while the server is down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// Free returns an address, IP:PORT, on which nothing listens.
func FreeAddress() (address string) {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue // taken
		}
		address = l.Addr().String()
		if l.Close() == nil {
			return address
		}
	}
}
