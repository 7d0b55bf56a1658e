package cli

import (
	"github.com/jessevdk/go-flags"

	"sassafrasward/core/config"
)

// presetCommand prints a configuration with another active preset.
type presetCommand struct {
	env    *environment
	Config string `long:"config" description:"published configuration (INI); - reads standard input"`
	Host   string `long:"host" description:"address of an entry host to read the configuration in force from"`

	Arguments struct {
		Preset string `positional-arg-name:"preset" description:"preset to make active"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (p *presetCommand) Execute([]string) error {
	if (p.Config == "") == (p.Host == "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "either --config or --host is required"}
	}
	source, raw, err := p.read()
	if err != nil {
		return err
	}
	switched, err := config.SwitchPreset(raw, p.Arguments.Preset)
	if err != nil {
		return withFile(source, err)
	}
	_, err = p.env.out.Write(switched)
	return err
}

func (p *presetCommand) read() (source string, raw []byte, err error) {
	if p.Config != "" {
		raw, err = readFile(p.env, p.Config)
		return p.Config, raw, err
	}
	raw, err = fetchConfig(p.env.ctx, p.Host)
	return p.Host, raw, err
}
