//go:build review

// Command case plays a case of the review: case NAME FOLDER, from the root of the repository.
package main

import (
	"fmt"
	"os"

	"github.com/trefoillug/trefoillug/review/kit"
)

// cases is filled by the file of each case.
var cases = map[string]func(dir string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME FOLDER")
		os.Exit(kit.NotRun)
	}
	cases[os.Args[1]](os.Args[2])
}
