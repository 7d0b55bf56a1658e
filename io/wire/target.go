package wire

import "encoding/json"

// Paths of the target protocol.
const (
	PathRun    = "/v1/run"
	PathReport = "/v1/report"
	PathOrder  = "/v1/order"
)

// Run asks a target to run one attempt of one stage.
type Run struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	// Key is the command key; only calls of stages that may not be repeated have one. A
	// target that recognises repeated commands compares the key and the stage.
	Key string `json:"key,omitempty"`
	// Deadline is the time left in milliseconds.
	Deadline int64           `json:"deadline"`
	Priority int             `json:"priority,omitempty"`
	Input    json.RawMessage `json:"input"`
	Prefix   string          `json:"prefix,omitempty"`
	Size     int64           `json:"size,omitempty"`
	Stream   bool            `json:"stream,omitempty"`
	// From is the index of the first token wanted when a stream is resumed.
	FirstToken int `json:"from,omitempty"`
}

// Ran answers a Run.
type RunResult struct {
	Request string          `json:"request"`
	Stage   string          `json:"stage"`
	Attempt int             `json:"attempt"`
	Outcome string          `json:"outcome"`
	Detail  string          `json:"detail,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"`
	Load    Load            `json:"load"`
}

// Load is what a target says of itself.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

// Report is the lagging report of a target.
type Report struct {
	Load Load `json:"load"`
	// Sequence numbers cache events; a gap means that events were lost.
	Sequence uint64   `json:"sequence,omitempty"`
	Cached   []string `json:"cached,omitempty"`
	Evicted  []string `json:"evicted,omitempty"`
	Fence    uint64   `json:"fence,omitempty"`
	Models   []string `json:"models,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// Order tells an engine which models to hold and which role to play.
type Order struct {
	// Fence is the fencing token: the number of the configuration version.
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}
