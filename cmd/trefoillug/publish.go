package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/objstore"
)

// Exit codes of check and publish.
const (
	exitRefused    = 1 // nothing was applied
	exitUnknown    = 2 // the result of the publish is not known; publishing again is safe
	exitNotInForce = 3 // accepted, but not seen in force on every instance in time
)

const (
	// defaultPublishTimeout covers a short outage of the store.
	defaultPublishTimeout = 30 * time.Second
	// defaultWait is twice the 13 s within which a configuration must be in force.
	defaultWait = 26 * time.Second
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish service files and wait until they are in force everywhere",
		ArgsUsage: "FILE...",
		Description: "Services that are not named keep their accepted configuration.\n" +
			"Exit code 1: nothing was applied; 2: the result is not known; 3: accepted, but not in force everywhere yet.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "`URL` of the object API", Required: true, Sources: cli.EnvVars("TREFOILLUG_STORE")},
			&cli.StringSliceFlag{Name: "entries", Usage: "`HOST:PORT` of entry instances; without any, publish does not wait", Sources: cli.EnvVars("TREFOILLUG_ENTRIES")},
			&cli.StringSliceFlag{Name: "remove", Usage: "`NAME` of a service to remove", Sources: cli.EnvVars("TREFOILLUG_REMOVE")},
			&cli.DurationFlag{Name: "timeout", Usage: "limit for calls to the object API", Value: defaultPublishTimeout, Sources: cli.EnvVars("TREFOILLUG_PUBLISH_TIMEOUT")},
			&cli.DurationFlag{Name: "wait", Usage: "limit for the configuration to be in force everywhere", Value: defaultWait, Sources: cli.EnvVars("TREFOILLUG_WAIT")},
		},
		Action: runPublish,
	}
}

func runPublish(ctx context.Context, cmd *cli.Command) error {
	services, err := readServices(cmd)
	if err != nil {
		return err
	}
	remove := cmd.StringSlice("remove")
	if len(services)+len(remove) == 0 {
		return cli.Exit("name at least one service file, or a service with --remove", exitRefused)
	}
	storeCtx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	publisher := config.NewPublisher(objstore.NewClient(cmd.String("store"), nil))
	result, err := publisher.Publish(storeCtx, services, remove)
	if err != nil {
		return exitError(err)
	}
	if result.Changed {
		fmt.Fprintf(cmd.Root().Writer, "accepted as revision %d\n", result.Revision)
	} else {
		fmt.Fprintf(cmd.Root().Writer, "no change, accepted as of revision %d\n", result.Revision)
	}
	return awaitInForce(ctx, cmd, result.Revision)
}

func exitError(err error) error {
	if errors.Is(err, objstore.ErrUnknownResult) {
		return cli.Exit(fmt.Sprintf("publish: %v; publish again to find out", err), exitUnknown)
	}
	return cli.Exit(fmt.Sprintf("publish: %v", err), exitRefused)
}

// awaitInForce waits until the revision is in force on all instances and prints the revision of each.
func awaitInForce(ctx context.Context, cmd *cli.Command, revision uint64) error {
	entries := cmd.StringSlice("entries")
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("wait"))
	defer cancel()
	check := config.InForceCheck{Client: &http.Client{}, Entries: entries, Revision: revision}
	members, ok := check.Await(ctx)
	for _, m := range members {
		fmt.Fprintln(cmd.Root().Writer, m)
	}
	if !ok {
		return cli.Exit(fmt.Sprintf("revision %d is accepted, but not in force everywhere after %s", revision, cmd.Duration("wait")), exitNotInForce)
	}
	fmt.Fprintf(cmd.Root().Writer, "revision %d is in force on all %d instances\n", revision, len(members))
	return nil
}

// readServices decodes the files named as arguments. It prints all problems and returns an exit error with code 1
// when there are any.
func readServices(cmd *cli.Command) ([]config.Service, error) {
	files, readErr := config.ReadFiles(cmd.Args().Slice())
	services, decodeErr := config.DecodeFiles(files, time.Now())
	if err := errors.Join(readErr, decodeErr); err != nil {
		fmt.Fprintln(cmd.Root().ErrWriter, err)
		return nil, cli.Exit("", exitRefused)
	}
	return services, nil
}
