package loopback_test

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"sassafrasward/io/loopback"
)

// TestFree guards against servers that cannot listen because the system gave their port to
// an outgoing connection, before they started or while they were down.
func TestFreeAddress(t *testing.T) {
	raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip(err)
	}
	low, err := strconv.Atoi(strings.Fields(string(raw))[0])
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		_, text, err := net.SplitHostPort(loopback.FreeAddress())
		if err != nil {
			t.Fatal(err)
		}
		if port, err := strconv.Atoi(text); err != nil || port >= low {
			t.Fatalf("port %s, the system gives out ports from %d on", text, low)
		}
	}
}
