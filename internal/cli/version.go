package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCommand struct{ env Env }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version of this program" }
func (*versionCommand) Usage() string {
	return "version\n\nPrints the version, the commit and the Go release.\n"
}
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (c *versionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := argumentProblem(f); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{}
	}
	fmt.Fprintf(c.env.Stdout, "%s %s commit %s %s\n", program, info.Main.Version, commit(info), info.GoVersion)
	return subcommands.ExitSuccess
}

func commit(info *debug.BuildInfo) string {
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "unknown"
}
