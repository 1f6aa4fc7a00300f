// Command standin3 plays the cases of the third review: it starts gateways as processes of their own, with stand-ins
// for the platform, the engines and the clients, and writes what was sent, answered and run to record.txt.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 115 * time.Second

// scenario plays a case and returns the violations of its rule.
type scenario func(w *world, trouble bool) (violations int, err error)

var scenarios = map[string]scenario{
	"tenant": tenant,
	"grace":  grace,
	"resume": resume,
	"evac":   evac,
	"odd":    odd,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE GATEWAY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, gateway, record string) int {
	s := scenarios[name]
	if s == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitFailed
	}
	w, err := newWorld(gateway, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(caseTimeout):
		}
		w.close()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", name, trouble)
	violations, err := s(w, trouble)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		return exitFailed
	case violations > 0:
		w.note("BROKEN: %d violations", violations)
		return exitBroken
	default:
		w.note("HELD")
		return exitHeld
	}
}
