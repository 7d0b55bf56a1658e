package loopback_test

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"sassafrasward/io/loopback"
)

// TestFreeAddress guards against servers that cannot listen because the kernel assigned their
// port to an outgoing connection before they started or while they were down.
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
			t.Fatalf("port %s is not below the ephemeral ports, which start at %d", text, low)
		}
	}
}

// TestNoAddressTwice guards against two servers of one test run that get the same address, because
// neither listens yet when it is chosen.
func TestNoAddressTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		address := loopback.FreeAddress()
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
