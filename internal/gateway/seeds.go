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

// membersPath is where a gateway tells others whom it knows.
const membersPath = "/v1/members"

const (
	seedTimeout     = time.Second
	maxMembersBytes = 1 << 20
	maxMemberBytes  = 4 << 10
)

// seedClient tells the control addresses of the settings who this process is, and learns
// whom they know.
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

func (c *seedClient) ask(ctx context.Context, addr string) ([]mesh.Member, error) {
	self, err := json.Marshal(c.self)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: encode member")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+membersPath, bytes.NewReader(self))
	if err != nil {
		return nil, errors.Wrap(err, "gateway: ask a seed")
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := httpcall.Do(c.http, r, maxMembersBytes)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: ask a seed")
	}
	if a.Status != http.StatusOK {
		return nil, errors.Errorf("gateway: seed %s answered %d", addr, a.Status)
	}
	var members []mesh.Member
	return members, errors.Wrapf(json.Unmarshal(a.Body, &members), "gateway: members of seed %s", addr)
}

// askSeeds asks all seeds at once and hands on each answer as it comes.
func (p *process) askSeeds() {
	seeds := p.seeds.Load()
	for _, addr := range seeds.addrs {
		p.wg.Go(func() {
			members, err := seeds.ask(p.ctx, addr)
			if err != nil {
				event.Record(event.SeedUnreachable, "addr", addr, "err", err.Error())
				return
			}
			p.loop.Do(func(s *control.State, now boottime.Instant) { s.SeedReplied(now, members) })
		})
	}
}

// serveMembers answers a gateway that joins with all that are known, and remembers it.
func (p *process) serveMembers(w http.ResponseWriter, r *http.Request) {
	var joins mesh.Member
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMemberBytes)).Decode(&joins); err != nil {
		http.Error(w, "want a member as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	var members []mesh.Member
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.Join(now, joins)
		members = s.Members()
	})
	writeJSON(w, members)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone.
	_ = json.NewEncoder(w).Encode(v)
}
