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

// Addresses is the address answer, the answer to PathAddresses: the hosts that a caller is to
// use.
type Addresses struct {
	Hosts []Host `json:"hosts"`
	// Lifetime is how long the answer may be used, in milliseconds.
	Lifetime int64 `json:"lifetime"`
	// Keys are command keys issued by the answering host, which owns their commands.
	Keys []string `json:"keys,omitempty"`
	// Expiry is how long the keys are valid, in milliseconds.
	Expiry int64 `json:"expiry,omitempty"`
}

// Host is one entry host that a caller may use.
type Host struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Request is the body of a call that runs a pipeline.
type Request struct {
	Workspace string          `json:"workspace"`
	Input     json.RawMessage `json:"input"`
	// Deadline is the time limit of the request in milliseconds; zero for that of the pipeline.
	Deadline int64 `json:"deadline,omitempty"`
	// Key is the command key; it is required if a stage of the pipeline may not be repeated.
	Key string `json:"key,omitempty"`
	// Prefix identifies the shared prefix of the prompt, for cache affinity.
	Prefix string `json:"prefix,omitempty"`
	// Size is the expected work in tokens; zero if unknown.
	Size int64 `json:"size,omitempty"`
}

// Answer is the last message to the caller of a request.
type Answer struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// Output is the output of the last stage; absent unless the outcome is done.
	Output json.RawMessage `json:"output,omitempty"`
	Stages []StageStats    `json:"stages,omitempty"`
}

// StageStats reports how one stage of a request ran. Wait and Elapsed are in milliseconds.
type StageStats struct {
	Stage    string  `json:"stage"`
	Target   string  `json:"target,omitempty"`
	Attempts int     `json:"attempts"`
	Wait     float64 `json:"wait"`
	Elapsed  float64 `json:"elapsed"`
}

// Token is one token of a streamed answer.
type Token struct {
	// Index counts from zero within the stage. A token with an index that was received before is
	// a repetition.
	Index int    `json:"index"`
	Text  string `json:"text"`
}
