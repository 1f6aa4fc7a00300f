package routing

import (
	"net"
	"slices"
	"strings"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Table is the index of a Config.
type Table struct {
	config     *Config
	hosts      map[string][]*Route // longest prefix first
	services   map[fleet.ServiceID]*Service
	workspaces map[string]*Workspace // by key
}

// NewTable indexes a config, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		config:     c,
		hosts:      map[string][]*Route{},
		services:   map[fleet.ServiceID]*Service{},
		workspaces: map[string]*Workspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].ID] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.workspaces[k] = w
		}
	}
	return t
}

// Config returns the indexed config.
func (t *Table) Config() *Config { return t.config }

// Route returns the route with the longest prefix of path among those of a host, or
// nil. The host may carry a port.
func (t *Table) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a published service, or nil.
func (t *Table) Service(id fleet.ServiceID) *Service { return t.services[id] }

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// HasWorkspaces tells whether requests need a key.
func (t *Table) HasWorkspaces() bool { return len(t.config.Workspaces) > 0 }
