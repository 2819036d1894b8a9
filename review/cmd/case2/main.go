// Command case2 runs a case of the second review: case2 NAME RECORD. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run. With TROUBLE=0 in its environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"

	"github.com/trefoillug/trefoillug/review/lab"
)

var cases = map[string]func(r *lab.Record, trouble bool) (lab.ExitCode, error){
	"badroute":         badRoute,
	"forgottencrashes": forgottenCrashes,
	"forgottenremoval": forgottenRemoval,
	"missingroute":     missingRoute,
	"silentcrashes":    silentCrashes,
	"slowevents":       slowEvents,
	"timedoutanswers":  timedOutAnswers,
}

const argCount = 3

func main() {
	if len(os.Args) != argCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case2 NAME RECORD")
		os.Exit(int(lab.NotRun))
	}
	record := lab.NewRecord()
	code, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "case2:", err)
		code = lab.NotRun
	}
	record.Add("exit code %d", code)
	if err := record.WriteFile(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "case2:", err)
		code = lab.NotRun
	}
	os.Exit(int(code))
}
