package settings

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Seed is a router that a starting process contacts before it has an instance list.
type Seed struct {
	ID   string
	Addr netip.AddrPort // of the listener for peers
}

// ParseSeed parses "ID=IP:port".
func ParseSeed(text string) (Seed, error) {
	id, addr, ok := strings.Cut(text, "=")
	if !ok {
		return Seed{}, errors.Errorf("%q is not ID=IP:port", text)
	}
	if err := keys.CheckInstanceID(id); err != nil {
		return Seed{}, err
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 {
		return Seed{}, errors.Errorf("%q is not IP:port", addr)
	}
	return Seed{ID: id, Addr: ap}, nil
}

func (p *Peers) check(d *tomldoc.Document, self string) {
	if len(p.Seeds) > maxSeeds {
		d.Errorf("peers.seeds", "name a few routers of each data centre", "peers.seeds: %d seeds, at most %d are allowed", len(p.Seeds), maxSeeds)
		return
	}
	seen := map[string]bool{}
	for _, text := range p.Seeds {
		seed, err := ParseSeed(text)
		switch {
		case err != nil:
			d.Errorf("peers.seeds", `write the id and the peers' address of a router, as in "a-2=10.1.0.5:7443"`, "peers.seeds: %v", err)
		case seed.ID == self:
			d.Errorf("peers.seeds", "name other routers only", "peers.seeds: %s is this instance", seed.ID)
		case seen[seed.ID]:
			d.Errorf("peers.seeds", "name each router once", "peers.seeds: %s is named twice", seed.ID)
		}
		seen[seed.ID] = true
	}
}
