package routing

import (
	"net"
	"slices"
	"strings"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Table is the index of a Config.
type Table struct {
	config          *Config
	routesByHost    map[string][]*Route // longest prefix first
	services        map[fleet.ServiceID]*Service
	workspacesByKey map[string]*Workspace
	ranks           priorityRanks
}

// NewTable returns the index of a config, which must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		config:          c,
		routesByHost:    map[string][]*Route{},
		services:        map[fleet.ServiceID]*Service{},
		workspacesByKey: map[string]*Workspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].ID] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.workspacesByKey[k] = w
		}
	}
	delete(t.workspacesByKey, "") // requests without a key have this one
	t.ranks = rankPriorities(c)
	return t
}

// Config returns the indexed config.
func (t *Table) Config() *Config { return t.config }

// Route returns the route of a host with the longest matching path prefix, or nil. The host is
// matched case-insensitively and may include a port.
func (t *Table) Route(host, path string) *Route {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a published service, or nil.
func (t *Table) Service(id fleet.ServiceID) *Service { return t.services[id] }

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[key] }

// WorkspaceByID returns a workspace, or nil.
func (t *Table) WorkspaceByID(id fleet.WorkspaceID) *Workspace {
	for i := range t.config.Workspaces {
		if w := &t.config.Workspaces[i]; w.ID == id {
			return w
		}
	}
	return nil
}

// KeysRequired reports whether requests of routes that are not public need the key of a workspace.
func (t *Table) KeysRequired() bool { return t.config.Workspaces != nil }
