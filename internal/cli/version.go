package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
)

type versionCommand struct{ env Env }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version of this program" }
func (*versionCommand) Usage() string {
	return "version\n\nPrints the version, the commit, the Go release and the SHA-256 of the executable.\n"
}
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (c *versionCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := argumentProblem(f); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	info := buildinfo.Read()
	digest, err := buildinfo.Digest(ctx)
	if err != nil {
		return c.env.fail(c.Name(), err)
	}
	fmt.Fprintf(c.env.Stdout, "%s %s commit %s %s digest %s\n", program, info.Version, info.Commit, info.Go, digest)
	return subcommands.ExitSuccess
}
