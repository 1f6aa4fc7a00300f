// Command standin2 plays one case of the second review: stand-ins of the platform's store, of engines and of clients, and
// gateways as separate processes. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is that of a script. No case comes near it.
const timeLimit = 110 * time.Second

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(log *record, trouble bool) (broken bool, err error){
	"unframed": unframed,
	"rolling":  rolling,
	"regress":  regress,
	"slashes":  slashes,
	"takeups":  takeups,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "engine" {
		fmt.Fprintln(os.Stderr, serveUnframed(os.Args[2], os.Args[3], os.Args[4]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.close()
	go endAfter(timeLimit)
	broken, err := cases[name](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.write("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		log.write("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		log.write("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}

// endAfter ends all processes that were started, and this one, after a time or on a signal.
func endAfter(limit time.Duration) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ended:
	case <-time.After(limit):
	}
	if w := present.Load(); w != nil {
		w.close()
	}
	os.Exit(2)
}
