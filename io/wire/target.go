package wire

import "encoding/json"

// Paths of the target protocol.
const (
	PathRun    = "/v1/run"
	PathReport = "/v1/report"
	PathOrder  = "/v1/order"
)

// Run is the body of a call to PathRun: one attempt of one stage.
type Run struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	// Key is the command key; only calls of stages that may not be repeated have one. A target
	// that recognises repeated commands identifies them by key and stage.
	Key string `json:"key,omitempty"`
	// Deadline is the time left in milliseconds.
	Deadline int64           `json:"deadline"`
	Priority int             `json:"priority,omitempty"`
	Input    json.RawMessage `json:"input"`
	Prefix   string          `json:"prefix,omitempty"`
	Size     int64           `json:"size,omitempty"`
	Stream   bool            `json:"stream,omitempty"`
	// FirstToken is the index of the first token to send when a stream is resumed.
	FirstToken int `json:"from,omitempty"`
}

// RunResult is the answer to a Run.
type RunResult struct {
	Request string          `json:"request"`
	Stage   string          `json:"stage"`
	Attempt int             `json:"attempt"`
	Outcome string          `json:"outcome"`
	Detail  string          `json:"detail,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"`
	Load    Load            `json:"load"`
}

// Load is the load that a target reports.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

// Report is the answer to PathReport. It may lag behind the state of the target.
type Report struct {
	Load Load `json:"load"`
	// Sequence numbers the cache events in Cached and Evicted; a gap means that events were lost.
	Sequence uint64   `json:"sequence,omitempty"`
	Cached   []string `json:"cached,omitempty"`
	Evicted  []string `json:"evicted,omitempty"`
	// Fence and Role are those of the order that an engine holds; Models are the loaded models.
	Fence  uint64   `json:"fence,omitempty"`
	Models []string `json:"models,omitempty"`
	Role   string   `json:"role,omitempty"`
}

// Order tells an engine which models to hold and which role to play.
type Order struct {
	// Fence is the fencing token: the version number of the configuration.
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}
