// Command standin runs a stand-in for the platform or for one target, for tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sassafrasward/io/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := standin.Serve(ctx, os.Args[1:], os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
