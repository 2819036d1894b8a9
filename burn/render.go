package burn

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as a table for a terminal.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "from %s to %s, objective %.3f%% of minutes without a refusal\n",
		r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339), 100*r.Objective)
	fmt.Fprint(tw, "SERVICE\tWORKSPACE\tSERVED\tREFUSAL MINUTES")
	for _, window := range Windows {
		fmt.Fprintf(tw, "\tBURN %s", shortDuration(window))
	}
	fmt.Fprintln(tw, "\tREFUSED BY KIND")
	for _, line := range r.Lines {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d", line.Service, line.Workspace, line.Served, line.RefusalMinutes)
		for _, rate := range line.BurnRates {
			fmt.Fprintf(tw, "\t%.1f", rate.Rate)
		}
		fmt.Fprintf(tw, "\t%s\n", line.kinds())
	}
	return tw.Flush()
}

func (l Line) kinds() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(l.Refused)) {
		parts = append(parts, fmt.Sprintf("%s=%d", k, l.Refused[k]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

func shortDuration(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", int(d.Minutes()))
	}
	return fmt.Sprintf("%dh", int(d.Hours()))
}

const (
	plotWidth  = 720 // pixels
	plotHeight = 18  // pixels
)

// bar is the position and width of a refusal minute in the plot, in pixels.
type bar struct{ X, Width float64 }

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"kinds":  Line.kinds,
	"short":  shortDuration,
	"stamp":  func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
	"width":  func() int { return plotWidth },
	"height": func() int { return plotHeight },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em} table{border-collapse:collapse} td,th{padding:4px 10px;text-align:right;border-bottom:1px solid #ccc}
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2),td:last-child{text-align:left} svg{background:#eef5ee} rect{fill:#b3261e}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{stamp .Report.From}} to {{stamp .Report.To}}; objective: {{printf "%.3f" .Percent}}% of minutes without a refusal.</p>
<table><tr><th>service</th><th>workspace</th><th>served</th><th>refusal minutes</th>{{range .Windows}}<th>burn {{short .}}</th>{{end}}<th>refused by kind</th><th>refusal minutes over time</th></tr>
{{range $i, $l := .Report.Lines}}<tr><td>{{$l.Service}}</td><td>{{$l.Workspace}}</td><td>{{$l.Served}}</td><td>{{$l.RefusalMinutes}}</td>{{range $l.BurnRates}}<td>{{printf "%.1f" .Rate}}</td>{{end}}<td>{{kinds $l}}</td>
<td><svg width="{{width}}" height="{{height}}" role="img">{{range index $.Bars $i}}<rect x="{{printf "%.1f" .X}}" y="0" width="{{printf "%.1f" .Width}}" height="{{height}}"/>{{end}}</svg></td></tr>
{{end}}</table></body></html>
`))

// WriteHTML writes the report as one self-contained page with a plot of the refusal minutes.
func (r Report) WriteHTML(w io.Writer) error {
	bars := make([][]bar, len(r.Lines))
	for i, line := range r.Lines {
		bars[i] = r.bars(line.MinuteStarts)
	}
	return page.Execute(w, struct {
		Report  Report
		Percent float64
		Windows []time.Duration
		Bars    [][]bar
	}{r, 100 * r.Objective, Windows, bars})
}

func (r Report) bars(starts []int64) []bar {
	scale := plotWidth / max(r.To.Sub(r.From).Minutes(), 1)
	var bars []bar
	for _, start := range starts {
		x := (float64(start) - float64(r.From.Unix())/60) * scale
		bars = append(bars, bar{X: max(x, 0), Width: max(scale, 1)})
	}
	return bars
}
