package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The range lies below the ephemeral ports, so that no outgoing connection takes a chosen
// port before its server starts or while the server is down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// FreeAddress returns an address, IP:PORT, on which nothing listens.
func FreeAddress() (address string) {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue // port in use
		}
		address = l.Addr().String()
		if l.Close() == nil {
			return address
		}
	}
}
