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
	// ready, directory and metrics are addresses of an edge host; empty if it has none.
	ready, directory, metrics string
	// memory is the bound on the memory of the process in bytes; zero for none.
	memory int64
	bounds Limits
}

// Bounds are the limits that an edge host keeps to.
type Limits struct {
	// Grace is the time between the signal to stop and the kill.
	GracePeriod time.Duration
	// Lifetime is the longest time that callers keep an address answer.
	AddressTTL time.Duration
	// Contact is the time after a disruption within which the host has to be up to date again.
	RecoveryTime time.Duration
	// Leave is the time after which a leaving target gets no new work, and Apply that after
	// which a published configuration is in force.
	MaxLeaveDelay, MaxApplyDelay time.Duration
	// Ratio and Slack bound the repeats of the whole fleet in each Window.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
}

// gatherPart is the part of the time to apply a change for which changes are gathered. A read
// that fails can be repeated in the rest.
const gatherPart = 0.4

// Gather returns how long changes are gathered before the next read of the store, which saves
// calls when many targets change at once.
func (b Limits) CoalesceDelay() time.Duration {
	return time.Duration(gatherPart * float64(min(b.MaxLeaveDelay, b.MaxApplyDelay)))
}

// Ready returns the address that is asked whether the host takes requests.
func (s Settings) ReadyAddress() string { return s.ready }

// Directory returns the address that is asked which hosts to use.
func (s Settings) DirectoryAddress() string { return s.directory }

// Metrics returns the address on which metrics are served.
func (s Settings) MetricsAddress() string { return s.metrics }

// Memory returns the bound on the memory of the process in bytes; zero for none.
func (s Settings) MemoryLimit() int64 { return s.memory }

// Bounds returns the limits that an edge host keeps to.
func (s Settings) Limits() Limits { return s.bounds }

// Host returns the name of the host.
func (s Settings) Host() string { return s.host }

// Zone returns the availability zone of the host.
func (s Settings) Zone() string { return s.zone }

// Caller returns the address on which callers are served.
func (s Settings) CallerAddress() string { return s.caller }

// Peer returns the address on which other hosts are served.
func (s Settings) PeerAddress() string { return s.peer }

// Platform returns the address of the configuration service and host list.
func (s Settings) PlatformAddress() string { return s.platform }

// Seeds returns peer addresses used in addition to the host list.
func (s Settings) Seeds() []string { return s.seeds }

// Alone reports whether the host may serve without having heard from other hosts.
func (s Settings) StandaloneStart() bool { return s.alone }

// Drain returns the longest time that a planned stop may take.
func (s Settings) DrainTimeout() time.Duration { return s.drain }

// Body returns the largest request body in bytes.
func (s Settings) MaxBodyBytes() int { return s.body }

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
func (k Key) Default() string { return k.fallback }

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
	{"edge", "ready", "none", "none, or an IP address and port", "address that is asked whether an edge host takes requests", func(s *Settings, v string) bool {
		return optional(&s.ready, v)
	}},
	{"edge", "directory", "none", "none, or an IP address and port", "address that is asked which edge hosts to use", func(s *Settings, v string) bool {
		return optional(&s.directory, v)
	}},
	{"edge", "metrics", "none", "none, or an IP address and port", "address on which metrics are served", func(s *Settings, v string) bool {
		return optional(&s.metrics, v)
	}},
	{"edge", "memory", "0", "0 or more (MB)", "bound on the memory of the process; 0 for none", func(s *Settings, v string) bool {
		n, ok := number(v)
		s.memory = int64(n * megabyte)
		return ok
	}},
	{"edge", "grace", "10", "0 or more (seconds)", "time between the signal to stop and the kill", func(s *Settings, v string) bool {
		return seconds(&s.bounds.GracePeriod, v)
	}},
	{"edge", "lifetime", "5", "0 or more (seconds)", "longest time that callers keep an address answer", func(s *Settings, v string) bool {
		return seconds(&s.bounds.AddressTTL, v)
	}},
	{"edge", "contact", "3000", "500 or more (milliseconds)", "time after a disruption within which the host has to be up to date again", func(s *Settings, v string) bool {
		n, ok := number(v)
		s.bounds.RecoveryTime = time.Duration(n * float64(time.Millisecond))
		return ok && n >= 500
	}},
	{"edge", "leave", "2000", "500 or more (milliseconds)", "time after which a leaving target gets no new work", func(s *Settings, v string) bool {
		n, ok := number(v)
		s.bounds.MaxLeaveDelay = time.Duration(n * float64(time.Millisecond))
		return ok && n >= 500
	}},
	{"edge", "apply", "2000", "500 or more (milliseconds)", "time after which a published configuration is in force", func(s *Settings, v string) bool {
		n, ok := number(v)
		s.bounds.MaxApplyDelay = time.Duration(n * float64(time.Millisecond))
		return ok && n >= 500
	}},
	{"edge", "ratio", "0.1", "0 or more", "repeats that the fleet may add, as a ratio of the requests", func(s *Settings, v string) (ok bool) {
		s.bounds.RetryRatio, ok = number(v)
		return ok
	}},
	{"edge", "slack", "10", "0 or more", "repeats that the fleet may add beyond the ratio in each window", func(s *Settings, v string) (ok bool) {
		s.bounds.RetryAllowance, ok = number(v)
		return ok
	}},
	{"edge", "window", "10", "above 0 (seconds)", "window in which repeats are counted", func(s *Settings, v string) bool {
		return seconds(&s.bounds.RetryWindow, v) && s.bounds.RetryWindow >= time.Second
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

// megabyte is the unit of memory bounds.
const megabyte = 1e6 // bytes

// optional sets an address that may be none.
func optional(to *string, v string) bool {
	if v == "none" {
		return true
	}
	*to = v
	return isAddress(v)
}

// number parses a figure that is not negative.
func number(v string) (n float64, ok bool) {
	n, err := strconv.ParseFloat(v, 64)
	return n, err == nil && n >= 0 && n < 1e12
}

func seconds(to *time.Duration, v string) bool {
	n, ok := number(v)
	*to = time.Duration(n * float64(time.Second))
	return ok && n < 1e6
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
