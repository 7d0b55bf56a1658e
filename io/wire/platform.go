package wire

// Paths and headers of the platform protocol.
const (
	PathConfig    = "/v1/config"
	PathHosts     = "/v1/hosts"
	HeaderVersion = "Config-Version"
)

// Kinds and states of an entry of the host list.
const (
	KindEntry    = "entry"
	KindTarget   = "target"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// HostList is the platform's list of entry hosts and targets.
type HostList struct {
	Version uint64      `json:"version"`
	Hosts   []HostEntry `json:"hosts"`
}

// HostEntry is one entry of the host list.
type HostEntry struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Peer is the address at which an entry host serves other entry hosts.
	Peer  string `json:"peer,omitempty"`
	Zone  string `json:"zone"`
	Kind  string `json:"kind"`
	State string `json:"state"`
}
