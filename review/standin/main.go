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
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldntGo = 2
)

// scenario is one case. It returns what breaks the rule, or an error if it couldn't run.
type scenario func(w *world, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{
	"versions": playVersions,
	"restore":  playRestore,
	"tenants":  playTenants,
	"encoded":  playEncoded,
	"slashes":  playSlashes,
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
	violations, err := chosen(w, trouble)
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
