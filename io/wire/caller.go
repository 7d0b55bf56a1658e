package wire

import "encoding/json"

// Paths of the caller protocol.
const (
	PathAddresses = "/v1/addresses"
	PathPipelines = "/v1/pipelines/"
	PathStatus    = "/v1/status"
)

// Media types and names of server-sent events.
const (
	ContentTypeEvents = "text/event-stream"
	ContentTypeJSON   = "application/json"
	EventToken        = "token"
	EventEnd          = "end"
)

// Addresses answers which hosts a caller is to use.
type Addresses struct {
	Hosts []Host `json:"hosts"`
	// Lifetime is how long the answer may be used, in milliseconds.
	Lifetime int64 `json:"lifetime"`
	// Keys are command keys owned by the answering host.
	Keys []string `json:"keys,omitempty"`
	// Expiry is how long the keys are valid, in milliseconds.
	Expiry int64 `json:"expiry,omitempty"`
}

// Host is one address of the system.
type Host struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Request asks for a run of a pipeline.
type Request struct {
	Workspace string          `json:"workspace"`
	Input     json.RawMessage `json:"input"`
	// Deadline is the time limit in milliseconds; zero for the pipeline's own.
	Deadline int64 `json:"deadline,omitempty"`
	// Key is the command key; needed if a stage of the pipeline may not be repeated.
	Key string `json:"key,omitempty"`
	// Prefix names the shared start of the prompt, for cache affinity.
	Prefix string `json:"prefix,omitempty"`
	// Size is the expected work in tokens; zero if not known.
	Size int64 `json:"size,omitempty"`
}

// Answer ends each request.
type Answer struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// Output is the output of the last stage; absent unless the outcome is done.
	Output json.RawMessage `json:"output,omitempty"`
	Stages []StageStats    `json:"stages,omitempty"`
}

// Stage is the cost of one stage of a request.
type StageStats struct {
	Stage    string  `json:"stage"`
	Target   string  `json:"target,omitempty"`
	Attempts int     `json:"attempts"`
	Wait     float64 `json:"wait"`
	Elapsed  float64 `json:"elapsed"`
}

// Token is one piece of a streamed answer.
type Token struct {
	// Index counts from zero within the stage; a repeated index is a repeated token.
	Index int    `json:"index"`
	Text  string `json:"text"`
}
