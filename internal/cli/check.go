package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/lists"
	"github.com/dandelionvane/dandelionvane/internal/settings"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// checkedRevision stands for the revision that a checked configuration has not got yet.
const checkedRevision = 1

type checkCommand struct {
	env                        Env
	settings                   fileList
	gateways                   fileList
	plans, entitlements, state string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings and lists before they are used" }
func (*checkCommand) Usage() string {
	return `check [--settings FILE]... [--gateway FILE]... [--plans FILE --entitlements FILE --state FILE]

Checks settings files of routers and of gateways, the three lists together as they will be published, and, when both
are given, that each instance's data centre is listed. Prints every fault at once with
file, line and mend. Exits with 1 if there is an error; warnings alone do not count.

Examples:
  dandelionvane check --settings router.toml
  dandelionvane check --gateway gateway.conf
  dandelionvane check --plans plans.toml --entitlements entitlements.toml --state state.toml

Flags:
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.settings, "settings", "settings file; may be given several times")
	f.Var(&c.gateways, "gateway", "settings file of a gateway, in the platform's format; may be given several times")
	f.StringVar(&c.plans, "plans", "", "list of the customers' plans")
	f.StringVar(&c.entitlements, "entitlements", "", "list of what each plan may use")
	f.StringVar(&c.state, "state", "", "service state of data centres and endpoints")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := c.problem(f); problem != "" {
		return c.env.usage(c.Name(), problem)
	}
	faults := c.check()
	c.env.printFaults(faults)
	unusable := c.printGatewayFaults()
	if tomldoc.HasErrors(faults) || unusable {
		return subcommands.ExitFailure
	}
	fmt.Fprintln(c.env.Stdout, "no errors")
	return subcommands.ExitSuccess
}

func (c *checkCommand) problem(f *flag.FlagSet) string {
	if c.plans == "" && c.entitlements == "" && c.state == "" {
		if len(c.gateways) > 0 {
			return needs(f)
		}
		return needs(f, "settings")
	}
	return needs(f, "plans", "entitlements", "state")
}

// printGatewayFaults prints what is wrong with settings files of gateways, and returns
// whether anything is.
func (c *checkCommand) printGatewayFaults() bool {
	found := false
	for _, file := range c.gateways {
		_, errs := readGatewaySettings(file)
		for _, err := range errs {
			fmt.Fprintf(c.env.Stderr, "%s: error: %v\n", file, err)
			found = true
		}
	}
	return found
}

func (c *checkCommand) check() []tomldoc.Fault {
	var faults []tomldoc.Fault
	var cfg *fleet.Configuration
	if c.plans != "" {
		cfg, faults = checkLists(c.plans, c.entitlements, c.state)
	}
	for _, file := range c.settings {
		s, found := settings.Load(file)
		faults = append(faults, found...)
		if s != nil && cfg != nil {
			faults = append(faults, checkDataCentre(file, s, cfg, c.state)...)
		}
	}
	return faults
}

// checkDataCentre checks that an instance's data centre is one of the state list.
func checkDataCentre(file string, s *settings.Settings, cfg *fleet.Configuration, state string) []tomldoc.Fault {
	if _, ok := cfg.DataCentres[fleet.DataCentreID(s.Instance.DataCentre)]; ok {
		return nil
	}
	return []tomldoc.Fault{{
		File:    file,
		Line:    lineOf(file, "instance.data_centre"),
		Problem: fmt.Sprintf("instance.data_centre: %q is not in %s", s.Instance.DataCentre, state),
		Fix:     "use a data centre of the state list, or add it there first",
	}}
}

// lineOf returns the line of a key of a settings file.
func lineOf(file, key string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return 1
	}
	return tomldoc.Decode(file, text, settings.Default()).Line(key)
}

func checkLists(plans, entitlements, state string) (*fleet.Configuration, []tomldoc.Fault) {
	files := map[string]string{lists.Plans: plans, lists.Entitlements: entitlements, lists.State: state}
	texts := map[string]string{}
	var unread []tomldoc.Fault
	for _, list := range []string{lists.Plans, lists.Entitlements, lists.State} {
		text, err := os.ReadFile(files[list])
		if err != nil {
			unread = append(unread, tomldoc.Fault{File: files[list], Line: 1, Problem: err.Error(), Fix: "name a readable file"})
		}
		texts[list] = string(text)
	}
	if len(unread) > 0 {
		return nil, unread
	}
	cfg, faults := lists.Parse(checkedRevision, texts[lists.Plans], texts[lists.Entitlements], texts[lists.State])
	for i := range faults {
		faults[i].File = files[faults[i].File]
	}
	return cfg, faults
}

// printFaults prints faults by file and line.
func (e Env) printFaults(faults []tomldoc.Fault) {
	sorted := slices.Clone(faults)
	slices.SortStableFunc(sorted, func(a, b tomldoc.Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	for _, f := range sorted {
		fmt.Fprintln(e.Stderr, f)
	}
}

// fileList is a flag that may be given several times.
type fileList []string

// String implements flag.Value.
func (l *fileList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *fileList) Set(file string) error {
	*l = append(*l, file)
	return nil
}
