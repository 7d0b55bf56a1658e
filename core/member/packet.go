package member

import (
	"time"

	"sassafrasward/core/config"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind -linecomment -output=packet_string.go

// Packet is the message that each of two hosts sends to the other in one exchange.
type Packet struct {
	// From is the member that sends the packet.
	From Member
	// Version is the version of the configuration in force at the sender.
	Version config.Version
	Digest  Digest
	// Repair requests all facts in the buckets that differ.
	Repair bool
	// DiffMask is a bit mask of the buckets that differ. The answer carries all facts of these
	// buckets and requests those of the other host.
	DiffMask uint32

	Members   []Member
	Loads     []Load
	Leavings  []Leaving
	Crashes   []Crash
	Reports   []Report
	Handovers []Handover
	Estimates []Estimate
}

// Kind is the type of a Call.
type Kind int

// The kinds of calls.
const (
	// Exchange sends a packet and receives the answer.
	Exchange Kind = iota // exchange
	// IndirectProbe asks another host whether it can reach the target member.
	IndirectProbe // relay
	// Pull reads the configuration document of a version from the host.
	Pull // pull
)

// Call is a call to another host that the owner of the State has to make. It must be
// reported as Answered, Failed or, for an IndirectProbe, Reached and, for a Pull, Pulled.
type Call struct {
	kind    Kind
	address string
	packet  Packet
	version config.Version
	// expected is the incarnation that should answer; zero if not known.
	expected uint64
	// target is the incarnation that an IndirectProbe checks, targetAddress its address.
	target        uint64
	targetAddress string
	startedAt     time.Duration
}

// Kind returns the type of the call.
func (c Call) Kind() Kind { return c.kind }

// Address returns the peer address to call.
func (c Call) Address() string { return c.address }

// Packet returns the packet of an Exchange.
func (c Call) Packet() Packet { return c.packet }

// Version returns the version that a Pull reads.
func (c Call) Version() config.Version { return c.version }

// Target returns the incarnation and the address of the member that an IndirectProbe checks.
func (c Call) Target() (incarnation uint64, address string) { return c.target, c.targetAddress }
