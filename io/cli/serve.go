package cli

import (
	"os"
	"os/signal"
	"syscall"

	"sassafrasward/io/daemon"
	"sassafrasward/io/demo"
	"sassafrasward/io/setting"
)

// serveCommand runs the daemon of an entry host.
type serveCommand struct {
	env      *environment
	Settings string `long:"settings" required:"true" description:"settings file of the host (INI)"`
	Verbose  []bool `long:"verbose" short:"v" description:"write log events of level 1 as well"`
}

// Execute implements flags.Commander.
func (s *serveCommand) Execute([]string) error {
	settings, err := setting.Load(s.Settings)
	if err != nil {
		return withFile(s.Settings, err)
	}
	d, err := daemon.New(settings, s.env.log(len(s.Verbose)))
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go haltOnSecondSignal(d, signals, done)
	return d.Run(s.env.ctx)
}

// haltOnSecondSignal ends a graceful stop at once on the second signal. The first signal
// begins the stop by ending the context of the command.
func haltOnSecondSignal(d *daemon.Daemon, signals <-chan os.Signal, done <-chan struct{}) {
	for range 2 {
		select {
		case <-signals:
		case <-done:
			return
		}
	}
	d.Halt()
}

// demoCommand runs the demo.
type demoCommand struct {
	env *environment
}

// Execute implements flags.Commander.
func (d *demoCommand) Execute([]string) error {
	return demo.Run(d.env.ctx, d.env.out, d.env.log(0))
}
