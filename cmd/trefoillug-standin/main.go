// Command trefoillug-standin runs a stand-in for one of the systems around trefoillug: the object API, the cloud, a
// model engine or a plain service.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/standin"
)

// headerTimeout is the time within which a client must send the request header.
const headerTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "trefoillug-standin",
		Usage:    "run a stand-in for tests and make run",
		Commands: []*cli.Command{objectsCommand(), cloudCommand(), engineCommand(), serviceCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "trefoillug-standin:", err)
		os.Exit(1)
	}
}

func listenFlag(dest *string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "host:port to listen on", Required: true, Destination: dest}
}

func objectsCommand() *cli.Command {
	var listen string
	return &cli.Command{
		Name: "objects", Usage: "object API", Flags: []cli.Flag{listenFlag(&listen)},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return serve(ctx, listen, standin.NewObjects(standin.ObjectsOptions{}), nil)
		},
	}
}

func cloudCommand() *cli.Command {
	var listen string
	var lag time.Duration
	return &cli.Command{
		Name: "cloud", Usage: "instance list and reclaim notices",
		Flags: []cli.Flag{listenFlag(&listen), &cli.DurationFlag{Name: "lag", Usage: "delay of the instance list", Destination: &lag}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return serve(ctx, listen, standin.NewCloud(lag), nil)
		},
	}
}

func engineCommand() *cli.Command {
	var r registration
	return &cli.Command{
		Name: "engine", Usage: "model engine", Flags: r.flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			return serve(ctx, r.instance.Address, standin.NewEngine(standin.EngineConfig{ID: r.instance.ID}), &r)
		},
	}
}

func serviceCommand() *cli.Command {
	var r registration
	return &cli.Command{
		Name: "service", Usage: "plain service", Flags: r.flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			return serve(ctx, r.instance.Address, standin.NewService(standin.ServiceConfig{ID: r.instance.ID}), &r)
		},
	}
}

// registration holds the entry of an endpoint for the instance list, and the URL of the cloud stand-in.
type registration struct {
	instance cloud.Instance
	platform string
}

func (r *registration) flags() []cli.Flag {
	in := &r.instance
	in.Role, in.State, in.Reclaimable = cloud.RoleEndpoint, cloud.StateLive, true
	required := func(name, usage string, dest *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Required: true, Destination: dest}
	}
	return []cli.Flag{
		listenFlag(&in.Address),
		required("id", "instance ID", &in.ID),
		required("platform", "base URL of the cloud stand-in", &r.platform),
		required("failure-domain", "failure domain of the instance", &in.FailureDomain),
		required("service", "service that the endpoint runs", &in.Service),
		required("version", "version that the endpoint runs", &in.Version),
		&cli.FloatFlag{Name: "price", Usage: "currency units per hour", Value: 1, Destination: &in.Price},
	}
}

// register puts the endpoint on the instance list.
func (r *registration) register(ctx context.Context) error {
	body, err := json.Marshal(r.instance)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, r.platform+"/instances/"+r.instance.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// serve runs handler until ctx is done. If r is not nil, it first puts the endpoint on the instance list.
func serve(ctx context.Context, listen string, handler http.Handler, r *registration) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if r != nil {
		if err := r.register(ctx); err != nil {
			return fmt.Errorf("register with the platform: %w", err)
		}
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
