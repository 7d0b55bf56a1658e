// Command sassafrasward runs the serving system and its tools: the daemon of an entry host,
// checks of files, a client, and the replay of traces.
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
