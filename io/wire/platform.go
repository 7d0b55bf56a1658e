package wire

// Paths and headers of the platform protocol.
const (
	PathConfig    = "/v1/config"
	PathHosts     = "/v1/hosts"
	HeaderVersion = "Config-Version"
)

// Kinds and states of a listed machine.
const (
	KindEntry    = "entry"
	KindTarget   = "target"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Hosts is the host list.
type HostList struct {
	Version uint64      `json:"version"`
	Hosts   []HostEntry `json:"hosts"`
}

// Listed is one entry of the host list.
type HostEntry struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Peer is the address of an entry host for other hosts.
	Peer  string `json:"peer,omitempty"`
	Zone  string `json:"zone"`
	Kind  string `json:"kind"`
	State string `json:"state"`
}
