package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/forward"
	"github.com/trefoillug/trefoillug/intake"
	"github.com/trefoillug/trefoillug/node"
	"github.com/trefoillug/trefoillug/platform"
)

func nodeCommand() *cli.Command {
	var path, level string
	return &cli.Command{
		Name:  "node",
		Usage: "run an instance on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file (TOML)",
				Sources: cli.EnvVars(platform.SettingsVariable), Destination: &path},
			stringFlag("log-level", "debug, info, warning or error", "info", &level),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			signals := reloadSignals()
			s, err := platform.LoadSettings(path)
			if err != nil {
				return fmt.Errorf("invalid settings:\n%w", err)
			}
			return runNode(ctx, signals, path, s, level)
		},
	}
}

func runNode(ctx context.Context, signals <-chan os.Signal, path string, s *platform.Settings, level string) error {
	lines := newLineWriter(os.Stdout)
	defer lines.Close()
	log, err := newLog(lines, level)
	if err != nil {
		return err
	}
	n, err := newNode(s, log, lines.Dropped)
	if err != nil {
		return err
	}
	go followSettings(ctx, signals, path, s, n, log)
	return n.Run(ctx)
}

func newNode(s *platform.Settings, log logrus.FieldLogger, dropped func() int64) (*node.Node, error) {
	p := newPlatform(s, log)
	p.DroppedLogLines = dropped
	return node.New(s.Node, p, log)
}

// newPlatform returns the platform adapter for the settings.
func newPlatform(s *platform.Settings, log logrus.FieldLogger) node.Platform {
	store := platform.NewStore(s.StoreAddress)
	p := node.Platform{
		Kinds: node.Kinds{
			Configuration: platform.KindManifest, Endpoints: platform.KindEndpoints, Rollouts: platform.KindRollouts,
			Evacuations: platform.KindEvacuations,
		},
		Eras: store.Eras(), StoreConnections: store.Connections, Objects: store, Records: platform.Records{Store: store}, ListRecords: platform.Records{Store: store}.ListCurrent, Wire: platform.Wire{}, Mover: platform.Mover{},
		DecodeTable: platform.DecodeManifest, DecodeEndpoint: platform.DecodeEndpoint, Ready: platform.ReadyHandler,
		DecodeRollout: platform.DecodeRollout, DecodeEvacuation: platform.DecodeEvacuation, Rollouts: platform.Rollouts{Store: store},
		Ingress: func(f *forward.Forwarder, maxBody func() int64, closing func() bool, memory *intake.Memory) http.Handler {
			return &platform.Ingress{Forwarder: f, MaxBody: maxBody, Closing: closing, Log: log, Memory: memory, Priority: f.Priority}
		},
		ProxiedIngress: func(f *forward.Forwarder, maxBody func() int64, closing func() bool, memory *intake.Memory, begin func() bool, end func()) http.Handler {
			return &platform.Ingress{
				Forwarder: f, MaxBody: maxBody, Closing: closing, Log: log, Memory: memory, Priority: f.Priority,
				Proxied: true, Begin: begin, End: end,
			}
		},
		IsProxied: platform.IsProxied, ConnRefusal: platform.ConnRefusal(),
	}
	p.OnStoreCall = store.OnCall
	if s.CloudAddress != "" {
		api := platform.NewAPI(s.CloudAddress, s.Node.Name)
		p.API = api
		p.OnStoreCall = func(count func(node.StoreCall)) { store.OnCall(count); api.OnCall(count) }
	}
	return p
}
