// Command standin plays the cases of this review: it starts gateways as separate processes and plays the platform's
// store, the engines, the operator and the clients around them.
//
//	standin --case NAME --gateway PROGRAM --record FILE [--trouble=false]
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldntGo = 2
)

// longestCase bounds the time of a case.
const longestCase = 110 * time.Second

// scenario is one case. It returns what breaks the rule, or an error if it couldn't run.
type scenario func(w *world, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{
	"versions": playVersions,
	"restore":  playRestore,
	"tenants":  playTenants,
	"encoded":  playEncoded,
	"takeups":  playTakeups,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("gateway", "", "path of the dandelionvane program")
	recordFile := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *program, *recordFile, *trouble))
}

func play(name, program, recordFile string, trouble bool) int {
	chosen := scenarios[name]
	if chosen == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCouldntGo
	}
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldntGo
	}
	defer rec.close()
	w := &world{record: rec, program: program}
	defer w.close()
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := chosen(w, trouble)
		done <- result{violations, err}
	}()
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that leaves early must not keep the gateways from being ended
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var violations []string
	select {
	case r := <-done:
		violations, err = r.violations, r.err
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	case <-time.After(longestCase):
		err = fmt.Errorf("not done after %v", longestCase)
	}
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCouldntGo
	}
	for _, v := range violations {
		rec.printf("VIOLATION %s", v)
	}
	rec.printf("violations: %d", len(violations))
	fmt.Printf("%s, trouble=%t: %d violations\n", name, trouble, len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
