// Command sassafrasward is the serving system: daemon, checks, caller and replay.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sassafrasward/io/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
