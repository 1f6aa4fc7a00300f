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

// placeholderRevision is the revision used while parsing lists: a revision is assigned only when they are published.
const placeholderRevision = 1

type checkCommand struct {
	env                                    Env
	settingsFiles                          fileList
	gatewayFiles                           fileList
	plansFile, entitlementsFile, stateFile string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings and lists before they are used" }
func (*checkCommand) Usage() string {
	return `check [--settings FILE]... [--gateway FILE]... [--plans FILE --entitlements FILE --state FILE]

Checks settings files of routers and gateways, and the three lists together as they will be
published. If both are given, also checks that the data centre of each router is listed.
Prints all errors and warnings with their file, line and correction. Exits with 1 if there is
an error; warnings alone don't change the exit code.

Examples:
  dandelionvane check --settings router.toml
  dandelionvane check --gateway gateway.conf
  dandelionvane check --plans plans.toml --entitlements entitlements.toml --state state.toml

Flags:
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.settingsFiles, "settings", "settings file of a router; may be repeated")
	f.Var(&c.gatewayFiles, "gateway", "settings file of a gateway, in the platform's format; may be repeated")
	f.StringVar(&c.plansFile, "plans", "", "list of the workspaces and their plans")
	f.StringVar(&c.entitlementsFile, "entitlements", "", "list of the models, services and limits of each plan")
	f.StringVar(&c.stateFile, "state", "", "service state of data centres and endpoints")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := c.argumentProblem(f); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	faults := c.check()
	c.env.printFaults(faults)
	hasGatewayErrors := c.printGatewayErrors()
	if tomldoc.HasErrors(faults) || hasGatewayErrors {
		return subcommands.ExitFailure
	}
	fmt.Fprintln(c.env.Stdout, "no errors")
	return subcommands.ExitSuccess
}

func (c *checkCommand) argumentProblem(f *flag.FlagSet) string {
	if c.plansFile == "" && c.entitlementsFile == "" && c.stateFile == "" {
		if len(c.gatewayFiles) > 0 {
			return argumentProblem(f)
		}
		return argumentProblem(f, "settings")
	}
	return argumentProblem(f, "plans", "entitlements", "state")
}

// printGatewayErrors prints the errors in the gateways' settings files and reports whether there are any.
func (c *checkCommand) printGatewayErrors() bool {
	found := false
	for _, file := range c.gatewayFiles {
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
	if c.plansFile != "" {
		cfg, faults = checkLists(c.plansFile, c.entitlementsFile, c.stateFile)
	}
	for _, file := range c.settingsFiles {
		s, found := settings.Load(file)
		faults = append(faults, found...)
		if s != nil && cfg != nil {
			faults = append(faults, checkDataCentre(file, s, cfg, c.stateFile)...)
		}
	}
	return faults
}

// checkDataCentre checks that the state list contains the instance's data centre.
func checkDataCentre(file string, s *settings.Settings, cfg *fleet.Configuration, stateFile string) []tomldoc.Fault {
	if _, ok := cfg.DataCentres[fleet.DataCentreID(s.Instance.DataCentre)]; ok {
		return nil
	}
	return []tomldoc.Fault{{
		File:    file,
		Line:    keyLine(file, "instance.data_centre"),
		Problem: fmt.Sprintf("instance.data_centre: %q is not in %s", s.Instance.DataCentre, stateFile),
		Fix:     "use a data centre of the state list, or add it there first",
	}}
}

// keyLine returns the line number of a key in a settings file, or 1 if the file cannot be read.
func keyLine(file, key string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return 1
	}
	return tomldoc.Decode(file, text, settings.Default()).Line(key)
}

func checkLists(plans, entitlements, state string) (*fleet.Configuration, []tomldoc.Fault) {
	files := map[string]string{lists.Plans: plans, lists.Entitlements: entitlements, lists.State: state}
	texts := map[string]string{}
	var readFaults []tomldoc.Fault
	for _, list := range []string{lists.Plans, lists.Entitlements, lists.State} {
		text, err := os.ReadFile(files[list])
		if err != nil {
			readFaults = append(readFaults, tomldoc.Fault{File: files[list], Line: 1, Problem: err.Error(), Fix: "name a readable file"})
		}
		texts[list] = string(text)
	}
	if len(readFaults) > 0 {
		return nil, readFaults
	}
	cfg, faults := lists.Parse(placeholderRevision, texts[lists.Plans], texts[lists.Entitlements], texts[lists.State])
	for i := range faults {
		faults[i].File = files[faults[i].File]
	}
	return cfg, faults
}

// printFaults prints the faults, sorted by file and line.
func (e Env) printFaults(faults []tomldoc.Fault) {
	sorted := slices.Clone(faults)
	slices.SortStableFunc(sorted, func(a, b tomldoc.Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	for _, f := range sorted {
		fmt.Fprintln(e.Stderr, f)
	}
}

// fileList is the value of a flag that may be repeated.
type fileList []string

// String implements flag.Value.
func (l *fileList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *fileList) Set(file string) error {
	*l = append(*l, file)
	return nil
}
