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

// Settings holds the parsed settings of one host.
type Settings struct {
	host            string
	zone            string
	callerAddress   string
	peerAddress     string
	platformAddress string
	// seeds are addresses of peers to contact in addition to those of the host list.
	seeds           []string
	standaloneStart bool
	// drainTimeout is the time limit of a planned stop.
	drainTimeout time.Duration
	maxBodyBytes int
	// The addresses on which an edge host serves readiness checks, host resolution and metrics;
	// empty if it doesn't serve them.
	readyAddress, directoryAddress, metricsAddress string
	// memoryLimit is in bytes; zero for none.
	memoryLimit int64
	// descriptors is the limit of open descriptors; zero for none.
	descriptors int
	// sharedEstimates is set if hosts share what they learn of the capacity of targets.
	sharedEstimates bool
	limits          Limits
	// announceDelay is how long announcements of admitted and refused requests are collected; zero for none.
	announceDelay time.Duration
	// region is the region of the host, empty if it is not known. zoneRegions has the regions of the
	// availability zones.
	region      string
	zoneRegions map[string]string
}

// Limits holds the time limits and the retry budget of an edge host.
type Limits struct {
	// GracePeriod is the time between the signal to stop and the kill.
	GracePeriod time.Duration
	// AddressTTL is the longest time for which callers cache an address answer.
	AddressTTL time.Duration
	// RecoveryTime is the time after a disruption within which the host must be up to date again.
	RecoveryTime time.Duration
	// MaxLeaveDelay is the time after which a leaving target must get no new work, and
	// MaxApplyDelay the time after which a published configuration must be in force.
	MaxLeaveDelay, MaxApplyDelay time.Duration
	// MaxEvacuationDelay is the time after which the targets of an evacuated availability zone must get no
	// new work; zero if zones are never evacuated.
	MaxEvacuationDelay time.Duration
	// The retry budget of all hosts together: in each RetryWindow, they may make as many retries
	// as RetryRatio times the number of requests, plus RetryAllowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// The requests that a cold target gets from all hosts together in any one second are at most ColdFactor
	// times the cold rate of its pool, plus ColdSlack. There is no bound if ColdFactor is zero.
	ColdFactor, ColdSlack float64
}

// MaxChangeDelay returns the time after which any change in the store must be in force.
func (l Limits) MaxChangeDelay() (delay time.Duration) {
	delay = min(l.MaxLeaveDelay, l.MaxApplyDelay)
	if l.MaxEvacuationDelay > 0 {
		delay = min(delay, l.MaxEvacuationDelay)
	}
	return delay
}

// coalesceFraction is the fraction of the time limit for applying a change that is spent on
// coalescing changes. The rest leaves time to repeat a failed read.
const coalesceFraction = 0.4

// CoalesceDelay returns how long changes are collected before the next read of the store. This
// saves calls to the store when many targets change at once.
func (l Limits) CoalesceDelay() time.Duration {
	return time.Duration(coalesceFraction * float64(min(l.MaxLeaveDelay, l.MaxApplyDelay)))
}

// ReadyAddress returns the address on which readiness checks are served; empty for none.
func (s Settings) ReadyAddress() string { return s.readyAddress }

// DirectoryAddress returns the address on which callers ask which hosts to use; empty for none.
func (s Settings) DirectoryAddress() string { return s.directoryAddress }

// MetricsAddress returns the address on which metrics are served; empty for none.
func (s Settings) MetricsAddress() string { return s.metricsAddress }

// MemoryLimit returns the memory limit of the process in bytes; zero for none.
func (s Settings) MemoryLimit() int64 { return s.memoryLimit }

// Region returns the region of the host; empty if it is not known.
func (s Settings) Region() string { return s.region }

// ZoneRegions returns the regions of the availability zones that are known. The map is not changed.
func (s Settings) ZoneRegions() map[string]string { return s.zoneRegions }

// Descriptors returns the limit of open descriptors of the process; zero for none.
func (s Settings) Descriptors() int { return s.descriptors }

// AnnounceDelay returns how long announcements of admitted and refused requests are collected for dispatching hosts;
// zero if they are told nothing and admission does not consider priority levels.
func (s Settings) AnnounceDelay() time.Duration { return s.announceDelay }

// SharedEstimates reports whether hosts of a large fleet share what they learn of the capacity of targets.
func (s Settings) SharedEstimates() bool { return s.sharedEstimates }

// Limits returns the time limits and the retry budget of an edge host.
func (s Settings) Limits() Limits { return s.limits }

// Host returns the name of the host.
func (s Settings) Host() string { return s.host }

// Zone returns the availability zone of the host.
func (s Settings) Zone() string { return s.zone }

// CallerAddress returns the address on which callers are served.
func (s Settings) CallerAddress() string { return s.callerAddress }

// PeerAddress returns the address on which other hosts are served.
func (s Settings) PeerAddress() string { return s.peerAddress }

