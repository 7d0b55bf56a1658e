package member

import (
	"time"

	"sassafrasward/core/config"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind -linecomment -output=packet_string.go

// Packet is what two hosts tell each other in one exchange, in each direction.
type Packet struct {
	// From is the member that sends the packet.
	From Member
	// Version is the configuration in force at the sender.
	Version config.Version
	Digest  Digest
	// Repair asks for all facts in the buckets that differ.
	Repair bool
	// Differ names the buckets that differ; the answer carries all their facts and asks
	// for those of the other host.
	DiffMask uint32

	Members   []Member
	Loads     []Load
	Leavings  []Leaving
	Crashes   []Crash
	Handovers []Handover
}

// Kind says what a Send asks for.
type Kind int

// The kinds of sends.
const (
	// Exchange sends the packet and takes the answer.
	Exchange Kind = iota // exchange
	// Relay asks another host whether it can reach the target.
	IndirectProbe // relay
	// Pull reads the configuration document with the version from the host.
	Pull // pull
)

// Send is one call to another host that the owner of the State is to make. It must be
// reported as Answered, Failed or, for a Pull, Pulled.
type Call struct {
	kind    Kind
	address string
	packet  Packet
	version config.Version
	// to is the incarnation that is expected to answer; zero if not known.
	to uint64
	// target is the member that a Relay is about, targetAddress its address.
	target        uint64
	targetAddress string
	began         time.Duration
}

// Kind returns what to do.
func (s Call) Kind() Kind { return s.kind }

// Address returns the peer address to call.
func (s Call) Address() string { return s.address }

// Packet returns the packet of an Exchange.
func (s Call) Packet() Packet { return s.packet }

// Version returns the version that a Pull reads.
func (s Call) Version() config.Version { return s.version }

// Target returns the incarnation and the address that a Relay is about.
func (s Call) Target() (incarnation uint64, address string) { return s.target, s.targetAddress }
