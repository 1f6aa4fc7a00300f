package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
)

// membersPath is the path at which a gateway accepts joining gateways and returns its member list.
const membersPath = "/v1/members"

const (
	seedTimeout     = time.Second
	maxMembersBytes = 1 << 20
	maxMemberBytes  = 4 << 10
)

// seedClient joins the fleet through the seeds of the settings: it announces this process to
// each seed and gets the seed's member list.
type seedClient struct {
	self  mesh.Member
	addrs []string
	http  *http.Client
}

func newSeedClient(s Settings) *seedClient {
	c := &seedClient{self: s.member(), http: &http.Client{Timeout: seedTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, a := range s.Peers.Seeds {
		if a != s.Listen.Control {
			c.addrs = append(c.addrs, a)
		}
	}
	return c
}

func (c *seedClient) join(ctx context.Context, addr string) ([]mesh.Member, error) {
	self, err := json.Marshal(c.self)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: encode member")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+membersPath, bytes.NewReader(self))
	if err != nil {
		return nil, errors.Wrap(err, "gateway: join through a seed")
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := httpcall.Do(c.http, r, maxMembersBytes)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: join through a seed")
	}
	if resp.Status != http.StatusOK {
		return nil, errors.Errorf("gateway: seed %s returned status %d", addr, resp.Status)
	}
	var members []mesh.Member
	return members, errors.Wrapf(json.Unmarshal(resp.Body, &members), "gateway: members of seed %s", addr)
}

// askSeeds joins through all seeds concurrently and passes each member list to the control state
// as it arrives.
func (p *process) askSeeds() {
	seeds := p.seeds.Load()
	for _, addr := range seeds.addrs {
		p.wg.Go(func() {
			members, err := seeds.join(p.ctx, addr)
			if err != nil {
				event.LogFields(event.SeedUnreachable, "addr", addr, "err", err.Error())
				return
			}
			p.loop.Do(func(s *control.State, now boottime.Instant) { s.SeedReplied(now, members) })
		})
	}
}

// serveMembers adds a joining gateway to the members and responds with the member list.
func (p *process) serveMembers(w http.ResponseWriter, r *http.Request) {
	var joining mesh.Member
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMemberBytes)).Decode(&joining); err != nil {
		http.Error(w, "want a member as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	var members []mesh.Member
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.SeedQueried(now, joining)
		members = s.Members()
	})
	writeJSON(w, members)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
