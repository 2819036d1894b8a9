package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/config"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check service files and report every problem",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			services, err := readServices(cmd)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "%d service files without problems\n", len(services))
			return nil
		},
	}
}

// readServices decodes the files named as arguments. It prints all problems and returns an exit error with code 1
// when there are any.
func readServices(cmd *cli.Command) ([]config.Service, error) {
	paths := cmd.Args().Slice()
	files, readErr := config.ReadFiles(paths)
	services, decodeErr := config.DecodeFiles(files, time.Now())
	if err := errors.Join(readErr, decodeErr); err != nil {
		fmt.Fprintln(cmd.Root().ErrWriter, err)
		return nil, cli.Exit("", exitRefused)
	}
	if len(services) == 0 && cmd.Name == "check" {
		return nil, cli.Exit("name at least one service file", exitRefused)
	}
	return services, nil
}
