package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"sassafrasward/core/outcome"
	"sassafrasward/io/caller"
	"sassafrasward/io/wire"
)

// call runs one pipeline as a caller.
type call struct {
	env       *environment
	Hosts     []string `long:"host" required:"true" description:"address of an entry host; may be repeated"`
	Zone      string   `long:"zone" description:"availability zone of the caller"`
	Workspace string   `long:"workspace" required:"true" description:"workspace of the request"`
	Input     string   `long:"input" required:"true" description:"input of the first stage (JSON)"`
	Deadline  int64    `long:"deadline" description:"time limit in milliseconds"`
	Size      int64    `long:"size" description:"expected work in tokens"`
	Prefix    string   `long:"prefix" description:"name of the shared prompt prefix"`
	Key       string   `long:"key" description:"command key; a resend with the same key never runs the command twice"`
	Command   bool     `long:"command" description:"ask for a command key and print it before sending, for resends"`
	Stream    bool     `long:"stream" description:"print tokens as they come"`

	Arguments struct {
		Pipeline string `positional-arg-name:"pipeline" description:"pipeline to run"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *call) Execute([]string) error {
	if !json.Valid([]byte(c.Input)) {
		return &flags.Error{Type: flags.ErrMarshal, Message: "--input is not JSON"}
	}
	client := caller.New(c.Hosts, caller.WithZone(c.Zone))
	request := wire.Request{
		Workspace: c.Workspace, Input: json.RawMessage(c.Input), Deadline: c.Deadline,
		Size: c.Size, Prefix: c.Prefix, Key: c.Key,
	}
	if c.Command && c.Key == "" {
		keys, err := client.RequestKeys(c.env.ctx, c.Workspace, 1)
		if err != nil {
			return err
		}
		request.Key = keys[0]
		_, _ = fmt.Fprintln(c.env.err, "key:", request.Key)
	}
	var each func(wire.Token)
	if c.Stream {
		each = func(t wire.Token) { _, _ = fmt.Fprint(c.env.out, t.Text) }
	}
	answer, err := client.Call(c.env.ctx, c.Arguments.Pipeline, request, each)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(c.env.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(answer); err != nil {
		return err
	}
	if answer.Outcome != outcome.Done.String() {
		return errors.New("the request did not end as done: " + answer.Outcome + " " + answer.Reason)
	}
	return nil
}
