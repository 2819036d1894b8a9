package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/configcheck"
	"github.com/trefoillug/trefoillug/platform"
)

// Forms of a configuration.
const (
	formService  = "service"
	formPlatform = "platform"
)

const (
	// maxCheckBytes is above the size of any object of the store, which is at most 1 MB.
	maxCheckBytes = 4 << 20
	// againstTimeout covers a store that answers slowly.
	againstTimeout = 10 * time.Second
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check service files or configurations of the platform and report every problem",
		ArgsUsage: "FILE...",
		Description: "Prints what is wrong and, with --against, what differs from another version.\n" +
			"Exit code 0: no findings; 1: errors; 2: warnings only.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "form", Usage: "`FORM` of the files, service or platform; without it, by content", Sources: cli.EnvVars("TREFOILLUG_FORM")},
			&cli.StringSliceFlag{Name: "against", Usage: "`FILE or URL` of the version in effect; for service files one or more files",
				Sources: cli.EnvVars("TREFOILLUG_AGAINST")},
			&cli.BoolFlag{Name: "json", Usage: "print findings and changes as JSON", Sources: cli.EnvVars("TREFOILLUG_JSON")},
		},
		Action: runCheck,
	}
}

// checkReport is the output of --json.
type checkReport struct {
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
}

func runCheck(ctx context.Context, cmd *cli.Command) error {
	form, against := cmd.String("form"), cmd.StringSlice("against")
	if cmd.Args().Len() == 0 {
		return cli.Exit("name at least one file", exitRefused)
	}
	if form != "" && form != formService && form != formPlatform {
		return cli.Exit(fmt.Sprintf("--form %s: write service or platform", form), exitRefused)
	}
	report := checkReport{Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	files, manifests := report.readAll(ctx, form, cmd.Args().Slice())
	earlierFiles, earlierManifests := report.readAll(ctx, form, against)
	switch {
	case len(manifests) > 0 && (len(earlierManifests) > 1 || len(earlierFiles) > 0):
		return cli.Exit("--against: name one configuration of the platform", exitRefused)
	case len(manifests) == 0 && len(earlierManifests) > 0:
		return cli.Exit("--against: name service files", exitRefused)
	}
	report.checkServices(files, earlierFiles)
	report.checkManifests(manifests, earlierManifests)
	report.print(cmd)
	if status := configcheck.ExitStatus(report.Findings); status != 0 {
		return cli.Exit("", status)
	}
	return nil
}

// readAll reads files and URLs and sorts them by form. What can't be read is an error of the report.
func (r *checkReport) readAll(ctx context.Context, form string, names []string) (services, manifests []config.File) {
	for _, name := range names {
		data, err := readSource(ctx, name)
		switch {
		case err != nil:
			r.Findings = append(r.Findings, configcheck.Finding{Severity: configcheck.Error, File: name, Line: 1, Cause: err.Error(), Fix: "name a file or URL that can be read"})
		case form == formPlatform, form == "" && (platform.IsManifest(data) || filepath.Ext(name) == ".json" && !json.Valid(data)):
			manifests = append(manifests, config.File{Name: name, Data: data})
		default:
			services = append(services, config.File{Name: name, Data: data})
		}
	}
	return services, manifests
}

func readSource(ctx context.Context, name string) ([]byte, error) {
	if !strings.HasPrefix(name, "http://") && !strings.HasPrefix(name, "https://") {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		return readBounded(f)
	}
	ctx, cancel := context.WithTimeout(ctx, againstTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return readBounded(resp.Body)
}

func readBounded(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxCheckBytes+1))
	if err == nil && len(data) > maxCheckBytes {
		err = fmt.Errorf("is over %d bytes", maxCheckBytes)
	}
	return data, err
}

// checkServices compares only services that the files name: the others keep their configuration in a publish.
func (r *checkReport) checkServices(files, earlier []config.File) {
	services, ok := r.decodeServices(files, time.Now())
	// Deadlines that have passed since are no mistake of an earlier version.
	inEffect, earlierOK := r.decodeServices(earlier, time.Time{})
	if !ok {
		return
	}
	for i := range services {
		r.add(files[i].Name, services[i].Warnings())
	}
	if !earlierOK || len(earlier) == 0 {
		return
	}
	var from, to []configcheck.Item
	for _, s := range services {
		to = append(to, s.Items()...)
		i := slices.IndexFunc(inEffect, func(e config.Service) bool { return e.Name == s.Name })
		if i >= 0 {
			from = append(from, inEffect[i].Items()...)
		}
	}
	r.Changes = append(r.Changes, configcheck.Diff(from, to)...)
}

func (r *checkReport) decodeServices(files []config.File, now time.Time) ([]config.Service, bool) {
	services, err := config.DecodeFiles(files, now)
	problems, _ := errors.AsType[config.Problems](err)
	for _, p := range problems {
		r.Findings = append(r.Findings, p.Finding())
	}
	return services, err == nil
}

func (r *checkReport) checkManifests(files, earlier []config.File) {
	var inEffect *configcheck.Config
	for _, f := range earlier {
		c, findings := platform.CheckedManifest(f.Data)
		if inEffect = c; c == nil { // warnings of the version in effect don't concern the new one
			r.add(f.Name, findings)
		}
	}
	for _, f := range files {
		c, findings := platform.CheckedManifest(f.Data)
		r.add(f.Name, findings)
		if c == nil {
			continue
		}
		r.add(f.Name, configcheck.Check(c))
		if inEffect == nil {
			continue
		}
		r.add(f.Name, configcheck.CheckVersion(inEffect, c))
		for _, change := range configcheck.Diff(inEffect.Items, c.Items) {
			change.File = f.Name
			r.Changes = append(r.Changes, change)
		}
	}
}

func (r *checkReport) add(file string, findings []configcheck.Finding) {
	for _, f := range findings {
		f.File = file
		r.Findings = append(r.Findings, f)
	}
}

func (r *checkReport) print(cmd *cli.Command) {
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(r) // the report has only strings and numbers; the exit status tells the result
		return
	}
	for _, f := range r.Findings {
		fmt.Fprintln(cmd.Root().ErrWriter, f)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(out, c)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(out, "%d files without problems\n", cmd.Args().Len())
	}
}
