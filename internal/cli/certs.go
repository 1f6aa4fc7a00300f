package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/keys"
)

const certsDirMode = 0o700

type certsCommand struct {
	env       Env
	out       string
	instances string
}

func (*certsCommand) Name() string     { return "certs" }
func (*certsCommand) Synopsis() string { return "issue certificates for instances" }
func (*certsCommand) Usage() string {
	return `certs --out DIR --instances ID,ID,...

Writes a certificate and key for each instance to DIR as ID.pem and ID-key.pem. Signs them
with the certificate authority in DIR (ca.pem and ca-key.pem), which it generates if there is
none. Don't copy ca-key.pem to the instances: each needs only ca.pem and its own two files.

Example:
  dandelionvane certs --out examples/coulee/certs --instances north-1,north-2

Flags:
`
}

func (c *certsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "directory of the certificate and key files")
	f.StringVar(&c.instances, "instances", "", "instance ids, separated by commas")
}

func (c *certsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := argumentProblem(f, "out", "instances"); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	ids := strings.Split(c.instances, ",")
	for _, id := range ids {
		if err := checkInstanceID(id); err != nil {
			return c.env.usageError(c.Name(), err.Error())
		}
	}
	if err := c.issue(ids); err != nil {
		return c.env.fail(c.Name(), err)
	}
	fmt.Fprintf(c.env.Stdout, "issued %d certificates in %s\n", len(ids), c.out)
	return subcommands.ExitSuccess
}

// checkInstanceID rejects invalid ids and an id whose certificate file would overwrite that of the
// certificate authority.
func checkInstanceID(id string) error {
	if id+".pem" == keys.CACertFile {
		return errors.Errorf("the certificate file of instance %q would overwrite that of the certificate authority", id)
	}
	return keys.CheckInstanceID(id)
}

func (c *certsCommand) issue(ids []string) error {
	if err := os.MkdirAll(c.out, certsDirMode); err != nil {
		return err
	}
	ca, err := keys.EnsureCA(c.out)
	if err != nil {
		return err
	}
	for _, id := range ids {
		pair, err := ca.Issue(id)
		if err != nil {
			return err
		}
		if err := pair.WriteFiles(c.out); err != nil {
			return err
		}
	}
	return nil
}
