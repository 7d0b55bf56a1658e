package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// The range lies below the ephemeral ports, so that no outgoing connection takes a chosen
// port before its server starts or while the server is down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// chosen has the ports that FreeAddress returned. None is returned twice: its server may not have
// started yet, or may be down.
var (
	chosenMutex sync.Mutex
	chosen      = make(map[int]bool)
)

// FreeAddress returns an address, IP:PORT, on which nothing listens. It returns no address twice, and
// processes that run at the same time use different IP addresses.
func FreeAddress() (address string) {
	chosenMutex.Lock()
	defer chosenMutex.Unlock()
	pid := os.Getpid()
	for {
		port := firstPort + rand.IntN(portCount)
		if chosen[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, port))
		if err != nil {
			continue // port in use
		}
		address = l.Addr().String()
		if l.Close() == nil {
			chosen[port] = true
			return address
		}
	}
}
