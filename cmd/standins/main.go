// Command standins runs one stand-in as a process: of the platform, of an engine or service replica, or a fault-injecting
// proxy. Package deployment starts it for the demo, the load runs and the end-to-end tests.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&linkCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
