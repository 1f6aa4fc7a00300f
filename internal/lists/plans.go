package lists

import (
	"regexp"
	"strings"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

const hashPrefix = "sha256:"

var hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

func (p *parser) parsePlans(text string) *tomldoc.Document {
	var doc plansDocument
	d := tomldoc.Decode(Plans, []byte(text), &doc)
	if !d.Parsed() {
		return d
	}
	if len(doc.Workspaces) == 0 {
		d.Errorf("", "add a [[workspace]] for each customer", "the list has no workspace")
	}
	ids := newIDChecker(d, "workspace")
	keys := map[string]string{}
	for i, e := range doc.Workspaces {
		path := ids.check(i, e.ID)
		p.checkPlan(d, path, e)
		w := fleet.Workspace{ID: fleet.WorkspaceID(e.ID), Plan: fleet.PlanID(e.Plan)}
		for j, key := range e.KeyHashes {
			checkKey(d, keys, elementPath(path+".keys", j), e.ID, key)
			w.KeyHashes = append(w.KeyHashes, strings.TrimPrefix(key, hashPrefix))
		}
		if len(e.KeyHashes) == 0 {
			d.Warnf(path, `add keys = ["sha256:..."] if it is to be served`, "workspace %q has no key", e.ID)
		}
		p.cfg.Workspaces[w.ID] = w
	}
	return d
}

func (p *parser) checkPlan(d *tomldoc.Document, path string, e workspaceEntry) {
	if !p.havePlans {
		return
	}
	if _, ok := p.cfg.Plans[fleet.PlanID(e.Plan)]; !ok || e.Plan == "" {
		d.Errorf(path+".plan", "use a plan of the list of entitlements, or add it there first", "workspace %q is on plan %q, which does not exist", e.ID, e.Plan)
	}
}

// checkKey checks that a key is the hash of a bearer key and that it is not listed twice.
func checkKey(d *tomldoc.Document, seen map[string]string, path, workspace, key string) {
	if !hashPattern.MatchString(key) {
		d.Errorf(path, `write "sha256:" and the 64 hex digits, in lower case, of the key's SHA-256, never the key itself`, "a key of workspace %q is not a hash", workspace)
		return
	}
	if other, ok := seen[key]; ok {
		d.Errorf(path, "give each workspace keys of its own, each once", "a key of workspace %q belongs to workspace %q already", workspace, other)
		return
	}
	seen[key] = workspace
}
