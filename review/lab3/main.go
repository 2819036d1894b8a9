// Command lab3 plays the cases of the third review that are scripts: it starts instances with the command of the deploy file
// and plays the store, the platform's API, the workers and the requesters on loopback addresses.
//
//	lab3 CASE PROGRAM RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds the time of a case.
const limit = 115 * time.Second

var errEnded = errors.New("ended by a signal or the time limit")

// play is a case. It reports whether the rule was broken; trouble is false for a run without the disruption.
type play func(w *world, trouble bool) (broken bool, err error)

var plays = map[string]play{"fields": playFields, "holder": playHolder, "hosts": playHosts, "pair": playPair, "query": playQuery, "recover": playRecover}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE PROGRAM RECORD")
		return 2
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	w, err := newWorld(record, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := playWithin(w, plays[os.Args[1]], trouble)
	w.close()
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		w.logf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.logf("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}

// playWithin ends a case at a signal or after the time limit.
func playWithin(w *world, p play, trouble bool) (broken bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = p(w, trouble)
	}()
	select {
	case <-done:
		return broken, err
	case <-signals:
	case <-time.After(limit):
	}
	return false, errEnded
}
