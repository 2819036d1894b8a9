package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/trefoillug/trefoillug/entry"
	"github.com/trefoillug/trefoillug/progress"
)

// statusTimeout bounds reading the status of one instance.
const statusTimeout = 5 * time.Second

func statusCommand() *cli.Command {
	var address string
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "show the revision in force at each instance, moves, versions and endpoints",
		Flags: []cli.Flag{
			stringFlag("entry", "host:port of any instance's peer listener", "127.0.0.1:8081", &address),
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Sources: envVar("json"), Destination: &asJSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			all, err := readStatuses(ctx, address)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(all)
			}
			return printStatuses(os.Stdout, all)
		},
	}
}

// readStatuses reads the member list of one instance and then the status of each member that answers.
func readStatuses(ctx context.Context, address string) ([]entry.Status, error) {
	first, err := readStatus(ctx, address)
	if err != nil {
		return nil, err
	}
	var all []entry.Status
	for _, m := range first.Members {
		if m.ID == first.Instance {
			all = append(all, first)
			continue
		}
		st, err := readStatus(ctx, m.HTTP)
		if err != nil {
			fmt.Fprintf(os.Stderr, "instance %s does not answer: %v\n", m.ID, err)
			continue
		}
		all = append(all, st)
	}
	return all, nil
}

func readStatus(ctx context.Context, address string) (entry.Status, error) {
	var st entry.Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return st, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st, fmt.Errorf("%s answered status %d", address, resp.StatusCode)
	}
	return st, progress.DecodeJSON(resp.Body, &st)
}

func printStatuses(w io.Writer, all []entry.Status) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "INSTANCE\tFAILURE DOMAIN\tREADY\tREVISION\tADMITTED\tOVER LIMIT\tOVERLOADED\tWAITING")
	for _, st := range all {
		a := st.Admission
		fmt.Fprintf(tw, "%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\n", st.Instance, st.FailureDomain, st.Ready, st.Revision,
			a.Admitted, a.OverLimit, a.Overloaded, a.Waiting)
	}
	if len(all) > 0 {
		printServices(tw, all[0].Services)
	}
	return tw.Flush()
}

func printServices(w io.Writer, services []entry.ServiceStatus) {
	fmt.Fprintln(w, "\nSERVICE\tSHARES\tMOVE\tENDPOINTS")
	for _, s := range services {
		var shares []string
		for _, sh := range s.Shares {
			shares = append(shares, fmt.Sprintf("%s %.0f%%", sh.Version, 100*sh.Fraction))
		}
		var endpoints []string
		for _, e := range s.Endpoints {
			endpoints = append(endpoints, fmt.Sprintf("%s(%s,%s)", e.ID, e.Version, e.Condition))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.Name, strings.Join(shares, ", "), moveText(s.Move), strings.Join(endpoints, " "))
	}
}

func moveText(m *entry.MoveStatus) string {
	if m == nil {
		return "-"
	}
	text := fmt.Sprintf("%s: %s to %s by %s: %s", m.ID, m.From, m.To, m.Deadline.UTC().Format(time.RFC3339), m.State)
	if m.Reason != "" {
		text += " (" + m.Reason + ")"
	}
	return text
}