// PlatformAddress returns the address of the configuration service and host list.
func (s Settings) PlatformAddress() string { return s.platformAddress }

// Seeds returns addresses of peers to contact in addition to those of the host list.
func (s Settings) Seeds() []string { return s.seeds }

// StandaloneStart reports whether the host may serve before it has heard from other hosts.
func (s Settings) StandaloneStart() bool { return s.standaloneStart }

// DrainTimeout returns the longest time that a planned stop may take.
func (s Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// MaxBodyBytes returns the largest size of a request body.
func (s Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// Key is the registry entry of one key of the settings file.
type Key struct {
	section      string
	name         string
	defaultValue string
	allowed      string
	doc          string
	// set parses the value, stores it in s and reports whether it is allowed.
	set func(s *Settings, value string) bool
}

// Section returns the section of the key.
func (k Key) Section() string { return k.section }

// Name returns the name of the key.
func (k Key) Name() string { return k.name }

// Default returns the value of a missing key; empty if the key is required.
func (k Key) Default() string { return k.defaultValue }

// Allowed describes the allowed values.
func (k Key) Allowed() string { return k.allowed }

// Doc describes the meaning of the key.
func (k Key) Doc() string { return k.doc }

const (
	maxDrainTimeout = time.Hour
	maxBodyLimit    = 64 << 20 // bytes
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
		s.callerAddress = v
		return isAddress(v)
	}},
	{"host", "peer", "", "an IP address and port", "address on which other hosts are served", func(s *Settings, v string) bool {
		s.peerAddress = v
		return isAddress(v)
	}},
	{"host", "drain", "10m", "1s to " + maxDrainTimeout.String(), "longest time that a planned stop may take", func(s *Settings, v string) bool {
		d, err := time.ParseDuration(v)
		s.drainTimeout = d
		return err == nil && d >= time.Second && d <= maxDrainTimeout
	}},
	{"host", "body", "1048576", fmt.Sprintf("1 to %d (bytes)", maxBodyLimit), "largest request body", func(s *Settings, v string) bool {
		n, err := strconv.Atoi(v)
		s.maxBodyBytes = n
		return err == nil && n >= 1 && n <= maxBodyLimit
	}},
	{"edge", "ready", "none", "none, or an IP address and port", "address that is asked whether an edge host takes requests", func(s *Settings, v string) bool {
		return parseOptionalAddress(&s.readyAddress, v)
	}},
	{"edge", "directory", "none", "none, or an IP address and port", "address that is asked which edge hosts to use", func(s *Settings, v string) bool {
		return parseOptionalAddress(&s.directoryAddress, v)
	}},
	{"edge", "metrics", "none", "none, or an IP address and port", "address on which metrics are served", func(s *Settings, v string) bool {
		return parseOptionalAddress(&s.metricsAddress, v)
	}},
	{"edge", "memory", "0", "0 or more (MB)", "memory limit of the process; 0 for none", func(s *Settings, v string) bool {
		n, ok := parseNumber(v)
		s.memoryLimit = int64(n * bytesPerMB)
		return ok
	}},
	{"edge", "descriptors", "0", "0, or 100 or more", "limit of open descriptors of the process; 0 for none", func(s *Settings, v string) bool {
		n, ok := parseNumber(v)
		s.descriptors = int(n)
		return ok && (n == 0 || n >= minDescriptors)
	}},
	{"edge", "grace", "10", "0 or more (seconds)", "time between the signal to stop and the kill", func(s *Settings, v string) bool {
		return parseSeconds(&s.limits.GracePeriod, v)
	}},
	{"edge", "lifetime", "5", "0 or more (seconds)", "longest time for which callers cache an address answer", func(s *Settings, v string) bool {
		return parseSeconds(&s.limits.AddressTTL, v)
	}},
	{"edge", "contact", "3000", "500 or more (milliseconds)", "time after a disruption within which the host has to be up to date again", func(s *Settings, v string) bool {
		n, ok := parseNumber(v)
		s.limits.RecoveryTime = time.Duration(n * float64(time.Millisecond))
		return ok && n >= 500
	}},
	{"edge", "leave", "2000", "500 or more (milliseconds)", "time after which a leaving target gets no new work", func(s *Settings, v string) bool {
		n, ok := parseNumber(v)
		s.limits.MaxLeaveDelay = time.Duration(n * float64(time.Millisecond))
		return ok && n >= 500
	}},
	{"edge", "apply", "2000", "500 or more (milliseconds)", "time after which a published configuration is in force", func(s *Settings, v string) bool {
		n, ok := parseNumber(v)
		s.limits.MaxApplyDelay = time.Duration(n * float64(time.Millisecond))
		return ok && n >= 500
	}},
	{"edge", "evacuate", "0", "0 or more (milliseconds)", "time after which the targets of an evacuated availability zone get no new work; with 0, evacuations are not read from the store", func(s *Settings, v string) bool {
		n, ok := parseNumber(v)
		s.limits.MaxEvacuationDelay = time.Duration(n * float64(time.Millisecond))
		return ok
	}},
	{"edge", "region", "none", "none, or a name without blanks", "region of the host", func(s *Settings, v string) bool {
		if v != "none" {
			s.region = v
		}
		return !strings.ContainsAny(v, " \t,")
	}},
	{"edge", "zones", "none", "none, or pairs zone:region separated by commas", "regions of the availability zones; a zone that is not listed is in no home region", func(s *Settings, v string) bool {
		return v == "none" || parseZones(s, v)
	}},
	{"edge", "ratio", "0.1", "0 or more", "retries that all hosts together may make, as a ratio of the requests", func(s *Settings, v string) (ok bool) {
		s.limits.RetryRatio, ok = parseNumber(v)
		return ok
	}},
	{"edge", "slack", "10", "0 or more", "retries that all hosts together may make beyond the ratio in each window", func(s *Settings, v string) (ok bool) {
		s.limits.RetryAllowance, ok = parseNumber(v)
		return ok
	}},
	{"edge", "window", "10", "above 0 (seconds)", "window in which retries are counted", func(s *Settings, v string) bool {
		return parseSeconds(&s.limits.RetryWindow, v) && s.limits.RetryWindow >= time.Second
	}},
	{"edge", "announce", "0", "0, or 10 to 1000 (milliseconds)", "time for which a host collects what it tells dispatching hosts of admitted and refused requests; 0 for no announcements and admission without priority levels", func(s *Settings, v string) bool {
		n, ok := parseNumber(v)
		s.announceDelay = time.Duration(n * float64(time.Millisecond))
		return ok && (n == 0 || n >= 10 && n <= 1000)
	}},
	{"edge", "estimates", "off", "on or off", "whether the hosts of a fleet of at least 24 share what they learn of the capacity of targets, and choose targets by it", func(s *Settings, v string) bool {
		s.sharedEstimates = v == "on"
		return v == "on" || v == "off"
	}},
	{"edge", "coldfactor", "0", "0 or more", "requests a second that a cold target gets from all hosts together at most, as a ratio of its pool's cold rate; 0 for no bound", func(s *Settings, v string) (ok bool) {
		s.limits.ColdFactor, ok = parseNumber(v)
		return ok
	}},
	{"edge", "coldslack", "0", "0 or more", "requests that a cold target gets in any second beyond that ratio", func(s *Settings, v string) (ok bool) {
		s.limits.ColdSlack, ok = parseNumber(v)
		return ok
	}},
	{"platform", "address", "", "an IP address and port other than 0", "address of the configuration service and host list", func(s *Settings, v string) bool {
		s.platformAddress = v
		return isRemote(v)
	}},
	{"join", "mode", "majority", "majority or alone", "whether the host serves before it has heard from more than half of the listed hosts", func(s *Settings, v string) bool {
		s.standaloneStart = v == "alone"
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

// minDescriptors is the smallest limit of open descriptors: less leaves too few for targets, other hosts and
// the store.
const minDescriptors = 100

// bytesPerMB converts the memory limit, which the settings file states in MB.
const bytesPerMB = 1e6

// parseOptionalAddress sets an address and reports whether it is allowed; the value none
// leaves it empty.
func parseOptionalAddress(to *string, v string) bool {
	if v == "none" {
		return true
	}
	*to = v
	return isAddress(v)
}

// parseZones sets the regions of zones from a list of pairs, and reports whether each is complete and no zone is
// listed twice.
func parseZones(s *Settings, v string) bool {
	s.zoneRegions = make(map[string]string)
	for part := range strings.SplitSeq(v, ",") {
		zone, region, ok := strings.Cut(strings.TrimSpace(part), ":")
		if _, known := s.zoneRegions[zone]; !ok || known || zone == "" || region == "" || strings.ContainsAny(part, "\t") {
			return false
		}
		s.zoneRegions[zone] = region
	}
	return true
}

// parseNumber parses a number that is neither negative nor 1e12 or more.
func parseNumber(v string) (n float64, ok bool) {
	n, err := strconv.ParseFloat(v, 64)
	return n, err == nil && n >= 0 && n < 1e12
}

// parseSeconds sets a duration from a number of seconds and reports whether it is allowed.
func parseSeconds(to *time.Duration, v string) bool {
	n, ok := parseNumber(v)
	*to = time.Duration(n * float64(time.Second))
	return ok && n < 1e6
}

// Keys returns the registry of keys.
func Keys() []Key { return append([]Key(nil), keys...) }

// isAddress reports whether v is an IP address and port that a host can listen on and announce to
// others.
func isAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// isRemote reports whether v is an IP address and port that a host can connect to.
func isRemote(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && isAddress(v) && a.Port() != 0
}
