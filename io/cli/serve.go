package cli

import (
	"sassafrasward/io/daemon"
	"sassafrasward/io/demo"
	"sassafrasward/io/setting"
)

// serve runs the daemon.
type serve struct {
	env      *environment
	Settings string `long:"settings" required:"true" description:"settings file of the host (INI)"`
}

// Execute implements flags.Commander.
func (s *serve) Execute([]string) error {
	settings, err := setting.Load(s.Settings)
	if err != nil {
		return mistakes(s.Settings, err)
	}
	d, err := daemon.New(settings, s.env.log())
	if err != nil {
		return err
	}
	return d.Run(s.env.ctx)
}

// demonstrate runs the demo.
type demonstrate struct {
	env *environment
}

// Execute implements flags.Commander.
func (d *demonstrate) Execute([]string) error {
	return demo.Run(d.env.ctx, d.env.out, d.env.log())
}
