// Command trefoillug is the serving system's binary.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	root := &cli.Command{Name: "trefoillug", Commands: []*cli.Command{checkCommand(), publishCommand()}}
	if err := root.Run(context.Background(), os.Args); err != nil {
		os.Exit(1)
	}
}
