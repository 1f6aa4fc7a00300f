package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/msgauth"
)

// membersPath is the path of seed queries: a gateway adds the sender to its members and responds
// with its member list.
const membersPath = "/v1/members"

// keysHeader is the response header with the fingerprints of the keys of a seed's configuration, in hex and separated
// by commas; empty if its content is unproven or has no API keys.
const keysHeader = "Key-Fingerprints"

const (
	seedQueryTimeout   = time.Second
	seedHedgeDelay     = 200 * time.Millisecond // without a response of a seed, before the next one is queried too
	maxMemberListBytes = 1 << 20                // of the response to a seed query
	maxSeedQueryBytes  = 4 << 10                // of the body of a seed query

	maxMemberListElements = 1 << 16 // fields and members of the response to a seed query, six per member
)

// seedClient queries the seeds of the settings: it announces this process to a seed and gets the
// seed's member list.
type seedClient struct {
	self  mesh.Member
	addrs []string // control addresses of the seeds, without this process
	http  *http.Client
}

func newSeedClient(s Settings) *seedClient {
	c := &seedClient{self: s.member(), http: newPeerHTTPClient()}
	c.http.Timeout = seedQueryTimeout
	for _, a := range s.Peers.Seeds {
		if a != s.Listen.Control {
			c.addrs = append(c.addrs, a)
		}
	}
	return c
}

// seedReply is the response to a seed query.
type seedReply struct {
	members []mesh.Member // none if they have the digest of the query
	keys    []msgauth.Fingerprint
}

// query queries a seed. digest is that of the known members.
func (c *seedClient) query(ctx context.Context, addr string, digest uint64) (seedReply, error) {
	self, err := json.Marshal(c.self)
	if err != nil {
		return seedReply{}, errors.Wrap(err, "gateway: encode member")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+membersPath+"?digest="+formatDigest(digest), bytes.NewReader(self))
	if err != nil {
		return seedReply{}, errors.Wrap(err, "gateway: query a seed")
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := httpcall.Do(c.http, r, maxMemberListBytes)
	if err != nil {
		return seedReply{}, errors.Wrap(err, "gateway: query a seed")
	}
	reply := seedReply{keys: parseFingerprints(resp.Header.Get(keysHeader))}
	if resp.Status == http.StatusNoContent {
		return reply, nil
	}
	if resp.Status != http.StatusOK {
		return seedReply{}, errors.Errorf("gateway: seed %s returned status %d", addr, resp.Status)
	}
	err = httpcall.DecodeJSON(resp.Body, maxMemberListElements, &reply.members)
	return reply, errors.Wrapf(err, "gateway: decode members of seed %s", addr)
}

// formatFingerprints returns fingerprints in the form of keysHeader.
func formatFingerprints(fs []msgauth.Fingerprint) string {
	texts := make([]string, len(fs))
	for i := range fs {
		texts[i] = hex.EncodeToString(fs[i][:])
	}
	return strings.Join(texts, ",")
}

// parseFingerprints returns the fingerprints of a header value without the malformed ones, at most MaxFingerprints.
func parseFingerprints(value string) []msgauth.Fingerprint {
	var out []msgauth.Fingerprint
	for _, text := range strings.SplitN(value, ",", msgauth.MaxFingerprints+1) {
		var f msgauth.Fingerprint
		if len(text) != hex.EncodedLen(len(f)) || len(out) == msgauth.MaxFingerprints {
			continue
		}
		if _, err := hex.Decode(f[:], []byte(text)); err == nil {
			out = append(out, f)
		}
	}
	return out
}

func formatDigest(d uint64) string { return strconv.FormatUint(d, 16) }

// querySeeds queries the seeds in random order, one after the other, and passes their members to the control
// state: all of them, or until one has responded. A seed that does not respond within seedHedgeDelay delays
// the next one by no more than that.
func (p *process) querySeeds(all bool) {
	seeds := p.seeds.Load()
	done := make(chan bool, len(seeds.addrs)) // a seed's response arrived, or its query failed
	for _, i := range rand.Perm(len(seeds.addrs)) {
		p.wg.Go(func() {
			ok := false
			fault.Contain("query_seed", func() { ok = p.querySeed(seeds, seeds.addrs[i]) }, "addr", seeds.addrs[i])
			done <- ok
		})
		select {
		case ok := <-done:
			if ok && !all {
				return
			}
		case <-time.After(seedHedgeDelay):
		case <-p.ctx.Done():
			return
		}
	}
}

// querySeed queries one seed and reports whether it responded.
func (p *process) querySeed(seeds *seedClient, addr string) bool {
	var digest uint64
	p.loop.Do(func(s *control.State, _ boottime.Instant) { digest = s.MembersDigest() })
	reply, err := seeds.query(p.ctx, addr, digest)
	if err != nil {
		event.LogFields(event.SeedUnreachable, "addr", addr, "err", err.Error())
		return false
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.SeedReplied(now, reply.members)
		s.SeedKeys(now, reply.keys)
	})
	return true
}

// serveSeedQuery adds the sender of a seed query to the members and responds with the member list, or
// without content if the sender has the same members.
func (p *process) serveSeedQuery(w http.ResponseWriter, r *http.Request) {
	var joining mesh.Member
	if err := json.NewDecoder(io.LimitReader(r.Body, maxSeedQueryBytes)).Decode(&joining); err != nil {
		http.Error(w, "want a member as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	var members []mesh.Member
	var digest uint64
	var keys []msgauth.Fingerprint
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.SeedQueried(now, joining)
		members, digest, keys = s.MemberList(now), s.MembersDigest(), s.Fingerprints(now)
	})
	w.Header().Set(keysHeader, formatFingerprints(keys))
	if r.URL.Query().Get("digest") == formatDigest(digest) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	defer z.Close()
	_ = json.NewEncoder(z).Encode(members) // fails only if the client has disconnected
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
