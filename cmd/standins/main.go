// Command standins runs a stand-in of the platform, of an endpoint or of a network link as a process. Package deployment
// starts it for the demo and the load runs.
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
