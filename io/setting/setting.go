package setting

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("setting")

// Settings of one host.
type Settings struct {
	host     string
	zone     string
	caller   string
	peer     string
	platform string
	// seeds are peer addresses used in addition to the host list.
	seeds []string
	alone bool
	// drain bounds a planned stop.
	drain time.Duration
	body  int
}

// Host returns the name of the host.
func (s Settings) Host() string { return s.host }

// Zone returns the availability zone of the host.
func (s Settings) Zone() string { return s.zone }

// Caller returns the address on which callers are served.
func (s Settings) Caller() string { return s.caller }

// Peer returns the address on which other hosts are served.
func (s Settings) Peer() string { return s.peer }

// Platform returns the address of the configuration service and host list.
func (s Settings) Platform() string { return s.platform }

// Seeds returns peer addresses used in addition to the host list.
func (s Settings) Seeds() []string { return s.seeds }

// Alone reports whether the host may serve without having heard from other hosts.
func (s Settings) Alone() bool { return s.alone }

// Drain returns the longest time that a planned stop may take.
func (s Settings) Drain() time.Duration { return s.drain }

// Body returns the largest request body in bytes.
func (s Settings) Body() int { return s.body }

// Key is the registry entry of one key of the settings file.
type Key struct {
	section  string
	name     string
	fallback string
	allowed  string
	doc      string
	set      func(s *Settings, value string) bool
}

// Section returns the section of the key.
func (k Key) Section() string { return k.section }

// Name returns the name of the key.
func (k Key) Name() string { return k.name }

// Fallback returns the value of a missing key; empty if the key is required.
func (k Key) Fallback() string { return k.fallback }

// Allowed states the range of the value in words.
func (k Key) Allowed() string { return k.allowed }

// Doc returns the meaning of the key.
func (k Key) Doc() string { return k.doc }

const (
	maxDrain = time.Hour
	maxBody  = 64 << 20 // bytes
)

var keys = []Key{
	{"host", "name", "", "a name of one word", "name of the host", func(s *Settings, v string) bool {
		s.host = v
		return v != "" && !strings.ContainsAny(v, " \t,./")
	}},
	{"host", "zone", "", "a name of one word", "availability zone of the host", func(s *Settings, v string) bool {
		s.zone = v
		return v != "" && !strings.ContainsAny(v, " \t,")
	}},
	{"host", "caller", "", "an IP address and port", "address on which callers are served", func(s *Settings, v string) bool {
		s.caller = v
		return isAddress(v)
	}},
	{"host", "peer", "", "an IP address and port", "address on which other hosts are served", func(s *Settings, v string) bool {
		s.peer = v
		return isAddress(v)
	}},
	{"host", "drain", "10m", "1s to " + maxDrain.String(), "longest time that a planned stop may take", func(s *Settings, v string) bool {
		d, err := time.ParseDuration(v)
		s.drain = d
		return err == nil && d >= time.Second && d <= maxDrain
	}},
	{"host", "body", "1048576", fmt.Sprintf("1 to %d (bytes)", maxBody), "largest request body", func(s *Settings, v string) bool {
		n, err := strconv.Atoi(v)
		s.body = n
		return err == nil && n >= 1 && n <= maxBody
	}},
	{"platform", "address", "", "an IP address and port other than 0", "address of the configuration service and host list", func(s *Settings, v string) bool {
		s.platform = v
		return isRemote(v)
	}},
	{"join", "mode", "majority", "majority or alone", "whether the host serves before it has heard from more than half of the listed hosts", func(s *Settings, v string) bool {
		s.alone = v == "alone"
		return v == "majority" || v == "alone"
	}},
	{"join", "seeds", "none", "none, or IP addresses and ports other than 0 separated by commas", "peer addresses used in addition to the host list", func(s *Settings, v string) bool {
		if v == "none" {
			return true
		}
		for part := range strings.SplitSeq(v, ",") {
			s.seeds = append(s.seeds, strings.TrimSpace(part))
		}
		for _, a := range s.seeds {
			if !isRemote(a) {
				return false
			}
		}
		return true
	}},
}

// Keys returns the registry of keys.
func Keys() []Key { return append([]Key(nil), keys...) }

// isAddress reports whether v is an address that a host can listen on and tell others.
func isAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// isRemote reports whether v is an address that can be connected to.
func isRemote(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && isAddress(v) && a.Port() != 0
}
