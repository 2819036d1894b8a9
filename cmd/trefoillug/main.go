// Command trefoillug runs instances and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "trefoillug",
		Usage: "serves model and application traffic on reclaimable instances",
		Commands: []*cli.Command{
			entryCommand(), nodeCommand(), checkCommand(), publishCommand(), statusCommand(), reportCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "trefoillug:", err)
		os.Exit(1)
	}
}
