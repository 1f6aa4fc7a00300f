package lists

import (
	"math"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

func (p *parser) parseEntitlements(text string) *tomldoc.Document {
	var doc entitlementsDocument
	d := tomldoc.Decode(Entitlements, []byte(text), &doc)
	if !d.Parsed() {
		return d
	}
	p.havePlans = len(doc.Plans) > 0
	if !p.havePlans {
		d.Errorf("", "add a [[plan]] for each plan that a workspace is on", "the list has no plan")
	}
	ids := newIDChecker(d, "plan")
	for i, e := range doc.Plans {
		path := ids.check(i, e.ID)
		checkIDs(d, path+".models", e.Models)
		checkIDs(d, path+".services", e.Services)
		checkLimits(d, path, e.Limits)
		if len(e.Models)+len(e.Services) == 0 {
			d.Warnf(path, "add models or services if its workspaces are to be served", "plan %q may use nothing", e.ID)
		}
		p.cfg.Plans[fleet.PlanID(e.ID)] = e.plan()
	}
	return d
}

func (e planEntry) plan() fleet.Plan {
	return fleet.Plan{
		ID:       fleet.PlanID(e.ID),
		Models:   convertStrings[fleet.ModelID](e.Models),
		Services: convertStrings[fleet.ServiceID](e.Services),
		Priority: fleet.Priority(e.Priority),
		Limits:   fleet.Limits(e.Limits),
	}
}

func checkIDs(d *tomldoc.Document, path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		elemPath := elementPath(path, i)
		checkID(d, elemPath, name)
		if seen[name] {
			d.Errorf(elemPath, "remove one of the two", "%q stands twice", name)
		}
		seen[name] = true
	}
}

func checkLimits(d *tomldoc.Document, path string, l limitsEntry) {
	const fix = "use 0 for no limit, or a number above it"
	checkRateLimit(d, path+".limits.requests_per_second", l.RequestsPerSecond)
	checkRateLimit(d, path+".limits.tokens_per_second", l.TokensPerSecond)
	if concurrentPath := path + ".limits.concurrent"; l.Concurrent < 0 || l.Concurrent > math.MaxInt32 {
		d.Errorf(concurrentPath, fix, "%s: %d is not a limit", concurrentPath, l.Concurrent)
	}
}

func checkRateLimit(d *tomldoc.Document, path string, rate float64) {
	if !(rate >= 0 && rate <= math.MaxInt32) {
		d.Errorf(path, "use 0 for no limit, or a number above it", "%s: %v is not a limit", path, rate)
	}
}

func convertStrings[T ~string](in []string) []T {
	var out []T
	for _, s := range in {
		out = append(out, T(s))
	}
	return out
}
