package cli

import (
	"os"
	"os/signal"
	"syscall"

	"sassafrasward/io/edge"
	"sassafrasward/io/event"
	"sassafrasward/io/setting"
)

// edgeServe runs an edge host.
type edgeServe struct {
	env      *environment
	Settings string `long:"settings" required:"true" env:"SASSAFRASWARD_NODE_FILE" description:"settings file of the host (INI)"`
	Verbose  []bool `long:"verbose" short:"v" description:"write log events of level 1 as well"`
}

// Execute implements flags.Commander.
func (s *edgeServe) Execute([]string) error {
	settings, err := setting.Load(s.Settings)
	if err != nil {
		return mistakes(s.Settings, err)
	}
	lines := event.NewWriter(s.env.out)
	log := lines.Logger(len(s.Verbose))
	e := edge.New(settings, log)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-signals:
				next, err := setting.Load(s.Settings)
				if err != nil {
					event.LogError(log, event.ConfigRejected, err, "file", s.Settings)
					continue
				}
				e.Reload(next)
			case <-done:
				return
			}
		}
	}()
	// The lines are not closed: goroutines that end late may still log.
	return e.Run(s.env.ctx)
}
